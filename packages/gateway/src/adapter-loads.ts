/**
 * Which adapter to load or unload next, and where. The load that this answers: many rarely used
 * adapters asked for at once on engines with few places, and adapters so popular that one engine
 * cannot carry them.
 */
import { backlogMs, isIdle, placeLimit, readingShare, usedPlaces, type AdapterCopy, type EngineState } from './engine-state'

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
  | { type: 'unload', engine: EngineState, copy: AdapterCopy }

/** Loads from the weight store on their way to one engine; more would only slow each other down. */
const coldLoadsPerEngine = 2
/** Loads on their way to one engine, those from its memory included; the engine takes no more. */
const loadsPerEngine = 4
/** Cost of a place at an engine that reads prompts all the time, in ms: a run of the usual length takes that much longer there. */
const readingCostMs = 600
/** Worth of one recent request to a copy that would be evicted, as time in ms. */
const evictionCostMs = 60

function loadingCount (state: EngineState, coldOnly: boolean): number {
  let count = 0
  for (const copy of state.copies.values()) {
    if (copy.state === 'loading' && !(coldOnly && copy.warm)) count += 1
  }
  return count
}

export function coldLoads (engines: Iterable<EngineState>): number {
  let count = 0
  for (const engine of engines) count += loadingCount(engine, true)
  return count
}

/** The idle copy that is worth least, unless a waiting request wants it. */
function victim (state: EngineState, keep: ReadonlySet<string>): AdapterCopy | undefined {
  let worst: AdapterCopy | undefined
  for (const [scope, copy] of state.copies) {
    if (!isIdle(state, scope, copy) || (keep.has(scope) && copy.retiring !== true)) continue
    if (worst === undefined || copy.use < worst.use || (copy.use === worst.use && copy.lastUsedAt < worst.lastUsedAt)) worst = copy
  }
  return worst
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
  coldLoadLimit: number
}

/**
 * Chooses the engine with the least cost: time until it can start the request, the load itself, and what an eviction loses.
 *
 * @param keep - adapters that waiting requests want, which are not evicted
 */
export function decideLoad (wanted: WantedAdapter, engines: readonly EngineState[], keep: ReadonlySet<string>, ctx: LoadContext): LoadDecision | undefined {
  let best: LoadDecision | undefined
  let bestCost = Infinity
  const coldFull = ctx.coldLoads >= ctx.coldLoadLimit
  for (const engine of engines) {
    if (!engine.models.has(wanted.model) || engine.suspectUntil > ctx.now || !ctx.commandable(engine)) continue
    const present = engine.copies.get(wanted.scope)
    // A copy of an older version leaves first; a copy that is wanted as it is needs no load here.
    if (present !== undefined && !isIdle(engine, wanted.scope, present)) continue
    const warm = engine.held.has(wanted.scope)
    if (!warm && (coldFull || loadingCount(engine, true) >= coldLoadsPerEngine)) continue
    if (loadingCount(engine, false) >= loadsPerEngine) continue
    const evicted = present ?? (usedPlaces(engine) < placeLimit(engine) ? undefined : victim(engine, keep))
    if (evicted === undefined && usedPlaces(engine) >= placeLimit(engine)) continue
    const cost = backlogMs(engine, ctx.now) + readingShare(engine, ctx.now) * readingCostMs + (warm ? ctx.warmLoadMs : ctx.coldLoadMs) + (evicted?.use ?? 0) * evictionCostMs
    if (cost >= bestCost) continue
    bestCost = cost
    best = evicted === undefined ? { type: 'load', engine, wanted } : { type: 'unload', engine, copy: evicted }
  }
  return best
}
