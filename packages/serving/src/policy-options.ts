/** Variants of the scheduler's decisions. Operators do not see them: they serve comparison in the bench. */

import type { UsageModel } from './usage'

export type PolicyOptions = {
  /** `weighted`: cost of waiting per unit of load time; `arrival`: first come first served. */
  loadOrder: 'weighted' | 'arrival'
  /** `next-arrival` needs {@link PolicyOptions.nextArrival}. */
  eviction: 'expected-use' | 'lru' | 'next-arrival'
  prefetch: 'none' | 'expected-use' | 'next-arrival'
  /** `urgency`: by class, then deficit round robin between adapters. */
  dispatchOrder: 'urgency' | 'arrival'
  /** `estimate` refuses requests that would miss their target; `bounds` only those beyond the queue bounds. */
  admission: 'estimate' | 'bounds'
  /** Whether patient classes leave batch places for impatient ones. */
  reserveBatchSlots: boolean
  /** Share of the adapter slots that patient classes leave to impatient ones. */
  reservedSlotShare: number
  /** Growth of a request's urgency per target time waited. */
  ageing: number
  /** How the expected use of an adapter follows from its past. */
  usage: UsageModel
  /** A prefetched adapter must be expected this many times as often as the one evicted for it. */
  prefetchGain: number
  /** Time of the next arrival for an adapter version, from a reference that knows the future. */
  nextArrival?: (key: string, now: number) => number
  /** Adapter versions with arrivals in the near future, from the same reference, soonest first. */
  upcoming?: (now: number) => string[]
}

/** The product's policy. */
export const currentPolicy: PolicyOptions = {
  loadOrder: 'weighted',
  eviction: 'expected-use',
  prefetch: 'expected-use',
  dispatchOrder: 'urgency',
  admission: 'estimate',
  reserveBatchSlots: true,
  reservedSlotShare: 0.25,
  ageing: 0.25,
  usage: { recency: 0, idleAware: true },
  prefetchGain: 4
}

/** The policy of the previous committed version, for comparison. */
export const previousPolicy: PolicyOptions = { ...currentPolicy, reservedSlotShare: 0.125, ageing: 1 }
