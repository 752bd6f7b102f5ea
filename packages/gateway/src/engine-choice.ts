/**
 * Ranks the engine owners that a node asks for a grant. The ranking is meant for far more adapters
 * than adapter slots, most of them rarely used. An adapter in frequent use gets a replica in the
 * node's own zone. A request for a rare adapter goes to the owner that has it loaded, in any zone.
 * If none has, all nodes choose the same owner, so that the adapter takes one slot and one load.
 */
import { topNode } from '@yuccawharf/coordination'
import type { BackendServer, ModelDemand } from './cluster-types'
import type { ScheduledRequest } from './engine-scheduler-types'
import { nominalTokensPerMs } from './engine-speed'
import { cacheScope } from './prompt-cache'
import { softwareVersionOf } from './software-versions'

/** An engine with the status that its owner last sent. */
export type EngineCandidate = {
  server: BackendServer
  /** Node that owns the engine; absent while it has no owner. */
  owner?: string
  /** Whether the owner may give it commands. */
  commandable: boolean
  scopes: ReadonlySet<string>
  backlogMs: number
  running: number
  /** Estimated time until an adapter that none of the owner's engines has is loaded, in ms. */
  loadWaitMs: number
  /** The engine states a limit, so that only its owner may decide who sends to it. */
  limited?: boolean
  /** Long-term speed; absent if no owner has shared one lately. */
  speed?: number | undefined
  /** Age of the status, in ms; Infinity if the owner has sent none. */
  ageMs: number
}

/** What restricts the engines to which a request may be sent. */
export type EngineRestriction = Pick<ScheduledRequest, 'excluded' | 'only' | 'softwareVersion'>

/** @returns whether the request may be sent to the engine */
export function mayRunAt (server: BackendServer, { excluded, only, softwareVersion }: EngineRestriction): boolean {
  return !excluded.includes(server.id) && (only === undefined || only.includes(server.id)) &&
    (softwareVersion === undefined || softwareVersion === softwareVersionOf(server))
}

/** Cost of a load from the weight store in addition to its duration, in ms. */
const loadCostMs = 100
/** Cost of transferring a request to another zone, in ms. */
const crossZoneCostMs = 120
/** The same for an adapter in frequent use, in ms. */
const hotCrossZoneCostMs = 400
/** Cost of each running request, in ms. */
const runningCostMs = 4
/** Cost of a load at an owner other than the preferred one, in ms: a second replica takes another slot. */
const extraReplicaCostMs = 200
/**
 * Difference of cost that says nothing when no owner replies, in ms: that of one request in progress.
 * All nodes have nearly the same, old statuses, and other nodes have sent requests since.
 */
const equalCostMs = loadCostMs
/** Number of recent requests for an adapter from which a replica in the node's own zone pays off. */
const hotUseCount = 4

/** @param preferredOwner - owner that loads the adapter if no engine has it */
function engineCost (engine: EngineCandidate, scope: string | undefined, zone: string, hot: boolean, preferredOwner?: string): number {
  const zoneCostMs = engine.server.zone === zone ? 0 : hot ? hotCrossZoneCostMs : crossZoneCostMs
  const queueCostMs = engine.backlogMs + engine.running * runningCostMs
  if (scope === undefined || engine.scopes.has(scope)) return queueCostMs + zoneCostMs
  if (!engine.commandable) return Infinity
  if (preferredOwner === undefined) return queueCostMs + zoneCostMs + loadCostMs + engine.loadWaitMs
  return queueCostMs + loadCostMs + engine.loadWaitMs + (engine.owner === preferredOwner ? 0 : extraReplicaCostMs + zoneCostMs)
}

/**
 * Owner that loads an adapter if no engine has it: one of the zone for an adapter in frequent use,
 * otherwise any. All nodes choose the same one, also while some engines state limits.
 */
function choosePreferredOwner (engines: readonly EngineCandidate[], scope: string, zone: string, hot: boolean): string | undefined {
  const owners = new Set<string>()
  const unlimited = new Set<string>()
  for (const { owner, server, commandable, limited } of engines) {
    if (owner === undefined || !commandable || (hot && server.zone !== zone)) continue
    owners.add(owner)
    if (limited !== true) unlimited.add(owner)
  }
  return topNode(scope, [...(unlimited.size > 0 ? unlimited : owners)].map(id => ({ id })))?.id
}

/**
 * @param recentUses - number of recent requests of this node for the adapter, decayed
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
 * Chooses an engine that had the adapter by its last status, for use when no owner replies.
 *
 * @param key - id of the request; requests with different ones spread over engines of nearly the same cost
 * @returns undefined if no engine had it
 */
export function chooseWithoutOwner (engines: readonly EngineCandidate[], demand: ModelDemand, zone: string, restriction: EngineRestriction, inProgress: (id: string) => number, key = ''): BackendServer | undefined {
  const scope = demand.adapter === undefined ? undefined : cacheScope(demand)
  const costs: Array<{ server: BackendServer, costMs: number }> = []
  for (const engine of engines) {
    if (engine.limited === true || !mayRunAt(engine.server, restriction)) continue
    if (scope !== undefined && !engine.scopes.has(scope)) continue
    const promptMs = demand.promptTokens / nominalTokensPerMs / (engine.speed ?? 1)
    costs.push({ server: engine.server, costMs: engineCost(engine, scope, zone, false) + inProgress(engine.server.id) * loadCostMs + promptMs })
  }
  const leastMs = Math.min(...costs.map(({ costMs }) => costMs))
  return topNode(key, costs.filter(({ costMs }) => costMs < leastMs + equalCostMs).map(({ server }) => server))
}

/** Counts requests by adapter with exponential decay. */
export type UseCounter = {
  add (scope: string, now: number): number
  /** @returns what `add` would, without counting the request */
  peek (scope: string, now: number): number
}

/** Half-life of the counts, in ms. */
const useHalfLifeMs = 10_000
const maxCountedAdapters = 4096

export function createUseCounter (): UseCounter {
  const counts = new Map<string, { value: number, at: number }>()
  function peek (scope: string, now: number): number {
    const entry = counts.get(scope)
    return (entry === undefined ? 0 : entry.value * 0.5 ** ((now - entry.at) / useHalfLifeMs)) + 1
  }

  return {
    peek,
    add (scope, now) {
      const value = peek(scope, now)
      counts.delete(scope)
      counts.set(scope, { value, at: now })
      if (counts.size > maxCountedAdapters) counts.delete(counts.keys().next().value!)
      return value
    }
  }
}
