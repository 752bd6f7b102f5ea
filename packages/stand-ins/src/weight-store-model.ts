/** Simulated weight store: fetches share a bounded throughput. */
import type { Clock } from './clock'

export type WeightResult = { type: 'ok', bytes: number } | { type: 'missing' } | { type: 'failed', reason: string }

export type WeightStoreModelOptions = {
  clock: Clock
  /** Duration of one fetch while at most `fullSpeedFetches` are in flight, in ms. */
  fetchMs?: number
  fullSpeedFetches?: number
  /** Size in bytes of a version, or undefined when it does not exist. */
  sizeOf?: (adapter: string, version: string) => number | undefined
}

export type WeightStoreModel = {
  describe (adapter: string, version: string): WeightResult
  /** Transfers the weights to an engine. */
  fetch (adapter: string, version: string, done: (result: WeightResult) => void): void
  inFlight (): number
  /** Fails new fetches and those in flight. */
  setOutage (down: boolean): void
  /** Multiplies the duration of fetches. */
  setSlowdown (factor: number): void
}

type Fetch = { work: number, finish: (result: WeightResult) => void, result: WeightResult }

export function createWeightStoreModel (options: WeightStoreModelOptions): WeightStoreModel {
  const { clock, fetchMs = 250, fullSpeedFetches = 8, sizeOf: catalogue = () => 50_000_000 } = options
  let down = false
  let slowness = 1
  let fetches: Fetch[] = []
  let progressAt = clock.now()
  let cancelTimer = (): void => {}

  const describe = (adapter: string, version: string): WeightResult => {
    if (down) return { type: 'failed', reason: 'weight store outage' }
    const bytes = catalogue(adapter, version)
    return bytes === undefined ? { type: 'missing' } : { type: 'ok', bytes }
  }

  // All fetches in flight progress at the same rate: full speed up to `fullSpeedFetches`, an equal share of that throughput beyond it.
  const rate = (): number => Math.min(1, fullSpeedFetches / Math.max(1, fetches.length)) / slowness

  const progress = (): void => {
    const workDone = (clock.now() - progressAt) * rate()
    progressAt = clock.now()
    for (const fetch of fetches) fetch.work -= workDone
  }

  const schedule = (): void => {
    cancelTimer()
    if (fetches.length === 0) return
    const least = Math.min(...fetches.map(fetch => fetch.work))
    cancelTimer = clock.after(Math.max(0, least / rate()), complete)
  }

  const complete = (): void => {
    progress()
    // Real timers fire up to a millisecond early or late; remaining work below 0.01 ms counts as complete.
    const finished = fetches.filter(fetch => fetch.work < 0.01)
    fetches = fetches.filter(fetch => fetch.work >= 0.01)
    schedule()
    for (const fetch of finished) fetch.finish(fetch.result)
  }

  return {
    describe,
    fetch (adapter, version, done) {
      const result = describe(adapter, version)
      if (result.type !== 'ok') {
        clock.after(1, () => done(result))
        return
      }
      progress()
      fetches.push({ work: fetchMs, finish: done, result })
      schedule()
    },
    inFlight: () => fetches.length,
    setOutage (value) {
      down = value
      if (!down) return
      const failed = fetches
      fetches = []
      schedule()
      for (const fetch of failed) fetch.finish({ type: 'failed', reason: 'weight store outage' })
    },
    setSlowdown (factor) {
      progress()
      slowness = factor
      schedule()
    }
  }
}
