/** Variants of the scheduler's decisions, for comparison in the bench. They are not configurable by operators. */

import type { UsageModel } from './usage'

export type PolicyOptions = {
  /** `weighted`: by cost of waiting per unit of load time; `arrival`: first come, first served. */
  loadOrder: 'weighted' | 'arrival'
  /** `next-arrival` needs {@link PolicyOptions.nextArrival}. */
  eviction: 'expected-use' | 'lru' | 'next-arrival'
  prefetch: 'none' | 'expected-use' | 'next-arrival'
  /** `urgency`: by class, then deficit round robin between adapters. */
  dispatchOrder: 'urgency' | 'arrival'
  /** `estimate` refuses requests that would miss their target; `bounds` only those beyond the queue bounds. */
  admission: 'estimate' | 'bounds'
  /** Whether patient classes leave some slots of the batch to impatient ones. */
  reserveBatchSlots: boolean
  /** Share of the adapter slots that patient classes leave to impatient ones. */
  reservedSlotShare: number
  /** Relative growth of a request's urgency per target time waited. */
  ageing: number
  /** How the expected use of an adapter is derived from its past arrivals. */
  usage: UsageModel
  /** An adapter is prefetched only when its expected use is this many times that of the one evicted for it. */
  prefetchGain: number
  /** Time of the next arrival for an adapter version, from an oracle that knows future arrivals. */
  nextArrival?: (key: string, now: number) => number
  /** Adapter versions with arrivals in the near future, from the same oracle, soonest first. */
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

/** The previous version of the policy, for comparison. */
export const previousPolicy: PolicyOptions = { ...currentPolicy, reservedSlotShare: 0.125, ageing: 1 }
