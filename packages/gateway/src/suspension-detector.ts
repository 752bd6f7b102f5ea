/**
 * Notices that the process stood still: the steady clock leaves out that time, the time of day does
 * not. A jump of the time of day looks the same and costs one extra read of the log.
 */
export type SuspensionDetector = {
  /** @returns by how much the clocks moved apart since the last call, in ms, or 0 when it may be drift */
  check (): number
}

/** Difference that clocks may show without a suspension, in ms. */
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
