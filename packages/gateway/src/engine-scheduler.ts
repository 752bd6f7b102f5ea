/**
 * Queues the requests for the engines that one node owns. Decides when and to which engine a request
 * is granted, and which adapters are loaded for the others. Refuses requests that cannot be served in
 * time. Requests wait here, not at the engines, so that the most urgent one is always next.
 */
import { createEngineLoadPlanner, modelLoadCheckMs, commandVisibilityMs, type EnginesView, type SchedulerState, type WaitingRequest } from './engine-load-planner'
import type { EngineScheduler, RefusalReason, SchedulerAction, SchedulerConfig } from './engine-scheduler-types'
import { applyLoadedModels, applyReport, backlogMs, compareSpeeds, createEngineState, hasCapacity, limitIntervalMs, limitWaitMs, setRequestLimit, isOnProbation, recordFailure, recordFirstResponse, recordSuccess, recordUnusable, fitsPauseLimits, recordFirstEvent, recordPrefill, nominalPrefillMs, prefillMs, prefillTokensPerMs, resetEngine, sharedSpeed, avoidEngine, useOf, type AdapterReplica, type EngineState } from './engine-state'
import { mayRunAt } from './engine-choice'
import { createLoadLimit } from './load-limit'
import { cacheScope } from './prompt-cache'
import { recordRequest } from './request-pace'
import { createServiceOrder, type RequestWork } from './service-order'
import { createVersionHistory } from './version-history'

export * from './engine-scheduler-types'

/** Prefill time that may be queued at an engine, in ms; a longer queue would delay later, more urgent requests. */
const maxBacklogMs = 250
/** The same for requests that the service order defers, in ms, so that others find room. */
const maxDeferredBacklogMs = 100
/** Multiple of its delay that is added to the cost of an engine that fails all requests. */
const failureCostFactor = 4
/** Cost of a replica of an older version, in ms: more than any delay for which a request would wait. */
const outdatedCostMs = 1000
/** Limit of waiting requests; further ones could not be served before their deadline. */
const maxWaitingRequests = 2000
/** Longest wait of a request that is already late for an engine that states a limit, and delay of its turn for which a request that waits for one is not refused, in ms. */
const maxLateLimitWaitMs = 300
/** Longest delay that is reported for an engine that states a limit and could take a request now, in ms. It is less than that of a load elsewhere, so that an adapter that is loaded there stays in use. */
const maxReportedLimitMs = 100
/** Shortest time from sending a request to its first event, in ms. */
const minRunMs = 60
const minRetryAfterMs = 200
/** Delay suggested to clients while no engine can be used, in ms: engines return within seconds. */
const noEngineRetryAfterMs = 1000
/** Initial estimates of a load's duration, in ms; corrected by each load. */
const initialColdLoadMs = 260
const initialWarmLoadMs = 30
/** Time without a first event beyond the estimate after which a report is requested from the engine, in ms. */
const stallReportMs = 1200
/** Minimum time between two such reports, in ms. */
const stallReportIntervalMs = 1000
/** Initial estimate of the mean duration of a request at an engine, in ms. */
const initialRunMs = 1500
/** Weight of the newest request in that mean. */
const newestRunWeight = 0.05
/** Half-life of an adapter's use, in ms. */
const useHalfLifeMs = 8000

/** Waiting requests that come before another one. */
type QueueAhead = { prefillMs: number, requests: number }

export function createEngineScheduler (cfg: SchedulerConfig): EngineScheduler {
  const state: SchedulerState = { engines: new Map(), versions: new Map(), coldLoadMs: initialColdLoadMs, warmLoadMs: initialWarmLoadMs, meanRunMs: initialRunMs, coldLoadLimit: createLoadLimit() }
  const { engines, versions } = state
  const planner = createEngineLoadPlanner(cfg, state)
  const { isCurrent, isUsable } = planner
  const waiting = new Map<string, WaitingRequest>()
  const order = createServiceOrder()
  /** Engine of each granted request, by request id. */
  const granted = new Map<string, string>()
  /** Requests that could not be granted at the last decision. */
  let blocked: WaitingRequest[] = []
  let lastDecayAt = -Infinity

  function isEligible (engine: EngineState, req: WaitingRequest, now: number): boolean {
    return engine.server.service === req.service && engine.server.state === 'ready' && engine.avoidedUntil <= now &&
      engine.models.has(req.demand.model) && mayRunAt(engine.server, req)
  }

  /** Eligible engines on which the request's adapter is usable; all eligible engines if it names none. */
  function enginesWithAdapter (req: WaitingRequest, view: EnginesView, now: number): EngineState[] {
    if (req.demand.adapter === undefined) return [...engines.values()].filter(engine => isEligible(engine, req, now))
    const candidates = view.enginesByScope.get(req.scope) ?? []
    return candidates.filter(engine => isEligible(engine, req, now) && isUsable(engine.replicas.get(req.scope)!, req.scope, now))
  }

  /**
   * @param reserved - engines that take no further prompts until they have had a break. The engine that
   * would be best but for the lack of a break is added for a request that no engine can take: otherwise
   * short prompts fill each gap, and a long one waits until it is late.
   */
  function bestEngine (req: WaitingRequest, view: EnginesView, reserved: Set<EngineState>, now: number): EngineState | undefined {
    let best: EngineState | undefined
    let bestCost = Infinity
    let needsBreak: EngineState | undefined
    for (const engine of enginesWithAdapter(req, view, now)) {
      if (reserved.has(engine) || !hasCapacity(engine, req.demand) || limitWaitMs(engine, now) > 0) continue
      if (backlogMs(engine, now) > (req.standing === 'deferred' ? maxDeferredBacklogMs : maxBacklogMs) || !fitsPauseLimits(engine, req.demand, now)) {
        if (needsBreak === undefined || backlogMs(engine, now) < backlogMs(needsBreak, now)) needsBreak = engine
        continue
      }
      const replica = engine.replicas.get(req.scope)
      // A replica of an older version is avoided while a current one exists.
      const outdatedMs = replica !== undefined && !isCurrent(replica, req.scope) ? outdatedCostMs : 0
      const cost = (backlogMs(engine, now) + prefillMs(engine, req.demand, now)) * (1 + failureCostFactor * engine.failureRate) + engine.runs.size + outdatedMs
      if (cost < bestCost) {
        best = engine
        bestCost = cost
      }
    }
    if (best === undefined && needsBreak !== undefined) reserved.add(needsBreak)
    return best
  }

  function grant (req: WaitingRequest, engine: EngineState, now: number): SchedulerAction {
    waiting.delete(req.id)
    order.granted(req, workOf(req, now, engine), now)
    const requestPrefillMs = prefillMs(engine, req.demand, now)
    recordPrefill(engine, req.demand, now)
    if (engine.limit !== undefined) recordRequest(engine.limit.pace, now)
    engine.runs.set(req.id, {
      id: req.id,
      node: req.node,
      scope: req.scope,
      demand: req.demand,
      sentAt: now,
      deadlineAt: req.deadlineAt,
      nominalMs: nominalPrefillMs(engine, req.demand),
      expectedFirstEventAt: now + backlogMs(engine, now) + requestPrefillMs,
      ...(req.pauseMs === undefined ? {} : { pauseMs: req.pauseMs })
    })
    delete engine.runTokens
    engine.cache.use(req.demand)
    granted.set(req.id, engine.server.id)
    const replica = engine.replicas.get(req.scope)
    if (replica !== undefined) {
      replica.running += 1
      replica.use += 1
      replica.lastUsedAt = now
      if (replica.state === 'loading') replica.probeSentAt ??= now
    }
    const newest = versions.get(req.scope)?.newest()
    // The version of an older replica too: the node that sends the request decides whether it may still be used.
    const version = replica === undefined || newest === undefined ? undefined : isCurrent(replica, req.scope) ? newest : replica.version
    return {
      type: 'grant',
      request: req.id,
      node: req.node,
      engine: engine.server.id,
      address: engine.server.address,
      ...(version === undefined ? {} : { version }),
      waitedMs: now - req.arrivedAt,
      running: engine.runs.size,
      prefillMs: requestPrefillMs
    }
  }

  function refuse (req: WaitingRequest, reason: RefusalReason, retryAfterMs: number, now: number): SchedulerAction {
    waiting.delete(req.id)
    const returnMs = order.refused(req, workOf(req, now), Math.max(minRetryAfterMs, retryAfterMs), now)
    return { type: 'refuse', request: req.id, node: req.node, reason, retryAfterMs: Math.round(returnMs), waitedMs: now - req.arrivedAt }
  }

  /**
   * Sorts the waiting requests by `service-order`. One can still meet its objective if it has a turn at
   * an engine that states a limit.
   */
  function inServiceOrder (view: EnginesView, now: number): WaitingRequest[] {
    const rate = meanPrefillTokensPerMs(now)
    const isLate = (req: WaitingRequest): boolean => {
      const loadMs = hasReplica(req, view, now) ? 0 : state.coldLoadMs
      return !req.hasTurn && now + loadMs + req.demand.promptTokens / rate > req.objectiveAt
    }
    return order.sort(waiting.values(), isLate, req => workOf(req, now, undefined, rate), now)
  }

  function anyReplica (scope: string): AdapterReplica | undefined {
    for (const { replicas } of engines.values()) {
      const replica = replicas.get(scope)
      if (replica !== undefined) return replica
    }
    return undefined
  }

  /** @param engine - engine that runs the request; by default one that has neither its prompt nor its adapter */
  function workOf (req: WaitingRequest, now: number, engine?: EngineState, rate = meanPrefillTokensPerMs(now)): RequestWork {
    const { slots, adapterSlots } = (engine ?? engines.values().next().value)?.spec ?? { slots: 1, adapterSlots: 1 }
    const replica = engine === undefined ? anyReplica(req.scope) : engine.replicas.get(req.scope)
    const alone = req.demand.adapter !== undefined && (replica === undefined || replica.use < 1)
    const prefill = engine === undefined ? req.demand.promptTokens / rate : prefillMs(engine, req.demand, now)
    return { prefillMs: prefill, runMs: state.meanRunMs, slots, adapterSlots, ...(alone ? { loadMs: state.coldLoadMs } : {}) }
  }

  /**
   * @returns earliest start of a request that has `ahead` before it, in ms from now, and whether only
   * engines that state a limit could take it
   */
  function earliestStart (req: WaitingRequest, ahead: QueueAhead, now: number): { startMs: number, limited: boolean } {
    let usable = 0
    let leastMs = Infinity
    let limitedPerMs = 0
    let leastLimitedMs = Infinity
    for (const engine of engines.values()) {
      if (!isEligible(engine, req, now)) continue
      if (engine.limit === undefined) {
        usable += 1
        leastMs = Math.min(leastMs, backlogMs(engine, now))
      } else {
        limitedPerMs += 1 / limitIntervalMs(engine)
        leastLimitedMs = Math.min(leastLimitedMs, Math.max(backlogMs(engine, now), limitWaitMs(engine, now)))
      }
    }
    const startMs = usable === 0 ? Infinity : ahead.prefillMs / usable + leastMs
    const limitedMs = limitedPerMs === 0 ? Infinity : ahead.requests / limitedPerMs + leastLimitedMs
    return { startMs: Math.min(startMs, limitedMs), limited: usable === 0 && limitedPerMs > 0 }
  }

  function canLoadAnywhere (req: WaitingRequest, now: number): boolean {
    return [...engines.values()].some(engine => isEligible(engine, req, now) && cfg.mayCommand(engine.server.id, now))
  }

  function hasReplica (req: WaitingRequest, view: EnginesView, now: number): boolean {
    if (req.demand.adapter === undefined) return true
    return (view.enginesByScope.get(req.scope) ?? []).some(engine => {
      const replica = engine.replicas.get(req.scope)!
      return isEligible(engine, req, now) && (replica.state === 'loading' || isUsable(replica, req.scope, now))
    })
  }

  /** @returns longest wait for an engine that states a limit, in ms; a request that has waited for its turn keeps it through a short delay */
  function maxLimitWaitMs (req: WaitingRequest, now: number): number {
    return Math.max(maxLateLimitWaitMs, req.objectiveAt - now - minRunMs + (req.hasTurn ? maxLateLimitWaitMs : 0))
  }

  /** @param loadsAhead - adapters whose loads come before this request's */
  function checkRefusal (req: WaitingRequest, view: EnginesView, ahead: QueueAhead, loadsAhead: number, now: number): SchedulerAction | undefined {
    const replicaExists = hasReplica(req, view, now)
    const earliest = earliestStart(req, ahead, now)
    const startMs = Math.max(earliest.startMs, replicaExists ? 0 : planner.loadWaitMs(loadsAhead, view))
    if (startMs === Infinity) return refuse(req, 'no-engine', noEngineRetryAfterMs, now)
    if (!replicaExists && !canLoadAnywhere(req, now)) return refuse(req, 'cannot-load', noEngineRetryAfterMs, now)
    if (order.refusesNow(req, startMs, now)) return refuse(req, 'too-late', startMs, now)
    const slackMs = req.startBy - now - minRunMs
    // Another owner may have an engine without a limit.
    if (earliest.limited && startMs > Math.min(slackMs, maxLimitWaitMs(req, now))) return refuse(req, 'limited', startMs, now)
    req.hasTurn = earliest.limited
    // A request that is already late is overtaken by others, so its estimated start means little.
    // It is refused after half of the time from its objective to its latest start.
    const lateMs = now - req.objectiveAt
    if (lateMs > 0 && lateMs > slackMs && req.standing !== 'returning') return refuse(req, 'too-late', startMs, now)
    return startMs > slackMs ? refuse(req, 'too-late', startMs - Math.max(0, slackMs), now) : undefined
  }

  function reportActions (now: number): SchedulerAction[] {
    return [...engines.values()].flatMap(engine => {
      if (engine.reportPending || engine.reportAt === undefined || engine.reportAt > now) return []
      engine.reportPending = true
      delete engine.reportAt
      return [{ type: 'report', engine: engine.server.id } as const]
    })
  }

  function useActions (now: number): SchedulerAction[] {
    return [...engines.values()].flatMap(engine => {
      const use = useOf(engine, now)
      if (use === engine.reportedUse) return []
      engine.reportedUse = use
      const forMs = use === 'ejected' ? { forMs: engine.avoidedUntil - now } : {}
      return [{ type: 'use', change: { server: engine.server.id, use, failures: engine.unusableResponses, ...forMs } } as const]
    })
  }

  function decide (now: number): SchedulerAction[] {
    const actions: SchedulerAction[] = []
    blocked = []
    const ahead: QueueAhead = { prefillMs: 0, requests: 0 }
    const loadScopes = new Set<string>()
    const view = planner.view(now)
    const rate = meanPrefillTokensPerMs(now)
    const reserved = new Set<EngineState>()
    for (const req of inServiceOrder(view, now)) {
      const engine = bestEngine(req, view, reserved, now)
      if (engine !== undefined) {
        actions.push(grant(req, engine, now))
        continue
      }
      if (!hasReplica(req, view, now)) loadScopes.add(req.scope)
      const refusal = checkRefusal(req, view, ahead, loadScopes.size, now)
      if (refusal !== undefined) {
        actions.push(refusal)
        continue
      }
      blocked.push(req)
      ahead.prefillMs += req.demand.promptTokens / rate
      ahead.requests += 1
    }
    actions.push(...planner.decide(blocked, view, now), ...reportActions(now), ...useActions(now))
    return actions
  }

  function meanPrefillTokensPerMs (now: number): number {
    let sum = 0
    for (const engine of engines.values()) sum += prefillTokensPerMs(engine, now)
    return engines.size === 0 ? 1 : sum / engines.size
  }

  function release (id: string, now: number): EngineState | undefined {
    const engine = engines.get(granted.get(id) ?? '')
    granted.delete(id)
    const run = engine?.runs.get(id)
    if (engine === undefined || run === undefined) return undefined
    engine.runs.delete(id)
    delete engine.runTokens
    if (run.firstEventAt !== undefined) state.meanRunMs += newestRunWeight * (now - run.sentAt - state.meanRunMs)
    const replica = engine.replicas.get(run.scope)
    if (replica !== undefined) replica.running = Math.max(0, replica.running - 1)
    return engine
  }

  function decayUse (now: number): void {
    const factor = 0.5 ** (Math.min(now - lastDecayAt, useHalfLifeMs) / useHalfLifeMs)
    lastDecayAt = now
    for (const { replicas } of engines.values()) {
      for (const replica of replicas.values()) replica.use *= factor
    }
  }

  function scheduleStallReport (engine: EngineState, now: number): void {
    if (engine.reportPending || engine.reportAt !== undefined || now - (engine.lastStallReportAt ?? -Infinity) < stallReportIntervalMs) return
    for (const run of engine.runs.values()) {
      if (run.firstEventAt !== undefined || now - run.expectedFirstEventAt < stallReportMs || run.expectedFirstEventAt < engine.lastFirstEventAt) continue
      engine.lastStallReportAt = now
      engine.reportAt = now
      return
    }
  }

  function reportedBacklogMs (engine: EngineState, now: number): number {
    const limitMs = limitWaitMs(engine, now) + Math.min(maxReportedLimitMs, limitIntervalMs(engine) / 2)
    const takesNone = engine.avoidedUntil > now || (isOnProbation(engine) && engine.runs.size > 0)
    return Math.max(backlogMs(engine, now), limitMs, takesNone ? maxBacklogMs * 4 : 0)
  }

  function releaseExpired (now: number): void {
    for (const engine of engines.values()) {
      for (const run of engine.runs.values()) {
        if (now > run.deadlineAt + 1000) release(run.id, now)
      }
    }
  }

  return {
    setEngines (owned, now) {
      const ids = new Set(owned.map(({ server }) => server.id))
      for (const [id, engine] of engines) {
        if (ids.has(id)) continue
        for (const run of engine.runs.keys()) granted.delete(run)
        engines.delete(id)
      }
      state.coldLoadLimit.setEngines(owned.length)
      for (const { server, spec, requestsPerSecond, speed } of owned) {
        const engine = engines.get(server.id)
        if (engine === undefined) {
          const created = createEngineState(server, spec, now)
          if (speed !== undefined) created.speed.adopt(speed, now)
          setRequestLimit(created, requestsPerSecond, now)
          engines.set(server.id, created)
          continue
        }
        engine.server = server
        engine.spec = spec
        if (server.bornAt !== 0 && engine.bornAt !== 0 && server.bornAt > engine.bornAt) resetEngine(engine, server.bornAt, now)
        setRequestLimit(engine, requestsPerSecond, now)
        if (engine.models.size === 0 && server.models.length > 0) applyLoadedModels(engine, server.models, now)
      }
      compareSpeeds(engines.values(), now)
      return decide(now)
    },
    setVersion ({ model, adapter, version }, writtenAfter, now) {
      const scope = cacheScope({ model, adapter })
      const history = versions.get(scope) ?? createVersionHistory()
      versions.set(scope, history)
      if (!history.announce(version, writtenAfter, now)) return []
      // Engines have only older versions of the adapter in memory.
      for (const engine of engines.values()) engine.warmAdapters.delete(scope)
      return decide(now)
    },
    submit (req, now) {
      if (waiting.has(req.id)) return []
      const entry: WaitingRequest = { ...req, scope: cacheScope(req.demand), arrivedAt: now, hasTurn: false, standing: 'usual', late: false }
      waiting.set(req.id, entry)
      order.submitted(entry, now)
      if (waiting.size > maxWaitingRequests) return [refuse(order.excess(waiting.values(), entry), 'queue-full', noEngineRetryAfterMs, now)]
      return decide(now)
    },
    cancel (id, now) {
      if (waiting.delete(id)) return []
      return release(id, now) === undefined ? [] : decide(now)
    },
    firstEvent (id, now) {
      const engine = engines.get(granted.get(id) ?? '')
      const run = engine?.runs.get(id)
      if (engine === undefined || run === undefined) return []
      recordFirstEvent(engine, run, now)
      recordFirstResponse(engine)
      const replica = engine.replicas.get(run.scope)
      if (replica?.state === 'loading') {
        replica.state = 'resident'
        planner.loadConfirmed(replica)
      }
      return decide(now)
    },
    ended (id, outcome, now) {
      const run = engines.get(granted.get(id) ?? '')?.runs.get(id)
      const engine = release(id, now)
      if (engine === undefined || run === undefined) {
        waiting.delete(id)
        return []
      }
      if (outcome === 'ok') recordSuccess(engine)
      else if (outcome === 'failed' || outcome === 'disconnected') recordFailure(engine)
      else if (outcome === 'unusable') recordUnusable(engine, now)
      else if (outcome === 'unreachable') avoidEngine(engine, now)
      else if (outcome === 'misdirected' || outcome === 'not-run') planner.replicaMissing(engine, run.scope, now)
      return decide(now)
    },
    nodeLost (node, now) {
      for (const req of waiting.values()) {
        if (req.node === node) waiting.delete(req.id)
      }
      for (const engine of engines.values()) {
        for (const run of engine.runs.values()) {
          if (run.node === node) release(run.id, now)
        }
      }
      return decide(now)
    },
    commandFinished (id, result, now) {
      const engine = engines.get(id)
      if (engine === undefined) return []
      planner.commandFinished(engine, result, now)
      return decide(now)
    },
    applyReport (id, report, now) {
      const engine = engines.get(id)
      if (engine === undefined) return []
      engine.reportPending = false
      if (report === undefined) {
        avoidEngine(engine, now)
        return decide(now)
      }
      // A report says nothing about the responses to requests.
      if (!isOnProbation(engine)) engine.avoidedUntil = -Infinity
      if (!applyReport(engine, report, state.coldLoadMs, now)) engine.reportAt = now + commandVisibilityMs
      if (engine.models.size === 0 && (report.busy || engine.modelLoadCheckAt !== undefined)) {
        engine.reportAt = now + modelLoadCheckMs
        if (report.busy) engine.modelLoadCheckAt = now + modelLoadCheckMs
      }
      if ([...engine.replicas.values()].some(replica => replica.state === 'unloading')) engine.reportAt = now + commandVisibilityMs
      return decide(now)
    },
    tick (now) {
      decayUse(now)
      releaseExpired(now)
      planner.settleLoads(now)
      compareSpeeds(engines.values(), now)
      for (const engine of engines.values()) scheduleStallReport(engine, now)
      return decide(now)
    },
    status (now) {
      const view = planner.view(now)
      const loadWaitMs = Math.round(planner.loadWaitMs(planner.countMissingAdapters(blocked, view), view))
      return [...engines.values()].map(engine => ({
        id: engine.server.id,
        scopes: [...engine.replicas].filter(([scope, replica]) => replica.state !== 'unloading' && isCurrent(replica, scope)).map(([scope]) => scope),
        backlogMs: Math.round(reportedBacklogMs(engine, now)),
        running: engine.runs.size,
        loadWaitMs,
        ...sharedSpeed(engine, now)
      }))
    },
    use (id, now) {
      const engine = engines.get(id)
      return engine === undefined ? undefined : { use: useOf(engine, now), avoidedForMs: Math.max(0, engine.avoidedUntil - now) }
    },
    waitingCount: () => waiting.size,
    nextDecisionAt (now) {
      if (blocked.length === 0) return undefined
      let next = Infinity
      for (const engine of engines.values()) {
        const waitMs = limitWaitMs(engine, now)
        if (waitMs > 0) next = Math.min(next, now + waitMs)
        for (const req of blocked) {
          const at = planner.usableAt(engine.replicas.get(req.scope))
          if (at > now) next = Math.min(next, at)
        }
      }
      return next === Infinity ? undefined : next
    }
  }
}
