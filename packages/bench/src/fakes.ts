/** Virtual clock, and simulated weight store and engines of the policy benchmark. */
import type { EngineCommandResult, EngineReport } from '@yuccawharf/clients'
import type { PrefixCacheEvent, ServingRequest } from '@yuccawharf/serving'
import type { Random } from './arrivals'
import type { Workload } from './workload'

export type Clock = {
  now (): number
  after (ms: number, run: () => void): void
  /** Runs scheduled functions until none is left, `until` is reached or `done` returns true. */
  run (until: number, done: () => boolean): void
}

type Scheduled = { at: number, order: number, run: () => void }

const before = (a: Scheduled, b: Scheduled): boolean => a.at < b.at || (a.at === b.at && a.order < b.order)

/** A binary heap ordered by time, then by order of scheduling. */
export const createClock = (): Clock => {
  const heap: Scheduled[] = []
  let now = 0
  let counter = 0

  const push = (entry: Scheduled): void => {
    let index = heap.push(entry) - 1
    while (index > 0 && before(entry, heap[(index - 1) >> 1]!)) {
      heap[index] = heap[(index - 1) >> 1]!
      index = (index - 1) >> 1
    }
    heap[index] = entry
  }

  const pop = (): Scheduled => {
    const top = heap[0]!
    const last = heap.pop()!
    if (heap.length === 0) {
      return top
    }
    let index = 0
    while (true) {
      let child = index * 2 + 1
      if (child >= heap.length) {
        break
      }
      child += child + 1 < heap.length && before(heap[child + 1]!, heap[child]!) ? 1 : 0
      if (!before(heap[child]!, last)) {
        break
      }
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = last
    return top
  }

  return {
    now: () => now,
    after (ms, run) {
      counter += 1
      push({ at: now + ms, order: counter, run })
    },
    run (until, done) {
      while (heap.length > 0 && heap[0]!.at <= until && !done()) {
        const { at, run } = pop()
        now = at
        run()
      }
    }
  }
}

export type LoadEffect = 'ok' | 'fails' | 'lost' | 'hangs'

export type FakeStore = { load (done: (effect: LoadEffect) => void): void }

export const createStore = (workload: Workload, clock: Clock, random: Random): FakeStore => {
  const { loadMs, loadsPerSecond, inFlight } = workload.store
  let activeLoads = 0
  let nextStart = 0

  const faultValue = (type: string): number => workload.fault
    .filter((entry) => entry.type === type && clock.now() >= entry.atSeconds * 1000 && clock.now() < (entry.atSeconds + (entry.forSeconds ?? 0)) * 1000)
    .reduce((value, entry) => Math.max(value, entry.value ?? 1), 0)

  const drawEffect = (): LoadEffect => {
    const value = random()
    const failing = faultValue('load-fails')
    const lost = failing + faultValue('load-lost')
    return value < failing ? 'fails' : value < lost ? 'lost' : value < lost + faultValue('load-hangs') ? 'hangs' : 'ok'
  }

  return {
    load (done) {
      // The loads of up to one second may start at once; further loads queue at the store.
      nextStart = Math.max(nextStart, clock.now() - 1000) + 1000 / loadsPerSecond
      activeLoads += 1
      const duration = loadMs * Math.max(1, activeLoads / inFlight, faultValue('store-slow'))
      clock.after(Math.max(0, nextStart - clock.now()) + duration, () => {
        activeLoads -= 1
        done(drawEffect())
      })
    }
  }
}

export type EngineEvents = {
  resident (key: string): void
  removed (key: string): void
  firstToken (requestId: string, handle: string): void
  ended (requestId: string, handle: string, outcome: 'done' | 'not-run' | 'broken', tokens: number, reason?: string): void
  cache (incarnation: number, events: PrefixCacheEvent[]): void
}

export type FakeEngine = {
  load (handle: string, key: string, done: (result: EngineCommandResult) => void): void
  unload (handle: string, done: (result: EngineCommandResult) => void): void
  dispatch (request: ServingRequest, handle: string, priority: number): void
  restart (): void
  report (): EngineReport
  isResident (key: string): boolean
  readonly running: number
}

type Work = { request: ServingRequest, handle: string, priority: number, order: number, tokens: number, stopped: boolean }

/** Time after which the caller of a command with a lost response gets `unknown`. */
const lostResponseTimeoutMs = 5_000
/** Fraction of the cache events that are lost. */
const cacheGapFraction = 0.05
/** Fraction of a prompt's tokens that a cached prefix saves. */
const cachedPromptFraction = 0.7

export const createEngine = (engine: string, workload: Workload, clock: Clock, store: FakeStore, random: Random, events: EngineEvents): FakeEngine => {
  const { slots, batchSize, prefillTokensPerSecond, tokenMs, tokenMsPerRequest, prefixes } = workload.servers
  const resident = new Map<string, string>()
  const reserved = new Set<string>()
  const running = new Map<string, Work>()
  const cached = new Map<string, true>()
  let queue: Work[] = []
  let incarnation = 1
  let counter = 0
  let cacheSeq = 0

  const publish = (type: PrefixCacheEvent['type'], prefix: string): void => {
    cacheSeq += 1
    const event = { seq: cacheSeq, type, prefix }
    const startIncarnation = incarnation
    if (random() >= cacheGapFraction) {
      clock.after(1_000, () => events.cache(startIncarnation, [event]))
    }
  }

  const uncachedTokens = ({ prefix = '', promptTokens }: ServingRequest): number => {
    const hit = cached.delete(prefix)
    cached.set(prefix, true)
    if (!hit) {
      publish('stored', prefix)
    }
    if (cached.size > prefixes) {
      const oldest = cached.keys().next().value!
      cached.delete(oldest)
      publish('removed', oldest)
    }
    return hit ? promptTokens * (1 - cachedPromptFraction) : promptTokens
  }

  const finish = (work: Work): void => {
    running.delete(work.request.requestId)
    events.ended(work.request.requestId, work.handle, 'done', work.tokens)
    fillBatch()
  }

  const start = (work: Work): void => {
    const { requestId, maxTokens } = work.request
    running.set(requestId, work)
    const prefill = uncachedTokens(work.request) / prefillTokensPerSecond * 1000
    const perToken = tokenMs + tokenMsPerRequest * running.size
    clock.after(prefill + perToken, () => {
      if (!work.stopped) {
        work.tokens = 1
        events.firstToken(requestId, work.handle)
      }
    })
    clock.after(prefill + perToken * maxTokens, () => {
      if (!work.stopped) {
        work.tokens = maxTokens
        finish(work)
      }
    })
  }

  const fillBatch = (): void => {
    while (running.size < batchSize && queue.length > 0) {
      queue.sort((a, b) => a.priority - b.priority || a.order - b.order)
      start(queue.shift()!)
    }
  }

  const runningAndQueued = (): Work[] => [...running.values(), ...queue]

  const finishLoad = (handle: string, key: string, effect: LoadEffect, done: (result: EngineCommandResult) => void): void => {
    reserved.delete(handle)
    if (effect === 'fails') {
      done({ type: 'refused', reason: 'weight store failed' })
    } else if (effect !== 'hangs') {
      resident.set(handle, key)
      events.resident(key)
      clock.after(effect === 'lost' ? lostResponseTimeoutMs : 0, () => done(effect === 'lost' ? { type: 'unknown', reason: 'timeout' } : { type: 'ok' }))
    }
  }

  return {
    load (handle, key, done) {
      if (resident.size + reserved.size >= slots) {
        done({ type: 'refused', reason: 'no free slot' })
        return
      }
      reserved.add(handle)
      const startIncarnation = incarnation
      store.load((effect) => {
        if (startIncarnation === incarnation) {
          finishLoad(handle, key, effect, done)
        } else {
          done({ type: 'refused', reason: 'engine restarted' })
        }
      })
    },
    unload (handle, done) {
      if (runningAndQueued().some((work) => work.handle === handle)) {
        throw new Error(`${handle} was evicted from ${engine} while in use`)
      }
      const key = resident.get(handle)
      if (key !== undefined && resident.delete(handle)) {
        events.removed(key)
      }
      done({ type: 'ok' })
    },
    dispatch (request, handle, priority) {
      const key = resident.get(handle)
      if (key === undefined) {
        events.ended(request.requestId, handle, 'not-run', 0, 'model_not_found')
        return
      }
      if (key !== `${request.adapter}@${request.version}`) {
        throw new Error(`${request.requestId} for ${request.adapter}@${request.version} was sent to ${handle}`)
      }
      counter += 1
      queue.push({ request, handle, priority, order: counter, tokens: 0, stopped: false })
      fillBatch()
    },
    restart () {
      const lost = runningAndQueued()
      const keys = [...resident.values()]
      incarnation += 1
      cacheSeq = 0
      resident.clear()
      reserved.clear()
      running.clear()
      cached.clear()
      queue = []
      keys.forEach(events.removed)
      for (const work of lost) {
        work.stopped = true
        events.ended(work.request.requestId, work.handle, 'broken', work.tokens)
      }
    },
    report: () => ({
      engine,
      incarnation,
      baseModel: 'base',
      slots,
      batchSize,
      resident: [...resident].map(([handle, key]) => ({ handle, adapter: key.split('@')[0]!, version: key.split('@')[1]! })),
      running: runningAndQueued().map(({ request, handle, tokens }) => ({ requestId: request.requestId, handle, seq: tokens })),
      queued: queue.length,
      takenAt: clock.now()
    }),
    isResident: (key) => [...resident.values()].includes(key),
    get running () {
      return running.size
    }
  }
}
