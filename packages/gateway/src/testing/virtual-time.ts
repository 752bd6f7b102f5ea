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
  let timers: { at: number, callback: () => void }[] = []

  async function settle (): Promise<void> {
    for (let turn = 0; turn < settleTurns; turn++) await Promise.resolve()
  }

  return {
    now: () => nowMs,
    after (delayMs, callback) { timers.push({ at: nowMs + delayMs, callback }) },
    async pass (ms) {
      await settle()
      for (const end = nowMs + ms; ;) {
        const next = timers.filter(({ at }) => at <= end).sort((left, right) => left.at - right.at)[0]
        if (next === undefined) {
          nowMs = end
          return
        }
        timers = timers.filter(timer => timer !== next)
        nowMs = Math.max(nowMs, next.at)
        next.callback()
        await settle()
      }
    }
  }
}
