/** The policies that the benchmark compares. All use the same queue bounds, permits, weight store and engines. */
import { currentPolicy, previousPolicy } from '@yuccawharf/serving'
import type { PolicyOptions, RouterConfig } from '@yuccawharf/serving'

export type BenchPolicy = {
  options: PolicyOptions
  routing: NonNullable<RouterConfig['mode']>
  /** Whether the permit issuer reserves a permit for urgent loads. */
  reservePermits: boolean
  /** Whether the schedulers get the future arrivals from the oracle. */
  usesOracle: boolean
}

const lru: PolicyOptions = {
  ...currentPolicy,
  loadOrder: 'arrival',
  eviction: 'lru',
  prefetch: 'none',
  dispatchOrder: 'arrival',
  admission: 'bounds',
  reserveBatchSlots: false,
  reservedSlotShare: 0
}

export const policies: Record<string, BenchPolicy> = {
  'fcfs-lru': { options: lru, routing: 'least-loaded', reservePermits: false, usesOracle: false },
  'affinity-lru': { options: lru, routing: 'affinity', reservePermits: false, usesOracle: false },
  previous: { options: previousPolicy, routing: 'bounded', reservePermits: true, usesOracle: false },
  current: { options: currentPolicy, routing: 'bounded', reservePermits: true, usesOracle: false },
  'known-arrivals': { options: { ...currentPolicy, eviction: 'next-arrival', prefetch: 'next-arrival' }, routing: 'bounded', reservePermits: true, usesOracle: true }
}
