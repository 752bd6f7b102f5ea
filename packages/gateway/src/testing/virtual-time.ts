/** Virtual time for tests of asynchronous code: callbacks run in order while time passes. */

export type VirtualTime = {
  now (): number
  after (delayMs: number, callback: () => void): void
  /** Lets time pass; promises settle before each callback and at the end. */
  pass (ms: number): Promise<void>
}

/** Turns of the microtask queue in which the promises of a step settle. */
const settleTurns = 20

export function createVirtualTime (startMs: number): VirtualTime {
  let nowMs = startMs
  /** By time, and by order of creation for the same time. */
  const timers: { at: number, callback: () => void }[] = []

  async function settle (): Promise<void> {
    for (let turn = 0; turn < settleTurns; turn++) await Promise.resolve()
  }

  return {
    now: () => nowMs,
    after (delayMs, callback) {
      const at = nowMs + delayMs
      let low = 0
      for (let high = timers.length; low < high;) {
        const middle = (low + high) >>> 1
        if (timers[middle]!.at <= at) low = middle + 1
        else high = middle
      }
      timers.splice(low, 0, { at, callback })
    },
    async pass (ms) {
      await settle()
      for (const end = nowMs + ms; ;) {
        const next = timers[0]
        if (next === undefined || next.at > end) {
          nowMs = end
          return
        }
        timers.shift()
        nowMs = Math.max(nowMs, next.at)
        next.callback()
        await settle()
      }
    }
  }
}
