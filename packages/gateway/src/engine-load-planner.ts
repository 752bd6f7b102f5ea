/**
 * Decides what an owner's engines load and unload: adapters that waiting requests need, newer
 * versions, and base models of engines that started empty. Applies the results of the commands.
 */
import type { EngineCommandResult } from './cluster-types'
import { mayRunAt } from './engine-choice'
import { countColdLoads, decideLoad, earlyRefusalMs, evictionCandidate, isProbed, type WantedAdapter } from './load-placement'
import type { SchedulerAction, SchedulerConfig, ScheduledRequest } from './engine-scheduler-types'
import type { LoadLimit } from './load-limit'
import { backlogMs, removeReplica, hasCapacity, isIdle, freeWeightsMb, adapterSlotLimit, loadedModelsMb, limitIntervalMs, limitWaitMs, prefillShare, type AdapterReplica, type EngineState, type PendingCommand } from './engine-state'
import { cacheScope } from './prompt-cache'
import type { Standing } from './service-order'
import type { VersionHistory } from './version-history'

/** `hasTurn`: it waits for its turn at an engine that states a limit. */
export type WaitingRequest = ScheduledRequest & { scope: string, arrivedAt: number, hasTurn: boolean, standing: Standing, late: boolean }

/** State of one owner that the scheduler and the load planner share. */
export type SchedulerState = {
  engines: Map<string, EngineState>
  versions: Map<string, VersionHistory>
  /** Estimated durations of loads from the weight store (cold) and from an engine's memory (warm), in ms. */
  coldLoadMs: number
  warmLoadMs: number
  /** Mean duration of a request at an engine, in ms. */
  meanRunMs: number
  /** Limit of this owner's concurrent cold loads. */
  coldLoadLimit: LoadLimit
}

/** Summary of all engines, computed once for each decision. */
export type EnginesView = {
  /** Engines that have an adapter or are loading it, by scope. */
  enginesByScope: Map<string, EngineState[]>
  /** Scopes with a load command that has no response yet. */
  pendingLoads: Set<string>
  coldLoads: number
  adapterSlots: number
  /** Slots that are free or whose replica is idle. */
  availableSlots: number
}

export type EngineLoadPlanner = {
  view (now: number): EnginesView
  /** @param blocked - requests that wait for an adapter or for capacity */
  decide (blocked: WaitingRequest[], view: EnginesView, now: number): SchedulerAction[]
  commandFinished (engine: EngineState, result: EngineCommandResult, now: number): void
  /** A request ran on a replica that was counted as loading. */
  loadConfirmed (replica: AdapterReplica): void
  /** Counts loads as done that no request has tested some time after their estimated end. */
  settleLoads (now: number): void
  /** An engine refused a request because it does not have the adapter. */
  replicaMissing (engine: EngineState, scope: string, now: number): void
  isCurrent (replica: AdapterReplica, scope: string): boolean
  isUsable (replica: AdapterReplica, scope: string, now: number): boolean
  /** Time from which requests may be sent to a replica that is counted as loading. */
  usableAt (replica: AdapterReplica | undefined): number
  /** Number of adapters that requests wait for and that no engine is loading. */
  countMissingAdapters (blocked: WaitingRequest[], view: EnginesView): number
  /**
   * Estimated time until an adapter is loaded, in ms.
   *
   * @param loadsAhead - number of adapters that are loaded before it
   */
  loadWaitMs (loadsAhead: number, view: EnginesView): number
}

/** Another replica of an adapter is loaded if requests would wait for the existing ones this much longer than for a load, in ms. */
const replicateAfterMs = 150
/** Delay added for an engine that prefills without a break, in ms. Its streams advance one step for each chunk of a prompt and keep their slots longer. */
const continuousPrefillWaitMs = 500
/** Delay before the next request is sent to a replica that turned out to be still loading, in ms. */
const loadRetryMs = 25
/** Delay after which a report shows the effect of a command, in ms. A command may be carried out although its response was lost. */
export const commandVisibilityMs = 450
/** Replicas of an older version are used until this long before the new version must be in use, in ms. */
const versionMarginMs = 1500
/** Interval at which the load of a base model is checked, in ms. */
export const modelLoadCheckMs = 1000
/** Weight of a waiting request that can still meet its objective, relative to one that cannot. */
const onTimeWeight = 4
/** The same for one that the service order defers: an adapter slot goes to others first, unless many wait for it. */
const deferredWeight = 0.1
/** Recent use from which a newer version is loaded before a request needs it. */
const minReplaceUse = 0.5
/** Bounds of the estimated duration of a load, in ms. */
const minColdLoadMs = 50
const minWarmLoadMs = 10
const maxLoadMs = 1000
/**
 * Corrections of the estimated load duration after the first request to a loading replica. With them
 * about two of five such requests come too early, which costs less than delaying all others.
 */
const confirmedLoadFactor = 0.99
const earlyTryFactor = 1.015

export function createEngineLoadPlanner (cfg: SchedulerConfig, state: SchedulerState): EngineLoadPlanner {
  const { engines, versions } = state
  /** Adapters in use whose last older replica was unloaded and whose newer version is not being loaded yet. */
  const pendingReplacements = new Map<string, WantedAdapter>()

  function isCurrent (replica: AdapterReplica, scope: string): boolean {
    return (versions.get(scope)?.outdatedSince(replica) ?? Infinity) === Infinity
  }

  function isUsable (replica: AdapterReplica, scope: string, now: number): boolean {
    if (replica.state === 'unloading' || replica.retiring === true || replica.readyAt > now) return false
    // A single request tests whether the load is done: an engine refuses at once if it is not.
    if (replica.state === 'loading' && isProbed(replica, now)) return false
    return now < (versions.get(scope)?.outdatedSince(replica) ?? Infinity) + cfg.versionMs - versionMarginMs
  }

  function viewEngines (now: number): EnginesView {
    const view: EnginesView = { enginesByScope: new Map(), pendingLoads: new Set(), coldLoads: countColdLoads(engines.values(), now), adapterSlots: 0, availableSlots: 0 }
    for (const engine of engines.values()) {
      const { pending } = engine
      if (pending?.operation === 'load' && pending.adapter !== undefined) view.pendingLoads.add(cacheScope(pending))
      const limit = adapterSlotLimit(engine)
      view.adapterSlots += limit
      view.availableSlots += Math.max(0, limit - engine.replicas.size)
      for (const [scope, replica] of engine.replicas) {
        const engineList = view.enginesByScope.get(scope)
        if (engineList === undefined) view.enginesByScope.set(scope, [engine])
        else engineList.push(engine)
        if (isIdle(engine, scope, replica)) view.availableSlots += 1
      }
    }
    return view
  }

  /** @returns adapters, with the requests that wait for them */
  function wantedAdapters (blocked: WaitingRequest[], view: EnginesView, now: number): (WantedAdapter & { requests: WaitingRequest[] })[] {
    const wanted = new Map<string, WantedAdapter & { requests: WaitingRequest[] }>()
    /** Requests that wait for an engine which states a limit. */
    const queued = new Map<EngineState, number>()
    const engineWaitMs = (engine: EngineState): number => {
      const queuedMs = limitWaitMs(engine, now) + (queued.get(engine) ?? 0) * limitIntervalMs(engine)
      return Math.max(queuedMs, backlogMs(engine, now) + prefillShare(engine, now) * continuousPrefillWaitMs)
    }
    for (const req of blocked) {
      const { model, adapter } = req.demand
      if (adapter === undefined || isLoadingFor(req, view)) continue
      const usable = usableEngines(req, view, now)
      const waitMs = usable.length === 0 ? Infinity : Math.min(...usable.map(engine => hasCapacity(engine, req.demand) ? engineWaitMs(engine) : Infinity))
      for (const engine of usable) queued.set(engine, (queued.get(engine) ?? 0) + 1)
      if (waitMs < (usable.length === 0 ? 0 : state.coldLoadMs + replicateAfterMs)) continue
      const version = versions.get(req.scope)?.newest()
      const entry = wanted.get(req.scope) ?? { scope: req.scope, model, adapter, ...(version === undefined ? {} : { version }), weight: 0, requests: [] }
      entry.weight += req.standing === 'deferred' ? deferredWeight : req.objectiveAt > now ? onTimeWeight : 1
      entry.requests.push(req)
      wanted.set(req.scope, entry)
    }
    return [...wanted.values()].sort((left, right) => right.weight - left.weight)
  }

  function isLoading (scope: string, view: EnginesView): boolean {
    return view.pendingLoads.has(scope) || (view.enginesByScope.get(scope)?.some(({ replicas }) => replicas.get(scope)?.state === 'loading') ?? false)
  }

  /** Whether an engine that may run the request loads its adapter. */
  function isLoadingFor (req: WaitingRequest, view: EnginesView): boolean {
    if (view.pendingLoads.has(req.scope)) return true
    return view.enginesByScope.get(req.scope)?.some(({ server, replicas }) => mayRunAt(server, req) && replicas.get(req.scope)?.state === 'loading') ?? false
  }

  /** Adapters in use of which engines have only older versions. */
  function outdatedAdapters (view: EnginesView, now: number): WantedAdapter[] {
    const outdated: WantedAdapter[] = []
    for (const [scope, history] of versions) {
      const version = history.newest()
      let use = 0
      let lastReplica: AdapterReplica | undefined
      let hasCurrent = isLoading(scope, view)
      for (const engine of view.enginesByScope.get(scope) ?? []) {
        const replica = engine.replicas.get(scope)!
        hasCurrent ||= isCurrent(replica, scope)
        use += replica.use
        lastReplica = replica
      }
      if (!hasCurrent && lastReplica !== undefined && use >= minReplaceUse) outdated.push({ scope, model: lastReplica.model, adapter: lastReplica.adapter, version, weight: use })
    }
    for (const { scope } of outdated) retireLeastBusy(scope, now)
    return outdated
  }

  /** If every engine has an older replica, the least busy one takes no more requests, so that it can be replaced. */
  function retireLeastBusy (scope: string, now: number): void {
    const usable = [...engines.values()].filter(engine => engine.avoidedUntil <= now)
    const replicas = usable.flatMap(engine => engine.replicas.get(scope) ?? [])
    if (replicas.length === 0 || replicas.length < usable.length || replicas.some(replica => replica.retiring === true)) return
    replicas.sort((left, right) => left.running - right.running)
    replicas[0]!.retiring = true
  }

  function canCommand (engine: EngineState, now: number): boolean {
    return engine.pending === undefined && engine.commandCount !== undefined && engine.avoidedUntil <= now && engine.server.state === 'ready' && cfg.mayCommand(engine.server.id, now)
  }

  function createCommand (engine: EngineState, operation: PendingCommand['operation'], target: { model: string, adapter?: string, version?: number }, now: number): SchedulerAction {
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

  function loadActions (blocked: WaitingRequest[], view: EnginesView, now: number): SchedulerAction[] {
    const actions: SchedulerAction[] = []
    const commandableEngines = [...engines.values()].filter(engine => canCommand(engine, now))
    if (commandableEngines.length === 0) return actions
    const neededScopes = new Set(blocked.map(({ scope }) => scope))
    const ctx = { now, commandable: (engine: EngineState) => engine.pending === undefined, coldLoads: view.coldLoads, coldLoadMs: state.coldLoadMs, warmLoadMs: state.warmLoadMs, maxColdLoads: state.coldLoadLimit.value(), limitReached: false }
    const wantedNow = wantedAdapters(blocked, view, now)
    const replacements = [...pendingReplacements.values()].filter(({ scope }) => !neededScopes.has(scope))
    const maintained = [...replacements, ...outdatedAdapters(view, now)].map(wanted => ({ ...wanted, requests: undefined }))
    for (const { requests, ...wanted } of [...wantedNow, ...maintained]) {
      const candidates = commandableEngines.filter(engine => {
        if (requests?.some(req => mayRunAt(engine.server, req)) === false) return false
        const replica = engine.replicas.get(wanted.scope)
        return replica === undefined || !isCurrent(replica, wanted.scope)
      })
      const decision = decideLoad(wanted, candidates, neededScopes, ctx)
      if (decision === undefined) continue
      if (decision.type === 'load' && !decision.engine.warmAdapters.has(wanted.scope)) ctx.coldLoads += 1
      actions.push(decision.type === 'load' ? createCommand(decision.engine, 'load', wanted, now) : createCommand(decision.engine, 'unload', decision.replica, now))
    }
    if (ctx.limitReached) state.coldLoadLimit.reached()
    return actions
  }

  /**
   * Loads the base models of engines that started empty, which need them before anything else, and
   * further ones that requests wait for, if an engine has room for them beside its other models. Its
   * adapters make room one after the other as they become idle.
   */
  function baseModelActions (blocked: WaitingRequest[], now: number): SchedulerAction[] {
    return [...engines.values()].flatMap(engine => {
      if (!canCommand(engine, now) || engine.loadingModel !== undefined) return []
      const loadedMb = loadedModelsMb(engine)
      const missing = engine.spec.models.find(model => !engine.models.has(model.name) && loadedMb + model.weightsMb <= engine.spec.weightsMb)
      if (missing === undefined || (engine.models.size > 0 && !blocked.some(req => req.demand.model === missing.name))) return []
      if (engine.modelLoadCheckAt !== undefined && engine.modelLoadCheckAt > now) return []
      if (missing.weightsMb <= freeWeightsMb(engine)) return [createCommand(engine, 'load', { model: missing.name }, now)]
      const evicted = evictionCandidate(engine, new Set())
      return evicted === undefined ? [] : [createCommand(engine, 'unload', evicted, now)]
    })
  }

  /** Unloads idle replicas of older versions that must not be used any more. */
  function outdatedUnloads (now: number): SchedulerAction[] {
    return [...engines.values()].flatMap(engine => {
      if (!canCommand(engine, now)) return []
      for (const [scope, replica] of engine.replicas) {
        if (isIdle(engine, scope, replica) && !isCurrent(replica, scope) && !isUsable(replica, scope, now)) return [createCommand(engine, 'unload', replica, now)]
      }
      return []
    })
  }

  /** Handles a refusal because the engine does not have the adapter yet, or no longer has it. */
  function replicaMissing (engine: EngineState, scope: string, now: number): void {
    const replica = engine.replicas.get(scope)
    if (replica === undefined) return
    if (replica.state === 'loading') {
      // Only the first request shows whether the estimate was right.
      if (replica.readyAt <= replica.estimatedReadyAt) adjustEstimate(replica, earlyTryFactor)
      replica.readyAt = now + loadRetryMs
      delete replica.probeSentAt
    } else {
      replica.readyAt = now + commandVisibilityMs
    }
    engine.reportAt = Math.min(engine.reportAt ?? Infinity, now + commandVisibilityMs)
  }

  function applyAcceptedCommand (engine: EngineState, { operation, model, adapter, version }: PendingCommand, now: number): void {
    if (adapter === undefined) {
      if (operation === 'load') engine.loadingModel = model
      engine.modelLoadCheckAt = now + modelLoadCheckMs
      engine.reportAt = now + modelLoadCheckMs
      return
    }
    const scope = cacheScope({ model, adapter })
    if (operation === 'unload') {
      const replica = engine.replicas.get(scope)
      if (replica !== undefined) replica.state = 'unloading'
      engine.reportAt = Math.min(engine.reportAt ?? Infinity, now + commandVisibilityMs)
      return
    }
    pendingReplacements.delete(scope)
    const warm = engine.warmAdapters.has(scope)
    const slowdown = warm ? 1 : Math.max(1, countColdLoads(engines.values(), now) / state.coldLoadLimit.value())
    const estimatedReadyAt = now + (warm ? state.warmLoadMs : state.coldLoadMs) * slowdown
    engine.replicas.set(scope, {
      model,
      adapter,
      ...(version === undefined ? {} : { version }),
      state: 'loading',
      warm,
      loadStartedAt: now,
      readyAt: estimatedReadyAt,
      estimatedReadyAt,
      lastUsedAt: now,
      running: 0,
      use: 1
    })
  }

  /** A load ends without a request, but only requests and reports show it, and a report costs as much as a health check. */
  function settleLoads (now: number): void {
    for (const { replicas } of engines.values()) {
      for (const replica of replicas.values()) {
        if (replica.state !== 'loading' || replica.running > 0) continue
        const marginMs = replica.warm ? commandVisibilityMs : state.coldLoadMs
        if (now > Math.max(replica.estimatedReadyAt, replica.readyAt) + marginMs) replica.state = 'resident'
      }
    }
  }

  function usableEngines (req: WaitingRequest, view: EnginesView, now: number): EngineState[] {
    const candidates = view.enginesByScope.get(req.scope) ?? []
    return candidates.filter(engine => engine.avoidedUntil <= now && mayRunAt(engine.server, req) && isUsable(engine.replicas.get(req.scope)!, req.scope, now))
  }

  function adjustEstimate (replica: AdapterReplica, factor: number): void {
    if (replica.warm) state.warmLoadMs = Math.min(maxLoadMs, Math.max(minWarmLoadMs, state.warmLoadMs * factor))
    else state.coldLoadMs = Math.min(maxLoadMs, Math.max(minColdLoadMs, state.coldLoadMs * factor))
  }

  function applyUnload (engine: EngineState, scope: string): void {
    const replica = engine.replicas.get(scope)
    removeReplica(engine, scope)
    const history = versions.get(scope)
    if (replica === undefined || history === undefined || isCurrent(replica, scope)) return
    engine.warmAdapters.delete(scope)
    const { model, adapter, use } = replica
    if (use >= minReplaceUse) pendingReplacements.set(scope, { scope, model, adapter, version: history.newest(), weight: use })
  }

  function commandFinished (engine: EngineState, result: EngineCommandResult, now: number): void {
    const { pending } = engine
    if (pending === undefined) return
    delete engine.pending
    if (result === 'accepted') {
      engine.commandCount = pending.expectedCount + 1
      applyAcceptedCommand(engine, pending, now)
    } else if (result === 'holds' && pending.operation === 'unload') {
      engine.commandCount = pending.expectedCount + 1
      if (pending.adapter !== undefined) applyUnload(engine, cacheScope(pending))
    } else {
      // No further command is given until a report shows which commands were carried out.
      engine.commandCount = undefined
      engine.reportAt = now + commandVisibilityMs
    }
  }

  return {
    view: viewEngines,
    decide: (blocked, view, now) => [...baseModelActions(blocked, now), ...loadActions(blocked, view, now), ...outdatedUnloads(now)],
    commandFinished,
    settleLoads,
    replicaMissing,
    loadConfirmed (replica) {
      if (replica.readyAt <= replica.estimatedReadyAt) adjustEstimate(replica, confirmedLoadFactor)
      if (!replica.warm && replica.loadStartedAt > -Infinity && replica.probeSentAt !== undefined) state.coldLoadLimit.loaded(replica.probeSentAt - replica.loadStartedAt)
    },
    isCurrent,
    isUsable,
    usableAt: replica => replica?.state !== 'loading' ? -Infinity : Math.max(replica.readyAt, (replica.probeSentAt ?? -Infinity) + earlyRefusalMs),
    countMissingAdapters: (blocked, view) => new Set(blocked.filter(req => req.demand.adapter !== undefined && !isLoading(req.scope, view)).map(({ scope }) => scope)).size,
    loadWaitMs (loadsAhead, view) {
      const loadMs = state.coldLoadMs * (1 + (loadsAhead + view.coldLoads) / state.coldLoadLimit.value())
      // If no slot is available, one becomes free whenever a request ends.
      const slotWaitMs = view.adapterSlots === 0 ? 0 : Math.max(0, loadsAhead - view.availableSlots) * state.meanRunMs / view.adapterSlots
      return loadMs + slotWaitMs
    }
  }
}
