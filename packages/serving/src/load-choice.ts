/** Choice of the next adapter to load and of the adapter to evict for it. Pure functions of the state. */
import type { TargetFeedback } from './feedback'
import type { PolicyOptions } from './policy-options'
import type { Group, RequestQueue } from './request-queue'
import type { Slot, SlotTable } from './slots'
import type { Usage } from './usage'

export type LoadCandidate = { key: string, adapter: string, version: string, urgency: number, patient: boolean }

export type ChoiceContext = {
  queue: RequestQueue
  slots: SlotTable
  usage: Usage
  feedback: TargetFeedback
  options: PolicyOptions
  /** ms of one load at full speed */
  loadMs: number
  /** Whether a class can wait much longer than the most impatient class. */
  isPatient: (className: string) => boolean
  /** Whether loads of the adapter version are held back after a failure. */
  isHeldBack: (key: string, now: number) => boolean
}

/** Requests of one class and adapter that are looked at; more of them would not change the order. */
const maxWeighed = 64
/** Adapters considered for prefetch, by expected use. */
const prefetchLookup = 32
/** The reference is sure of its prefetches, so they only stand behind waiting requests. */
const knownUrgency = 1e-9

const groupUrgency = (group: Group, { feedback, loadMs, options }: ChoiceContext, now: number): number => {
  let urgency = 0
  let first = Infinity
  for (const [name, list] of group.byClass) {
    for (const { request } of list.slice(0, maxWeighed)) {
      urgency += feedback.urgency(name, now - request.arrivedAt)
      first = Math.min(first, request.arrivedAt)
    }
  }
  return options.loadOrder === 'weighted' ? urgency * 1000 / loadMs : 1 / (1 + first)
}

/** @returns what should be loaded for waiting requests, most urgent first */
export const loadCandidates = (context: ChoiceContext, now: number): LoadCandidate[] => {
  const candidates: LoadCandidate[] = []
  for (const group of context.queue.groups()) {
    if (context.slots.present(group.key) || context.isHeldBack(group.key, now)) {
      continue
    }
    const { key, adapter, version } = group
    const patient = [...group.byClass.keys()].every(context.isPatient)
    candidates.push({ key, adapter, version, urgency: groupUrgency(group, context, now), patient })
  }
  return candidates.sort((a, b) => b.urgency - a.urgency)
}

/** A handle that is running, dispatched, queued for, or possibly used by a predecessor is pinned. */
export const isPinned = (slot: Slot, queue: RequestQueue): boolean =>
  slot.state !== 'resident' || slot.running.size > 0 || slot.adopted || slot.foreign || queue.group(slot.key) !== undefined

const evictionValue = (slot: Slot, { usage, options }: ChoiceContext, now: number): number => {
  if (options.eviction === 'lru') {
    return slot.lastUsed
  }
  if (options.eviction === 'next-arrival') {
    return -(options.nextArrival?.(slot.key, now) ?? Infinity)
  }
  return usage.rate(slot.key, now)
}

/** @returns the slots that may be evicted, least valuable first */
export const evictableSlots = (context: ChoiceContext, now: number): Slot[] => {
  const free = [...context.slots.all()].filter((slot) => !isPinned(slot, context.queue))
  const value = new Map(free.map((slot) => [slot, evictionValue(slot, context, now)]))
  return free.sort((a, b) => value.get(a)! - value.get(b)! || a.lastUsed - b.lastUsed)
}

/** @returns an adapter worth loading on an idle permit, given the slot that it would replace */
export const prefetchCandidate = (context: ChoiceContext, victim: Slot | undefined, now: number): LoadCandidate | undefined => {
  const { usage, slots, options, isHeldBack } = context
  if (options.prefetch === 'none') {
    return undefined
  }
  const value = (key: string): number => options.prefetch === 'next-arrival'
    ? 1000 / Math.max(1, (options.nextArrival?.(key, now) ?? Infinity) - now)
    : usage.rate(key, now)
  const floor = victim === undefined ? 0 : value(victim.key) * options.prefetchGain
  const known = options.upcoming?.(now) ?? usage.top(prefetchLookup, now)
  const best = known.find((key) => !slots.present(key) && !isHeldBack(key, now) && value(key) > floor)
  if (best === undefined) {
    return undefined
  }
  const at = best.lastIndexOf('@')
  return { key: best, adapter: best.slice(0, at), version: best.slice(at + 1), urgency: options.upcoming === undefined ? 0 : knownUrgency, patient: true }
}
