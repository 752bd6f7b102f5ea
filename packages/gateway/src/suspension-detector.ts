import type { Suspensions } from './dated-fact'

/**
 * Detects that the process was suspended: the monotonic clock stops during a suspension, the wall clock
 * does not. A step of the wall clock looks the same and costs one extra read of the log.
 */
export type SuspensionDetector = {
  /** @returns how far the clocks have diverged since the last call, in ms, or 0 if it is within the tolerance for drift */
  check (): number
}

/** Clock whose every reading makes a suspension known to all facts before they are read. */
export type FactClock = Suspensions & {
  /** Monotonic time in ms. */
  now (): number
  /** @param listener - called with the divergence of the clocks in ms, before `now` returns */
  onSuspension (listener: (gapMs: number) => void): void
}

/** Divergence that clocks may show without a suspension, in ms. */
const toleranceMs = 250

export function createSuspensionDetector (clocks: { now (): number, wallClock (): number }): SuspensionDetector {
  let offset = clocks.wallClock() - clocks.now()
  return {
    check () {
      const current = clocks.wallClock() - clocks.now()
      const gap = Math.abs(current - offset)
      offset = current
      return gap > toleranceMs ? gap : 0
    }
  }
}

export function createFactClock (clocks: { now (): number, wallClock (): number }): FactClock {
  const detector = createSuspensionDetector(clocks)
  const listeners: ((gapMs: number) => void)[] = []
  let endedAt = -Infinity

  function check (): void {
    const gapMs = detector.check()
    if (gapMs === 0) return
    endedAt = clocks.now()
    for (const listener of listeners) listener(gapMs)
  }

  return {
    now () {
      check()
      return clocks.now()
    },
    endedAt () {
      check()
      return endedAt
    },
    onSuspension (listener) {
      listeners.push(listener)
    }
  }
}
