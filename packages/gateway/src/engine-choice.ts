/**
 * Which engine owner a node asks for a place. The load that this answers: far more adapters than
 * places, most of them rarely used. An adapter that is asked for often is worth a copy in the own
 * zone; a rare one goes to the owner that has it, wherever that is, and one that nobody has to the
 * same owner from all nodes, so that it takes one place and one load.
 */
import { topNode } from '@yuccawharf/coordination'
import type { BackendServer, ModelDemand } from './cluster-types'
import { cacheScope } from './prompt-cache'

/** What an owner last said of one of its engines. */
export type EngineCandidate = {
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
const crossZoneCostMs = 120
const hotCrossZoneCostMs = 400
const runningCostMs = 4
/** Cost of a load at another owner than the one to which all nodes bring the adapter: the place that a second copy takes, in ms. */
const extraReplicaCostMs = 200
/** Requests for an adapter in recent time from which a copy in the own zone pays off. */
const hotUseCount = 4

/** @param preferredOwner - owner to which the adapter is brought when nobody has it */
function engineCost (engine: EngineCandidate, scope: string | undefined, zone: string, hot: boolean, preferredOwner?: string): number {
  const zoneCostMs = engine.server.zone === zone ? 0 : hot ? hotCrossZoneCostMs : crossZoneCostMs
  const queueCostMs = engine.backlogMs + engine.running * runningCostMs
  if (scope === undefined || engine.scopes.has(scope)) return queueCostMs + zoneCostMs
  if (!engine.commandable) return Infinity
  if (preferredOwner === undefined) return queueCostMs + zoneCostMs + loadCostMs + engine.loadWaitMs
  return queueCostMs + loadCostMs + engine.loadWaitMs + (engine.owner === preferredOwner ? 0 : extraReplicaCostMs + zoneCostMs)
}

/** Owner to which nodes bring an adapter that no engine has: one of the zone for an adapter in frequent use, otherwise one of all. */
function choosePreferredOwner (engines: readonly EngineCandidate[], scope: string, zone: string, hot: boolean): string | undefined {
  const owners = new Set<string>()
  for (const { owner, server, commandable } of engines) {
    if (owner !== undefined && commandable && (!hot || server.zone === zone)) owners.add(owner)
  }
  return topNode(scope, [...owners].map(id => ({ id })))?.id
}

/**
 * @param recentUses - requests for the adapter that this node has seen in recent time
 * @returns owners, best first
 */
export function rankOwners (engines: readonly EngineCandidate[], demand: ModelDemand, zone: string, recentUses: number): string[] {
  const scope = demand.adapter === undefined ? undefined : cacheScope(demand)
  const hot = recentUses >= hotUseCount
  const preferredOwner = scope === undefined ? undefined : choosePreferredOwner(engines, scope, zone, hot)
  const costs = new Map<string, number>()
  for (const engine of engines) {
    if (engine.owner === undefined) continue
    const cost = engineCost(engine, scope, zone, hot, preferredOwner)
    costs.set(engine.owner, Math.min(costs.get(engine.owner) ?? Infinity, cost))
  }
  return [...costs].filter(([, cost]) => cost < Infinity).sort(([, left], [, right]) => left - right).map(([owner]) => owner)
}

/**
 * Choice without an owner, when none can be asked: an engine that was last said to hold the adapter.
 *
 * @returns undefined when no engine is known to hold it
 */
export function chooseWithoutOwner (engines: readonly EngineCandidate[], demand: ModelDemand, zone: string, excluded: readonly string[], inProgress: (id: string) => number): BackendServer | undefined {
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
const useHalfLifeMs = 10_000
const maxCountedAdapters = 4096

export function createUseCounter (): UseCounter {
  const counts = new Map<string, { value: number, at: number }>()
  return {
    add (scope, now) {
      const entry = counts.get(scope)
      const value = (entry === undefined ? 0 : entry.value * 0.5 ** ((now - entry.at) / useHalfLifeMs)) + 1
      counts.delete(scope)
      counts.set(scope, { value, at: now })
      if (counts.size > maxCountedAdapters) counts.delete(counts.keys().next().value!)
      return value
    }
  }
}
