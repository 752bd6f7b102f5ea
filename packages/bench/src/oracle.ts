/** Oracle of the future arrivals, for the reference policy. */
import { adapterKey, rendezvousRank } from '@yuccawharf/serving'
import type { PolicyOptions, ServingRequest } from '@yuccawharf/serving'

export type Oracle = { forEngine (engine: string): Pick<PolicyOptions, 'nextArrival' | 'upcoming'> }

/** How far ahead the reference policy looks for adapters to prefetch. */
const lookAheadMs = 20_000

const firstAfter = (times: number[], now: number): number => {
  let low = 0
  let high = times.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (times[middle]! <= now) {
      low = middle + 1
    } else {
      high = middle
    }
  }
  return low
}

/** @param arrivals in order of time */
export const createOracle = (arrivals: ServingRequest[], engines: string[]): Oracle => {
  const timesOf = new Map<string, number[]>()
  const preferredEngines = new Map<string, string>()
  const byEngine = new Map<string, { at: number, key: string }[]>(engines.map((engine) => [engine, []]))

  for (const { adapter, version, arrivedAt } of arrivals) {
    const key = adapterKey(adapter, version)
    const preferred = preferredEngines.get(adapter) ?? rendezvousRank(adapter, engines)[0]!
    preferredEngines.set(adapter, preferred)
    const times = timesOf.get(key) ?? []
    times.push(arrivedAt)
    timesOf.set(key, times)
    byEngine.get(preferred)!.push({ at: arrivedAt, key })
  }

  return {
    forEngine (engine) {
      const engineArrivals = byEngine.get(engine)!
      const engineTimes = engineArrivals.map(({ at }) => at)
      return {
        nextArrival (key, now) {
          const times = timesOf.get(key) ?? []
          return times[firstAfter(times, now)] ?? Infinity
        },
        upcoming: (now) => engineArrivals.slice(firstAfter(engineTimes, now), firstAfter(engineTimes, now + lookAheadMs)).map(({ key }) => key)
      }
    }
  }
}
