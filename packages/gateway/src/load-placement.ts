/**
 * Chooses the engine on which an adapter is loaded, and the adapter that is unloaded for it. The choice
 * is meant for engines with few adapter slots: many rarely used adapters are requested at the same
 * time, and some adapters are too popular for one engine.
 */
import { maxLoadsPerEngine } from './load-limit'
import { backlogMs, isIdle, adapterSlotLimit, limitIntervalMs, limitWaitMs, prefillShare, usedAdapterSlots, type AdapterReplica, type EngineState } from './engine-state'

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

/** Time within which an engine refuses a request for an adapter that is not loaded yet, in ms: a round trip between zones. */
export const earlyRefusalMs = 15
/** Cost of an engine that prefills without a break, in ms: a request of the usual length takes that much longer there. */
const continuousPrefillCostMs = 600
/** Cost of an engine of the mean speed, in ms, in inverse proportion to the speed: the adapter's later prompts run there too. */
const promptCostMs = 450
/** Speed relative to the mean from which an engine counts as no slower than others: estimates of engines that are all alike scatter by this much. */
const alikeShare = 0.85
/** Cost of an eviction for each recent request to the evicted replica, in ms. */
const evictionCostPerUseMs = 60

/** Whether the engine may still refuse the request that tests a load. */
export function isProbed ({ probeSentAt }: AdapterReplica, now: number): boolean {
  return probeSentAt !== undefined && now - probeSentAt < earlyRefusalMs
}

/** Whether a load takes bandwidth of the store or memory: not any more once the engine has accepted a request for the adapter. */
function isInTransit (replica: AdapterReplica, now: number): boolean {
  return replica.state === 'loading' && (replica.probeSentAt === undefined || isProbed(replica, now))
}

function countLoads (state: EngineState, now: number, counts: (replica: AdapterReplica) => boolean): number {
  let count = 0
  for (const replica of state.replicas.values()) {
    if (isInTransit(replica, now) && counts(replica)) count += 1
  }
  return count
}

export function countColdLoads (engines: Iterable<EngineState>, now: number): number {
  let count = 0
  for (const engine of engines) count += countLoads(engine, now, ({ warm }) => !warm)
  return count
}

/** Least used of the idle replicas that no waiting request needs. */
export function evictionCandidate (state: EngineState, neededScopes: ReadonlySet<string>): AdapterReplica | undefined {
  let leastUsed: AdapterReplica | undefined
  for (const [scope, replica] of state.replicas) {
    if (!isIdle(state, scope, replica) || (neededScopes.has(scope) && replica.retiring !== true)) continue
    if (leastUsed === undefined || replica.use < leastUsed.use || (replica.use === leastUsed.use && replica.lastUsedAt < leastUsed.lastUsedAt)) leastUsed = replica
  }
  return leastUsed
}

export type LoadContext = {
  now: number
  /** Whether this owner may give the engine a command and none is pending. */
  commandable (engine: EngineState): boolean
  /** Number of this owner's concurrent cold loads. */
  coldLoads: number
  coldLoadMs: number
  warmLoadMs: number
  /** Number of concurrent cold loads allowed to this owner. */
  maxColdLoads: number
  /** Set if the limit prevents a load. */
  limitReached: boolean
}

/**
 * Chooses the engine with the lowest cost: its delay, the duration of the load, and the loss from an eviction.
 *
 * @param neededScopes - adapters that waiting requests need, which are not evicted
 */
export function decideLoad (wanted: WantedAdapter, engines: readonly EngineState[], neededScopes: ReadonlySet<string>, ctx: LoadContext): LoadDecision | undefined {
  let best: LoadDecision | undefined
  let bestCost = Infinity
  const meanSpeed = engines.reduce((sum, { speed }) => sum + speed.longTerm(ctx.now), 0) / engines.length
  const atColdLoadLimit = ctx.coldLoads >= ctx.maxColdLoads
  for (const engine of engines) {
    if (!engine.models.has(wanted.model) || engine.avoidedUntil > ctx.now || !ctx.commandable(engine)) continue
    const existing = engine.replicas.get(wanted.scope)
    // An outdated replica is unloaded first, so it must be idle; a current one needs no load here.
    if (existing !== undefined && !isIdle(engine, wanted.scope, existing)) continue
    const warm = engine.warmAdapters.has(wanted.scope)
    if (countLoads(engine, ctx.now, () => true) >= maxLoadsPerEngine) continue
    if (!warm && atColdLoadLimit) {
      ctx.limitReached = true
      continue
    }
    const evicted = existing ?? (usedAdapterSlots(engine) < adapterSlotLimit(engine) ? undefined : evictionCandidate(engine, neededScopes))
    if (evicted === undefined && usedAdapterSlots(engine) >= adapterSlotLimit(engine)) continue
    const shareOfMean = engine.speed.longTerm(ctx.now) / meanSpeed
    const relativeSpeed = engine.uneven && shareOfMean < alikeShare ? shareOfMean : 1
    const cost = backlogMs(engine, ctx.now) + limitWaitMs(engine, ctx.now) + limitIntervalMs(engine) + prefillShare(engine, ctx.now) * continuousPrefillCostMs + (warm ? ctx.warmLoadMs : ctx.coldLoadMs) + (evicted?.use ?? 0) * evictionCostPerUseMs + promptCostMs / relativeSpeed
    if (cost >= bestCost) continue
    bestCost = cost
    best = evicted === undefined ? { type: 'load', engine, wanted } : { type: 'unload', engine, replica: evicted }
  }
  return best
}
