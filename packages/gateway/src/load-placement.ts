/**
 * Which adapter to load or unload next, and where. The load that this answers: many rarely used
 * adapters asked for at once on engines with few places, and adapters so popular that one engine
 * cannot carry them.
 */
import { backlogMs, isIdle, adapterSlotLimit, prefillShare, usedAdapterSlots, type AdapterReplica, type EngineState } from './engine-state'

export type WantedAdapter = {
  scope: string
  model: string
  adapter: string
  version?: number
  /** Sum of the weights of the waiting requests. */
  weight: number
}

export type LoadDecision =
  | { type: 'load', engine: EngineState, wanted: WantedAdapter }
  | { type: 'unload', engine: EngineState, replica: AdapterReplica }

/** Loads from the weight store on their way to one engine; more would only slow each other down. */
const maxColdLoadsPerEngine = 2
/** Loads on their way to one engine, those from its memory included; the engine takes no more. */
const maxLoadsPerEngine = 4
/** Cost of a place at an engine that reads prompts all the time, in ms: a run of the usual length takes that much longer there. */
const constantPrefillCostMs = 600
/** Worth of one recent request to a copy that would be evicted, as time in ms. */
const evictionCostPerUseMs = 60

function countLoading (state: EngineState, coldOnly: boolean): number {
  let count = 0
  for (const replica of state.replicas.values()) {
    if (replica.state === 'loading' && !(coldOnly && replica.warm)) count += 1
  }
  return count
}

export function countColdLoads (engines: Iterable<EngineState>): number {
  let count = 0
  for (const engine of engines) count += countLoading(engine, true)
  return count
}

/** The idle copy that is worth least, unless a waiting request wants it. */
function evictionCandidate (state: EngineState, neededScopes: ReadonlySet<string>): AdapterReplica | undefined {
  let leastUsed: AdapterReplica | undefined
  for (const [scope, replica] of state.replicas) {
    if (!isIdle(state, scope, replica) || (neededScopes.has(scope) && replica.retiring !== true)) continue
    if (leastUsed === undefined || replica.use < leastUsed.use || (replica.use === leastUsed.use && replica.lastUsedAt < leastUsed.lastUsedAt)) leastUsed = replica
  }
  return leastUsed
}

export type LoadContext = {
  now: number
  /** The engine takes commands of this owner, and none is under way. */
  commandable (engine: EngineState): boolean
  /** Loads from the weight store of this owner that are on their way. */
  coldLoads: number
  coldLoadMs: number
  warmLoadMs: number
  /** Loads from the weight store that this owner may have on their way. */
  maxColdLoads: number
}

/**
 * Chooses the engine with the least cost: time until it can start the request, the load itself, and what an eviction loses.
 *
 * @param neededScopes - adapters that waiting requests want, which are not evicted
 */
export function decideLoad (wanted: WantedAdapter, engines: readonly EngineState[], neededScopes: ReadonlySet<string>, ctx: LoadContext): LoadDecision | undefined {
  let best: LoadDecision | undefined
  let bestCost = Infinity
  const atColdLoadLimit = ctx.coldLoads >= ctx.maxColdLoads
  for (const engine of engines) {
    if (!engine.models.has(wanted.model) || engine.avoidedUntil > ctx.now || !ctx.commandable(engine)) continue
    const existing = engine.replicas.get(wanted.scope)
    // A copy of an older version leaves first; a copy that is wanted as it is needs no load here.
    if (existing !== undefined && !isIdle(engine, wanted.scope, existing)) continue
    const warm = engine.warmAdapters.has(wanted.scope)
    if (!warm && (atColdLoadLimit || countLoading(engine, true) >= maxColdLoadsPerEngine)) continue
    if (countLoading(engine, false) >= maxLoadsPerEngine) continue
    const evicted = existing ?? (usedAdapterSlots(engine) < adapterSlotLimit(engine) ? undefined : evictionCandidate(engine, neededScopes))
    if (evicted === undefined && usedAdapterSlots(engine) >= adapterSlotLimit(engine)) continue
    const cost = backlogMs(engine, ctx.now) + prefillShare(engine, ctx.now) * constantPrefillCostMs + (warm ? ctx.warmLoadMs : ctx.coldLoadMs) + (evicted?.use ?? 0) * evictionCostPerUseMs
    if (cost >= bestCost) continue
    bestCost = cost
    best = evicted === undefined ? { type: 'load', engine, wanted } : { type: 'unload', engine, replica: evicted }
  }
  return best
}
