/**
 * Plays nodes in front of a plain service in virtual time, without a network: servers with slots and a
 * queue, slow periods, connections that hold a slot for a moment, and delays between zones.
 */
import { createRetryBudget, type RetryBudget } from '@yuccawharf/coordination'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { BackendServer } from '../cluster-types'
import type { AttemptOutcome, ServicePool } from '../service-pool'

/** `from`, `until`: the time in which the server exists, in ms; `restartAt`: it loses its requests and is empty, in ms. */
export type ModelServer = { zone: string, speed?: number, from?: number, until?: number, restartAt?: number }

export type PlainLoadCase = {
  nodes: number
  servers: readonly ModelServer[]
  /** Zones of the nodes, with their share of all nodes. */
  zones: Readonly<Record<string, number>>
  requestsPerSecond: number
  serviceMs: number
  dueMs: number
  /** Factor of the load in the middle third of the play. */
  burst?: number
  /** Servers run 2.5 times slower for 15 % of the time, in periods of 0.6 s. */
  slowPeriods?: boolean
  /** Delay of what a node learns from a response, in ms. */
  measurementAgeMs?: number
  seconds?: number
}

export type PlainLoadResult = {
  /** Mean over seconds of the largest number of requests that a server got for its speed, over the mean of all servers. */
  largestOverMean: number
  /** Share of seconds in which a server refused a request for want of room while another had a free slot. */
  needlessRefusals: number
  /** Share of requests that waited in a queue while another server had a free slot. */
  needlessWaits: number
  served: number
  onTime: number
  firstTry: number
  /** Share of requests sent over a new connection, and to another zone. */
  newConnections: number
  crossZone: number
  /** Requests sent to servers per request of a caller. */
  sendings: number
}

const slots = 6
const queueLength = 24
const sameZoneMs = 1
const crossZoneMs = 4
/** Time for which an unused connection stays open, as in upstream.ts, in ms. */
const idleMs = 3500
/** Time for which a new connection holds a slot, in ms. */
const connectHoldMs = 5
const attempts = 3

type Work = { remainingMs: number, respond (outcome: AttemptOutcome): void }

type ServerState = { info: BackendServer, model: ModelServer, running: number, queue: Work[], epoch: number, received: number, slowUntil: number, nextSlowAt: number }

function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => unsafeUniformIntDistribution(0, 0xfffffff, generator) / 0x10000000
}

export function playPlainLoad (load: PlainLoadCase, createPool: () => ServicePool, seed: number): PlainLoadResult {
  // Separate sequences, so that arrivals and durations are the same for each way of choosing.
  const [random, randomChoice, randomSlowness] = [seed, seed + 1000, seed + 2000].map(createRandom) as [() => number, () => number, () => number]
  const seconds = load.seconds ?? 90
  const heap: Array<{ at: number, order: number, run (): void }> = []
  let order = 0
  let now = 0

  function after (delayMs: number, run: () => void): void {
    const entry = { at: now + delayMs, order: order++, run }
    let low = 0
    let high = heap.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (heap[middle]!.at > entry.at || (heap[middle]!.at === entry.at && heap[middle]!.order > entry.order)) low = middle + 1
      else high = middle
    }
    heap.splice(low, 0, entry)
  }

  const servers: ServerState[] = load.servers.map((model, index) => ({
    info: { id: `s${index}`, bornAt: 1, service: 'svc', address: `s${index}`, zone: model.zone, state: 'ready', slots, models: [] },
    model,
    running: 0,
    queue: [],
    epoch: 0,
    received: 0,
    slowUntil: -Infinity,
    nextSlowAt: load.slowPeriods === true ? randomSlowness() * 4000 : Infinity
  }))
  const exists = ({ model }: ServerState): boolean => now >= (model.from ?? -Infinity) && now < (model.until ?? Infinity)
  const hasFreeSlotBeside = (server: ServerState): boolean => servers.some(other => other !== server && exists(other) && other.running < slots)

  const names = Object.entries(load.zones).flatMap(([zone, share]) => Array.from({ length: Math.round(share * load.nodes) }, () => zone))
  const nodes = Array.from({ length: load.nodes }, (_, index) => ({ zone: names[index] ?? names[0]!, pool: createPool(), budget: createRetryBudget({ ratio: 0.1, burst: 3 }) as RetryBudget, lastUse: new Map<string, number>() }))

  const total = { requests: 0, served: 0, onTime: 0, firstTry: 0, sent: 0, opened: 0, crossZone: 0, needlessWaits: 0 }
  let secondsWithNeedlessRefusal = 0
  let needlessRefusal = false
  let sumOfRatios = 0

  /** @returns factor of the duration of a request that starts now */
  function slowness (server: ServerState): number {
    if (now >= server.nextSlowAt) {
      server.slowUntil = server.nextSlowAt + 600
      // 0.6 s of every 4 s on average.
      server.nextSlowAt += 600 + randomSlowness() * 6800
    }
    return (now < server.slowUntil ? 2.5 : 1) / (server.model.speed ?? 1)
  }

  function startNext (server: ServerState): void {
    while (server.running < slots && server.queue.length > 0) {
      const work = server.queue.shift()!
      const { epoch } = server
      server.running += 1
      after(work.remainingMs * slowness(server), () => {
        if (epoch !== server.epoch) return
        server.running -= 1
        work.respond('ok')
        startNext(server)
      })
    }
  }

  function receive (server: ServerState, remainingMs: number, respond: (outcome: AttemptOutcome) => void): void {
    if (!exists(server)) return respond('failed')
    server.received += 1
    if (server.running >= slots && server.queue.length >= queueLength) {
      needlessRefusal ||= hasFreeSlotBeside(server)
      return respond('full')
    }
    if (server.running >= slots && hasFreeSlotBeside(server)) total.needlessWaits += 1
    server.queue.push({ remainingMs, respond })
    startNext(server)
  }

  function request (): void {
    const node = nodes[Math.floor(random() * nodes.length)]!
    const arrivedAt = now
    const serviceMs = load.serviceMs * (0.6 + 0.8 * random())
    const sentTo = new Set<string>()
    total.requests += 1
    node.budget.recordAttempt()
    const send = (): void => {
      const info = node.pool.choose(servers.filter(exists).map(server => server.info), node.zone, sentTo, randomChoice(), now)
      if (info === undefined) return
      const server = servers.find(other => other.info === info)!
      const isFirst = sentTo.size === 0
      const isNew = now - (node.lastUse.get(info.id) ?? -Infinity) > idleMs
      const delayMs = info.zone === node.zone ? sameZoneMs : crossZoneMs
      const startedAt = now
      sentTo.add(info.id)
      node.pool.started(info.id, now)
      node.lastUse.set(info.id, now)
      total.sent += 1
      if (isNew) total.opened += 1
      if (info.zone !== node.zone) total.crossZone += 1
      after(delayMs * (isNew ? 3 : 1), () => {
        receive(server, serviceMs + (isNew ? connectHoldMs : 0), outcome => {
          after(delayMs, () => {
            const durationMs = now - startedAt
            node.lastUse.set(info.id, now)
            const endedAt = now
            const learn = (): void => { node.pool.ended(info.id, outcome, durationMs, endedAt) }
            if (load.measurementAgeMs === undefined) learn()
            else after(load.measurementAgeMs, learn)
            if (outcome === 'ok') {
              total.served += 1
              if (isFirst) total.firstTry += 1
              if (now - arrivedAt <= load.dueMs) total.onTime += 1
            } else if (sentTo.size < attempts && now - arrivedAt < load.dueMs && node.budget.tryTake()) {
              send()
            }
          })
        })
      })
    }
    send()
  }

  function scheduleArrival (): void {
    const inBurst = now >= seconds * 1000 / 3 && now < seconds * 2000 / 3
    const rate = load.requestsPerSecond * (inBurst ? load.burst ?? 1 : 1)
    after(-Math.log(1 - random()) * 1000 / rate, () => {
      if (now >= seconds * 1000) return
      request()
      scheduleArrival()
    })
  }

  function endSecond (): void {
    const present = servers.filter(exists)
    const speedOf = ({ model }: ServerState): number => model.speed ?? 1
    const mean = present.reduce((sum, { received }) => sum + received, 0) / present.reduce((sum, server) => sum + speedOf(server), 0)
    if (mean > 0) sumOfRatios += Math.max(...present.map(server => server.received / speedOf(server))) / mean
    for (const server of servers) server.received = 0
    if (needlessRefusal) secondsWithNeedlessRefusal += 1
    needlessRefusal = false
    if (now < seconds * 1000) after(1000, endSecond)
  }

  for (const server of servers) {
    if (server.model.restartAt === undefined) continue
    after(server.model.restartAt, () => {
      const lost = server.queue
      server.epoch += 1
      server.running = 0
      server.queue = []
      for (const work of lost) work.respond('failed')
    })
  }
  scheduleArrival()
  after(1000, endSecond)
  while (heap.length > 0) {
    const entry = heap.pop()!
    now = entry.at
    entry.run()
  }
  const share = (count: number): number => count / total.requests
  return { largestOverMean: sumOfRatios / seconds, needlessRefusals: secondsWithNeedlessRefusal / seconds, needlessWaits: share(total.needlessWaits), served: share(total.served), onTime: share(total.onTime), firstTry: share(total.firstTry), newConnections: total.opened / total.sent, crossZone: total.crossZone / total.sent, sendings: share(total.sent) }
}

/** @returns means over plays with the seeds from 1 to `seeds` */
export function meanOfPlays (load: PlainLoadCase, createPool: () => ServicePool, seeds: number): PlainLoadResult {
  const plays = Array.from({ length: seeds }, (_, index) => playPlainLoad(load, createPool, index + 1))
  const mean = (key: keyof PlainLoadResult): number => plays.reduce((sum, play) => sum + play[key], 0) / seeds
  return { largestOverMean: mean('largestOverMean'), needlessRefusals: mean('needlessRefusals'), needlessWaits: mean('needlessWaits'), served: mean('served'), onTime: mean('onTime'), firstTry: mean('firstTry'), newConnections: mean('newConnections'), crossZone: mean('crossZone'), sendings: mean('sendings') }
}
