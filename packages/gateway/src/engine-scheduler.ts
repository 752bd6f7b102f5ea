/**
 * Queue and placement for the engines that one node owns: which waiting request goes to which engine
 * when, what is loaded for the others, and which requests are refused because they cannot be served
 * in time. Requests wait here, not at the engines, so that the most urgent one is always next.
 */
import { createEngineLoads, storeLoadLimit, modelCheckMs, uncertainMs, type EnginesView, type SchedulerState, type Waiting } from './engine-loads'
import type { EngineScheduler, RefusalReason, SchedulerAction, SchedulerConfig } from './engine-scheduler-types'
import { adoptModels, applyReport, backlogMs, createEngineState, hasRoom, learnPrefillRate, noteFailure, noteSuccess, keepsPauses, noteReading, prefillMs, restart, suspect, uncachedTokens, type EngineState } from './engine-state'
import { cacheScope } from './prompt-cache'

export * from './engine-scheduler-types'

/** Prompt reading that may be queued at an engine, in ms; more would let a later, more urgent request wait there. */
const maxBacklogMs = 250
/** An engine that fails all its requests costs this many times more than its delay, in addition to it. */
const failureCost = 4
/** Cost of a copy of an older version, in ms: more than any delay for which a request would wait. */
const staleCostMs = 1000
/** Waiting requests; beyond that, none could be served before its deadline. */
const maxWaiting = 2000
/** Shortest time in which a request can be served once it is sent, in ms. */
const minRunMs = 60
const minRetryAfterMs = 200
/** Time a caller should stay away while no engine can be used, in ms: engines return within seconds. */
const noEngineRetryMs = 1000
/** First estimates of a load's duration, in ms; corrected by what happens. */
const initialColdLoadMs = 260
const initialWarmLoadMs = 30
/** Time without a first event beyond the estimate after which the engine is asked for a report, in ms. */
const stallMs = 1200
const stallProbeGapMs = 1000
/** First estimate of the time that a request runs, in ms. */
const initialRunMs = 1500
/** Weight of the newest run in the mean. */
const runWeight = 0.05
/** The use of an adapter decays by half in this time, in ms. */
const useHalfLifeMs = 8000

export function createEngineScheduler (cfg: SchedulerConfig): EngineScheduler {
  const state: SchedulerState = { engines: new Map(), versions: new Map(), coldLoadMs: initialColdLoadMs, warmLoadMs: initialWarmLoadMs, meanRunMs: initialRunMs, storeLoads: storeLoadLimit(0) }
  const { engines, versions } = state
  const loads = createEngineLoads(cfg, state)
  const { isCurrent, isUsable } = loads
  const waiting = new Map<string, Waiting>()
  /** Engine of each granted request. */
  const granted = new Map<string, string>()
  /** Requests that no engine could take at the last decision. */
  let blocked: Waiting[] = []
  let lastDecayAt = -Infinity

  function reachable (engine: EngineState, req: Waiting, now: number): boolean {
    return engine.server.service === req.service && engine.server.state === 'ready' && engine.suspectUntil <= now &&
      engine.models.has(req.demand.model) && !req.excluded.includes(engine.server.id) && (req.only === undefined || req.only.includes(engine.server.id))
  }

  /** Engines that hold the request's adapter. */
  function holders (req: Waiting, view: EnginesView, now: number): EngineState[] {
    if (req.demand.adapter === undefined) return [...engines.values()].filter(engine => reachable(engine, req, now))
    const copies = view.copies.get(req.scope) ?? []
    return copies.filter(engine => reachable(engine, req, now) && isUsable(engine.copies.get(req.scope)!, req.scope, now))
  }

  function bestEngine (req: Waiting, view: EnginesView, now: number): EngineState | undefined {
    let best: EngineState | undefined
    let bestCost = Infinity
    for (const engine of holders(req, view, now)) {
      if (backlogMs(engine, now) > maxBacklogMs || !hasRoom(engine, req.demand) || !keepsPauses(engine, req.demand, now)) continue
      const copy = engine.copies.get(req.scope)
      // A copy of an older version is avoided while a current one exists.
      const stale = copy !== undefined && !isCurrent(copy, req.scope) ? staleCostMs : 0
      const cost = (backlogMs(engine, now) + prefillMs(engine, req.demand)) * (1 + failureCost * engine.failureRate) + engine.runs.size + stale
      if (cost < bestCost) {
        best = engine
        bestCost = cost
      }
    }
    return best
  }

  function grant (req: Waiting, engine: EngineState, now: number): SchedulerAction {
    waiting.delete(req.id)
    const readMs = prefillMs(engine, req.demand)
    noteReading(engine, req.demand, now)
    engine.runs.set(req.id, {
      id: req.id,
      node: req.node,
      scope: req.scope,
      demand: req.demand,
      sentAt: now,
      deadlineAt: req.deadlineAt,
      uncachedTokens: uncachedTokens(engine, req.demand),
      prefillMs: readMs,
      expectedFirstAt: now + backlogMs(engine, now) + readMs,
      ...(req.pauseMs === undefined ? {} : { pauseMs: req.pauseMs })
    })
    delete engine.runTokens
    engine.cache.use(req.demand)
    granted.set(req.id, engine.server.id)
    const copy = engine.copies.get(req.scope)
    if (copy !== undefined) {
      copy.running += 1
      copy.use += 1
      copy.lastUsedAt = now
      if (copy.state === 'loading') copy.probeSentAt ??= now
    }
    const newest = versions.get(req.scope)
    const version = copy !== undefined && newest !== undefined && isCurrent(copy, req.scope) ? newest.version : undefined
    return {
      type: 'grant',
      request: req.id,
      node: req.node,
      engine: engine.server.id,
      address: engine.server.address,
      ...(version === undefined ? {} : { version }),
      waitedMs: now - req.arrivedAt,
      running: engine.runs.size,
      prefillMs: readMs
    }
  }

  function refuse (req: Waiting, reason: RefusalReason, retryAfterMs: number, now: number): SchedulerAction {
    waiting.delete(req.id)
    return { type: 'refuse', request: req.id, node: req.node, reason, retryAfterMs: Math.round(Math.max(minRetryAfterMs, retryAfterMs)), waitedMs: now - req.arrivedAt }
  }

  /**
   * Requests that can still meet their objective go first, then by the time that is left for it: all
   * classes are delayed alike in a surge, those with shorter objectives least.
   */
  function inOrder (view: EnginesView, now: number): Waiting[] {
    const rate = meanPrefillRate()
    const late = new Map<string, boolean>()
    for (const req of waiting.values()) {
      const loadMs = hasCopy(req, view, now) ? 0 : state.coldLoadMs
      late.set(req.id, now + loadMs + req.demand.promptTokens / rate > req.objectiveAt)
    }
    const rank = (req: Waiting): number => late.get(req.id) === true ? 1 : 0
    return [...waiting.values()].sort((left, right) => rank(left) - rank(right) || left.objectiveAt - right.objectiveAt || left.priority - right.priority)
  }

  /** Earliest start of a request behind `aheadMs` of prompt reading, in ms from now. */
  function earliestStartMs (req: Waiting, aheadMs: number, now: number): number {
    let usable = 0
    let leastMs = Infinity
    for (const engine of engines.values()) {
      if (!reachable(engine, req, now)) continue
      usable += 1
      leastMs = Math.min(leastMs, backlogMs(engine, now))
    }
    return usable === 0 ? Infinity : aheadMs / usable + leastMs
  }

  function canLoadAnywhere (req: Waiting, now: number): boolean {
    return [...engines.values()].some(engine => reachable(engine, req, now) && cfg.mayCommand(engine.server.id, now))
  }

  function hasCopy (req: Waiting, view: EnginesView, now: number): boolean {
    if (req.demand.adapter === undefined) return true
    return (view.copies.get(req.scope) ?? []).some(engine => {
      const copy = engine.copies.get(req.scope)!
      return reachable(engine, req, now) && (copy.state === 'loading' || isUsable(copy, req.scope, now))
    })
  }

  /** @param loadsAhead - adapters whose loads come before this request's */
  function refusalOf (req: Waiting, view: EnginesView, aheadMs: number, loadsAhead: number, now: number): SchedulerAction | undefined {
    const held = hasCopy(req, view, now)
    const startMs = Math.max(earliestStartMs(req, aheadMs, now), held ? 0 : loads.loadWaitMs(loadsAhead, view))
    if (startMs === Infinity) return refuse(req, 'no-engine', noEngineRetryMs, now)
    if (!held && !canLoadAnywhere(req, now)) return refuse(req, 'cannot-load', noEngineRetryMs, now)
    const slackMs = req.startBy - now - minRunMs
    // Others overtake a request that is late already, so what is left of its time says little; it goes when half of it is over.
    const lateMs = now - req.objectiveAt
    if (lateMs > 0 && lateMs > slackMs) return refuse(req, 'too-late', startMs, now)
    return startMs > slackMs ? refuse(req, 'too-late', startMs - Math.max(0, slackMs), now) : undefined
  }

  function reportActions (now: number): SchedulerAction[] {
    return [...engines.values()].flatMap(engine => {
      if (engine.reporting || engine.reportAt === undefined || engine.reportAt > now) return []
      engine.reporting = true
      delete engine.reportAt
      return [{ type: 'report', engine: engine.server.id } as const]
    })
  }

  function decide (now: number): SchedulerAction[] {
    const actions: SchedulerAction[] = []
    blocked = []
    let aheadMs = 0
    const loadScopes = new Set<string>()
    const view = loads.view()
    const rate = meanPrefillRate()
    for (const req of inOrder(view, now)) {
      const engine = bestEngine(req, view, now)
      if (engine !== undefined) {
        actions.push(grant(req, engine, now))
        continue
      }
      if (!hasCopy(req, view, now)) loadScopes.add(req.scope)
      const refusal = refusalOf(req, view, aheadMs, loadScopes.size, now)
      if (refusal !== undefined) {
        actions.push(refusal)
        continue
      }
      blocked.push(req)
      aheadMs += req.demand.promptTokens / rate
    }
    actions.push(...loads.decide(blocked, view, now), ...reportActions(now))
    return actions
  }

  function meanPrefillRate (): number {
    let sum = 0
    for (const { prefillRate } of engines.values()) sum += prefillRate
    return engines.size === 0 ? 1 : sum / engines.size
  }

  function release (id: string, now: number): EngineState | undefined {
    const engine = engines.get(granted.get(id) ?? '')
    granted.delete(id)
    const run = engine?.runs.get(id)
    if (engine === undefined || run === undefined) return undefined
    engine.runs.delete(id)
    delete engine.runTokens
    if (run.firstEventAt !== undefined) state.meanRunMs += runWeight * (now - run.sentAt - state.meanRunMs)
    const copy = engine.copies.get(run.scope)
    if (copy !== undefined) copy.running = Math.max(0, copy.running - 1)
    return engine
  }

  function decayUse (now: number): void {
    const factor = 0.5 ** (Math.min(now - lastDecayAt, useHalfLifeMs) / useHalfLifeMs)
    lastDecayAt = now
    for (const { copies } of engines.values()) {
      for (const copy of copies.values()) copy.use *= factor
    }
  }

  function probeStalled (engine: EngineState, now: number): void {
    if (engine.reporting || engine.reportAt !== undefined || now - (engine.probedAt ?? -Infinity) < stallProbeGapMs) return
    for (const run of engine.runs.values()) {
      if (run.firstEventAt !== undefined || now - run.expectedFirstAt < stallMs || run.expectedFirstAt < engine.lastFirstAt) continue
      engine.probedAt = now
      engine.reportAt = now
      return
    }
  }

  function dropExpired (now: number): void {
    for (const engine of engines.values()) {
      for (const run of engine.runs.values()) {
        if (now > run.deadlineAt + 1000) release(run.id, now)
      }
    }
  }

  return {
    setEngines (list, now) {
      const ids = new Set(list.map(({ server }) => server.id))
      for (const [id, engine] of engines) {
        if (ids.has(id)) continue
        for (const run of engine.runs.keys()) granted.delete(run)
        engines.delete(id)
      }
      for (const { server, spec } of list) {
        const known = engines.get(server.id)
        if (known === undefined) {
          engines.set(server.id, createEngineState(server, spec, now))
          continue
        }
        known.server = server
        known.spec = spec
        if (server.bornAt !== 0 && known.bornAt !== 0 && server.bornAt > known.bornAt) restart(known, server.bornAt, now)
        if (known.models.size === 0 && server.models.length > 0) adoptModels(known, server.models, now)
      }
      return decide(now)
    },
    setShare (owned, all) {
      state.storeLoads = all === 0 ? storeLoadLimit(0) : storeLoadLimit(all) * owned / all
    },
    setVersion ({ model, adapter, version }, recent, now) {
      const scope = cacheScope({ model, adapter })
      const known = versions.get(scope)
      if (known !== undefined && known.version >= version) return []
      versions.set(scope, { version, announcedAt: recent ? now : -Infinity })
      // What engines keep in memory is an older version.
      for (const engine of engines.values()) engine.held.delete(scope)
      return decide(now)
    },
    submit (req, now) {
      if (waiting.has(req.id)) return []
      const entry: Waiting = { ...req, scope: cacheScope(req.demand), arrivedAt: now }
      waiting.set(req.id, entry)
      if (waiting.size > maxWaiting) return [refuse(entry, 'queue-full', noEngineRetryMs, now)]
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
      run.firstEventAt = now
      engine.lastFirstAt = now
      learnPrefillRate(engine, run, now)
      noteSuccess(engine)
      const copy = engine.copies.get(run.scope)
      if (copy?.state === 'loading') {
        copy.state = 'resident'
        loads.loadConfirmed(copy)
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
      if (outcome === 'ok') noteSuccess(engine)
      else if (outcome === 'failed') noteFailure(engine)
      else if (outcome === 'unreachable') suspect(engine, now)
      else if (outcome === 'misdirected' || outcome === 'not-run') loads.copyMissing(engine, run.scope, now)
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
    commandResult (id, result, now) {
      const engine = engines.get(id)
      if (engine === undefined) return []
      loads.commandResult(engine, result, now)
      return decide(now)
    },
    reported (id, report, now) {
      const engine = engines.get(id)
      if (engine === undefined) return []
      engine.reporting = false
      if (report === undefined) {
        suspect(engine, now)
        return decide(now)
      }
      engine.suspectUntil = -Infinity
      if (!applyReport(engine, report, state.coldLoadMs, now)) engine.reportAt = now + uncertainMs
      if (engine.models.size === 0 && (report.busy || engine.modelLoadUntil !== undefined)) {
        engine.reportAt = now + modelCheckMs
        if (report.busy) engine.modelLoadUntil = now + modelCheckMs
      }
      if ([...engine.copies.values()].some(copy => copy.state === 'unloading')) engine.reportAt = now + uncertainMs
      return decide(now)
    },
    tick (now) {
      decayUse(now)
      dropExpired(now)
      for (const engine of engines.values()) probeStalled(engine, now)
      return decide(now)
    },
    status (now) {
      const view = loads.view()
      const loadWaitMs = Math.round(loads.loadWaitMs(loads.missing(blocked, view), view))
      return [...engines.values()].map(engine => ({
        id: engine.server.id,
        scopes: [...engine.copies].filter(([scope, copy]) => copy.state !== 'unloading' && isCurrent(copy, scope)).map(([scope]) => scope),
        backlogMs: Math.round(engine.suspectUntil > now ? Math.max(maxBacklogMs * 4, backlogMs(engine, now)) : backlogMs(engine, now)),
        running: engine.runs.size,
        loadWaitMs
      }))
    },
    waiting: () => waiting.size,
    nextAt (now) {
      if (blocked.length === 0) return undefined
      let next = Infinity
      for (const req of blocked) {
        for (const { copies } of engines.values()) {
          const at = loads.usableAt(copies.get(req.scope))
          if (at > now) next = Math.min(next, at)
        }
      }
      return next === Infinity ? undefined : next
    }
  }
}
