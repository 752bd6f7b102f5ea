/** Clocks and seeded random decisions of the stand-ins. The models read the time and set timers only through a `Clock`. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

/** Time in ms and one-shot timers. */
export interface Clock {
  now (): number
  /** Runs `run` once after `ms`; the returned function cancels it. */
  after (ms: number, run: () => void): () => void
}

/** A clock that advances only through `advance`. Timers due at the same time run in the order they were set. */
export interface VirtualClock extends Clock {
  /** Advances the time by `ms` and runs all timers due within it. */
  advance (ms: number): void
  /** Time of the earliest timer, or undefined without timers. */
  next (): number | undefined
}

type Timer = { due: number, run: () => void, cancelled: boolean }

/** @param startMs - time at which the clock starts */
export function createVirtualClock (startMs = 0): VirtualClock {
  // Sorted by descending due time, so that removing the earliest timer does not shift the others.
  const timers: Timer[] = []
  let time = startMs
  const next = (): number | undefined => {
    while (timers.at(-1)?.cancelled === true) timers.pop()
    return timers.at(-1)?.due
  }
  return {
    now: () => time,
    next,
    after (ms, run) {
      const timer = { due: time + Math.max(0, ms), run, cancelled: false }
      let low = 0
      let high = timers.length
      while (low < high) {
        const middle = (low + high) >> 1
        if (timers[middle]!.due > timer.due) low = middle + 1
        else high = middle
      }
      timers.splice(low, 0, timer)
      return () => { timer.cancelled = true }
    },
    advance (ms) {
      const end = time + ms
      for (let due = next(); due !== undefined && due <= end; due = next()) {
        time = due
        timers.pop()!.run()
      }
      time = end
    }
  }
}

/** The clock of this process. Timers do not keep the process alive. */
export function createRealClock (): Clock {
  return {
    now: () => Date.now(),
    after (ms, run) {
      if (ms <= 0) {
        const immediate = setImmediate(run)
        return () => clearImmediate(immediate)
      }
      const timer = setTimeout(run, ms)
      timer.unref()
      return () => clearTimeout(timer)
    }
  }
}

/** Seeded random decisions of the models. */
export type SeededRandom = {
  /** True with the probability `fraction`. */
  happens (fraction: number): boolean
  /** Integer from `low` to `high`, both included. */
  between (low: number, high: number): number
}

/** @param seed - equal seeds give equal decisions */
export function createSeededRandom (seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed)
  return {
    happens: fraction => fraction > 0 && unsafeUniformIntDistribution(0, 0xfffffff, generator) < fraction * 0x10000000,
    between: (low, high) => unsafeUniformIntDistribution(low, high, generator)
  }
}
