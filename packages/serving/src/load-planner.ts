/** Permits, loads and evictions of one engine: turns waiting requests into engine commands. */
import type { EngineCommandResult } from '@yuccawharf/clients'
import { formatHandle } from './handles'
import { invariant } from './invariant'
import { evictableReplicas, isPinned, loadCandidates, prefetchCandidate } from './load-choice'
import type { SchedulingContext, LoadCandidate } from './load-choice'
import type { SchedulerAction, SchedulerConfig } from './messages'
import type { AdapterReplica } from './slots'

export type LoadPlanner = {
  plan (now: number): SchedulerAction[]
  permitGranted (permitId: string, expiresAt: number, now: number): SchedulerAction[]
  permitDenied (retryAfterMs: number, now: number): void
  loadFinished (handle: string, result: EngineCommandResult, now: number): SchedulerAction[]
  unloadFinished (handle: string, result: EngineCommandResult, now: number): void
  /** Handles commands that timed out and permits that expired. */
  expire (now: number): SchedulerAction[]
  /** Returns the permits of loads that a restart of the engine ended. */
  abandon (gone: AdapterReplica[]): SchedulerAction[]
  isBackingOff (key: string, now: number): boolean
  /** Current duration of a load, in ms: the configured one unless recent loads took longer. */
  loadTimeMs (now: number): number
  /** Smoothed time between two granted permits while loads are waiting, in ms. */
  permitIntervalMs (): number
}

type HeldPermit = { permitId: string, expiresAt: number }

/** A permit request is repeated after this time, because it or its reply may be lost. */
const permitRequestRetryMs = 1_000
/** A load times out after this many times its duration at full speed. */
const loadTimeoutFactor = 20
const minLoadTimeoutMs = 5_000
/** An unload that is not confirmed in this time is sent again; unloads are idempotent. */
const unloadRetryMs = 2_000
const firstBackoffMs = 500
const maxBackoffMs = 30_000
/** A pending permit request is repeated early when its urgency grew by this factor. */
const urgencyStep = 1.25
/** Weight of one interval in the smoothed time between permits. */
const smoothingFactor = 0.1
/** Half-life of the measured slowdown of loads, so that a recovered weight store is used again. */
const slowdownHalfLifeMs = 10_000

/** @param random uniform in [0, 1) */
export const createLoadPlanner = (cfg: SchedulerConfig, context: SchedulingContext, random: () => number): LoadPlanner => {
  const { slots, queue, options } = context
  const loadTimeoutMs = Math.max(minLoadTimeoutMs, cfg.loadMs * loadTimeoutFactor)
  const heldPermits: HeldPermit[] = []
  const failures = new Map<string, { count: number, until: number }>()
  let counter = 0
  let pendingRequest: { at: number, urgency: number } | undefined
  let nextRequestAt = 0
  let fenced = false
  let lastGrantAt: number | undefined
  let grantIntervalMs = cfg.loadMs
  let slowdownMs = 0
  let slowdownAt = 0

  const countUnloading = (): number => [...slots.all()].filter(({ state }) => state === 'unloading').length
  const countFreeSlots = (): number => Math.max(0, cfg.slots - slots.usedSlots)

  /** Patient requests leave some slots to impatient ones, because they occupy a slot for a long time. */
  const mayTakeSlot = (candidate: LoadCandidate, spare: number): boolean =>
    !candidate.patient || spare > Math.floor(cfg.slots * options.reservedSlotShare)

  const firstFitting = (candidates: LoadCandidate[], spare: number): LoadCandidate | undefined =>
    candidates.find((candidate) => mayTakeSlot(candidate, spare))

  const nextLoad = (now: number): { candidate: LoadCandidate, victim?: AdapterReplica } | undefined => {
    const victims = evictableReplicas(context, now)
    const spare = countFreeSlots() + victims.length
    const candidate = firstFitting(loadCandidates(context, now), spare) ??
      prefetchCandidate(context, countFreeSlots() > 0 ? undefined : victims[0], now)
    return candidate === undefined || spare + countUnloading() === 0 ? undefined : { candidate, victim: victims[0] }
  }

  const load = ({ adapter, version }: LoadCandidate, permitId: string, now: number): SchedulerAction => {
    invariant(slots.usedSlots < cfg.slots, `load on ${cfg.engine} without a free slot`)
    counter += 1
    const handle = formatHandle(adapter, version, cfg.term, counter)
    const replica = slots.add({ handle, adapter, version }, 'loading', now)
    replica.permitId = permitId
    return { type: 'load', handle, adapter, version, permitId }
  }

  const evict = (replica: AdapterReplica, now: number): SchedulerAction => {
    invariant(!isPinned(replica, queue), `eviction of pinned ${replica.handle} on ${cfg.engine}`)
    slots.setState(replica, 'unloading', now)
    return { type: 'unload', handle: replica.handle }
  }

  const releasePermit = (replica: AdapterReplica): SchedulerAction[] => {
    const { permitId } = replica
    replica.permitId = undefined
    return permitId === undefined ? [] : [{ type: 'release-permit', permitId }]
  }

  const backOff = (key: string, now: number): void => {
    const count = (failures.get(key)?.count ?? 0) + 1
    const limit = Math.min(maxBackoffMs, firstBackoffMs * 2 ** count)
    failures.set(key, { count, until: now + limit * random() })
  }

  /** Starts a load for each granted permit; evicts replicas when no slot is free. */
  const spendPermits = (now: number): SchedulerAction[] => {
    const actions: SchedulerAction[] = []
    while (heldPermits.length > 0) {
      const next = nextLoad(now)
      if (next === undefined) {
        const { permitId } = heldPermits.shift()!
        actions.push({ type: 'release-permit', permitId, unused: true })
      } else if (countFreeSlots() > 0) {
        actions.push(load(next.candidate, heldPermits.shift()!.permitId, now))
      } else if (next.victim !== undefined && countUnloading() < heldPermits.length) {
        actions.push(evict(next.victim, now))
      } else {
        break
      }
    }
    return actions
  }

  const requestPermit = (now: number): SchedulerAction[] => {
    if (heldPermits.length > 0 || now < nextRequestAt || fenced) {
      return []
    }
    const urgency = nextLoad(now)?.candidate.urgency
    if (urgency === undefined) {
      pendingRequest = undefined
      return []
    }
    if (pendingRequest !== undefined && now < pendingRequest.at + permitRequestRetryMs && urgency < pendingRequest.urgency * urgencyStep) {
      return []
    }
    pendingRequest = { at: now, urgency }
    return [{ type: 'request-permit', urgency }]
  }

  const currentSlowdownMs = (now: number): number => slowdownMs * 0.5 ** ((now - slowdownAt) / slowdownHalfLifeMs)

  const recordLoadTime = (durationMs: number, now: number): void => {
    const slowdown = currentSlowdownMs(now)
    slowdownMs = Math.max(0, slowdown + (durationMs - cfg.loadMs - slowdown) * 0.3)
    slowdownAt = now
  }

  const recordGrant = (now: number): void => {
    if (lastGrantAt !== undefined && pendingRequest !== undefined && pendingRequest.urgency > 0) {
      grantIntervalMs += smoothingFactor * (Math.min(10_000, now - lastGrantAt) - grantIntervalMs)
    }
    lastGrantAt = now
  }

  return {
    plan (now) {
      return fenced ? [] : [...spendPermits(now), ...requestPermit(now)]
    },
    permitGranted (permitId, expiresAt, now) {
      recordGrant(now)
      pendingRequest = undefined
      if (fenced || expiresAt <= now || heldPermits.some((other) => other.permitId === permitId)) {
        return []
      }
      heldPermits.push({ permitId, expiresAt })
      return []
    },
    permitDenied (retryAfterMs, now) {
      pendingRequest = undefined
      nextRequestAt = now + retryAfterMs
    },
    loadFinished (handle, result, now) {
      const replica = slots.get(handle)
      if (replica === undefined) {
        return []
      }
      const actions = releasePermit(replica)
      if (replica.state !== 'loading' && replica.state !== 'uncertain') {
        return actions
      }
      if (result.type === 'ok') {
        recordLoadTime(now - replica.since, now)
        slots.setState(replica, 'resident', now)
        failures.delete(replica.key)
      } else if (result.type === 'unknown') {
        slots.setState(replica, 'uncertain', now)
        backOff(replica.key, now)
      } else {
        slots.remove(handle, now)
        backOff(replica.key, now)
        fenced ||= result.type === 'stale-fence'
      }
      return actions
    },
    unloadFinished (handle, result, now) {
      const replica = slots.get(handle)
      if (replica === undefined || replica.state !== 'unloading') {
        return
      }
      if (result.type === 'ok') {
        slots.remove(handle, now)
      } else if (result.type !== 'unknown') {
        // The unload had no effect. After an unknown result it may still take effect, so the state stays.
        slots.setState(replica, 'resident', now)
        fenced ||= result.type === 'stale-fence'
      }
    },
    expire (now) {
      const actions: SchedulerAction[] = []
      for (const replica of slots.all()) {
        if (replica.state === 'loading' && now >= replica.since + loadTimeoutMs) {
          recordLoadTime(now - replica.since, now)
          slots.setState(replica, 'uncertain', now)
          backOff(replica.key, now)
          actions.push(...releasePermit(replica))
        }
        if (replica.state === 'unloading' && now >= replica.since + unloadRetryMs && !fenced) {
          replica.since = now
          actions.push({ type: 'unload', handle: replica.handle })
        }
      }
      while (heldPermits.length > 0 && heldPermits[0]!.expiresAt <= now) {
        actions.push({ type: 'release-permit', permitId: heldPermits.shift()!.permitId, unused: true })
      }
      return actions
    },
    abandon: (gone) => gone.flatMap(releasePermit),
    isBackingOff: (key, now) => now < (failures.get(key)?.until ?? 0),
    loadTimeMs: (now) => cfg.loadMs + currentSlowdownMs(now),
    permitIntervalMs: () => grantIntervalMs
  }
}
