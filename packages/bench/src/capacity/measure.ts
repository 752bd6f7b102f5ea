/** Timing and heap measurements of one process. */

const heapUsedAfterGc = (): number => {
  if (globalThis.gc === undefined) throw new Error('run with node --expose-gc, otherwise heap figures include garbage')
  globalThis.gc()
  return process.memoryUsage().heapUsed
}

/** @returns the created value and the heap bytes that it retains */
export function measureHeap<T> (create: () => T): { bytes: number, value: T } {
  const before = heapUsedAfterGc()
  const value = create()
  return { bytes: heapUsedAfterGc() - before, value }
}

/**
 * @param run - called `rounds` times after one warm-up call
 * @returns the median processor time of one call, in microseconds
 */
export function medianMicros (rounds: number, run: (round: number) => void): number {
  run(-1)
  const times: number[] = []
  for (let round = 0; round < rounds; round++) {
    const start = process.hrtime.bigint()
    run(round)
    times.push(Number(process.hrtime.bigint() - start) / 1000)
  }
  times.sort((left, right) => left - right)
  return times[Math.floor(times.length / 2)]!
}
