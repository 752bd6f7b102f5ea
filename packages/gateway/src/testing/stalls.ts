/** Times in which the process of a test could not run, because the machine was busy or its own work took the thread. */
export type Stalls = {
  /** @returns time without a turn of the event loop between two times of `performance.now()`, in ms */
  within (from: number, to: number): number
  stop (): void
}

const tickMs = 10
/** Delay of a timer that is no stall, in ms. */
const usualDelayMs = 10

export function recordStalls (): Stalls {
  const stalls: { from: number, to: number }[] = []
  let lastAt = performance.now()
  const timer = setInterval(() => {
    const at = performance.now()
    if (at - lastAt > tickMs + usualDelayMs) stalls.push({ from: lastAt + tickMs, to: at })
    lastAt = at
  }, tickMs)
  return {
    within: (from, to) => stalls.reduce((sum, stall) => sum + Math.max(0, Math.min(to, stall.to) - Math.max(from, stall.from)), 0),
    stop () { clearInterval(timer) }
  }
}
