/**
 * Detects that the process was suspended: the monotonic clock stops during a suspension, the wall clock
 * does not. A step of the wall clock looks the same and costs one extra read of the log.
 */
export type SuspensionDetector = {
  /** @returns how far the clocks have diverged since the last call, in ms, or 0 if it is within the tolerance for drift */
  check (): number
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
