/**
 * Queue and placement for the engines that one node owns: which waiting request goes to which engine
 * when, what is loaded for the others, and which requests are refused because they cannot be served
 * in time. Requests wait here, not at the engines, so that the most urgent one is always next.
 */
import type { AdapterVersion, BackendServer, EngineCommandResult, EngineReport, EngineSpec, ModelDemand } from './cluster-types'
import { coldLoads, decideLoad, type WantedAdapter } from './adapter-loads'
import { adoptModels, applyReport, createEngineState, forgetCopy, hasRoom, isIdle, noteFailure, noteSuccess, prefillMs, restart, suspect, type AdapterCopy, type EngineState, type PendingCommand } from './engine-state'
import { cacheScope } from './prompt-cache'

export type ScheduledRequest = {
  id: string
  /** Node that holds the client's request. */
  node: string
  service: string
  demand: ModelDemand
  /** 0 is the most urgent. */
  priority: number
  objectiveAt: number
  deadlineAt: number
  /** Engines that it must not go to. */
  excluded: string[]
  /** The only engines that it may go to, when it has used up its attempts. */
  only?: string[]
}

export type RefusalReason = 'no-engine' | 'cannot-load' | 'too-late' | 'queue-full'

export type SchedulerAction =
  | { type: 'grant', request: string, node: string, engine: string, address: string, version?: number, waitedMs: number, running: number, prefillMs: number }
  | { type: 'refuse', request: string, node: string, retryAfterMs: number, reason: RefusalReason, waitedMs: number }
  | { type: 'command', engine: string, command: PendingCommand }
  | { type: 'report', engine: string }

/** How a granted request ended, as the node that sent it saw it. */
export type RunOutcome =
  | 'ok'
  /** An error response, or a response that broke off. */
  | 'failed'
  /** Refused as not run because the engine is full or the adapter is not there yet. */
  | 'not-run'
  /** Another server, or no such adapter or version: not run. */
  | 'misdirected'
  /** No connection: not sent. */
  | 'unreachable'
  /** The client left, or the request was never sent. */
  | 'cancelled'

export type EngineStatus = { id: string, scopes: string[], backlogMs: number, running: number }

export type SchedulerConfig = {
  /** Time in which a new version must be in use everywhere, in ms. */
  versionMs: number
  /** Whether this node may give the engine commands now. */
  mayCommand (engine: string, now: number): boolean
}

export type EngineScheduler = {
  /** The engines that this node owns now; requests for others are no longer decided here. */
  setEngines (engines: { server: BackendServer, spec: EngineSpec }[], now: number): SchedulerAction[]
  /** Share of all engines that this node owns, which bounds its part of the loads on their way. */
  setShare (share: number): void
  setVersion (version: AdapterVersion, now: number): SchedulerAction[]
  submit (req: ScheduledRequest, now: number): SchedulerAction[]
  cancel (id: string, now: number): SchedulerAction[]
  firstEvent (id: string, now: number): SchedulerAction[]
  ended (id: string, outcome: RunOutcome, now: number): SchedulerAction[]
  /** The node that held these requests is gone. */
  nodeLost (node: string, now: number): SchedulerAction[]
  commandResult (engine: string, result: EngineCommandResult, now: number): SchedulerAction[]
  reported (engine: string, report: EngineReport | undefined, now: number): SchedulerAction[]
  tick (now: number): SchedulerAction[]
  status (now: number): EngineStatus[]
  waiting (): number
  /** Drops all requests, for example when the node stops being an owner. @returns refusals */
  drain (now: number): SchedulerAction[]
}

/** Prompt reading that may be queued at an engine, in ms; more would let a later, more urgent request wait there. */
const maxBacklogMs = 250
/** An adapter is loaded a second time when its copies make requests wait this much longer than a load, in ms. */
const replicateAfterMs = 150
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
/** Pause before the next try when a load turns out to be unfinished, in ms. */
const loadRetryMs = 40
/** Loads over all engines up to which each takes its usual time. */
const storeLoadLimit = 8
/** A response to a command may be lost although it is carried out; a report older than this may not show it, in ms. */
const uncertainMs = 450
/** Time without a first event beyond the estimate after which the engine is asked for a report, in ms. */
const stallMs = 1200
const stallProbeGapMs = 1000
/** Copies of an older version are used until this long before a new version must be in force, in ms. */
const versionMarginMs = 1500
/** The use of an adapter decays by half in this time, in ms. */
const useHalfLifeMs = 8000
/** A load of a base model is checked at this pace, in ms. */
const modelCheckMs = 1000

type Waiting = ScheduledRequest & { scope: string, arrivedAt: number }
type Newest = { version: number, announcedAt: number }

export function createEngineScheduler (cfg: SchedulerConfig): EngineScheduler {
  const engines = new Map<string, EngineState>()
  const waiting = new Map<string, Waiting>()
  /** Engine of each granted request. */
  const granted = new Map<string, string>()
  const versions = new Map<string, Newest>()
  let coldLoadMs = initialColdLoadMs
  let warmLoadMs = initialWarmLoadMs
  let share = 1
  let lastDecayAt = -Infinity

  function isCurrent (copy: AdapterCopy, scope: string): boolean {
    const newest = versions.get(scope)
    if (newest === undefined) return true
    return copy.version === undefined ? copy.loadStartedAt > newest.announcedAt : copy.version >= newest.version
  }

  function isUsable (copy: AdapterCopy, scope: string, now: number): boolean {
    if (copy.state === 'unloading' || copy.retiring === true || copy.readyAt > now) return false
    return isCurrent(copy, scope) || now < versions.get(scope)!.announcedAt + cfg.versionMs - versionMarginMs
  }

  function reachable (engine: EngineState, req: Waiting, now: number): boolean {
    return engine.server.service === req.service && engine.server.state === 'ready' && engine.suspectUntil <= now &&
      engine.models.has(req.demand.model) && !req.excluded.includes(engine.server.id) && (req.only === undefined || req.only.includes(engine.server.id))
  }

  function backlogMs (engine: EngineState, now: number): number {
    return Math.max(0, engine.prefillFreeAt - now)
  }

  /** Engines that hold the request's adapter. */
  function holders (req: Waiting, now: number): EngineState[] {
    return [...engines.values()].filter(engine => {
      if (!reachable(engine, req, now)) return false
      if (req.demand.adapter === undefined) return true
      const copy = engine.copies.get(req.scope)
      return copy !== undefined && isUsable(copy, req.scope, now)
    })
  }

  function bestEngine (req: Waiting, now: number): EngineState | undefined {
    let best: EngineState | undefined
    let bestCost = Infinity
    for (const engine of holders(req, now)) {
      if (backlogMs(engine, now) > maxBacklogMs || !hasRoom(engine, req.demand)) continue
      const copy = engine.copies.get(req.scope)
      // A copy of an older version is avoided while a current one exists.
      const stale = copy !== undefined && !isCurrent(copy, req.scope) ? 1000 : 0
      const cost = (backlogMs(engine, now) + prefillMs(engine, req.demand)) * (1 + 4 * engine.failureRate) + engine.runs.size + stale
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
    engine.prefillFreeAt = Math.max(now, engine.prefillFreeAt) + readMs
    engine.runs.set(req.id, { id: req.id, node: req.node, scope: req.scope, demand: req.demand, sentAt: now, deadlineAt: req.deadlineAt, expectedFirstAt: engine.prefillFreeAt })
    delete engine.runTokens
    engine.cache.use(req.demand)
    granted.set(req.id, engine.server.id)
    const copy = engine.copies.get(req.scope)
    if (copy !== undefined) {
      copy.running += 1
      copy.use += 1
      copy.lastUsedAt = now
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

  /** Requests that can still meet their objective go first, then by urgency, then by the time that is left. */
  function inOrder (now: number): Waiting[] {
    const key = (req: Waiting): number => (req.objectiveAt > now ? 0 : 1)
    return [...waiting.values()].sort((left, right) => key(left) - key(right) || left.priority - right.priority || left.objectiveAt - right.objectiveAt)
  }

  /** Earliest start of a request behind `aheadMs` of prompt reading, in ms from now. */
  function earliestStartMs (req: Waiting, aheadMs: number, now: number): number {
    const usable = [...engines.values()].filter(engine => reachable(engine, req, now))
    if (usable.length === 0) return Infinity
    return aheadMs / usable.length + Math.min(...usable.map(engine => backlogMs(engine, now)))
  }

  function canLoadAnywhere (req: Waiting, now: number): boolean {
    return [...engines.values()].some(engine => reachable(engine, req, now) && cfg.mayCommand(engine.server.id, now))
  }

  function hasCopy (req: Waiting, now: number): boolean {
    if (req.demand.adapter === undefined) return true
    return [...engines.values()].some(engine => {
      const copy = engine.copies.get(req.scope)
      return copy !== undefined && reachable(engine, req, now) && (copy.state === 'loading' || isUsable(copy, req.scope, now))
    })
  }

  function refusalOf (req: Waiting, aheadMs: number, now: number): SchedulerAction | undefined {
    const startMs = earliestStartMs(req, aheadMs, now)
    if (startMs === Infinity) return refuse(req, 'no-engine', noEngineRetryMs, now)
    if (!hasCopy(req, now) && !canLoadAnywhere(req, now)) return refuse(req, 'cannot-load', noEngineRetryMs, now)
    const slackMs = req.deadlineAt - now - minRunMs
    return startMs > slackMs ? refuse(req, 'too-late', startMs - Math.max(0, slackMs), now) : undefined
  }

  function wantedAdapters (blocked: Waiting[], now: number): WantedAdapter[] {
    const wanted = new Map<string, WantedAdapter>()
    for (const req of blocked) {
      const { model, adapter } = req.demand
      if (adapter === undefined || isLoading(req.scope)) continue
      const copies = holders(req, now)
      const waitMs = copies.length === 0 ? Infinity : Math.min(...copies.map(engine => hasRoom(engine, req.demand) ? backlogMs(engine, now) : Infinity))
      if (waitMs < (copies.length === 0 ? 0 : coldLoadMs + replicateAfterMs)) continue
      const version = versions.get(req.scope)?.version
      const entry = wanted.get(req.scope) ?? { scope: req.scope, model, adapter, ...(version === undefined ? {} : { version }), weight: 0 }
      // The most urgent class counts most; a request that is already late counts least.
      entry.weight += (req.objectiveAt > now ? 4 : 1) / (1 + req.priority)
      wanted.set(req.scope, entry)
    }
    return [...wanted.values()].sort((left, right) => right.weight - left.weight)
  }

  function isLoading (scope: string): boolean {
    for (const { copies, pending } of engines.values()) {
      if (copies.get(scope)?.state === 'loading') return true
      if (pending?.operation === 'load' && pending.adapter !== undefined && cacheScope(pending) === scope) return true
    }
    return false
  }

  /** Adapters in use of which only older versions are held. */
  function outdatedAdapters (now: number): WantedAdapter[] {
    const outdated: WantedAdapter[] = []
    for (const [scope, { version }] of versions) {
      let use = 0
      let held: AdapterCopy | undefined
      let current = isLoading(scope)
      for (const engine of engines.values()) {
        const copy = engine.copies.get(scope)
        if (copy === undefined) continue
        current ||= isCurrent(copy, scope)
        use += copy.use
        held = copy
      }
      if (!current && held !== undefined && use >= 0.5) outdated.push({ scope, model: held.model, adapter: held.adapter, version, weight: use })
    }
    for (const { scope } of outdated) retireOne(scope, now)
    return outdated
  }

  /** With an older copy on every engine, the least busy one stops taking requests so that it can be replaced. */
  function retireOne (scope: string, now: number): void {
    const usable = [...engines.values()].filter(engine => engine.suspectUntil <= now)
    const copies = usable.flatMap(engine => engine.copies.get(scope) ?? [])
    if (copies.length === 0 || copies.length < usable.length || copies.some(copy => copy.retiring === true)) return
    copies.sort((left, right) => left.running - right.running)
    copies[0]!.retiring = true
  }

  function canCommand (engine: EngineState, now: number): boolean {
    return engine.pending === undefined && engine.commandCount !== undefined && engine.suspectUntil <= now && engine.server.state === 'ready' && cfg.mayCommand(engine.server.id, now)
  }

  function command (engine: EngineState, operation: PendingCommand['operation'], target: { model: string, adapter?: string, version?: number }, now: number): SchedulerAction {
    const { model, adapter, version } = target
    const pending: PendingCommand = {
      operation,
      model,
      ...(adapter === undefined ? {} : { adapter }),
      ...(version === undefined || operation === 'unload' ? {} : { version }),
      expectedCount: engine.commandCount!,
      sentAt: now
    }
    engine.pending = pending
    return { type: 'command', engine: engine.server.id, command: pending }
  }

  function loadActions (blocked: Waiting[], now: number): SchedulerAction[] {
    const actions: SchedulerAction[] = []
    const keep = new Set(blocked.map(({ scope }) => scope))
    const ctx = { now, commandable: (engine: EngineState) => canCommand(engine, now), coldLoadMs, warmLoadMs, coldLoadLimit: Math.max(1, Math.ceil(storeLoadLimit * share)) }
    for (const wanted of [...wantedAdapters(blocked, now), ...outdatedAdapters(now)]) {
      const candidates = [...engines.values()].filter(engine => {
        const copy = engine.copies.get(wanted.scope)
        return copy === undefined || !isCurrent(copy, wanted.scope)
      })
      const decision = decideLoad(wanted, candidates, keep, ctx)
      if (decision === undefined) continue
      actions.push(decision.type === 'load' ? command(decision.engine, 'load', wanted, now) : command(decision.engine, 'unload', decision.copy, now))
    }
    return actions
  }

  /** An engine that started empty needs its base models before anything else. */
  function modelActions (now: number): SchedulerAction[] {
    return [...engines.values()].flatMap(engine => {
      if (!canCommand(engine, now)) return []
      const heldMb = engine.spec.models.filter(({ name }) => engine.models.has(name)).reduce((sum, { weightsMb }) => sum + weightsMb, 0)
      const missing = engine.spec.models.find(model => !engine.models.has(model.name) && heldMb + model.weightsMb <= engine.spec.weightsMb)
      if (missing === undefined || (engine.models.size > 0 && ![...waiting.values()].some(req => req.demand.model === missing.name))) return []
      return engine.modelLoadUntil !== undefined && engine.modelLoadUntil > now ? [] : [command(engine, 'load', { model: missing.name }, now)]
    })
  }

  /** Copies of older versions that must not be used any more leave as soon as nothing runs on them. */
  function unloadOutdated (now: number): SchedulerAction[] {
    return [...engines.values()].flatMap(engine => {
      if (!canCommand(engine, now)) return []
      for (const [scope, copy] of engine.copies) {
        if (isIdle(engine, scope, copy) && !isCurrent(copy, scope) && !isUsable(copy, scope, now)) return [command(engine, 'unload', copy, now)]
      }
      return []
    })
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
    const blocked: Waiting[] = []
    let aheadMs = 0
    for (const req of inOrder(now)) {
      const engine = bestEngine(req, now)
      if (engine !== undefined) {
        actions.push(grant(req, engine, now))
        continue
      }
      const refusal = refusalOf(req, aheadMs, now)
      if (refusal !== undefined) {
        actions.push(refusal)
        continue
      }
      blocked.push(req)
      aheadMs += req.demand.promptTokens / meanPrefillRate()
    }
    actions.push(...modelActions(now), ...loadActions(blocked, now), ...unloadOutdated(now), ...reportActions(now))
    return actions
  }

  function meanPrefillRate (): number {
    let sum = 0
    for (const { prefillRate } of engines.values()) sum += prefillRate
    return engines.size === 0 ? 1 : sum / engines.size
  }

  function release (id: string): EngineState | undefined {
    const engine = engines.get(granted.get(id) ?? '')
    granted.delete(id)
    const run = engine?.runs.get(id)
    if (engine === undefined || run === undefined) return undefined
    engine.runs.delete(id)
    delete engine.runTokens
    const copy = engine.copies.get(run.scope)
    if (copy !== undefined) copy.running = Math.max(0, copy.running - 1)
    return engine
  }

  /** The engine has no such adapter yet, or no longer. */
  function copyMissing (engine: EngineState, scope: string, now: number): void {
    const copy = engine.copies.get(scope)
    if (copy === undefined) return
    if (copy.state === 'loading') {
      copy.readyAt = now + loadRetryMs
      if (copy.warm) warmLoadMs = Math.min(warmLoadMs * 1.1, initialColdLoadMs)
      else coldLoadMs = Math.min(coldLoadMs * 1.1, 4 * initialColdLoadMs)
    } else {
      copy.readyAt = now + uncertainMs
    }
    engine.reportAt = Math.min(engine.reportAt ?? Infinity, now + uncertainMs)
  }

  function prefillDone (engine: EngineState, now: number): void {
    const unread = [...engine.runs.values()].some(run => run.firstEventAt === undefined)
    if (!unread) engine.prefillFreeAt = Math.min(engine.prefillFreeAt, now)
  }

  function learnRate (engine: EngineState, expectedMs: number, actualMs: number): void {
    if (expectedMs < 20 || actualMs <= 0) return
    const ratio = Math.min(2, Math.max(0.5, expectedMs / actualMs))
    engine.prefillRate = Math.min(200, Math.max(5, engine.prefillRate * ratio ** 0.05))
  }

  function acceptedCommand (engine: EngineState, { operation, model, adapter, version }: PendingCommand, now: number): void {
    if (adapter === undefined) {
      engine.modelLoadUntil = now + modelCheckMs
      engine.reportAt = now + modelCheckMs
      return
    }
    const scope = cacheScope({ model, adapter })
    if (operation === 'unload') {
      const copy = engine.copies.get(scope)
      if (copy !== undefined) copy.state = 'unloading'
      engine.reportAt = Math.min(engine.reportAt ?? Infinity, now + uncertainMs)
      return
    }
    const warm = engine.held.has(scope)
    const slowdown = warm ? 1 : Math.max(1, coldLoads(engines.values()) / Math.max(1, storeLoadLimit * share))
    engine.copies.set(scope, {
      model,
      adapter,
      ...(version === undefined ? {} : { version }),
      state: 'loading',
      warm,
      loadStartedAt: now,
      readyAt: now + (warm ? warmLoadMs : coldLoadMs) * slowdown,
      lastUsedAt: now,
      running: 0,
      use: 1
    })
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
      if (run.firstEventAt !== undefined || now - run.expectedFirstAt < stallMs) continue
      engine.probedAt = now
      engine.reportAt = now
      return
    }
  }

  function dropExpired (now: number): void {
    for (const engine of engines.values()) {
      for (const run of engine.runs.values()) {
        if (now > run.deadlineAt + 1000) release(run.id)
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
    setShare (value) {
      share = value
    },
    setVersion ({ model, adapter, version }, now) {
      const scope = cacheScope({ model, adapter })
      const known = versions.get(scope)
      if (known !== undefined && known.version >= version) return []
      versions.set(scope, { version, announcedAt: now })
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
      return release(id) === undefined ? [] : decide(now)
    },
    firstEvent (id, now) {
      const engine = engines.get(granted.get(id) ?? '')
      const run = engine?.runs.get(id)
      if (engine === undefined || run === undefined) return []
      run.firstEventAt = now
      learnRate(engine, run.expectedFirstAt - run.sentAt, now - run.sentAt)
      noteSuccess(engine)
      const copy = engine.copies.get(run.scope)
      if (copy?.state === 'loading') {
        copy.state = 'resident'
        if (copy.warm) warmLoadMs = Math.max(10, warmLoadMs * 0.98)
        else coldLoadMs = Math.max(50, coldLoadMs * 0.98)
      }
      prefillDone(engine, now)
      return decide(now)
    },
    ended (id, outcome, now) {
      const run = engines.get(granted.get(id) ?? '')?.runs.get(id)
      const engine = release(id)
      if (engine === undefined || run === undefined) return waiting.delete(id) ? [] : []
      prefillDone(engine, now)
      if (outcome === 'ok') noteSuccess(engine)
      else if (outcome === 'failed') noteFailure(engine)
      else if (outcome === 'unreachable') suspect(engine, now)
      else if (outcome === 'misdirected' || outcome === 'not-run') copyMissing(engine, run.scope, now)
      return decide(now)
    },
    nodeLost (node, now) {
      for (const req of waiting.values()) {
        if (req.node === node) waiting.delete(req.id)
      }
      for (const engine of engines.values()) {
        for (const run of engine.runs.values()) {
          if (run.node === node) release(run.id)
        }
      }
      return decide(now)
    },
    commandResult (id, result, now) {
      const engine = engines.get(id)
      const pending = engine?.pending
      if (engine === undefined || pending === undefined) return []
      delete engine.pending
      const scope = pending.adapter === undefined ? undefined : cacheScope(pending)
      if (result === 'accepted') {
        engine.commandCount = pending.expectedCount + 1
        acceptedCommand(engine, pending, now)
      } else if (result === 'holds') {
        if (pending.operation === 'unload') {
          engine.commandCount = pending.expectedCount + 1
          if (scope !== undefined) forgetCopy(engine, scope)
        } else {
          engine.commandCount = undefined
          engine.reportAt = now + uncertainMs
        }
      } else {
        // Until a report shows what was carried out, no further command is given.
        engine.commandCount = undefined
        engine.reportAt = now + uncertainMs
      }
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
      if (!applyReport(engine, report, coldLoadMs, now)) engine.reportAt = now + uncertainMs
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
    status: now => [...engines.values()].map(engine => ({
      id: engine.server.id,
      scopes: [...engine.copies].filter(([scope, copy]) => copy.state !== 'unloading' && isCurrent(copy, scope)).map(([scope]) => scope),
      backlogMs: Math.round(engine.suspectUntil > now ? Math.max(maxBacklogMs * 4, backlogMs(engine, now)) : backlogMs(engine, now)),
      running: engine.runs.size
    })),
    waiting: () => waiting.size,
    drain (now) {
      return [...waiting.values()].map(req => refuse(req, 'no-engine', minRetryAfterMs, now))
    }
  }
}
