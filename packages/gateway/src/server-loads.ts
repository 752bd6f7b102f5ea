/**
 * Spreads a node's requests over the servers of a plain service. Many nodes share few servers and do
 * not see each other's requests, so each node takes the servers in turn, in proportion to their
 * capacity, and starts the turn at random. Waits that it measures reduce the share of a server.
 */
import type { BackendServer } from './cluster-types'

/** Weight of a duration that is below the estimate of a server's service time. */
const fasterWeight = 0.5
/** Weight of one above it, so small that waits of some seconds do not count as a slower server. */
const slowerWeight = 0.02
/** Weight of the newest measurement in the averages of waits and of the time between measurements. */
const newestWeight = 0.5
/** Wait that a refusal stands for, in service times: a queue that is full holds several requests for each slot. */
const refusalServiceTimes = 4
/** Bounds of the time after which a measured wait has been answered by smaller shares, in ms. */
const minResponseMs = 250
const maxResponseMs = 2000
/** Smallest part of its share that a server with long waits keeps, so that its recovery is noticed. */
const minPressureShare = 0.25
/** Largest multiple of the fastest server's duration that counts. One that is slower, as after a cold start, is measured again after that many rounds at most. */
const maxServiceRatio = 60
/** Lead of a server of the own zone in the turn, in requests to a server of mean capacity. A lead does not change the shares. */
const zoneLead = 1
/** Lead of a server to which a connection is open, in the same unit: nodes with few requests open fewer connections. */
const connectedLead = 3
/** Time after a request for which its connection is taken to be open, in ms: less than that for which either side keeps one. */
const connectedMs = 3000
/** Step between the points at which servers enter the turn: multiples of the golden ratio are evenly spread. */
const goldenRatio = 0.618

type Load = {
  inProgress: number
  /** Point in the turn up to which the server has had its share. */
  turn: number | undefined
  /** Capacity relative to the mean of the servers of the last choice. */
  weight: number
  /** Estimated duration of a request that does not wait, in ms; 0 if unknown. */
  serviceMs: number
  waitMs: number
  /** Time of the last measurement or refusal, in ms. */
  measuredAt: number
  /** Time of the last response, after which its connection stays open, in ms. */
  usedAt: number
  /** Average time between measurements, in ms. */
  intervalMs: number
}

/** What is known of a server's load. Times in ms; `serviceMs` is 0, and `measuredAgeMs` infinite, before the first measurement. */
export type LoadFigures = { inProgress: number, serviceMs: number, waitMs: number, measuredAgeMs: number, share: number }

export type ServerLoads = {
  /** @returns a copy whose choices have no effect on this one */
  copy (): ServerLoads
  /** @returns the figures of the last choice; `share` is relative to the mean of its servers */
  figures (id: string, now: number): LoadFigures
  /**
   * @param candidates - servers that may take the request
   * @param random - number from 0 to 1, for the servers that enter the turn
   * @param now - monotonic time in ms
   * @returns undefined without candidates
   */
  choose (candidates: readonly BackendServer[], zone: string, random: number, now: number): BackendServer | undefined
  /** Counts a request that is sent to the server. */
  started (id: string): void
  /** Counts its end, whatever the outcome. */
  ended (id: string): void
  /** @param durationMs - time from sending the request to its complete response */
  measured (id: string, durationMs: number, now: number): void
  /** Records that the server had no room. */
  refused (id: string, now: number): void
  inProgress (id: string): number
  /** Removes the state of all other servers. */
  retain (ids: ReadonlySet<string>): void
}

type State = { loads: ReadonlyMap<string, Load>, idleShare: number, reached: number | undefined }

/** @param state - state to start from; it is copied */
export function createServerLoads (state?: State): ServerLoads {
  const loads = new Map([...state?.loads ?? []].map(([id, load]): [string, Load] => [id, { ...load }]))
  /** Part of the lead of connected servers that is in force: none while requests wait as long as they run, as a new connection costs less than that. */
  let idleShare = state?.idleShare ?? 1
  /** Point that the turn has reached, without leads; undefined before the first choice. */
  let reached = state?.reached

  function loadOf (id: string): Load {
    const existing = loads.get(id)
    if (existing !== undefined) return existing
    const created: Load = { inProgress: 0, turn: undefined, weight: 1, serviceMs: 0, waitMs: 0, measuredAt: -Infinity, usedAt: -Infinity, intervalMs: maxResponseMs }
    loads.set(id, created)
    return created
  }

  const responseMs = ({ intervalMs }: Load): number => Math.min(maxResponseMs, Math.max(minResponseMs, intervalMs))

  /** @returns the wait as far as it is not outdated, in ms */
  function currentWaitMs (load: Load, now: number): number {
    return load.waitMs === 0 ? 0 : load.waitMs * Math.exp(-(now - load.measuredAt) / responseMs(load))
  }

  function updateWeights (candidates: readonly BackendServer[], now: number): void {
    const measured = candidates.map(({ id }) => loadOf(id).serviceMs).filter(ms => ms > 0)
    const maxServiceMs = Math.min(...measured) * maxServiceRatio
    const known = measured.map(ms => Math.min(ms, maxServiceMs))
    const meanServiceMs = known.reduce((sum, ms) => sum + ms, 0) / Math.max(1, known.length)
    const waits = candidates.map(({ id }) => currentWaitMs(loadOf(id), now))
    const leastWaitMs = Math.min(...waits)
    idleShare = meanServiceMs === 0 ? 1 : Math.max(0, 1 - Math.max(...waits) / meanServiceMs)
    const capacities = candidates.map(({ id, slots }, index) => {
      const load = loadOf(id)
      const speed = load.serviceMs > 0 ? meanServiceMs / Math.min(load.serviceMs, maxServiceMs) : 1
      const pressure = Math.max(minPressureShare, 1 - (waits[index]! - leastWaitMs) / responseMs(load))
      return Math.max(1, slots) * speed * pressure
    })
    const mean = capacities.reduce((sum, capacity) => sum + capacity, 0) / candidates.length
    candidates.forEach(({ id }, index) => { loadOf(id).weight = capacities[index]! / mean })
  }

  function leadOf (server: BackendServer, load: Load, zone: string, now: number): number {
    return (server.zone === zone ? zoneLead : 0) + (now - load.usedAt < connectedMs ? connectedLead * idleShare : 0)
  }

  function enterTurn (candidates: readonly BackendServer[], zone: string, random: number, now: number): void {
    candidates.forEach((server, index) => {
      const load = loadOf(server.id)
      const lead = leadOf(server, load, zone, now)
      const point = ((random + index * goldenRatio) % 1 - 1) / load.weight
      if (reached === undefined) load.turn = point
      // One that was left out for a while does not make up for it: its requests went to others.
      else if (load.turn === undefined || load.turn - lead < reached - connectedLead - 2 / load.weight) load.turn = reached + point + lead
    })
  }

  return {
    copy: () => createServerLoads({ loads, idleShare, reached }),
    figures (id, now) {
      const load = loadOf(id)
      return { inProgress: load.inProgress, serviceMs: load.serviceMs, waitMs: currentWaitMs(load, now), measuredAgeMs: now - load.measuredAt, share: load.weight }
    },
    choose (candidates, zone, random, now) {
      if (candidates.length === 0) return undefined
      updateWeights(candidates, now)
      enterTurn(candidates, zone, random, now)
      let best: BackendServer | undefined
      let bestTurn = Infinity
      for (const server of candidates) {
        const load = loadOf(server.id)
        const next = load.turn! + (1 + load.inProgress) / load.weight - leadOf(server, load, zone, now)
        if (next >= bestTurn) continue
        best = server
        bestTurn = next
      }
      if (best === undefined) return undefined
      const chosen = loadOf(best.id)
      reached = Math.max(reached ?? -Infinity, chosen.turn! - leadOf(best, chosen, zone, now))
      return best
    },
    started (id) {
      const load = loadOf(id)
      load.inProgress += 1
      if (load.turn !== undefined) load.turn += 1 / load.weight
    },
    ended (id) {
      const load = loadOf(id)
      load.inProgress = Math.max(0, load.inProgress - 1)
    },
    measured (id, durationMs, now) {
      const load = loadOf(id)
      load.usedAt = now
      const weight = durationMs < load.serviceMs ? fasterWeight : slowerWeight
      load.serviceMs = load.serviceMs === 0 ? durationMs : load.serviceMs + weight * (durationMs - load.serviceMs)
      const remainingMs = currentWaitMs(load, now)
      load.waitMs = remainingMs + newestWeight * (Math.max(0, durationMs - load.serviceMs) - remainingMs)
      if (now - load.measuredAt < Infinity) load.intervalMs += newestWeight * (now - load.measuredAt - load.intervalMs)
      load.measuredAt = now
    },
    refused (id, now) {
      const load = loadOf(id)
      load.usedAt = now
      load.waitMs = Math.max(currentWaitMs(load, now), load.serviceMs * refusalServiceTimes)
      load.measuredAt = now
    },
    inProgress: id => loads.get(id)?.inProgress ?? 0,
    retain (ids) {
      for (const id of loads.keys()) {
        if (!ids.has(id)) loads.delete(id)
      }
    }
  }
}
