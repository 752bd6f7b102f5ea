/**
 * Learns how many loads from the weight store one owner may have in progress. The store serves a number
 * of loads at full speed that it does not state; beyond it, all loads take longer in proportion. Each
 * owner observes its own loads only: longer durations show that all owners together exceed the number.
 */

export type LoadLimit = {
  /** Number of concurrent loads allowed to this owner. */
  value (): number
  /** Scales the limit to the number of engines that this owner has. */
  setEngines (engines: number): void
  /** The limit has delayed a load, so a higher one would be used. */
  reached (): void
  /** @param durationMs - upper bound of the load's duration: time until the first request for the adapter was accepted */
  loaded (durationMs: number): void
}

/** Initial number of concurrent loads per engine: low, so that the first durations show those of a store without congestion. */
const initialLoadsPerEngine = 0.5
const minInitialLoads = 2
/** Number of concurrent loads that an engine accepts, warm ones included. */
export const maxLoadsPerEngine = 4
const minSamples = 4
/** Quantile of the durations that counts: higher ones contain time in which no request was ready to test the load. */
const durationQuantile = 0.25
/** Durations above this multiple of the shortest ones show that the store is overloaded. */
const congestedFactor = 1.2
/** Reduction after an overload: to less than the store's capacity, so that the shortest duration is observed again. */
const decreaseFactor = 0.75
/** Growth of the shortest duration for each group of samples, so that it follows a store that has become slower. */
const shortestGrowthFactor = 1.005

export function createLoadLimit (): LoadLimit {
  let engineCount = 0
  let limit = minInitialLoads
  let shortestMs = Infinity
  let limitReached = false
  let durations: number[] = []

  function adjust (durationMs: number): void {
    shortestMs = Math.min(shortestMs * shortestGrowthFactor, durationMs)
    if (durationMs > shortestMs * congestedFactor) limit *= decreaseFactor
    else if (limitReached) limit += 1
    limit = Math.min(Math.max(1, limit), engineCount * maxLoadsPerEngine)
    limitReached = false
  }

  return {
    value: () => Math.max(1, Math.floor(limit)),
    setEngines (engines) {
      if (engines === engineCount || engines === 0) return
      limit = engineCount === 0 ? Math.max(minInitialLoads, engines * initialLoadsPerEngine) : limit * engines / engineCount
      engineCount = engines
    },
    reached () {
      limitReached = true
    },
    loaded (durationMs) {
      durations.push(durationMs)
      if (durations.length < Math.max(minSamples, limit)) return
      const sorted = durations.sort((left, right) => left - right)
      durations = []
      adjust(sorted[Math.floor(sorted.length * durationQuantile)]!)
    }
  }
}
