/**
 * Chooses a server of a plain service: the one with the fewest requests of this node in progress,
 * preferably in the node's own zone. Servers whose recent requests failed are left out. The servers
 * have few slots and are shared by nodes that do not see each other's requests.
 */
import type { BackendServer } from './cluster-types'

/** Consecutive failures after which a server is ejected; a single one may be due to its connection. */
const failuresToEject = 2
/** Duration of the first ejection, in ms; it doubles with each further failure. */
const ejectMs = 1000
const maxEjectMs = 8000
/** Time for which a server that refused because it was full is skipped, in ms: about the duration of one request. */
const fullMs = 60
/** Number of requests in progress by which a server of the own zone may exceed one of another zone and still be preferred. */
const zonePreference = 2
/** Weight of the newest duration in the moving average. */
const durationWeight = 0.2
/** Above this multiple of the fastest server's duration, each further multiple counts as one more request in progress. */
const slowFactor = 2
/** Rounds of choices, each of as many as there are servers, for which a slow server is passed over before one request measures it again. */
const roundsToMeasure = 50

export type AttemptOutcome = 'ok' | 'failed' | 'full'

export type ServicePool = {
  /** @param excluded - ids of servers to which this request was already sent */
  choose (servers: readonly BackendServer[], zone: string, excluded: ReadonlySet<string>, random: number, now: number): BackendServer | undefined
  started (id: string): void
  ended (id: string, outcome: AttemptOutcome, durationMs: number, now: number): void
  inProgress (id: string): number
  /** Removes the state of all other servers. */
  retain (ids: ReadonlySet<string>): void
}

/** `passes`: choices in which the server was passed over and counted as slow; `remeasured`: its next duration replaces the average. */
type ServerState = { inProgress: number, failures: number, ejectedUntil: number, fullUntil: number, durationMs: number, passes: number, remeasured: boolean }

export function createServicePool (): ServicePool {
  const states = new Map<string, ServerState>()

  function stateOf (id: string): ServerState {
    const existing = states.get(id)
    if (existing !== undefined) return existing
    const created = { inProgress: 0, failures: 0, ejectedUntil: -Infinity, fullUntil: -Infinity, durationMs: 0, passes: 0, remeasured: false }
    states.set(id, created)
    return created
  }

  function slownessOf (server: BackendServer, fastestMs: number): number {
    const { durationMs } = stateOf(server.id)
    return fastestMs > 0 && durationMs > 0 ? Math.max(0, durationMs / fastestMs - slowFactor) : 0
  }

  /** @returns whether the server's average is so old that it counts as free and fast, for a single request */
  function isMeasurementDue (server: BackendServer, serverCount: number): boolean {
    const { inProgress, passes } = stateOf(server.id)
    return inProgress === 0 && passes >= roundsToMeasure * serverCount
  }

  function effectiveLoad (server: BackendServer, zone: string, slowness: number): number {
    return stateOf(server.id).inProgress + slowness + (server.zone === zone ? 0 : zonePreference)
  }

  function available (servers: readonly BackendServer[], now: number): readonly BackendServer[] {
    const notEjected = servers.filter(({ id }) => stateOf(id).ejectedUntil <= now)
    const notFull = notEjected.filter(({ id }) => stateOf(id).fullUntil <= now)
    if (notFull.length > 0) return notFull
    // If every server is ejected, trying one is better than refusing all requests.
    return notEjected.length > 0 ? notEjected : servers
  }

  function recordChoice (chosen: BackendServer, candidates: readonly BackendServer[], fastestMs: number): void {
    for (const server of candidates) {
      const state = stateOf(server.id)
      if (server === chosen) {
        state.remeasured ||= isMeasurementDue(server, candidates.length)
        state.passes = 0
      } else if (slownessOf(server, fastestMs) > 0) {
        state.passes += 1
      }
    }
  }

  return {
    choose (servers, zone, excluded, random, now) {
      const candidates = available(servers.filter(({ id }) => !excluded.has(id)), now)
      const durations = candidates.map(({ id }) => stateOf(id).durationMs).filter(ms => ms > 0)
      const fastestMs = durations.length > 0 ? Math.min(...durations) : 0
      // The search starts at random, so that nodes with the same state do not all choose the same server.
      const start = Math.floor(random * candidates.length)
      let best: BackendServer | undefined
      let bestLoad = Infinity
      for (let offset = 0; offset < candidates.length; offset++) {
        const server = candidates[(start + offset) % candidates.length]!
        const slowness = isMeasurementDue(server, candidates.length) ? 0 : slownessOf(server, fastestMs)
        const serverLoad = effectiveLoad(server, zone, slowness)
        if (serverLoad < bestLoad) {
          best = server
          bestLoad = serverLoad
        }
      }
      if (best !== undefined) recordChoice(best, candidates, fastestMs)
      return best
    },
    started (id) {
      stateOf(id).inProgress += 1
    },
    ended (id, outcome, durationMs, now) {
      const state = stateOf(id)
      state.inProgress = Math.max(0, state.inProgress - 1)
      if (outcome === 'full') {
        state.fullUntil = now + fullMs
        return
      }
      if (outcome === 'ok') {
        state.failures = 0
        const hasAverage = state.durationMs > 0 && !state.remeasured
        state.remeasured = false
        state.durationMs = hasAverage ? state.durationMs + durationWeight * (durationMs - state.durationMs) : durationMs
        return
      }
      state.failures += 1
      if (state.failures >= failuresToEject) state.ejectedUntil = now + Math.min(maxEjectMs, ejectMs * 2 ** (state.failures - failuresToEject))
    },
    inProgress: id => states.get(id)?.inProgress ?? 0,
    retain (ids) {
      for (const id of states.keys()) {
        if (!ids.has(id)) states.delete(id)
      }
    }
  }
}

/** The pools of all services. */
export type ServicePools = {
  pool (service: string): ServicePool
  retain: ServicePool['retain']
}

export function createServicePools (): ServicePools {
  const pools = new Map<string, ServicePool>()
  return {
    pool (service) {
      const existing = pools.get(service)
      if (existing !== undefined) return existing
      const created = createServicePool()
      pools.set(service, created)
      return created
    },
    retain (ids) {
      for (const pool of pools.values()) pool.retain(ids)
    }
  }
}
