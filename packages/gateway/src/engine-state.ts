/** State of an engine at its owner: adapters, the pending command, running requests and estimates of its speed. */
import type { BackendServer, EngineReport, EngineSpec, LoadedModel, ModelDemand } from './cluster-types'
import { cacheScope, createPromptCache, type PromptCache } from './prompt-cache'
import { createEngineSpeed, nominalTokensPerMs, type EngineSpeed, type PrefillInProgress, type SharedSpeed } from './engine-speed'
import { createRequestPace, paceWaitMs, type RequestPace } from './request-pace'
import type { ServerUse } from './server-use'

export type AdapterReplica = {
  model: string
  adapter: string
  version?: number
  state: 'loading' | 'resident' | 'unloading'
  /** Loaded from the engine's memory, not from the weight store. */
  warm: boolean
  /** -Infinity if this owner did not command the load. */
  loadStartedAt: number
  /** Time from which a request may be sent to the replica. */
  readyAt: number
  /** First estimate of the load's end. */
  estimatedReadyAt: number
  lastUsedAt: number
  running: number
  /** Number of recent requests, decayed; the replica with the lowest number is evicted first. */
  use: number
  /** Time at which the first request was sent to the replica while it was counted as loading. */
  probeSentAt?: number
  /** The replica takes no new requests, so that it can be replaced by a newer version. */
  retiring?: boolean
}

/** A granted request, until it ends. */
export type Run = {
  id: string
  node: string
  scope: string
  demand: ModelDemand
  sentAt: number
  deadlineAt: number
  /** Time to prefill the prompt without its cached part at nominal speed, in ms. */
  nominalMs: number
  /** Time of the first event, as estimated when the request was sent. */
  expectedFirstEventAt: number
  firstEventAt?: number
  /** Longest pause between two events that is on time, in ms. */
  pauseMs?: number
}

export type PendingCommand = { operation: 'load' | 'unload', model: string, adapter?: string, version?: number, expectedCount: number, sentAt: number }

export type EngineState = {
  server: BackendServer
  spec: EngineSpec
  /** Start time of the server process that this state describes, Unix ms; 0 if unknown. */
  bornAt: number
  /** Number of commands accepted since the engine's start; undefined until a report contains it. */
  commandCount: number | undefined
  models: Set<string>
  replicas: Map<string, AdapterReplica>
  /** Adapters that load from the engine's memory because they were unloaded before, least recently unloaded first. */
  warmAdapters: Map<string, true>
  pending?: PendingCommand
  /** A report was requested and has not arrived. */
  reportPending: boolean
  /** Time at which the next report is requested, if any. */
  reportAt?: number
  /** Time at which a report was last requested because a request got no response. */
  lastStallReportAt?: number
  /** Time of the next check of a base model that is being loaded. */
  modelLoadCheckAt?: number
  /** Base model that the engine was ordered to load and does not report yet. */
  loadingModel?: string
  runs: Map<string, Run>
  /** Cached result of {@link runningTokens}; undefined after a change. */
  runTokens?: number
  cache: PromptCache
  /** Prefill time of recent prompts in ms, decayed as of the time `at`. */
  recentPrefill: { ms: number, at: number }
  /** Time since which the engine has been prefilling without a break. */
  prefillingSince: number
  /** Time of the newest first event of a stream. */
  lastFirstEventAt: number
  speed: EngineSpeed
  /** Prefill speed as a multiple of the nominal one, by the faster observations; in force while the owner's engines are alike. */
  steadySpeed: number
  /** Whether the owner's engines differ in speed, so that `speed` is in force. */
  uneven: boolean
  /** First events since the speed was last updated, and the time that the engine took for them. */
  unmeasured: { nominalMs: number, busyMs: number }
  /** Share of recent requests that failed, 0 to 1. */
  failureRate: number
  /** Responses in succession that nodes gave up because nobody could have used them. */
  unusableResponses: number
  /** Use that the owner was last told of. */
  reportedUse: ServerUse
  /** The engine does not respond, or not usably, and gets no new requests until then. */
  avoidedUntil: number
  /** Duration of the next avoidance, in ms; doubles with each failed contact. */
  avoidanceMs: number
  /** Limit that the engine states, in requests a second, and the pace that keeps to it. */
  limit?: { requestsPerSecond: number, pace: RequestPace }
}

/** Share of the KV memory that running requests may use; the rest absorbs outputs that exceed their estimate. */
const kvShare = 0.9
/** Time to a first event beyond the prefill, in ms: the network and one step of the batch. */
const firstEventOverheadMs = 15
/** Share of an engine's time that goes to the prompt in progress; the rest goes to the streams of the batch. */
const prefillTimeShare = 0.8
/** Prefill at nominal speed that makes up a measurement, in ms: shorter prompts are dominated by the batch's other work. */
const minSampleMs = 30
/** Prefill at nominal speed that takes about as long as a step of the batch, in ms: shorter prompts, such as cached ones, say nothing. */
const minPromptMs = 10
/** Shorter prompts say little about the steady speed. */
const minSteadySampleTokens = 1000
const steadySpeedStep = 0.015
/** Number of unloaded adapters that an engine is assumed to keep in its memory. */
const maxWarmAdapters = 40
const minAvoidanceMs = 500
const maxAvoidanceMs = 4000
/** Unusable responses in succession from which an engine is avoided; a single one may be due to its request. */
const unusableToAvoid = 2
/** Weight of the newest outcome in the failure rate. */
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
    prefillingSince: now,
    lastFirstEventAt: -Infinity,
    speed: createEngineSpeed(),
    steadySpeed: 1,
    uneven: false,
    unmeasured: { nominalMs: 0, busyMs: 0 },
    failureRate: 0,
    unusableResponses: 0,
    reportedUse: 'in-use',
    avoidedUntil: -Infinity,
    avoidanceMs: minAvoidanceMs
  }
  applyLoadedModels(state, server.models, now)
  return state
}

/** Replaces the models and adapters of the state by those that the engine reports. */
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
        loadStartedAt: previous?.loadStartedAt ?? -Infinity,
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
 * Applies a report, which is some hundred ms old. A report with fewer accepted commands than this
 * owner has recorded is older than its latest command and is ignored.
 *
 * @param loadMs - estimated duration of a load, in ms
 * @returns whether the report was applied
 */
export function applyReport (state: EngineState, report: EngineReport, loadMs: number, now: number): boolean {
  const restarted = report.bornAt !== undefined && state.bornAt !== 0 && report.bornAt !== state.bornAt
  if (restarted) resetEngine(state, report.bornAt!, now)
  if (!restarted && state.commandCount !== undefined && report.commandCount < state.commandCount) return false
  const previousReplicas = state.replicas
  applyLoadedModels(state, report.models, now)
  if (state.loadingModel !== undefined && (state.models.has(state.loadingModel) || !report.busy)) delete state.loadingModel
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
      loadStartedAt: previous?.loadStartedAt ?? -Infinity,
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

/** Resets the state after a restart of the engine, which then has nothing loaded and has accepted no command. */
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
  delete state.loadingModel
  delete state.limit
  state.speed.reset()
  state.unmeasured = { nominalMs: 0, busyMs: 0 }
  state.lastFirstEventAt = -Infinity
  state.unusableResponses = 0
  state.avoidedUntil = -Infinity
  state.avoidanceMs = minAvoidanceMs
  state.reportAt = now
}

/** Number of adapter slots in use, those of pending loads included. */
export function usedAdapterSlots (state: EngineState): number {
  const pendingLoad = state.pending?.operation === 'load' && state.pending.adapter !== undefined && !state.replicas.has(cacheScope(state.pending)) ? 1 : 0
  return state.replicas.size + pendingLoad
}

/** Memory that the base models take that an engine has or was ordered to load, in MB. */
export function loadedModelsMb ({ spec, models, loadingModel }: EngineState): number {
  return spec.models.filter(({ name }) => models.has(name) || name === loadingModel).reduce((sum, { weightsMb }) => sum + weightsMb, 0)
}

/** Number of adapters that fit beside the loaded models, by slots and by memory. */
export function adapterSlotLimit (state: EngineState): number {
  const { spec, models, loadingModel } = state
  const loadedModels = spec.models.filter(({ name }) => models.has(name) || name === loadingModel)
  const adapterMb = Math.max(0, ...loadedModels.map(model => model.adapterMb))
  const freeMb = spec.weightsMb - loadedModelsMb(state)
  return Math.min(spec.adapterSlots, adapterMb === 0 ? Infinity : Math.floor(freeMb / adapterMb))
}

/** Memory that is left beside the base models and adapters that an engine has or is ordered to load, in MB. */
export function freeWeightsMb (state: EngineState): number {
  const { spec, replicas, pending } = state
  const adapterMbOf = (name: string): number => spec.models.find(model => model.name === name)?.adapterMb ?? 0
  const adaptersMb = [...replicas.values()].reduce((sum, { model }) => sum + adapterMbOf(model), 0)
  const pendingMb = pending?.operation === 'load' && pending.adapter !== undefined ? adapterMbOf(pending.model) : 0
  return spec.weightsMb - loadedModelsMb(state) - adaptersMb - pendingMb
}

/** Tokens of memory that the running requests need. Prompt parts that requests for an adapter share count once. */
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

/** Tokens of memory that a request would need in addition. */
function addedTokens (state: EngineState, demand: ModelDemand): number {
  return uncachedTokens(state, demand) + demand.outputTokens
}

/** Tokens of a prompt that the engine has to prefill. */
export function uncachedTokens (state: EngineState, demand: ModelDemand): number {
  return Math.max(0, demand.promptTokens - state.cache.cachedTokens(demand))
}

/** What other nodes are told of the engine's speed. */
export function sharedSpeed ({ speed, bornAt }: EngineState, now: number): { speed?: SharedSpeed & { bornAt: number } } {
  const shared = speed.shared(now)
  return shared === undefined ? {} : { speed: { ...shared, bornAt } }
}

/** Estimated time to prefill a prompt, without its cached part, in ms. */
export function prefillMs (state: EngineState, demand: ModelDemand, now: number): number {
  return nominalPrefillMs(state, demand) / currentSpeed(state, now)
}

/** Time to prefill a prompt, without its cached part, at speed 1, in ms. */
export function nominalPrefillMs (state: EngineState, demand: ModelDemand): number {
  return uncachedTokens(state, demand) / nominalTokensPerMs
}

/** Long-term prefill speed, in tokens per ms. */
export function prefillTokensPerMs ({ speed, steadySpeed, uneven }: EngineState, now: number): number {
  return nominalTokensPerMs * (uneven ? speed.longTerm(now) : steadySpeed)
}

/** Time without a first event beyond the estimate after which an engine counts as stalled, in ms. */
const stallMs = 500

/**
 * Estimated time until the engine has prefilled all prompts sent so far, in ms. Requests whose first
 * event is overdue are left out if later ones got theirs: their responses are lost, not late.
 */
export function backlogMs (state: EngineState, now: number): number {
  let pendingNominalMs = 0
  let overdueMs = 0
  let first: Run | undefined
  for (const run of state.runs.values()) {
    if (!awaitsFirstEvent(state, run)) continue
    first ??= run
    pendingNominalMs += run.nominalMs
    overdueMs = Math.max(overdueMs, now - run.expectedFirstEventAt)
  }
  if (pendingNominalMs === 0) return 0
  const current = inProgress(state, first, now)
  const pendingMs = pendingNominalMs / currentSpeed(state, now, current)
  if (overdueMs > stallMs) return Math.max(pendingMs, overdueMs)
  return Math.max(0, pendingMs - current!.elapsedMs)
}

function awaitsFirstEvent (state: EngineState, run: Run): boolean {
  return run.firstEventAt === undefined && run.expectedFirstEventAt + stallMs >= state.lastFirstEventAt
}

/** The first run of which the engine has not sent an event. */
function firstAwaited (state: EngineState): Run | undefined {
  for (const run of state.runs.values()) if (awaitsFirstEvent(state, run)) return run
  return undefined
}

/** The prompt that the engine prefills now: engines do this in the order of arrival. */
function inProgress ({ lastFirstEventAt }: EngineState, first: Run | undefined, now: number): PrefillInProgress | undefined {
  return first === undefined ? undefined : { nominalMs: first.nominalMs, elapsedMs: now - Math.max(first.sentAt, lastFirstEventAt) }
}

/** Speed that new work can expect. */
function currentSpeed (state: EngineState, now: number, current?: PrefillInProgress): number {
  return state.uneven ? measuredSpeed(state, now, current) : state.steadySpeed
}

/** Speed by the newest measurements and the prompt in progress. */
function measuredSpeed (state: EngineState, now: number, current = inProgress(state, firstAwaited(state), now)): number {
  return state.speed.current(now, current === undefined ? undefined : { nominalMs: current.nominalMs, elapsedMs: (current.elapsedMs - firstEventOverheadMs) * prefillTimeShare })
}

function isPrefilling (state: EngineState): boolean {
  return firstAwaited(state) !== undefined
}

/** Records the prefill of a request that is about to be sent, and the end of a break before it. */
export function recordPrefill (state: EngineState, demand: ModelDemand, now: number): void {
  if (!isPrefilling(state)) state.prefillingSince = now
  state.recentPrefill = { ms: decayedPrefillMs(state, now) + prefillMs(state, demand, now), at: now }
}

/** Half-life of recent prefill, in ms: about the duration of a stream. */
const prefillHalfLifeMs = 2000

function decayedPrefillMs ({ recentPrefill: { ms, at } }: EngineState, now: number): number {
  return ms * 0.5 ** ((now - at) / prefillHalfLifeMs)
}

/** @returns share of recent time that the engine has spent on prefill, 0 to about 1 */
export function prefillShare (state: EngineState, now: number): number {
  return decayedPrefillMs(state, now) * Math.LN2 / prefillHalfLifeMs
}

/** Share of a stream's longest pause during which its engine may prefill without a break; the rest covers batch steps and estimates that are too short. */
const prefillPauseShare = 0.8

/**
 * Whether the engine can prefill a prompt without exceeding the pause limits of its other streams.
 * During prefill each batch step takes as long as a chunk of the prompts, so streams pause while
 * prompts follow each other without a break. A single step without prefill is enough of a break: it
 * occurs once all earlier requests have got their first event.
 */
export function fitsPauseLimits (state: EngineState, demand: ModelDemand, now: number): boolean {
  if (!isPrefilling(state)) return true
  let pauseMs = Infinity
  for (const run of state.runs.values()) pauseMs = Math.min(pauseMs, run.pauseMs ?? Infinity)
  return now - state.prefillingSince + backlogMs(state, now) + prefillMs(state, demand, now) <= pauseMs * prefillPauseShare
}

function updateSteadySpeed (state: EngineState, run: Run, now: number): void {
  const actualMs = now - run.sentAt - firstEventOverheadMs
  if (run.nominalMs * nominalTokensPerMs < minSteadySampleTokens || actualMs <= 0) return
  // Contention only makes prefill look slower, so the estimate follows the faster observations: a fifth of them exceed it.
  state.steadySpeed *= run.nominalMs / actualMs > state.steadySpeed ? 1 + 4 * steadySpeedStep : 1 - steadySpeedStep
}

/** Long-term speeds differ by more than this between engines of unequal speed; those of engines that are alike scatter by less. */
const unevenRatio = 1.5

/** Puts the measured speeds in force while the engines of one owner differ. */
export function compareSpeeds (engines: Iterable<EngineState>, now: number): void {
  const all = [...engines]
  const long = all.map(({ speed }) => speed.longTerm(now))
  const uneven = Math.max(...long) > unevenRatio * Math.min(...long)
  for (const engine of all) engine.uneven = uneven
}

/**
 * Records the first event of a run, and measures the speed by it. An engine prefills in the order of
 * arrival, so it has worked on this prompt since the first event before, or since the prompt was sent.
 */
export function recordFirstEvent (state: EngineState, run: Run, now: number): void {
  run.firstEventAt = now
  updateSteadySpeed(state, run, now)
  const idleBefore = run.sentAt >= state.lastFirstEventAt
  const busyMs = now - Math.max(run.sentAt, state.lastFirstEventAt) - (idleBefore ? firstEventOverheadMs : 0)
  state.lastFirstEventAt = now
  // Another prompt that is in progress may have taken the time.
  if (run.nominalMs < minPromptMs && ![...state.runs.values()].some(other => other.nominalMs >= minPromptMs && awaitsFirstEvent(state, other))) return
  const { unmeasured } = state
  unmeasured.nominalMs += run.nominalMs
  unmeasured.busyMs += Math.max(0, busyMs)
  if (unmeasured.nominalMs < minSampleMs || unmeasured.busyMs === 0) return
  state.speed.delivered(unmeasured.nominalMs, unmeasured.busyMs * prefillTimeShare, now)
  state.unmeasured = { nominalMs: 0, busyMs: 0 }
}

/** Whether the engine gets one request at a time, because its last responses were unusable. */
export function isOnProbation ({ unusableResponses }: EngineState): boolean {
  return unusableResponses >= unusableToAvoid
}

/** How far the engine is trusted with requests, by its responses; one that does not respond at all is not counted here. */
export function useOf (state: EngineState, now: number): ServerUse {
  if (!isOnProbation(state)) return 'in-use'
  return state.avoidedUntil > now ? 'ejected' : 'probation'
}

export function hasCapacity (state: EngineState, demand: ModelDemand): boolean {
  if (state.runs.size === 0) return true
  return !isOnProbation(state) && state.runs.size < state.spec.slots && runningTokens(state) + addedTokens(state, demand) <= state.spec.kvTokens * kvShare
}

export function setRequestLimit (state: EngineState, requestsPerSecond: number | undefined, now: number): void {
  if (requestsPerSecond === undefined) delete state.limit
  else if (state.limit?.requestsPerSecond !== requestsPerSecond) state.limit = { requestsPerSecond, pace: createRequestPace(requestsPerSecond, now, state.limit?.pace) }
}

/** @returns time until the engine accepts another request by the limit that it states, in ms */
export function limitWaitMs ({ limit }: EngineState, now: number): number {
  return limit === undefined ? 0 : paceWaitMs(limit.pace, now)
}

/** @returns time between two requests by the limit that the engine states, in ms; 0 without a limit */
export function limitIntervalMs ({ limit }: EngineState): number {
  return limit?.pace.intervalMs ?? 0
}

/** Records that a request has ended well. */
export function recordSuccess (state: EngineState): void {
  state.unusableResponses = 0
  recordFirstResponse(state)
}

/** Records that a response has begun well. */
export function recordFirstResponse (state: EngineState): void {
  state.failureRate *= 1 - failureWeight
  // The response may still be without end.
  if (isOnProbation(state)) return
  state.avoidanceMs = minAvoidanceMs
  state.avoidedUntil = -Infinity
}

/** Records a failed request, which may be due to the request or its connection alone. */
export function recordFailure (state: EngineState): void {
  state.failureRate += failureWeight * (1 - state.failureRate)
}

/** Records a response that a node gave up because nobody could have used it. */
export function recordUnusable (state: EngineState, now: number): void {
  recordFailure(state)
  state.unusableResponses += 1
  // Responses that are given up together are one failed contact.
  if (isOnProbation(state) && state.avoidedUntil <= now) avoidEngine(state, now)
}

/** Sends no requests to an engine that does not respond, for a time that doubles with each failed contact. */
export function avoidEngine (state: EngineState, now: number): void {
  state.avoidedUntil = now + state.avoidanceMs
  state.avoidanceMs = Math.min(maxAvoidanceMs, state.avoidanceMs * 2)
  state.reportAt = Math.max(state.reportAt ?? 0, state.avoidedUntil)
}

/** @param scope - model and adapter that were unloaded */
export function removeReplica (state: EngineState, scope: string): void {
  state.replicas.delete(scope)
  state.cache.drop(scope)
  state.warmAdapters.delete(scope)
  state.warmAdapters.set(scope, true)
  if (state.warmAdapters.size > maxWarmAdapters) state.warmAdapters.delete(state.warmAdapters.keys().next().value!)
}

/** Whether a replica may be unloaded: no request runs on it and no command for it is pending. */
export function isIdle (state: EngineState, scope: string, replica: AdapterReplica): boolean {
  return replica.state === 'resident' && replica.running === 0 && !hasPendingCommand(state, scope)
}
