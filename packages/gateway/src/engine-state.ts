/** What the owner of an engine knows of it: adapters, commands under way, running requests, estimates of speed. */
import type { BackendServer, EngineReport, EngineSpec, LoadedModel, ModelDemand } from './cluster-types'
import { cacheScope, createPromptCache, type PromptCache } from './prompt-cache'

export type AdapterReplica = {
  model: string
  adapter: string
  version?: number
  state: 'loading' | 'resident' | 'unloading'
  /** Loaded from the engine's memory, not from the weight store. */
  warm: boolean
  loadStartedAt: number
  /** Time of the next try, and the first estimate of the load's end. */
  readyAt: number
  estimatedReadyAt: number
  lastUsedAt: number
  running: number
  /** Requests in recent time, decayed: how much the copy is worth keeping. */
  use: number
  /** Time at which the first request was sent to a copy whose load should be done. */
  probeSentAt?: number
  /** Takes no new requests, so that it can be replaced by a newer version. */
  retiring?: boolean
}

export type Run = {
  id: string
  node: string
  scope: string
  demand: ModelDemand
  sentAt: number
  deadlineAt: number
  /** Tokens of the prompt that were not kept when the request was sent, and the estimated time to read them in ms. */
  uncachedTokens: number
  prefillMs: number
  /** Estimated time of the first event when the request was sent. */
  expectedFirstEventAt: number
  firstEventAt?: number
  /** Longest pause between two events that is on time, in ms. */
  pauseMs?: number
}

export type PendingCommand = { operation: 'load' | 'unload', model: string, adapter?: string, version?: number, expectedCount: number, sentAt: number }

export type EngineState = {
  server: BackendServer
  spec: EngineSpec
  /** Start of the server's process that this state describes, Unix ms; 0 until it is known. */
  bornAt: number
  /** Commands accepted since the engine's start; undefined until a report tells it. */
  commandCount: number | undefined
  models: Set<string>
  replicas: Map<string, AdapterReplica>
  /** Adapters held before, least recently unloaded first: they load from the engine's memory. */
  warmAdapters: Map<string, true>
  pending?: PendingCommand
  /** A report was asked for and has not arrived. */
  reportPending: boolean
  /** Time of the next report, if one is wanted. */
  reportAt?: number
  /** Time of the last report that was asked for because a request got no answer. */
  lastStallReportAt?: number
  /** A base model is being loaded; checked again at this time. */
  modelLoadCheckAt?: number
  runs: Map<string, Run>
  /** Cached sum of {@link runningTokens}; undefined after a change. */
  runTokens?: number
  cache: PromptCache
  /** Reading time of recent prompts, decayed, as of a time; in ms. */
  recentPrefill: { ms: number, at: number }
  /** Time from which the engine has been reading prompts without a break. */
  prefillSince: number
  /** Time of the newest first event of a stream. */
  lastFirstEventAt: number
  /** Prompt tokens read in a ms. */
  prefillTokensPerMs: number
  /** Share of recent requests that failed, 0 to 1. */
  failureRate: number
  /** No new requests until then: the engine does not answer. */
  avoidedUntil: number
  /** Doubles with each failed contact, in ms. */
  avoidanceMs: number
}

/** Reading speed assumed before the first measurement, in tokens per ms: about that of a 70 B model on two accelerators. */
const initialPrefillTokensPerMs = 30
/** Share of the memory that running requests may take; the rest absorbs outputs that exceed their estimate. */
const kvShare = 0.9
/** Time of a first event beyond reading the prompt, in ms: the network and one step of the batch. */
const firstEventOverheadMs = 15
/** Shorter prompts say little about the reading speed. */
const minSampleTokens = 1000
const prefillRateStep = 0.015
/** Adapters that an engine is assumed to keep in its memory after unloading. */
const maxWarmAdapters = 40
const minAvoidanceMs = 500
const maxAvoidanceMs = 4000
/** Weight of the newest outcome in the share of failures. */
const failureWeight = 0.15

export function createEngineState (server: BackendServer, spec: EngineSpec, now: number): EngineState {
  const state: EngineState = {
    server,
    spec,
    bornAt: server.bornAt,
    commandCount: undefined,
    models: new Set(),
    replicas: new Map(),
    warmAdapters: new Map(),
    reportPending: false,
    reportAt: now,
    runs: new Map(),
    cache: createPromptCache(spec.kvTokens / 2),
    recentPrefill: { ms: 0, at: now },
    prefillSince: now,
    lastFirstEventAt: -Infinity,
    prefillTokensPerMs: initialPrefillTokensPerMs,
    failureRate: 0,
    avoidedUntil: -Infinity,
    avoidanceMs: minAvoidanceMs
  }
  applyLoadedModels(state, server.models, now)
  return state
}

/** Takes over which models and adapters the engine says that it holds. */
export function applyLoadedModels (state: EngineState, models: LoadedModel[], now: number): void {
  state.models = new Set(models.map(({ name }) => name))
  const replicas = new Map<string, AdapterReplica>()
  for (const { name: model, adapters } of models) {
    for (const { name: adapter, version } of adapters) {
      const scope = cacheScope({ model, adapter })
      const previous = state.replicas.get(scope)
      replicas.set(scope, {
        model,
        adapter,
        ...(version === undefined ? {} : { version }),
        state: 'resident',
        warm: true,
        loadStartedAt: previous?.loadStartedAt ?? now,
        readyAt: Math.min(previous?.readyAt ?? now, now),
        estimatedReadyAt: previous?.estimatedReadyAt ?? -Infinity,
        lastUsedAt: previous?.lastUsedAt ?? now,
        running: previous?.running ?? 0,
        use: previous?.use ?? 0
      })
    }
  }
  state.replicas = replicas
}

function hasPendingCommand (state: EngineState, scope: string): boolean {
  const { pending } = state
  return pending?.adapter !== undefined && cacheScope({ model: pending.model, adapter: pending.adapter }) === scope
}

/**
 * Applies a report, which describes the engine as of some hundred ms before. A report with fewer
 * accepted commands than this owner knows of is older than its latest command and tells nothing.
 *
 * @param loadMs - estimated duration of a load, in ms
 * @returns whether the report was used
 */
export function applyReport (state: EngineState, report: EngineReport, loadMs: number, now: number): boolean {
  const restarted = report.bornAt !== undefined && state.bornAt !== 0 && report.bornAt !== state.bornAt
  if (restarted) resetEngine(state, report.bornAt!, now)
  if (!restarted && state.commandCount !== undefined && report.commandCount < state.commandCount) return false
  const previousReplicas = state.replicas
  applyLoadedModels(state, report.models, now)
  for (const { model, adapter } of report.loading) {
    const scope = cacheScope({ model, adapter })
    const previous = previousReplicas.get(scope)
    if (state.replicas.has(scope)) continue
    state.replicas.set(scope, {
      model,
      adapter,
      ...(previous?.version === undefined ? {} : { version: previous.version }),
      state: 'loading',
      warm: previous?.warm ?? false,
      loadStartedAt: previous?.loadStartedAt ?? now,
      readyAt: previous !== undefined && previous.readyAt > now ? previous.readyAt : now + loadMs / 2,
      estimatedReadyAt: previous?.estimatedReadyAt ?? -Infinity,
      lastUsedAt: now,
      running: previous?.running ?? 0,
      use: previous?.use ?? 1,
      ...(previous?.probeSentAt === undefined ? {} : { probeSentAt: previous.probeSentAt })
    })
  }
  state.commandCount = report.commandCount
  return true
}

/** The engine's process started anew: it holds nothing and has accepted no command. */
export function resetEngine (state: EngineState, bornAt: number, now: number): void {
  state.bornAt = bornAt
  state.commandCount = undefined
  state.models = new Set()
  state.replicas = new Map()
  state.warmAdapters = new Map()
  state.cache.clear()
  state.runs.clear()
  delete state.runTokens
  delete state.pending
  delete state.modelLoadCheckAt
  state.lastFirstEventAt = -Infinity
  state.avoidedUntil = -Infinity
  state.avoidanceMs = minAvoidanceMs
  state.reportAt = now
}

/** Places for adapters that are taken, those of loads on their way included. */
export function usedAdapterSlots (state: EngineState): number {
  const pendingLoad = state.pending?.operation === 'load' && state.pending.adapter !== undefined && !state.replicas.has(cacheScope(state.pending)) ? 1 : 0
  return state.replicas.size + pendingLoad
}

/** Adapters that fit beside the models, by places and by memory. */
export function adapterSlotLimit ({ spec, models }: EngineState): number {
  const loadedModels = spec.models.filter(({ name }) => models.has(name))
  const adapterMb = Math.max(0, ...loadedModels.map(model => model.adapterMb))
  const freeMb = spec.weightsMb - loadedModels.reduce((sum, model) => sum + model.weightsMb, 0)
  return Math.min(spec.adapterSlots, adapterMb === 0 ? Infinity : Math.floor(freeMb / adapterMb))
}

/** Tokens that the running requests need: shared parts of one adapter once, own parts and outputs each. */
function runningTokens (state: EngineState): number {
  state.runTokens ??= sumTokens(state)
  return state.runTokens
}

function sumTokens (state: EngineState): number {
  const shared = new Map<string, number>()
  let ownTokens = 0
  for (const { scope, demand } of state.runs.values()) {
    let partTokens = 0
    for (const part of demand.parts.slice(0, -1)) {
      shared.set(`${scope}#${part.id}`, part.tokens)
      partTokens += part.tokens
    }
    ownTokens += Math.max(0, demand.promptTokens - partTokens) + demand.outputTokens
  }
  return ownTokens + [...shared.values()].reduce((sum, tokens) => sum + tokens, 0)
}

/** Tokens that a request adds to the engine's memory. */
function addedTokens (state: EngineState, demand: ModelDemand): number {
  return uncachedTokens(state, demand) + demand.outputTokens
}

/** Tokens of a prompt that the engine has to read. */
export function uncachedTokens (state: EngineState, demand: ModelDemand): number {
  return Math.max(0, demand.promptTokens - state.cache.cachedTokens(demand))
}

/** Time to read what is not cached of a prompt, in ms. */
export function prefillMs (state: EngineState, demand: ModelDemand): number {
  return uncachedTokens(state, demand) / state.prefillTokensPerMs
}

/** Silence beyond the estimate after which an engine counts as stalled, in ms. */
const stallMs = 500

/**
 * Time until the prompts sent so far will have been read, in ms. Requests whose answer is overdue
 * while later ones were answered are left out: their answers are lost, not late.
 */
export function backlogMs (state: EngineState, now: number): number {
  let pendingPrefillMs = 0
  let oldestSentAt = Infinity
  let overdueMs = 0
  for (const run of state.runs.values()) {
    if (run.firstEventAt !== undefined || run.expectedFirstEventAt + stallMs < state.lastFirstEventAt) continue
    pendingPrefillMs += run.prefillMs
    oldestSentAt = Math.min(oldestSentAt, run.sentAt)
    overdueMs = Math.max(overdueMs, now - run.expectedFirstEventAt)
  }
  if (pendingPrefillMs === 0) return 0
  if (overdueMs > stallMs) return Math.max(pendingPrefillMs, overdueMs)
  return Math.max(0, pendingPrefillMs - (now - Math.max(oldestSentAt, state.lastFirstEventAt)))
}

function isPrefilling (state: EngineState): boolean {
  for (const run of state.runs.values()) {
    if (run.firstEventAt === undefined && run.expectedFirstEventAt + stallMs >= state.lastFirstEventAt) return true
  }
  return false
}

/** A request is about to be sent: notes when a break in the reading ends. */
export function recordPrefill (state: EngineState, demand: ModelDemand, now: number): void {
  if (!isPrefilling(state)) state.prefillSince = now
  state.recentPrefill = { ms: decayedPrefillMs(state, now) + prefillMs(state, demand), at: now }
}

/** Recent reading counts half after this time, in ms: about as long as a stream runs. */
const prefillHalfLifeMs = 2000

function decayedPrefillMs ({ recentPrefill: { ms, at } }: EngineState, now: number): number {
  return ms * 0.5 ** ((now - at) / prefillHalfLifeMs)
}

/** @returns share of recent time that the engine has spent reading prompts, 0 to about 1 */
export function prefillShare (state: EngineState, now: number): number {
  return decayedPrefillMs(state, now) * Math.LN2 / prefillHalfLifeMs
}

/** Part of the longest pause of a stream for which its engine may read prompts without a break; the rest covers steps and estimates that are too short. */
const prefillPauseShare = 0.8

/**
 * Whether a prompt can be read without pauses in the engine's other streams that make them late.
 * While prompts are read, each step takes as long as reading a piece of them, so streams pause when
 * prompts follow each other without a break. One step without reading is break enough: the engine
 * takes the next prompt once it has begun to answer all earlier ones.
 */
export function fitsPauseLimits (state: EngineState, demand: ModelDemand, now: number): boolean {
  if (!isPrefilling(state)) return true
  let pauseMs = Infinity
  for (const run of state.runs.values()) pauseMs = Math.min(pauseMs, run.pauseMs ?? Infinity)
  return now - state.prefillSince + backlogMs(state, now) + prefillMs(state, demand) <= pauseMs * prefillPauseShare
}

/** A run's first event arrived: corrects the reading speed. */
export function updatePrefillRate (state: EngineState, run: Run, now: number): void {
  const actualMs = now - run.sentAt - firstEventOverheadMs
  if (run.uncachedTokens < minSampleTokens || actualMs <= 0) return
  // Contention only ever makes reading look slower, so the estimate follows the faster observations: a fifth of them exceed it.
  state.prefillTokensPerMs *= run.uncachedTokens / actualMs > state.prefillTokensPerMs ? 1 + 4 * prefillRateStep : 1 - prefillRateStep
}

export function hasCapacity (state: EngineState, demand: ModelDemand): boolean {
  if (state.runs.size === 0) return true
  return state.runs.size < state.spec.slots && runningTokens(state) + addedTokens(state, demand) <= state.spec.kvTokens * kvShare
}

export function recordSuccess (state: EngineState): void {
  state.failureRate *= 1 - failureWeight
  state.avoidanceMs = minAvoidanceMs
  state.avoidedUntil = -Infinity
}

/** A request failed at the engine, which may be the fault of this request or connection alone. */
export function recordFailure (state: EngineState): void {
  state.failureRate += failureWeight * (1 - state.failureRate)
}

/** The engine does not answer: no requests for a time that doubles with each failed contact. */
export function avoidEngine (state: EngineState, now: number): void {
  state.avoidedUntil = now + state.avoidanceMs
  state.avoidanceMs = Math.min(maxAvoidanceMs, state.avoidanceMs * 2)
  state.reportAt = Math.max(state.reportAt ?? 0, state.avoidedUntil)
}

/** @param scope - model and adapter that leave the engine */
export function removeReplica (state: EngineState, scope: string): void {
  state.replicas.delete(scope)
  state.cache.drop(scope)
  state.warmAdapters.delete(scope)
  state.warmAdapters.set(scope, true)
  if (state.warmAdapters.size > maxWarmAdapters) state.warmAdapters.delete(state.warmAdapters.keys().next().value!)
}

/** Whether a copy may be unloaded: nothing runs on it and no command concerns it. */
export function isIdle (state: EngineState, scope: string, replica: AdapterReplica): boolean {
  return replica.state === 'resident' && replica.running === 0 && !hasPendingCommand(state, scope)
}
