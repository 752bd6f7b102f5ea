/** Choice of the next adapter to load and of the adapter to evict for it. Pure functions of the state. */
import type { TargetFeedback } from './feedback'
import type { PolicyOptions } from './policy-options'
import type { RequestGroup, RequestQueue } from './request-queue'
import type { AdapterReplica, SlotTable } from './slots'
import type { UsageTracker } from './usage'

export type LoadCandidate = { key: string, adapter: string, version: string, urgency: number, patient: boolean }

export type SchedulingContext = {
  queue: RequestQueue
  slots: SlotTable
  usage: UsageTracker
  feedback: TargetFeedback
  options: PolicyOptions
  /** Duration of one load at full speed, in ms. */
  loadMs: number
  /** Whether a class can wait much longer than the most impatient class. */
  isPatient: (className: string) => boolean
  /** Whether loads of the adapter version are suspended after a failure. */
  isBackingOff: (key: string, now: number) => boolean
}

/** Number of requests of one class and adapter that count; more of them would not change the order. */
const maxWeighedRequests = 64
/** Adapters considered for prefetch, by expected use. */
const maxPrefetchCandidates = 32
/** The oracle knows that its prefetches will be used, so they rank directly after waiting requests. */
const oraclePrefetchUrgency = 1e-9

const groupUrgency = (group: RequestGroup, { feedback, loadMs, options }: SchedulingContext, now: number): number => {
  let urgency = 0
  let firstArrivedAt = Infinity
  for (const [name, list] of group.byClass) {
    for (const { request } of list.slice(0, maxWeighedRequests)) {
      urgency += feedback.urgency(name, now - request.arrivedAt)
      firstArrivedAt = Math.min(firstArrivedAt, request.arrivedAt)
    }
  }
  return options.loadOrder === 'weighted' ? urgency * 1000 / loadMs : 1 / (1 + firstArrivedAt)
}

/** @returns adapters to load for waiting requests, most urgent first */
export const loadCandidates = (context: SchedulingContext, now: number): LoadCandidate[] => {
  const candidates: LoadCandidate[] = []
  for (const group of context.queue.groups()) {
    if (context.slots.isLoadedOrLoading(group.key) || context.isBackingOff(group.key, now)) {
      continue
    }
    const { key, adapter, version } = group
    const patient = [...group.byClass.keys()].every(context.isPatient)
    candidates.push({ key, adapter, version, urgency: groupUrgency(group, context, now), patient })
  }
  return candidates.sort((a, b) => b.urgency - a.urgency)
}

/** A replica is pinned while its state changes, requests run on it or wait for it, or another owner may use it. */
export const isPinned = (replica: AdapterReplica, queue: RequestQueue): boolean =>
  replica.state !== 'resident' || replica.running.size > 0 || replica.adopted || replica.hasForeignRequest || queue.group(replica.key) !== undefined

const evictionValue = (replica: AdapterReplica, { usage, options }: SchedulingContext, now: number): number => {
  if (options.eviction === 'lru') {
    return replica.lastUsed
  }
  if (options.eviction === 'next-arrival') {
    return -(options.nextArrival?.(replica.key, now) ?? Infinity)
  }
  return usage.rate(replica.key, now)
}

/** @returns the replicas that may be evicted, least valuable first */
export const evictableReplicas = (context: SchedulingContext, now: number): AdapterReplica[] => {
  const evictable = [...context.slots.all()].filter((replica) => !isPinned(replica, context.queue))
  const value = new Map(evictable.map((replica) => [replica, evictionValue(replica, context, now)]))
  return evictable.sort((a, b) => value.get(a)! - value.get(b)! || a.lastUsed - b.lastUsed)
}

/**
 * @param victim replica that would be evicted for the adapter; undefined when a slot is free
 * @returns an adapter worth loading with a permit that no request needs
 */
export const prefetchCandidate = (context: SchedulingContext, victim: AdapterReplica | undefined, now: number): LoadCandidate | undefined => {
  const { usage, slots, options, isBackingOff } = context
  if (options.prefetch === 'none') {
    return undefined
  }
  const value = (key: string): number => options.prefetch === 'next-arrival'
    ? 1000 / Math.max(1, (options.nextArrival?.(key, now) ?? Infinity) - now)
    : usage.rate(key, now)
  const minValue = victim === undefined ? 0 : value(victim.key) * options.prefetchGain
  const candidates = options.upcoming?.(now) ?? usage.top(maxPrefetchCandidates, now)
  const best = candidates.find((key) => !slots.isLoadedOrLoading(key) && !isBackingOff(key, now) && value(key) > minValue)
  if (best === undefined) {
    return undefined
  }
  const separator = best.lastIndexOf('@')
  return { key: best, adapter: best.slice(0, separator), version: best.slice(separator + 1), urgency: options.upcoming === undefined ? 0 : oraclePrefetchUrgency, patient: true }
}
