/** Use statistics of adapters: exponentially decayed arrival rates over two horizons. */

export type UsageTracker = {
  record (key: string, now: number): void
  /** Expected arrivals per second. */
  rate (key: string, now: number): number
  /** ms since the last arrival; Infinity when there was none. */
  idleMs (key: string, now: number): number
  /** Keys with the highest expected rates, highest first. */
  top (count: number, now: number): string[]
  size (): number
}

export type UsageModel = {
  /** Weight of the short horizon in the expected rate, from 0 to 1. */
  recency: number
  /** Whether the expected rate of an adapter falls when it is idle for much longer than its mean gap. */
  idleAware: boolean
}

/** The ranking by expected use is sorted again after this time, because sorting it in each step takes a tenth of the time of a bench run. */
const topTtlMs = 1_000

type Entry = { short: number, long: number, at: number }

/** The short horizon follows a surge, the long one preserves the rates before it. */
const shortHorizonMs = 60_000
const longHorizonMs = 900_000
/** With Poisson arrivals, one gap in 20 is longer than 3 mean gaps. */
const usualGaps = 3

const decayed = (entry: Entry, now: number): Entry => {
  const elapsed = Math.max(0, now - entry.at)
  return {
    short: entry.short * Math.exp(-elapsed / shortHorizonMs),
    long: entry.long * Math.exp(-elapsed / longHorizonMs),
    at: now
  }
}

/** @param maxEntries bound of the table; beyond it, the keys idle for longest are evicted */
export const createUsageTracker = (maxEntries: number, { recency, idleAware }: UsageModel): UsageTracker => {
  const rateOf = (entry: Entry, now: number): number => {
    const { short, long } = decayed(entry, now)
    const rate = recency * short / shortHorizonMs + (1 - recency) * long / longHorizonMs
    const excessGaps = idleAware ? Math.max(0, rate * (now - entry.at) - usualGaps) : 0
    return 1000 * rate * Math.exp(-excessGaps)
  }

  // Keys are in order of last use, so the first one has been idle for longest.
  const entries = new Map<string, Entry>()
  let topKeys: string[] = []
  let topSortedAt = -Infinity

  return {
    record (key, now) {
      const entry = decayed(entries.get(key) ?? { short: 0, long: 0, at: now }, now)
      entry.short += 1
      entry.long += 1
      entries.delete(key)
      entries.set(key, entry)
      if (entries.size > maxEntries) {
        entries.delete(entries.keys().next().value!)
      }
    },
    rate (key, now) {
      const entry = entries.get(key)
      return entry === undefined ? 0 : rateOf(entry, now)
    },
    idleMs (key, now) {
      const entry = entries.get(key)
      return entry === undefined ? Infinity : now - entry.at
    },
    top (count, now) {
      if (now < topSortedAt + topTtlMs) {
        return topKeys.slice(0, count)
      }
      const rated = [...entries].map(([key, entry]) => ({ key, rate: rateOf(entry, now) }))
      rated.sort((a, b) => b.rate - a.rate)
      topKeys = rated.map(({ key }) => key)
      topSortedAt = now
      return topKeys.slice(0, count)
    },
    size: () => entries.size
  }
}
