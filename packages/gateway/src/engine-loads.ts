/**
 * Loads and unloads that the owner of engines decides on: adapters that waiting requests want, newer
 * versions, base models of engines that started empty; and what the results of commands mean.
 */
import type { EngineCommandResult } from './cluster-types'
import { coldLoads, decideLoad, type WantedAdapter } from './adapter-loads'
import type { SchedulerAction, SchedulerConfig, ScheduledRequest } from './engine-scheduler-types'
import { backlogMs, forgetCopy, hasRoom, isIdle, placeLimit, readingShare, type AdapterCopy, type EngineState, type PendingCommand } from './engine-state'
import { cacheScope } from './prompt-cache'

export type Waiting = ScheduledRequest & { scope: string, arrivedAt: number }
export type NewestVersion = { version: number, announcedAt: number }

/** State that the queue and the loads of one owner share. */
export type SchedulerState = {
  engines: Map<string, EngineState>
  versions: Map<string, NewestVersion>
  /** Estimated durations of loads from the weight store and from an engine's memory, in ms. */
  coldLoadMs: number
  warmLoadMs: number
  /** Mean time that a request runs, in ms. */
  meanRunMs: number
  /** Loads from the weight store that this owner may have on their way. */
  storeLoads: number
}

/** What one decision needs to know of all engines, gathered once. */
export type EnginesView = {
  /** Engines by the adapters that they hold or load. */
  copies: Map<string, EngineState[]>
  /** Adapters whose load was ordered without an answer yet. */
  ordered: Set<string>
  coldLoads: number
  places: number
  idlePlaces: number
}

export type EngineLoads = {
  view (): EnginesView
  /** @param blocked - requests that wait for an adapter or for room */
  decide (blocked: Waiting[], view: EnginesView, now: number): SchedulerAction[]
  commandResult (engine: EngineState, result: EngineCommandResult, now: number): void
  /** A request ran on a copy that was being loaded. */
  loadConfirmed (copy: AdapterCopy): void
  /** An engine refused a request because its adapter is not there. */
  copyMissing (engine: EngineState, scope: string, now: number): void
  isCurrent (copy: AdapterCopy, scope: string): boolean
  isUsable (copy: AdapterCopy, scope: string, now: number): boolean
  /** Time from which a load that is not done counts as done. */
  usableAt (copy: AdapterCopy | undefined): number
  /** Number of adapters that requests wait for and that are not on their way. */
  missing (blocked: Waiting[], view: EnginesView): number
  /** Time until an adapter could be there whose load comes after others, in ms. */
  loadWaitMs (loadsAhead: number, view: EnginesView): number
}

/** An adapter is loaded a second time when its copies make requests wait this much longer than a load, in ms. */
const replicateAfterMs = 150
/** Wait that an engine which reads prompts all the time stands for, in ms: its streams advance one step for each piece of a prompt, and hold their places for as long. */
const readingWaitMs = 500
/** Loads of adapters from the weight store, over all engines, up to which each takes its usual time: 8 with 8 engines and fewer, 40 with 63 on the operators' sheets. */
const minStoreLoads = 8
const storeLoadsPerEngine = 0.63

/** @returns loads from the weight store that all owners together may have on their way */
export function storeLoadLimit (engines: number): number {
  return Math.max(minStoreLoads, engines * storeLoadsPerEngine)
}
/** Pause before the next try when a load turns out to be unfinished, in ms. */
const loadRetryMs = 25
/** A response to a command may be lost although it is carried out; a report older than this may not show it, in ms. */
export const uncertainMs = 450
/** Copies of an older version are used until this long before a new version must be in force, in ms. */
const versionMarginMs = 1500
/** A load of a base model is checked at this pace, in ms. */
export const modelCheckMs = 1000
/** Weight of a waiting request that can still meet its objective, against one that cannot. */
const onTimeWeight = 4
/** Uses in recent time from which a newer version is loaded before a request asks for it. */
const replaceUses = 0.5
/** Bounds of the estimated duration of a load, in ms. */
const minColdLoadMs = 50
const minWarmLoadMs = 10
const maxLoadMs = 1000
/** Changes of the estimate by the first try of a load: about two of five tries come too early, which costs less than the waiting of all others. */
const confirmedFactor = 0.99
const missedFactor = 1.015
/** Time in which an engine would have refused a request for an adapter that is not there yet, in ms: a round trip between zones. */
const probeMs = 15

export function createEngineLoads (cfg: SchedulerConfig, state: SchedulerState): EngineLoads {
  const { engines, versions } = state
  /** Adapters in use whose last older copy was unloaded and whose newer version is not on its way yet. */
  const replacing = new Map<string, WantedAdapter>()

  function isCurrent (copy: AdapterCopy, scope: string): boolean {
    const newest = versions.get(scope)
    if (newest === undefined) return true
    // A copy of unknown version may be older, unless it was ordered after the announcement was seen.
    if (copy.version === undefined) return Number.isFinite(newest.announcedAt) && copy.loadStartedAt > newest.announcedAt
    return copy.version >= newest.version
  }

  function isUsable (copy: AdapterCopy, scope: string, now: number): boolean {
    if (copy.state === 'unloading' || copy.retiring === true || copy.readyAt > now) return false
    // One request finds out whether a load is done; an engine refuses at once.
    if (copy.state === 'loading' && copy.probeSentAt !== undefined && now - copy.probeSentAt < probeMs) return false
    return isCurrent(copy, scope) || now < versions.get(scope)!.announcedAt + cfg.versionMs - versionMarginMs
  }

  function viewEngines (): EnginesView {
    const view: EnginesView = { copies: new Map(), ordered: new Set(), coldLoads: coldLoads(engines.values()), places: 0, idlePlaces: 0 }
    for (const engine of engines.values()) {
      const { pending } = engine
      if (pending?.operation === 'load' && pending.adapter !== undefined) view.ordered.add(cacheScope(pending))
      const limit = placeLimit(engine)
      view.places += limit
      view.idlePlaces += Math.max(0, limit - engine.copies.size)
      for (const [scope, copy] of engine.copies) {
        const known = view.copies.get(scope)
        if (known === undefined) view.copies.set(scope, [engine])
        else known.push(engine)
        if (isIdle(engine, scope, copy)) view.idlePlaces += 1
      }
    }
    return view
  }

  function wantedAdapters (blocked: Waiting[], view: EnginesView, now: number): WantedAdapter[] {
    const wanted = new Map<string, WantedAdapter>()
    for (const req of blocked) {
      const { model, adapter } = req.demand
      if (adapter === undefined || isLoading(req.scope, view)) continue
      const copies = usableHolders(req, view, now)
      const waitMs = copies.length === 0 ? Infinity : Math.min(...copies.map(engine => hasRoom(engine, req.demand) ? backlogMs(engine, now) + readingShare(engine, now) * readingWaitMs : Infinity))
      if (waitMs < (copies.length === 0 ? 0 : state.coldLoadMs + replicateAfterMs)) continue
      const version = versions.get(req.scope)?.version
      const entry = wanted.get(req.scope) ?? { scope: req.scope, model, adapter, ...(version === undefined ? {} : { version }), weight: 0 }
      entry.weight += req.objectiveAt > now ? onTimeWeight : 1
      wanted.set(req.scope, entry)
    }
    return [...wanted.values()].sort((left, right) => right.weight - left.weight)
  }

  function isLoading (scope: string, view: EnginesView): boolean {
    return view.ordered.has(scope) || (view.copies.get(scope)?.some(({ copies }) => copies.get(scope)?.state === 'loading') ?? false)
  }

  /** Adapters in use of which only older versions are held. */
  function outdatedAdapters (view: EnginesView, now: number): WantedAdapter[] {
    const outdated: WantedAdapter[] = []
    for (const [scope, { version }] of versions) {
      let use = 0
      let held: AdapterCopy | undefined
      let current = isLoading(scope, view)
      for (const engine of view.copies.get(scope) ?? []) {
        const copy = engine.copies.get(scope)!
        current ||= isCurrent(copy, scope)
        use += copy.use
        held = copy
      }
      if (!current && held !== undefined && use >= replaceUses) outdated.push({ scope, model: held.model, adapter: held.adapter, version, weight: use })
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

  function loadActions (blocked: Waiting[], view: EnginesView, now: number): SchedulerAction[] {
    const actions: SchedulerAction[] = []
    const open = [...engines.values()].filter(engine => canCommand(engine, now))
    if (open.length === 0) return actions
    const keep = new Set(blocked.map(({ scope }) => scope))
    const ctx = { now, commandable: (engine: EngineState) => engine.pending === undefined, coldLoads: view.coldLoads, coldLoadMs: state.coldLoadMs, warmLoadMs: state.warmLoadMs, coldLoadLimit: Math.max(1, Math.ceil(state.storeLoads)) }
    const wantedNow = wantedAdapters(blocked, view, now)
    const more = [...replacing.values()].filter(({ scope }) => !keep.has(scope))
    for (const wanted of [...wantedNow, ...more, ...outdatedAdapters(view, now)]) {
      const candidates = open.filter(engine => {
        const copy = engine.copies.get(wanted.scope)
        return copy === undefined || !isCurrent(copy, wanted.scope)
      })
      const decision = decideLoad(wanted, candidates, keep, ctx)
      if (decision === undefined) continue
      if (decision.type === 'load' && !decision.engine.held.has(wanted.scope)) ctx.coldLoads += 1
      actions.push(decision.type === 'load' ? command(decision.engine, 'load', wanted, now) : command(decision.engine, 'unload', decision.copy, now))
    }
    return actions
  }

  /** An engine that started empty needs its base models before anything else. */
  function modelActions (blocked: Waiting[], now: number): SchedulerAction[] {
    return [...engines.values()].flatMap(engine => {
      if (!canCommand(engine, now)) return []
      const heldMb = engine.spec.models.filter(({ name }) => engine.models.has(name)).reduce((sum, { weightsMb }) => sum + weightsMb, 0)
      const missing = engine.spec.models.find(model => !engine.models.has(model.name) && heldMb + model.weightsMb <= engine.spec.weightsMb)
      if (missing === undefined || (engine.models.size > 0 && !blocked.some(req => req.demand.model === missing.name))) return []
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

  /** The engine has no such adapter yet, or no longer. */
  function copyMissing (engine: EngineState, scope: string, now: number): void {
    const copy = engine.copies.get(scope)
    if (copy === undefined) return
    if (copy.state === 'loading') {
      // Only the first try says whether the estimate was right.
      if (copy.readyAt <= copy.estimatedAt) adjustEstimate(copy, missedFactor)
      copy.readyAt = now + loadRetryMs
      delete copy.probeSentAt
    } else {
      copy.readyAt = now + uncertainMs
    }
    engine.reportAt = Math.min(engine.reportAt ?? Infinity, now + uncertainMs)
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
    replacing.delete(scope)
    const warm = engine.held.has(scope)
    const slowdown = warm ? 1 : Math.max(1, coldLoads(engines.values()) / Math.max(1, state.storeLoads))
    const estimatedAt = now + (warm ? state.warmLoadMs : state.coldLoadMs) * slowdown
    engine.copies.set(scope, {
      model,
      adapter,
      ...(version === undefined ? {} : { version }),
      state: 'loading',
      warm,
      loadStartedAt: now,
      readyAt: estimatedAt,
      estimatedAt,
      lastUsedAt: now,
      running: 0,
      use: 1
    })
  }

  function usableHolders (req: Waiting, view: EnginesView, now: number): EngineState[] {
    const copies = view.copies.get(req.scope) ?? []
    return copies.filter(engine => engine.suspectUntil <= now && !req.excluded.includes(engine.server.id) && isUsable(engine.copies.get(req.scope)!, req.scope, now))
  }

  function adjustEstimate (copy: AdapterCopy, factor: number): void {
    if (copy.warm) state.warmLoadMs = Math.min(maxLoadMs, Math.max(minWarmLoadMs, state.warmLoadMs * factor))
    else state.coldLoadMs = Math.min(maxLoadMs, Math.max(minColdLoadMs, state.coldLoadMs * factor))
  }

  function unloaded (engine: EngineState, scope: string): void {
    const copy = engine.copies.get(scope)
    forgetCopy(engine, scope)
    const newest = versions.get(scope)
    if (copy === undefined || newest === undefined || isCurrent(copy, scope)) return
    engine.held.delete(scope)
    const { model, adapter, use } = copy
    if (use >= replaceUses) replacing.set(scope, { scope, model, adapter, version: newest.version, weight: use })
  }

  function commandResult (engine: EngineState, result: EngineCommandResult, now: number): void {
    const { pending } = engine
    if (pending === undefined) return
    delete engine.pending
    if (result === 'accepted') {
      engine.commandCount = pending.expectedCount + 1
      acceptedCommand(engine, pending, now)
    } else if (result === 'holds' && pending.operation === 'unload') {
      engine.commandCount = pending.expectedCount + 1
      if (pending.adapter !== undefined) unloaded(engine, cacheScope(pending))
    } else {
      // Until a report shows what was carried out, no further command is given.
      engine.commandCount = undefined
      engine.reportAt = now + uncertainMs
    }
  }

  return {
    view: viewEngines,
    decide: (blocked, view, now) => [...modelActions(blocked, now), ...loadActions(blocked, view, now), ...unloadOutdated(now)],
    commandResult,
    copyMissing,
    loadConfirmed (copy) {
      if (copy.readyAt <= copy.estimatedAt) adjustEstimate(copy, confirmedFactor)
    },
    isCurrent,
    isUsable,
    usableAt: copy => copy?.state !== 'loading' ? -Infinity : Math.max(copy.readyAt, (copy.probeSentAt ?? -Infinity) + probeMs),
    missing: (blocked, view) => new Set(blocked.filter(req => req.demand.adapter !== undefined && !isLoading(req.scope, view)).map(({ scope }) => scope)).size,
    loadWaitMs (loadsAhead, view) {
      const storeMs = state.coldLoadMs * (1 + (loadsAhead + view.coldLoads) / Math.max(1, state.storeLoads))
      // Without an idle place, one becomes free whenever a run ends.
      const placeMs = view.places === 0 ? 0 : Math.max(0, loadsAhead - view.idlePlaces) * state.meanRunMs / view.places
      return storeMs + placeMs
    }
  }
}
