/** What the owner of an engine knows of it: adapters, commands under way, running requests, estimates of speed. */
import type { BackendServer, EngineReport, EngineSpec, LoadedModel, ModelDemand } from './cluster-types'
import { cacheScope, createPromptCache, type PromptCache } from './prompt-cache'

export type AdapterCopy = {
  model: string
  adapter: string
  version?: number
  state: 'loading' | 'resident' | 'unloading'
  /** Loaded from the engine's memory, not from the weight store. */
  warm: boolean
  loadStartedAt: number
  /** Time of the next try, and the first estimate of the load's end. */
  readyAt: number
  estimatedAt: number
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
  expectedFirstAt: number
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
  copies: Map<string, AdapterCopy>
  /** Adapters held before, least recently unloaded first: they load from the engine's memory. */
  held: Map<string, true>
  pending?: PendingCommand
  /** A report was asked for and has not arrived. */
  reporting: boolean
  /** Time of the next report, if one is wanted. */
  reportAt?: number
  /** Time of the last report that was asked for because a request got no answer. */
  probedAt?: number
  /** A base model is being loaded; checked again at this time. */
  modelLoadUntil?: number
  runs: Map<string, Run>
  /** Cached sum of {@link runningTokens}; undefined after a change. */
  runTokens?: number
  cache: PromptCache
  /** Reading time of recent prompts, decayed, as of a time; in ms. */
  recentReading: { ms: number, at: number }
  /** Time from which the engine has been reading prompts without a break. */
  readingSince: number
  /** Time of the newest first event of a stream. */
  lastFirstAt: number
  /** Prompt tokens read in a ms. */
  prefillRate: number
  /** Share of recent requests that failed, 0 to 1. */
  failureRate: number
  /** No new requests until then: the engine does not answer. */
  suspectUntil: number
  /** Doubles with each failed contact, in ms. */
  suspectMs: number
}

/** Reading speed assumed before the first measurement, in tokens per ms: about that of a 70 B model on two accelerators. */
const initialPrefillRate = 30
/** Share of the memory that running requests may take; the rest absorbs outputs that exceed their estimate. */
const kvShare = 0.9
/** Time of a first event beyond reading the prompt, in ms: the network and one step of the batch. */
const firstEventOverheadMs = 15
/** Shorter prompts say little about the reading speed. */
const minLearnTokens = 1000
const rateStep = 0.015
/** Adapters that an engine is assumed to keep in its memory after unloading. */
const heldMax = 40
const suspectMinMs = 500
const suspectMaxMs = 4000
/** Weight of the newest outcome in the share of failures. */
const failureWeight = 0.15

export function createEngineState (server: BackendServer, spec: EngineSpec, now: number): EngineState {
  const state: EngineState = {
    server,
    spec,
    bornAt: server.bornAt,
    commandCount: undefined,
    models: new Set(),
    copies: new Map(),
    held: new Map(),
    reporting: false,
    reportAt: now,
    runs: new Map(),
    cache: createPromptCache(spec.kvTokens / 2),
    recentReading: { ms: 0, at: now },
    readingSince: now,
    lastFirstAt: -Infinity,
    prefillRate: initialPrefillRate,
    failureRate: 0,
    suspectUntil: -Infinity,
    suspectMs: suspectMinMs
  }
  adoptModels(state, server.models, now)
  return state
}

/** Takes over which models and adapters the engine says that it holds. */
export function adoptModels (state: EngineState, models: LoadedModel[], now: number): void {
  state.models = new Set(models.map(({ name }) => name))
  const present = new Map<string, AdapterCopy>()
  for (const { name: model, adapters } of models) {
    for (const { name: adapter, version } of adapters) {
      const scope = cacheScope({ model, adapter })
      const known = state.copies.get(scope)
      present.set(scope, {
        model,
        adapter,
        ...(version === undefined ? {} : { version }),
        state: 'resident',
        warm: true,
        loadStartedAt: known?.loadStartedAt ?? now,
        readyAt: Math.min(known?.readyAt ?? now, now),
        estimatedAt: known?.estimatedAt ?? -Infinity,
        lastUsedAt: known?.lastUsedAt ?? now,
        running: known?.running ?? 0,
        use: known?.use ?? 0
      })
    }
  }
  state.copies = present
}

function isPending (state: EngineState, scope: string): boolean {
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
  if (restarted) restart(state, report.bornAt!, now)
  if (!restarted && state.commandCount !== undefined && report.commandCount < state.commandCount) return false
  const loading = state.copies
  adoptModels(state, report.models, now)
  for (const { model, adapter } of report.loading) {
    const scope = cacheScope({ model, adapter })
    const known = loading.get(scope)
    if (state.copies.has(scope)) continue
    state.copies.set(scope, {
      model,
      adapter,
      ...(known?.version === undefined ? {} : { version: known.version }),
      state: 'loading',
      warm: known?.warm ?? false,
      loadStartedAt: known?.loadStartedAt ?? now,
      readyAt: known !== undefined && known.readyAt > now ? known.readyAt : now + loadMs / 2,
      estimatedAt: known?.estimatedAt ?? -Infinity,
      lastUsedAt: now,
      running: known?.running ?? 0,
      use: known?.use ?? 1,
      ...(known?.probeSentAt === undefined ? {} : { probeSentAt: known.probeSentAt })
    })
  }
  state.commandCount = report.commandCount
  return true
}

/** The engine's process started anew: it holds nothing and has accepted no command. */
export function restart (state: EngineState, bornAt: number, now: number): void {
  state.bornAt = bornAt
  state.commandCount = undefined
  state.models = new Set()
  state.copies = new Map()
  state.held = new Map()
  state.cache.clear()
  state.runs.clear()
  delete state.runTokens
  delete state.pending
  delete state.modelLoadUntil
  state.lastFirstAt = -Infinity
  state.suspectUntil = -Infinity
  state.suspectMs = suspectMinMs
  state.reportAt = now
}

/** Places for adapters that are taken, those of loads on their way included. */
export function usedPlaces (state: EngineState): number {
  const pendingLoad = state.pending?.operation === 'load' && state.pending.adapter !== undefined && !state.copies.has(cacheScope(state.pending)) ? 1 : 0
  return state.copies.size + pendingLoad
}

/** Adapters that fit beside the models, by places and by memory. */
export function placeLimit ({ spec, models }: EngineState): number {
  const held = spec.models.filter(({ name }) => models.has(name))
  const adapterMb = Math.max(0, ...held.map(model => model.adapterMb))
  const freeMb = spec.weightsMb - held.reduce((sum, model) => sum + model.weightsMb, 0)
  return Math.min(spec.adapterSlots, adapterMb === 0 ? Infinity : Math.floor(freeMb / adapterMb))
}

/** Tokens that the running requests need: shared parts of one adapter once, own parts and outputs each. */
function runningTokens (state: EngineState): number {
  state.runTokens ??= sumTokens(state)
  return state.runTokens
}

function sumTokens (state: EngineState): number {
  const shared = new Map<string, number>()
  let own = 0
  for (const { scope, demand } of state.runs.values()) {
    let partTokens = 0
    for (const part of demand.parts.slice(0, -1)) {
      shared.set(`${scope}#${part.id}`, part.tokens)
      partTokens += part.tokens
    }
    own += Math.max(0, demand.promptTokens - partTokens) + demand.outputTokens
  }
  return own + [...shared.values()].reduce((sum, tokens) => sum + tokens, 0)
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
  return uncachedTokens(state, demand) / state.prefillRate
}

/** Silence beyond the estimate after which an engine counts as stalled, in ms. */
const stallMs = 500

/**
 * Time until the prompts sent so far will have been read, in ms. Requests whose answer is overdue
 * while later ones were answered are left out: their answers are lost, not late.
 */
export function backlogMs (state: EngineState, now: number): number {
  let unreadMs = 0
  let oldestSentAt = Infinity
  let overdueMs = 0
  for (const run of state.runs.values()) {
    if (run.firstEventAt !== undefined || run.expectedFirstAt + stallMs < state.lastFirstAt) continue
    unreadMs += run.prefillMs
    oldestSentAt = Math.min(oldestSentAt, run.sentAt)
    overdueMs = Math.max(overdueMs, now - run.expectedFirstAt)
  }
  if (unreadMs === 0) return 0
  if (overdueMs > stallMs) return Math.max(unreadMs, overdueMs)
  return Math.max(0, unreadMs - (now - Math.max(oldestSentAt, state.lastFirstAt)))
}

function isReading (state: EngineState): boolean {
  for (const run of state.runs.values()) {
    if (run.firstEventAt === undefined && run.expectedFirstAt + stallMs >= state.lastFirstAt) return true
  }
  return false
}

/** A request is about to be sent: notes when a break in the reading ends. */
export function noteReading (state: EngineState, demand: ModelDemand, now: number): void {
  if (!isReading(state)) state.readingSince = now
  state.recentReading = { ms: decayedReadingMs(state, now) + prefillMs(state, demand), at: now }
}

/** Recent reading counts half after this time, in ms: about as long as a stream runs. */
const readingHalfLifeMs = 2000

function decayedReadingMs ({ recentReading: { ms, at } }: EngineState, now: number): number {
  return ms * 0.5 ** ((now - at) / readingHalfLifeMs)
}

/** @returns share of recent time that the engine has spent reading prompts, 0 to about 1 */
export function readingShare (state: EngineState, now: number): number {
  return decayedReadingMs(state, now) * Math.LN2 / readingHalfLifeMs
}

/** Part of the longest pause of a stream for which its engine may read prompts without a break; the rest covers steps and estimates that are too short. */
const unbrokenShare = 0.8

/**
 * Whether a prompt can be read without pauses in the engine's other streams that make them late.
 * While prompts are read, each step takes as long as reading a piece of them, so streams pause when
 * prompts follow each other without a break. One step without reading is break enough: the engine
 * takes the next prompt once it has begun to answer all earlier ones.
 */
export function keepsPauses (state: EngineState, demand: ModelDemand, now: number): boolean {
  if (!isReading(state)) return true
  let pauseMs = Infinity
  for (const run of state.runs.values()) pauseMs = Math.min(pauseMs, run.pauseMs ?? Infinity)
  return now - state.readingSince + backlogMs(state, now) + prefillMs(state, demand) <= pauseMs * unbrokenShare
}

/** A run's first event arrived: corrects the reading speed. */
export function learnPrefillRate (state: EngineState, run: Run, now: number): void {
  const actualMs = now - run.sentAt - firstEventOverheadMs
  if (run.uncachedTokens < minLearnTokens || actualMs <= 0) return
  // Contention only ever makes reading look slower, so the estimate follows the faster observations: a fifth of them exceed it.
  state.prefillRate *= run.uncachedTokens / actualMs > state.prefillRate ? 1 + 4 * rateStep : 1 - rateStep
}

export function hasRoom (state: EngineState, demand: ModelDemand): boolean {
  if (state.runs.size === 0) return true
  return state.runs.size < state.spec.slots && runningTokens(state) + addedTokens(state, demand) <= state.spec.kvTokens * kvShare
}

export function noteSuccess (state: EngineState): void {
  state.failureRate *= 1 - failureWeight
  state.suspectMs = suspectMinMs
  state.suspectUntil = -Infinity
}

/** A request failed at the engine, which may be the fault of this request or connection alone. */
export function noteFailure (state: EngineState): void {
  state.failureRate += failureWeight * (1 - state.failureRate)
}

/** The engine does not answer: no requests for a time that doubles with each failed contact. */
export function suspect (state: EngineState, now: number): void {
  state.suspectUntil = now + state.suspectMs
  state.suspectMs = Math.min(suspectMaxMs, state.suspectMs * 2)
  state.reportAt = Math.max(state.reportAt ?? 0, state.suspectUntil)
}

/** @param scope - model and adapter that leave the engine */
export function forgetCopy (state: EngineState, scope: string): void {
  state.copies.delete(scope)
  state.cache.drop(scope)
  state.held.delete(scope)
  state.held.set(scope, true)
  if (state.held.size > heldMax) state.held.delete(state.held.keys().next().value!)
}

/** Whether a copy may be unloaded: nothing runs on it and no command concerns it. */
export function isIdle (state: EngineState, scope: string, copy: AdapterCopy): boolean {
  return copy.state === 'resident' && copy.running === 0 && !isPending(state, scope)
}
