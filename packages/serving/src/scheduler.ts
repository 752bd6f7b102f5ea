/**
 * Scheduler of one engine at its owner: admission, queue, choice of loads and evictions, dispatch.
 * A state machine without I/O. Every submitted request ends exactly once: by a `refuse` action or by an
 * `ended` event that is not followed by `requeued`.
 */
import type { EngineReport } from '@yuccawharf/clients'
import prand from 'pure-rand'
import { batchWaitMs, createServiceTimeEstimates, loadWaitMs, refusalRetryMs } from './admission'
import type { AdmissionState } from './admission'
import { createDispatcher } from './dispatcher'
import type { RunningRequest } from './dispatcher'
import { createTargetFeedback, waitTargetMs } from './feedback'
import { adapterKey } from './handles'
import { invariant } from './invariant'
import type { SchedulingContext } from './load-choice'
import { createLoadPlanner } from './load-planner'
import type { EngineScheduler, SchedulerAction, SchedulerConfig, SchedulerEvent, ServingRequest } from './messages'
import { currentPolicy } from './policy-options'
import type { PolicyOptions } from './policy-options'
import { createPrefixCache } from './prefix-cache'
import { createRequestQueue } from './request-queue'
import type { WaitingRequest } from './request-queue'
import { createSlotTable } from './slots'
import { createUsageTracker } from './usage'

/** Bound on the adapters whose use is tracked per engine. */
const maxTrackedAdapters = 4_096
/** A class is patient when its target is this many times that of the most impatient class. */
const patientFactor = 10
/** A request is refused after this many dispatches without a token. */
const maxAttempts = 4
/** After the engine refused a dispatch, none is sent to the handle for this time. */
const dispatchPauseMs = 100

type EndedEvent = Extract<SchedulerEvent, { type: 'ended' }>
type ReportEvent = Extract<SchedulerEvent, { type: 'report' }>

const createRandom = (seed: number): (() => number) => {
  const generator = prand.xoroshiro128plus(seed)
  return () => prand.unsafeUniformIntDistribution(0, 0x7fffffff, generator) / 0x80000000
}

/**
 * @param cfg the engine, the owner's term and the bounds
 * @param options variant of the policy; the product's policy by default
 */
export const createScheduler = (cfg: SchedulerConfig, options: PolicyOptions = currentPolicy): EngineScheduler => {
  let classes = cfg.classes
  let incarnation: number | undefined
  let lastTakenAt = -Infinity
  let draining = false
  const queue = createRequestQueue(cfg)
  const slots = createSlotTable(cfg.slots)
  const usage = createUsageTracker(maxTrackedAdapters, options.usage)
  const feedback = createTargetFeedback(classes, options.ageing)
  const prefixes = createPrefixCache()
  const times = createServiceTimeEstimates()

  const isPatient = (name: string): boolean => {
    const shortest = Math.min(...Object.values(classes).map(waitTargetMs))
    return waitTargetMs(classes[name]) >= shortest * patientFactor
  }

  const rank = (name: string): number => {
    const target = waitTargetMs(classes[name])
    return Object.values(classes).filter((other) => waitTargetMs(other) < target).length
  }

  const context: SchedulingContext = {
    queue,
    slots,
    usage,
    feedback,
    options,
    loadMs: cfg.loadMs,
    isPatient,
    isBackingOff: (key, now) => planner.isBackingOff(key, now)
  }
  const planner = createLoadPlanner(cfg, context, createRandom(cfg.seed))
  const dispatcher = createDispatcher(cfg, context, prefixes, rank)

  const admissionState = (now: number): AdmissionState => ({
    context,
    times,
    batchSize: cfg.batchSize,
    running: dispatcher.running.size,
    permitIntervalMs: planner.permitIntervalMs(),
    loadTimeMs: planner.loadTimeMs(now)
  })

  const refuse = (waiting: WaitingRequest, reason: string, retryAfterMs: number): SchedulerAction => {
    const { request, mayHaveRun } = waiting
    if (reason !== 'cancelled') {
      feedback.observe(request.class, { tokens: 0 })
    }
    return { type: 'refuse', requestId: request.requestId, reason, retryAfterMs: Math.ceil(retryAfterMs), ...(mayHaveRun ? { mayHaveRun } : {}) }
  }

  const submit = (request: ServingRequest, now: number): SchedulerAction[] => {
    const { requestId, adapter, version } = request
    if (queue.has(requestId) || dispatcher.get(requestId) !== undefined) {
      return []
    }
    usage.record(adapterKey(adapter, version), now)
    const waiting: WaitingRequest = { request, attempts: 0, mayHaveRun: false }
    if (draining) {
      return [refuse(waiting, 'draining', 0)]
    }
    if (now >= request.deadline) {
      return [refuse(waiting, 'deadline-passed', 0)]
    }
    const retryMs = options.admission === 'estimate' ? refusalRetryMs(request, admissionState(now), now) : undefined
    if (retryMs !== undefined) {
      return [refuse(waiting, 'target-out-of-reach', retryMs)]
    }
    const rejection = queue.add(waiting)
    return rejection === undefined ? [] : [refuse(waiting, rejection, batchWaitMs(admissionState(now)) + cfg.loadMs)]
  }

  const requeue = (ended: RunningRequest, mayHaveRun: boolean, now: number): SchedulerAction[] => {
    const waiting: WaitingRequest = { request: ended.request, attempts: ended.attempts + 1, mayHaveRun: ended.mayHaveRun || mayHaveRun }
    if (ended.cancelled) {
      return [refuse(waiting, 'cancelled', 0)]
    }
    if (draining) {
      return [refuse(waiting, 'draining', 0)]
    }
    if (now >= ended.request.deadline) {
      return [refuse(waiting, 'deadline-passed', 0)]
    }
    if (waiting.attempts >= maxAttempts) {
      return [refuse(waiting, 'too-many-attempts', cfg.loadMs)]
    }
    queue.restore(waiting)
    return [{ type: 'requeued', requestId: ended.request.requestId }]
  }

  const observe = (ended: RunningRequest, tokens: number, now: number): void => {
    const { arrivedAt } = ended.request
    const firstTokenMs = ended.firstTokenAt === undefined ? undefined : ended.firstTokenAt - arrivedAt
    feedback.observe(ended.request.class, { firstTokenMs, finishMs: now - arrivedAt, tokens })
    const firstTokenSinceDispatchMs = ended.firstTokenAt === undefined ? undefined : ended.firstTokenAt - ended.dispatchedAt
    times.observe({ firstTokenMs: firstTokenSinceDispatchMs, totalMs: now - ended.dispatchedAt, tokens })
  }

  /** Pauses dispatch to a handle after a refusal, because the engine may no longer have the handle. */
  const pauseDispatch = (handle: string, reason: string | undefined, now: number): void => {
    const replica = slots.get(handle)
    if (replica === undefined) {
      return
    }
    replica.pausedUntil = now + dispatchPauseMs
    if (reason === 'model_not_found' && replica.running.size === 0) {
      slots.remove(handle, now)
    }
  }

  const requestEnded = (event: EndedEvent, now: number): SchedulerAction[] => {
    const current = dispatcher.get(event.requestId)
    if (current === undefined || (event.handle !== undefined && event.handle !== current.handle)) {
      return []
    }
    dispatcher.end(event.requestId, now)
    if (event.outcome === 'not-run') {
      pauseDispatch(current.handle, event.reason, now)
      return requeue(current, false, now)
    }
    if (event.outcome === 'broken' && current.firstTokenAt === undefined && event.tokens === 0) {
      return requeue(current, true, now)
    }
    if (event.outcome === 'done') {
      observe(current, event.tokens, now)
    }
    return []
  }

  const cancel = (requestId: string): SchedulerAction[] => {
    const waiting = queue.remove(requestId)
    if (waiting !== undefined) {
      return [refuse(waiting, 'cancelled', 0)]
    }
    const current = dispatcher.get(requestId)
    if (current === undefined || current.cancelled) {
      return []
    }
    current.cancelled = true
    return [{ type: 'cancel-dispatch', requestId }]
  }

  /** Requeues requests without a token whose handle is gone; the others end by a later event. */
  const applyRestart = (report: EngineReport, now: number): SchedulerAction[] => {
    const gone = slots.applyRestart(report, now)
    const goneHandles = new Set(gone.map(({ handle }) => handle))
    const actions = planner.abandon(gone)
    for (const current of [...dispatcher.running.values()]) {
      if (current.firstTokenAt === undefined && goneHandles.has(current.handle)) {
        dispatcher.end(current.request.requestId, now)
        actions.push(...requeue(current, true, now))
      }
    }
    return actions
  }

  const isOwnRequest = (requestId: string, handle: string): boolean => dispatcher.get(requestId)?.handle === handle

  const applyReport = ({ report }: ReportEvent, now: number): SchedulerAction[] => {
    if (incarnation !== undefined && report.incarnation < incarnation) {
      return []
    }
    const actions = incarnation !== undefined && report.incarnation > incarnation ? applyRestart(report, now) : []
    if (report.incarnation === incarnation && report.takenAt <= lastTakenAt) {
      return []
    }
    incarnation = report.incarnation
    lastTakenAt = report.takenAt
    for (const handle of slots.applyReport(report, isOwnRequest, now)) {
      slots.remove(handle, now)
    }
    return actions
  }

  const adopt = ({ resident, running }: Extract<SchedulerEvent, { type: 'adopt' }>, now: number): void => {
    for (const entry of resident) {
      const replica = slots.get(entry.handle) ?? slots.add(entry, 'resident', now)
      replica.adopted = true
    }
    for (const { handle } of running) {
      const replica = slots.get(handle)
      if (replica !== undefined) {
        replica.hasForeignRequest = true
      }
    }
  }

  const refuseQueued = (isAffected: (request: ServingRequest) => boolean, reason: string): SchedulerAction[] => {
    const refused = queue.all().filter(({ request }) => isAffected(request))
    return refused.map((waiting) => {
      queue.remove(waiting.request.requestId)
      return refuse(waiting, reason, 0)
    })
  }

  const tick = (now: number): SchedulerAction[] =>
    [...planner.expire(now), ...refuseQueued(({ deadline }) => now >= deadline, 'deadline-passed')]

  const apply = (event: SchedulerEvent, now: number): SchedulerAction[] => {
    switch (event.type) {
      case 'classes':
        classes = event.classes
        feedback.setClasses(classes)
        return []
      case 'adopt':
        adopt(event, now)
        return []
      case 'evictable':
        for (const handle of event.handles) {
          const replica = slots.get(handle)
          if (replica !== undefined) {
            replica.adopted = false
          }
        }
        return []
      case 'submit':
        return submit(event.request, now)
      case 'cancel':
        return cancel(event.requestId)
      case 'first-token': {
        const current = dispatcher.get(event.requestId)
        if (current !== undefined && (event.handle === undefined || event.handle === current.handle)) {
          current.firstTokenAt ??= now
        }
        return []
      }
      case 'ended':
        return requestEnded(event, now)
      case 'load-result':
        return planner.loadFinished(event.handle, event.result, now)
      case 'unload-result':
        planner.unloadFinished(event.handle, event.result, now)
        return []
      case 'report':
        return applyReport(event, now)
      case 'permit':
        return planner.permitGranted(event.permitId, event.expiresAt, now)
      case 'permit-denied':
        planner.permitDenied(event.retryAfterMs, now)
        return []
      case 'cache':
        prefixes.apply(event.incarnation, event.events, now)
        return []
      case 'drain':
        draining = true
        return refuseQueued(() => true, 'draining')
      case 'tick':
        return tick(now)
    }
  }

  const checkInvariants = (): void => {
    const inSlots = [...slots.all()].reduce((sum, slot) => sum + slot.running.size, 0)
    invariant(inSlots <= dispatcher.running.size, `${cfg.engine} has more requests assigned to replicas than running`)
    invariant(queue.size <= cfg.queuedPerEngine + dispatcher.running.size + cfg.batchSize * 2, `queue of ${cfg.engine} exceeds its bound`)
  }

  return {
    step (event, now) {
      const actions = apply(event, now)
      if (!draining) {
        actions.push(...dispatcher.plan(now), ...planner.plan(now))
      }
      checkInvariants()
      return actions
    },
    load (now) {
      const state = admissionState(now)
      return {
        engine: cfg.engine,
        waitMs: batchWaitMs(state),
        loadWaitMs: loadWaitMs(state, 0, now),
        queued: queue.size,
        running: dispatcher.running.size,
        at: now
      }
    }
  }
}
