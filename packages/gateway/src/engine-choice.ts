/**
 * Which engine owner a node asks for a place. An adapter that is asked for often is worth a copy in
 * the own zone; a rare one goes to the zone that has it, which costs bytes between zones but no load.
 */
import type { BackendServer, ModelDemand } from './cluster-types'
import { cacheScope } from './prompt-cache'

/** What an owner last said of one of its engines. */
export type KnownEngine = {
  server: BackendServer
  /** Node that owns it; absent while nobody does. */
  owner?: string
  /** Its owner may give it commands. */
  commandable: boolean
  scopes: ReadonlySet<string>
  backlogMs: number
  running: number
  /** Time until an adapter that its owner's engines do not hold could be there, in ms. */
  loadWaitMs: number
  /** Age of what the owner said, in ms; Infinity when it has said nothing. */
  ageMs: number
}

/** Costs as time, in ms: the price of a load from the weight store, beside its duration; the bytes of a request between zones; each running request. */
const loadCostMs = 100
const otherZoneCostMs = 120
const hotOtherZoneCostMs = 400
const runningCostMs = 4
/** Requests for an adapter in recent time from which a copy in the own zone pays off. */
const hotUses = 4

function engineCost (engine: KnownEngine, scope: string | undefined, zone: string, hot: boolean): number {
  const near = engine.server.zone === zone
  const held = scope === undefined || engine.scopes.has(scope)
  if (!held && !engine.commandable) return Infinity
  return engine.backlogMs + engine.running * runningCostMs + (held ? 0 : loadCostMs + engine.loadWaitMs) + (near ? 0 : hot ? hotOtherZoneCostMs : otherZoneCostMs)
}

/**
 * @param recentUses - requests for the adapter that this node has seen in recent time
 * @returns owners, best first
 */
export function rankOwners (engines: readonly KnownEngine[], demand: ModelDemand, zone: string, recentUses: number): string[] {
  const scope = demand.adapter === undefined ? undefined : cacheScope(demand)
  const costs = new Map<string, number>()
  for (const engine of engines) {
    if (engine.owner === undefined) continue
    const cost = engineCost(engine, scope, zone, recentUses >= hotUses)
    costs.set(engine.owner, Math.min(costs.get(engine.owner) ?? Infinity, cost))
  }
  return [...costs].filter(([, cost]) => cost < Infinity).sort(([, left], [, right]) => left - right).map(([owner]) => owner)
}

/**
 * Choice without an owner, when none can be asked: an engine that was last said to hold the adapter.
 *
 * @returns undefined when no engine is known to hold it
 */
export function chooseUnowned (engines: readonly KnownEngine[], demand: ModelDemand, zone: string, excluded: readonly string[], inProgress: (id: string) => number): BackendServer | undefined {
  const scope = demand.adapter === undefined ? undefined : cacheScope(demand)
  let best: BackendServer | undefined
  let bestCost = Infinity
  for (const engine of engines) {
    if (excluded.includes(engine.server.id)) continue
    if (scope !== undefined && !engine.scopes.has(scope)) continue
    const cost = engineCost(engine, scope, zone, false) + inProgress(engine.server.id) * loadCostMs
    if (cost < bestCost) {
      best = engine.server
      bestCost = cost
    }
  }
  return best
}

/** Counts requests by adapter with exponential decay. */
export type UseCounter = { add (scope: string, now: number): number }

/** Counts fall by half in this time, in ms. */
const halfLifeMs = 10_000
const maxCounted = 4096

export function createUseCounter (): UseCounter {
  const counts = new Map<string, { value: number, at: number }>()
  return {
    add (scope, now) {
      const known = counts.get(scope)
      const value = (known === undefined ? 0 : known.value * 0.5 ** ((now - known.at) / halfLifeMs)) + 1
      counts.delete(scope)
      counts.set(scope, { value, at: now })
      if (counts.size > maxCounted) counts.delete(counts.keys().next().value!)
      return value
    }
  }
}
