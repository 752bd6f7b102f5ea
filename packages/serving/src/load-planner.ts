/** Permits, loads and evictions of one engine: turns waiting requests into engine commands. */
import type { EngineCommandResult } from '@yuccawharf/clients'
import { formatHandle } from './handles'
import { invariant } from './invariant'
import { evictableSlots, isPinned, loadCandidates, prefetchCandidate } from './load-choice'
import type { ChoiceContext, LoadCandidate } from './load-choice'
import type { SchedulerAction, SchedulerConfig } from './messages'
import type { Slot } from './slots'

export type LoadPlanner = {
  plan (now: number): SchedulerAction[]
  permit (permitId: string, expiresAt: number, now: number): SchedulerAction[]
  denied (retryAfterMs: number, now: number): void
  loadResult (handle: string, result: EngineCommandResult, now: number): SchedulerAction[]
  unloadResult (handle: string, result: EngineCommandResult, now: number): void
  /** Commands that did not return and permits that expired. */
  expire (now: number): SchedulerAction[]
  /** Gives back the permits of loads that a restart of the engine ended. */
  abandon (gone: Slot[]): SchedulerAction[]
  isHeldBack (key: string, now: number): boolean
  /** Time that a load takes at present, in ms: the stated time unless recent loads took longer. */
  loadTimeMs (now: number): number
  /** Smoothed time between two permits while loads are waiting, in ms. */
  permitIntervalMs (): number
}

type Held = { permitId: string, expiresAt: number }

/** A permit request is repeated after this time, because it or its answer may be lost. */
const renewMs = 1_000
/** A load that takes this many times the stated time is given up. */
const loadTimeoutFactor = 20
const minLoadTimeoutMs = 5_000
/** An unload that has not been confirmed is sent again; it is idempotent. */
const unloadRetryMs = 2_000
const firstBackOffMs = 500
const maxBackOffMs = 30_000
/** A waiting permit request is updated when its urgency grew by this factor. */
const urgencyStep = 1.25
const smoothing = 0.1
/** Slow loads are half forgotten after this time, so that a recovered weight store is tried again. */
const slowHalfLifeMs = 10_000

/**
 * @param random uniform in [0, 1)
 */
export const createLoadPlanner = (cfg: SchedulerConfig, context: ChoiceContext, random: () => number): LoadPlanner => {
  const { slots, queue, options } = context
  const loadTimeoutMs = Math.max(minLoadTimeoutMs, cfg.loadMs * loadTimeoutFactor)
  const held: Held[] = []
  const failures = new Map<string, { count: number, until: number }>()
  let counter = 0
  let asked: { at: number, urgency: number } | undefined
  let askNotBefore = 0
  let fenced = false
  let lastGrant: number | undefined
  let interval = cfg.loadMs
  let extraMs = 0
  let extraAt = 0

  const unloading = (): number => [...slots.all()].filter(({ state }) => state === 'unloading').length
  const freeSlots = (): number => Math.max(0, cfg.slots - slots.used)

  /** Patient work leaves some slots to impatient work, because it occupies a slot for long. */
  const mayTakeSlot = (candidate: LoadCandidate, spare: number): boolean =>
    !candidate.patient || spare > Math.floor(cfg.slots * options.reservedSlotShare)

  const firstFitting = (candidates: LoadCandidate[], spare: number): LoadCandidate | undefined =>
    candidates.find((candidate) => mayTakeSlot(candidate, spare))

  const wanted = (now: number): { candidate: LoadCandidate, victim?: Slot } | undefined => {
    const victims = evictableSlots(context, now)
    const spare = freeSlots() + victims.length
    const candidate = firstFitting(loadCandidates(context, now), spare) ??
      prefetchCandidate(context, freeSlots() > 0 ? undefined : victims[0], now)
    return candidate === undefined || spare + unloading() === 0 ? undefined : { candidate, victim: victims[0] }
  }

  const load = ({ adapter, version }: LoadCandidate, permitId: string, now: number): SchedulerAction => {
    invariant(slots.used < cfg.slots, `load on ${cfg.engine} without a free slot`)
    counter += 1
    const handle = formatHandle(adapter, version, cfg.term, counter)
    const slot = slots.add({ handle, adapter, version }, 'loading', now)
    slot.permitId = permitId
    return { type: 'load', handle, adapter, version, permitId }
  }

  const evict = (slot: Slot, now: number): SchedulerAction => {
    invariant(!isPinned(slot, queue), `eviction of pinned ${slot.handle} on ${cfg.engine}`)
    slots.setState(slot, 'unloading', now)
    return { type: 'unload', handle: slot.handle }
  }

  const release = (slot: Slot): SchedulerAction[] => {
    const { permitId } = slot
    slot.permitId = undefined
    return permitId === undefined ? [] : [{ type: 'release-permit', permitId }]
  }

  const backOff = (key: string, now: number): void => {
    const count = (failures.get(key)?.count ?? 0) + 1
    const limit = Math.min(maxBackOffMs, firstBackOffMs * 2 ** count)
    failures.set(key, { count, until: now + limit * random() })
  }

  /** Spends the held permits; frees slots for them when there are none. */
  const spend = (now: number): SchedulerAction[] => {
    const actions: SchedulerAction[] = []
    while (held.length > 0) {
      const next = wanted(now)
      if (next === undefined) {
        const { permitId } = held.shift()!
        actions.push({ type: 'release-permit', permitId, unused: true })
      } else if (freeSlots() > 0) {
        actions.push(load(next.candidate, held.shift()!.permitId, now))
      } else if (next.victim !== undefined && unloading() < held.length) {
        actions.push(evict(next.victim, now))
      } else {
        break
      }
    }
    return actions
  }

  const ask = (now: number): SchedulerAction[] => {
    if (held.length > 0 || now < askNotBefore || fenced) {
      return []
    }
    const urgency = wanted(now)?.candidate.urgency
    if (urgency === undefined) {
      asked = undefined
      return []
    }
    if (asked !== undefined && now < asked.at + renewMs && urgency < asked.urgency * urgencyStep) {
      return []
    }
    asked = { at: now, urgency }
    return [{ type: 'request-permit', urgency }]
  }

  const extraNow = (now: number): number => extraMs * 0.5 ** ((now - extraAt) / slowHalfLifeMs)

  const noteLoadTime = (durationMs: number, now: number): void => {
    const extra = extraNow(now)
    extraMs = Math.max(0, extra + (durationMs - cfg.loadMs - extra) * 0.3)
    extraAt = now
  }

  const noteGrant = (now: number): void => {
    if (lastGrant !== undefined && asked !== undefined && asked.urgency > 0) {
      interval += smoothing * (Math.min(10_000, now - lastGrant) - interval)
    }
    lastGrant = now
  }

  return {
    plan (now) {
      return fenced ? [] : [...spend(now), ...ask(now)]
    },
    permit (permitId, expiresAt, now) {
      noteGrant(now)
      asked = undefined
      if (fenced || expiresAt <= now || held.some((other) => other.permitId === permitId)) {
        return []
      }
      held.push({ permitId, expiresAt })
      return []
    },
    denied (retryAfterMs, now) {
      asked = undefined
      askNotBefore = now + retryAfterMs
    },
    loadResult (handle, result, now) {
      const slot = slots.get(handle)
      if (slot === undefined) {
        return []
      }
      const actions = release(slot)
      if (slot.state !== 'loading' && slot.state !== 'uncertain') {
        return actions
      }
      if (result.type === 'ok') {
        noteLoadTime(now - slot.since, now)
        slots.setState(slot, 'resident', now)
        failures.delete(slot.key)
      } else if (result.type === 'unknown') {
        slots.setState(slot, 'uncertain', now)
        backOff(slot.key, now)
      } else {
        slots.remove(handle, now)
        backOff(slot.key, now)
        fenced ||= result.type === 'stale-fence'
      }
      return actions
    },
    unloadResult (handle, result, now) {
      const slot = slots.get(handle)
      if (slot === undefined || slot.state !== 'unloading') {
        return
      }
      if (result.type === 'ok') {
        slots.remove(handle, now)
      } else if (result.type !== 'unknown') {
        // Proved to have had no effect. An unknown result keeps the state: the unload may still arrive.
        slots.setState(slot, 'resident', now)
        fenced ||= result.type === 'stale-fence'
      }
    },
    expire (now) {
      const actions: SchedulerAction[] = []
      for (const slot of slots.all()) {
        if (slot.state === 'loading' && now >= slot.since + loadTimeoutMs) {
          noteLoadTime(now - slot.since, now)
          slots.setState(slot, 'uncertain', now)
          backOff(slot.key, now)
          actions.push(...release(slot))
        }
        if (slot.state === 'unloading' && now >= slot.since + unloadRetryMs && !fenced) {
          slot.since = now
          actions.push({ type: 'unload', handle: slot.handle })
        }
      }
      while (held.length > 0 && held[0]!.expiresAt <= now) {
        actions.push({ type: 'release-permit', permitId: held.shift()!.permitId, unused: true })
      }
      return actions
    },
    abandon: (gone) => gone.flatMap(release),
    isHeldBack: (key, now) => now < (failures.get(key)?.until ?? 0),
    loadTimeMs: (now) => cfg.loadMs + extraNow(now),
    permitIntervalMs: () => interval
  }
}
