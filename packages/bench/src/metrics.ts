/** Measurements of one run. The definitions are in docs/policy.md. */
import { meetsTarget, waitTargetMs } from '@yuccawharf/serving'
import type { ServingRequest } from '@yuccawharf/serving'
import type { Clock } from './fakes'
import type { WorkClass, Workload } from './workload'

export type ClassResult = {
  requests: number
  attained: number
  refused: number
  stallP50Ms: number
  stallP95Ms: number
  stallP99Ms: number
  stallSeconds: number
  firstTokenP95Ms: number
  longestWaitMs: number
}

export type Sample = { seconds: number, stalled: number, waiting: number, batch: number, loads: number }

export type RunResult = {
  classes: Record<string, ClassResult>
  batchEfficiency: number
  loads: number
  evictions: number
  reloadsWithinMinute: number
  refusals: Record<string, number>
  requeued: number
  unfinished: number
  endSeconds: number
  series: Sample[]
}

type TrackedRequest = {
  request: ServingRequest
  engine: string
  key: string
  state: 'waiting' | 'running' | 'done' | 'refused'
  stallFrom?: number
  stallMs: number
  dispatchedAt?: number
  firstTokenAt?: number
  endedAt?: number
  tokens: number
}

type EngineUsage = { running: number, waiting: number, changedAt: number, busyMs: number, runningMs: number, removedAt: Map<string, number> }

export type Recorder = {
  submitted (request: ServingRequest, engine: string, resident: boolean): void
  dispatched (requestId: string): ServingRequest
  requeued (requestId: string): void
  refused (requestId: string, reason: string): void
  firstToken (requestId: string): void
  ended (engine: string, requestId: string, outcome: string, tokens: number): void
  resident (engine: string, key: string): void
  removed (engine: string, key: string): void
  load (engine: string, key: string): void
  evict (engine: string, handle: string): void
  sample (engine: string): void
  waitingOn (engines: string[]): ServingRequest[]
  isComplete (requests: number): boolean
  result (): RunResult
}

/** A refused request counts as stalled for at least the waiting target of its class, limited to this time. */
const maxRefusalChargeMs = 60_000
const reloadWindowMs = 60_000
const sampleMs = 10_000

const percentile = (sorted: number[], share: number): number =>
  sorted.length === 0 ? 0 : sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1)]!

const rounded = (value: number): number => Math.round(value * 1000) / 1000

const classResult = (cfg: WorkClass, list: TrackedRequest[], end: number): ClassResult => {
  const charge = Math.min(maxRefusalChargeMs, waitTargetMs(cfg))
  const stalls = list.map(({ state, stallMs }) => state === 'refused' ? Math.max(stallMs, charge) : stallMs).sort((a, b) => a - b)
  const firstTokenTimes = list.flatMap(({ firstTokenAt, request }) => firstTokenAt === undefined ? [] : [firstTokenAt - request.arrivedAt]).sort((a, b) => a - b)
  const attained = list.filter(({ state, request, firstTokenAt, endedAt, tokens }) => state === 'done' && meetsTarget(cfg, {
    firstTokenMs: firstTokenAt === undefined ? undefined : firstTokenAt - request.arrivedAt,
    finishMs: endedAt! - request.arrivedAt,
    tokens
  }))
  return {
    requests: list.length,
    attained: rounded(attained.length / Math.max(1, list.length)),
    refused: list.filter(({ state }) => state === 'refused').length,
    stallP50Ms: Math.round(percentile(stalls, 0.5)),
    stallP95Ms: Math.round(percentile(stalls, 0.95)),
    stallP99Ms: Math.round(percentile(stalls, 0.99)),
    stallSeconds: rounded(stalls.reduce((sum, value) => sum + value, 0) / 1000),
    firstTokenP95Ms: Math.round(percentile(firstTokenTimes, 0.95)),
    longestWaitMs: Math.round(list.reduce((longest, { dispatchedAt, endedAt, request }) => Math.max(longest, (dispatchedAt ?? endedAt ?? end) - request.arrivedAt), 0))
  }
}

export const createRecorder = (workload: Workload, clock: Clock, engines: string[]): Recorder => {
  const tracked = new Map<string, TrackedRequest>()
  const waiting = new Map<string, Set<TrackedRequest>>(engines.map((engine) => [engine, new Set()]))
  const usage = new Map<string, EngineUsage>(engines.map((engine) => [engine, { running: 0, waiting: 0, changedAt: 0, busyMs: 0, runningMs: 0, removedAt: new Map() }]))
  const refusals: Record<string, number> = {}
  const samples = new Map<number, Sample>()
  const warmupMs = workload.warmupSeconds * 1000
  let finished = 0
  let loads = 0
  let evictions = 0
  let reloads = 0
  let requeued = 0

  /** Adds the time since the last change to the engine's totals, then applies the deltas. */
  const account = (engine: string, runningDelta: number, waitingDelta: number): void => {
    const entry = usage.get(engine)!
    const elapsed = Math.max(0, clock.now() - Math.max(warmupMs, entry.changedAt))
    if (entry.running > 0 || entry.waiting > 0) {
      entry.busyMs += elapsed
      entry.runningMs += elapsed * Math.min(entry.running, workload.servers.batchSize)
    }
    entry.changedAt = clock.now()
    entry.running += runningDelta
    entry.waiting += waitingDelta
  }

  const currentSample = (): Sample => {
    const seconds = Math.floor(clock.now() / sampleMs) * sampleMs / 1000
    const sample = samples.get(seconds) ?? { seconds, stalled: 0, waiting: 0, batch: 0, loads: 0 }
    samples.set(seconds, sample)
    return sample
  }

  const closeStall = (entry: TrackedRequest): void => {
    if (entry.stallFrom !== undefined) {
      entry.stallMs += clock.now() - entry.stallFrom
      entry.stallFrom = undefined
    }
  }

  const startWaiting = (entry: TrackedRequest, resident: boolean): void => {
    entry.state = 'waiting'
    entry.stallFrom = resident ? undefined : clock.now()
    waiting.get(entry.engine)!.add(entry)
    account(entry.engine, 0, 1)
  }

  const stopWaiting = (entry: TrackedRequest, running: number): void => {
    closeStall(entry)
    waiting.get(entry.engine)!.delete(entry)
    account(entry.engine, running, -1)
  }

  const finish = (entry: TrackedRequest, state: 'done' | 'refused'): void => {
    if (entry.state === 'done' || entry.state === 'refused') {
      throw new Error(`${entry.request.requestId} finished twice`)
    }
    entry.state = state
    entry.endedAt = clock.now()
    finished += 1
  }

  const residentCounts = new Map<string, Map<string, number>>(engines.map((engine) => [engine, new Map()]))

  return {
    submitted (request, engine, resident) {
      const existing = tracked.get(request.requestId)
      if (existing !== undefined) {
        stopWaiting(existing, 0)
      }
      const entry = existing ?? { request, engine, key: `${request.adapter}@${request.version}`, state: 'waiting', stallMs: 0, tokens: 0 }
      entry.engine = engine
      tracked.set(request.requestId, entry)
      startWaiting(entry, resident)
    },
    dispatched (requestId) {
      const entry = tracked.get(requestId)!
      stopWaiting(entry, 1)
      entry.state = 'running'
      entry.dispatchedAt = clock.now()
      return entry.request
    },
    requeued (requestId) {
      const entry = tracked.get(requestId)!
      requeued += 1
      startWaiting(entry, (residentCounts.get(entry.engine)!.get(entry.key) ?? 0) > 0)
    },
    refused (requestId, reason) {
      const entry = tracked.get(requestId)!
      if (entry.state === 'waiting') {
        stopWaiting(entry, 0)
      }
      finish(entry, 'refused')
      refusals[reason] = (refusals[reason] ?? 0) + 1
    },
    firstToken (requestId) {
      tracked.get(requestId)!.firstTokenAt ??= clock.now()
    },
    ended (engine, requestId, outcome, tokens) {
      const entry = tracked.get(requestId)!
      account(engine, -1, 0)
      if (outcome === 'done') {
        entry.tokens = tokens
        finish(entry, 'done')
      } else if (outcome === 'broken' && tokens > 0) {
        // The caller has received part of the response, so the request is not retried and misses its target.
        finish(entry, 'refused')
        refusals['broken-by-restart'] = (refusals['broken-by-restart'] ?? 0) + 1
      }
    },
    resident (engine, key) {
      const counts = residentCounts.get(engine)!
      counts.set(key, (counts.get(key) ?? 0) + 1)
      for (const entry of waiting.get(engine)!) {
        if (entry.key === key) {
          closeStall(entry)
        }
      }
    },
    removed (engine, key) {
      const counts = residentCounts.get(engine)!
      counts.set(key, (counts.get(key) ?? 1) - 1)
      usage.get(engine)!.removedAt.set(key, clock.now())
      for (const entry of counts.get(key) === 0 ? waiting.get(engine)! : []) {
        if (entry.key === key) {
          entry.stallFrom ??= clock.now()
        }
      }
    },
    load (engine, key) {
      const removedAt = usage.get(engine)!.removedAt.get(key)
      currentSample().loads += 1
      if (clock.now() >= warmupMs) {
        loads += 1
        reloads += removedAt !== undefined && clock.now() - removedAt < reloadWindowMs ? 1 : 0
      }
    },
    evict () {
      evictions += clock.now() >= warmupMs ? 1 : 0
    },
    sample (engine) {
      const list = [...waiting.get(engine)!]
      const sample = currentSample()
      sample.waiting += list.length
      sample.stalled += list.filter(({ stallFrom }) => stallFrom !== undefined).length
      sample.batch += usage.get(engine)!.running / workload.servers.batchSize / engines.length
    },
    waitingOn: (names) => names.flatMap((name) => [...waiting.get(name)!].map(({ request }) => request)),
    isComplete: (requests) => finished >= requests,
    result () {
      engines.forEach((engine) => account(engine, 0, 0))
      const list = [...tracked.values()].filter(({ request }) => request.arrivedAt >= warmupMs)
      const totals = [...usage.values()]
      const busy = totals.reduce((sum, { busyMs }) => sum + busyMs, 0)
      return {
        classes: Object.fromEntries(workload.class.map((cfg) => [cfg.name, classResult(cfg, list.filter(({ request }) => request.class === cfg.name), clock.now())])),
        batchEfficiency: rounded(totals.reduce((sum, { runningMs }) => sum + runningMs, 0) / Math.max(1, busy * workload.servers.batchSize)),
        loads,
        evictions,
        reloadsWithinMinute: reloads,
        refusals,
        requeued,
        unfinished: tracked.size - finished,
        endSeconds: Math.round(clock.now() / 1000),
        series: [...samples.values()].sort((a, b) => a.seconds - b.seconds).map((sample) => ({ ...sample, batch: rounded(sample.batch) }))
      }
    }
  }
}
