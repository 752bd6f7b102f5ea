/** Runs one term of one engine at its owner: the scheduler, handles pinned by predecessors, and evictions. */
import { createHandlePins, type EvictionIntent, type OwnerTerm, type Predecessor } from '@yuccawharf/coordination'
import type { EngineCommand, EngineCommandResult, EngineReport } from '@yuccawharf/clients'
import { createScheduler, parseHandle, type EngineScheduler, type SchedulerAction, type SchedulerEvent } from '@yuccawharf/serving'
import type { CoreContext } from './core-context'
import { createEngineEvictions } from './engine-evictions'
import type { EndedEvent, EngineOwner, EngineOwnerEnv, RequestEntry, PauseReason } from './engine-owner-types'
import { createLostRequests } from './lost-requests'
import { servingRequest } from './serving-request'
import { createWaitingRequests } from './waiting-requests'

type TrackedRequest = RequestEntry & { handle?: string, incarnation?: number }

const evictionRetryMs = 1_000
const termOfHandle = (handle: string): number | undefined => parseHandle(handle)?.term

/**
 * @param ownerTerm - this process's valid owner record
 * @param predecessors - processes that may still use the engine
 * @param inheritedIntents - evictions of earlier terms that may still reach the engine
 */
export const createEngineOwner = (ctx: CoreContext, env: EngineOwnerEnv, ownerTerm: OwnerTerm, predecessors: Predecessor[], inheritedIntents: EvictionIntent[]): EngineOwner => {
  const { engine, term } = ownerTerm
  const { checksFencing, reportLagMs } = ctx.traits(engine)
  const pins = createHandlePins({ term, reportLagMs, predecessors, termOfHandle })
  const inheritedHandles = new Set(inheritedIntents.map(({ handle }) => handle))
  const requests = new Map<string, TrackedRequest>()
  const adoptedHandles = new Set<string>()
  const resumed = new Set<string>()
  /** Requests that the scheduler requeued during the current step. */
  const requeued = new Set<string>()
  const lostRequests = createLostRequests(reportLagMs)
  let lastReport: EngineReport | undefined
  const waitingRequests = createWaitingRequests(ctx.cfg.queuedPerEngine)
  let scheduler: EngineScheduler | undefined
  let incarnation: number | undefined
  let schedulerIncarnation: number | undefined
  const paused = new Set<PauseReason>()
  /** Requests that are being removed from the scheduler to be routed again. */
  const rerouted = new Set<string>()
  let termEnded = false

  const isAccepting = (): boolean => paused.size === 0 && !termEnded

  const isOwnLoad = (handle: string): boolean => termOfHandle(handle) === term

  const sendCommand = (value: EngineCommand, done: (result: EngineCommandResult, now: number) => void): void =>
    env.command(engine, value, term, done)

  const checkUnused = (handle: string): void => {
    const inUse = [...requests.values()].some(request => request.handle === handle)
    ctx.check(!inUse, `eviction of ${handle} on ${engine}, which a running request uses`)
  }

  const checkEviction = (handle: string): void => {
    checkUnused(handle)
    ctx.check(isEvictable(handle), `eviction of ${handle} on ${engine}, which a predecessor or a lost request may be using`)
  }

  const evictions = createEngineEvictions(ctx, {
    append: env.append,
    command: sendCommand,
    checkUnused,
    evictionFinished: (handle, result, now) => stepScheduler({ type: 'unload-result', handle, result }, now),
    afterStep: now => startIfReady(now),
    termEnded: now => env.staleFenceSeen(engine, now)
  }, { engine, term, checksFencing, inherited: inheritedIntents, reportLagMs, retryMs: evictionRetryMs })

  const evict = (handle: string, now: number): void => {
    if (termEnded) {
      return
    }
    if (evictions.isUsable(handle)) {
      checkEviction(handle)
    }
    evictions.evict(handle, now)
  }

  const dispatch = (requestId: string, handle: string, priority: number, now: number): void => {
    const request = requests.get(requestId)
    if (!isAccepting()) {
      // The scheduler dispatches requests again that an engine restart interrupted, even while the owner accepts no new ones.
      return reroute(requestId, () => stepScheduler({ type: 'ended', requestId, outcome: 'not-run', tokens: 0 }, now), now)
    }
    const parsed = parseHandle(handle)
    const matches = parsed?.adapter === request?.completion.adapter && parsed?.version === request?.completion.version
    ctx.check(request !== undefined && matches, `request ${requestId} would run on ${handle}`)
    ctx.check(evictions.isUsable(handle), `dispatch of ${requestId} to ${handle}, whose eviction may still arrive`)
    if (request === undefined) {
      return
    }
    request.handle = handle
    request.incarnation = incarnation
    const wrongHandle = [...adoptedHandles].find(name => name !== handle)
    const sentHandle = ctx.hooks.dispatchToWrongHandle === true && wrongHandle !== undefined ? wrongHandle : handle
    ctx.record('dispatch', { request: requestId, engine, adapter: handle })
    ctx.emit({ type: 'dispatch', engine, requestId, handle: sentHandle, priority })
  }

  const refuse = (action: Extract<SchedulerAction, { type: 'refuse' }>, now: number): void => {
    const request = requests.get(action.requestId)
    requests.delete(action.requestId)
    const runsElsewhere = action.reason === 'draining' || rerouted.has(action.requestId)
    if (request !== undefined && runsElsewhere && action.mayHaveRun !== true) {
      env.resubmit(request, now)
      return
    }
    if (request === undefined) {
      return
    }
    const outcome = action.mayHaveRun === true ? 'unknown' : 'not-run'
    ctx.record('refuse', { request: action.requestId, engine }, action.reason)
    ctx.emit({ type: 'refuse', requestId: action.requestId, refusal: { outcome, reason: action.reason, retryAfterMs: action.retryAfterMs } })
  }

  const load = (action: Extract<SchedulerAction, { type: 'load' }>, now: number): void => {
    const { handle, adapter, version } = action
    if (!isAccepting()) {
      return stepScheduler({ type: 'load-result', handle, result: { type: 'refused', reason: 'the engine takes no new work' } }, now)
    }
    ctx.record('load', { engine, adapter: handle })
    sendCommand({ type: 'load', handle, adapter, version }, (result, finishedAt) => {
      ctx.record('load-result', { engine, adapter: handle }, result.type)
      stepScheduler({ type: 'load-result', handle, result }, finishedAt)
      if (result.type === 'stale-fence') {
        env.staleFenceSeen(engine, finishedAt)
      }
    })
  }

  const perform = (action: SchedulerAction, now: number): void => {
    switch (action.type) {
      case 'request-permit': return isAccepting() ? env.requestPermit(engine, action.urgency, now) : undefined
      case 'release-permit': return env.returnPermit(action.permitId, action.unused, now)
      case 'load': return load(action, now)
      case 'unload': return evict(action.handle, now)
      case 'dispatch': return dispatch(action.requestId, action.handle, action.priority, now)
      case 'cancel-dispatch':
        if (!rerouted.has(action.requestId)) {
          ctx.emit({ type: 'cancel-dispatch', engine, requestId: action.requestId })
        }
        return
      case 'refuse': return refuse(action, now)
      case 'requeued': {
        const request = requests.get(action.requestId)
        delete request?.handle
        requeued.add(action.requestId)
        ctx.record('requeued', { request: action.requestId, engine })
      }
    }
  }

  const stepScheduler = (event: SchedulerEvent, now: number): void => {
    scheduler?.step(event, now).forEach(action => perform(action, now))
  }

  /** Cancels the request in the scheduler and runs `step`. If the scheduler refuses the request meanwhile, it is routed again. */
  const reroute = (requestId: string, step: () => void, now: number): void => {
    rerouted.add(requestId)
    stepScheduler({ type: 'cancel', requestId }, now)
    step()
    rerouted.delete(requestId)
  }

  const rerouteQueued = (now: number): void => {
    const queued = [...requests].filter(([, { handle }]) => handle === undefined)
    queued.forEach(([requestId]) => reroute(requestId, () => {}, now))
    waitingRequests.takeAll().forEach(entry => env.resubmit(entry, now))
  }

  /** The engine may still run a request whose stream broke, so its handle stays pinned until reports show that the request has ended. */
  const pinLostRequest = (request: TrackedRequest, event: EndedEvent, now: number): void => {
    const parsed = request.handle === undefined ? undefined : parseHandle(request.handle)
    if (event.outcome !== 'broken' || request.handle === undefined || parsed === undefined || request.incarnation !== incarnation) {
      return
    }
    lostRequests.add(event.requestId, request.handle)
    stepScheduler({ type: 'adopt', resident: [{ handle: request.handle, adapter: parsed.adapter, version: parsed.version }], running: [] }, now)
  }

  /** Handles an event of an earlier dispatch of a request that was requeued after an engine restart. */
  const endedWhileQueued = (event: EndedEvent, now: number): void => {
    if (event.outcome === 'done' || event.outcome === 'cancelled') {
      requests.delete(event.requestId)
      stepScheduler({ type: 'cancel', requestId: event.requestId }, now)
    }
  }

  const stepEnded = (event: EndedEvent, now: number): void => {
    const reason = event.reason === undefined ? {} : { reason: event.reason }
    const handle = event.handle === undefined ? {} : { handle: event.handle }
    const step = (): void => stepScheduler({ type: 'ended', requestId: event.requestId, outcome: event.outcome, tokens: event.tokens, ...reason, ...handle }, now)
    const runsAgain = event.outcome === 'not-run' || event.outcome === 'broken'
    if (runsAgain && !isAccepting()) {
      reroute(event.requestId, step, now)
    } else {
      step()
    }
  }

  /**
   * A report can contain handles of a newer term. A stale owner must not use them, because its
   * successor relies on earlier processes knowing only handles of their own and earlier terms.
   */
  const isFromNewerTerm = (handle: string): boolean => (termOfHandle(handle) ?? -1) > term

  /** Handles of other terms are ignored while a late command of an earlier owner could still unload them. */
  const isVisible = (handle: string): boolean =>
    !inheritedHandles.has(handle) && (isOwnLoad(handle) || evictions.ready)

  const visibleReport = (report: EngineReport): EngineReport =>
    ({
      ...report,
      resident: report.resident.filter(({ handle }) => isVisible(handle)),
      running: ctx.hooks.evictPinned === true ? report.running.filter(({ requestId }) => requests.has(requestId)) : report.running
    })

  const isEvictable = (handle: string): boolean => (isOwnLoad(handle) || pins.isEvictable(handle)) && !lostRequests.uses(handle)

  const adoptPinned = (report: EngineReport, now: number): void => {
    // Repeated for each report, because the scheduler drops handles that it considers unloaded.
    const pinned = report.resident.filter(({ handle }) => !isEvictable(handle))
    pinned.forEach(({ handle }) => adoptedHandles.add(handle))
    if (pinned.length > 0) {
      stepScheduler({ type: 'adopt', resident: pinned, running: report.running }, now)
    }
  }

  const createEngineScheduler = (report: EngineReport): void => {
    scheduler = createScheduler({
      engine,
      term,
      slots: report.slots,
      batchSize: report.batchSize,
      queuedPerEngine: ctx.cfg.queuedPerEngine,
      queuedPerAdapter: ctx.cfg.queuedPerAdapter,
      loadMs: ctx.cfg.loadMs,
      classes: env.classes(),
      seed: ctx.cfg.seed + term
    })
  }

  const accept = (entry: RequestEntry, now: number): void => {
    requests.set(entry.completion.requestId, { ...entry })
    stepScheduler({ type: 'submit', request: servingRequest(entry.completion, now) }, now)
  }

  /** Creates the scheduler and submits the waiting requests, once no late command of an earlier owner can take effect. */
  const startIfReady = (now: number): void => {
    if (lastReport === undefined || !evictions.ready || termEnded) {
      return
    }
    if (scheduler === undefined) {
      createEngineScheduler(lastReport)
      reportNewIncarnation(lastReport, now)
      applyVisibleReport(lastReport, now)
    }
    waitingRequests.takeAll().forEach(entry => accept(entry, now))
  }

  /** Makes the scheduler drop the handles from before the engine's restart first. Handles of other terms follow after they are pinned. */
  const reportNewIncarnation = (report: EngineReport, now: number): void => {
    if (scheduler !== undefined && schedulerIncarnation !== report.incarnation) {
      schedulerIncarnation = report.incarnation
      stepScheduler({ type: 'report', report: { ...report, resident: report.resident.filter(({ handle }) => isOwnLoad(handle)) } }, now)
    }
  }

  const applyVisibleReport = (report: EngineReport, now: number): void => {
    const visible = visibleReport(report)
    adoptPinned(visible, now)
    stepScheduler({ type: 'report', report: visible }, now)
    const residentHandles = visible.resident.map(({ handle }) => handle)
    const evictable = residentHandles.filter(handle => ctx.hooks.evictPinned === true || isEvictable(handle))
    if (evictable.length > 0) {
      stepScheduler({ type: 'evictable', handles: evictable }, now)
    }
  }

  /** Resumes the streams of a failed predecessor, by their request ids at the engine. */
  const resumeStreams = (report: EngineReport): void => {
    for (const { requestId, handle } of report.running) {
      if (!requests.has(requestId) && !resumed.has(requestId)) {
        resumed.add(requestId)
        ctx.record('resume', { request: requestId, engine, adapter: handle })
        ctx.emit({ type: 'dispatch', engine, requestId, handle, priority: 0, resumeAfter: 0 })
      }
    }
  }

  const updateIncarnation = (report: EngineReport): void => {
    if (incarnation !== undefined && incarnation !== report.incarnation) {
      adoptedHandles.clear()
      resumed.clear()
      lostRequests.clear()
      ctx.record('engine-restarted', { engine })
    }
    incarnation = report.incarnation
  }

  const refuseLost = (request: TrackedRequest, event: EndedEvent): void => {
    requests.delete(event.requestId)
    // Not cancelled at the engine: another owner may have resumed the stream.
    ctx.emit({ type: 'refuse', requestId: event.requestId, refusal: { outcome: 'unknown', reason: 'the stream was lost after its first token' } })
    ctx.record('lost', { request: request.completion.requestId, engine })
  }

  const endedAfterTerm = (request: TrackedRequest, event: EndedEvent, now: number): void => {
    requests.delete(event.requestId)
    pinLostRequest(request, event, now)
    if (event.outcome === 'not-run') {
      env.resubmit(request, now)
    } else if (event.outcome === 'broken') {
      refuseLost(request, event)
    }
  }

  return {
    engine,
    term,
    pins,
    start: now => evictions.start(now),
    submit (entry, now) {
      if (!isAccepting()) {
        env.resubmit(entry, now)
      } else if (scheduler !== undefined && evictions.ready) {
        accept(entry, now)
      } else if (!waitingRequests.add(entry)) {
        ctx.emit({ type: 'refuse', requestId: entry.completion.requestId, refusal: { outcome: 'not-run', reason: 'queue-full', retryAfterMs: 1_000 } })
      }
    },
    has: requestId => requests.has(requestId) || waitingRequests.has(requestId),
    cancel (requestId, now) {
      if (waitingRequests.remove(requestId)) {
        ctx.emit({ type: 'refuse', requestId, refusal: { outcome: 'not-run', reason: 'cancelled' } })
      }
      stepScheduler({ type: 'cancel', requestId }, now)
    },
    firstToken: (requestId, handle, now) => stepScheduler({ type: 'first-token', requestId, ...(handle === undefined ? {} : { handle }) }, now),
    requestEnded (event, now) {
      const request = requests.get(event.requestId)
      if (request === undefined) {
        resumed.delete(event.requestId)
        return
      }
      if (termEnded) {
        return endedAfterTerm(request, event, now)
      }
      if (request.handle === undefined) {
        return endedWhileQueued(event, now)
      }
      requeued.clear()
      pinLostRequest(request, event, now)
      // The scheduler may evict the handle in the same step.
      delete request.handle
      stepEnded(event, now)
      const isFinal = event.outcome === 'done' || event.outcome === 'cancelled'
      if (isFinal) {
        requests.delete(event.requestId)
      } else if (event.outcome === 'broken' && !requeued.has(event.requestId) && requests.has(event.requestId)) {
        refuseLost(request, event)
      }
    },
    applyReport (report, predecessorsDown, now) {
      updateIncarnation(report)
      if (!termEnded) {
        reportNewIncarnation(report, now)
      }
      const isDispatched = (requestId: string): boolean => requests.get(requestId)?.handle !== undefined
      pins.applyReport(report, isDispatched, now)
      lostRequests.applyReport(report)
      if (termEnded) {
        return
      }
      if (report.resident.some(({ handle }) => isFromNewerTerm(handle))) {
        env.staleFenceSeen(engine, now)
        return
      }
      lastReport = report
      evictions.applyReport(report, now)
      if (scheduler !== undefined) {
        applyVisibleReport(report, now)
      }
      if (predecessorsDown) {
        resumeStreams(report)
      }
      if (paused.size > 0) {
        rerouteQueued(now)
      }
    },
    permitGranted: (permitId, expiresAt, now) => scheduler === undefined || termEnded
      ? env.returnPermit(permitId, true, now)
      : stepScheduler({ type: 'permit', permitId, expiresAt }, now),
    intentRead: evictions.intentRead,
    classesChanged: now => stepScheduler({ type: 'classes', classes: env.classes() }, now),
    pause (reason, now) {
      paused.add(reason)
      rerouteQueued(now)
    },
    unpause: reason => { paused.delete(reason) },
    end (now) {
      termEnded = true
      stepScheduler({ type: 'drain' }, now)
      rerouteQueued(now)
    },
    running: () => [
      ...[...requests].flatMap(([requestId, { handle }]) => handle === undefined ? [] : [{ requestId, handle }]),
      ...lostRequests.list()
    ],
    tick (now) {
      if (!termEnded) {
        evictions.tick(now)
        stepScheduler({ type: 'tick' }, now)
      }
      waitingRequests.takeExpired(now).forEach(({ completion }) => ctx.emit({ type: 'refuse', requestId: completion.requestId, refusal: { outcome: 'not-run', reason: 'deadline-passed' } }))
    },
    loadHint: now => isAccepting() ? scheduler?.load(now) : undefined,
    get queued () {
      return waitingRequests.size + [...requests.values()].filter(({ handle }) => handle === undefined).length
    },
    get accepting () {
      return isAccepting()
    }
  }
}
