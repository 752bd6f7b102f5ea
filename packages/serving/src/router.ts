/**
 * Router of an entry node: chooses the engine of a request by load hints that may be outdated. Its
 * decisions affect speed only; the owner of the engine decides whether and when the request runs.
 */
import { rendezvousRank } from './placement'
import type { EngineLoadHint, ServingRequest } from './messages'
import { createUsageTracker } from './usage'

export type RouterEvent =
  /** Engines of the base model in the region that accept new work. */
  | { type: 'engines', engines: string[] }
  | { type: 'hint', hint: EngineLoadHint }
  /** The owner refused a request; the engine is avoided for this time. */
  | { type: 'refused', engine: string, retryAfterMs: number }

export type Router = {
  step (event: RouterEvent, now: number): void
  /** @returns candidates, best first; empty when there are no engines */
  route (request: Pick<ServingRequest, 'adapter' | 'version' | 'prefix'>, now: number): string[]
  /** @returns all engines in their rendezvous order for the adapter, regardless of load */
  rank (adapter: string): readonly string[]
}

export type RouterConfig = {
  /** Duration of one adapter load at full speed, in ms. */
  loadMs: number
  /**
   * `bounded`: rendezvous hashing with bounded load, replication and spill; `affinity`: the first in
   * rank; `least-loaded`: the shortest queue.
   */
  mode?: 'bounded' | 'affinity' | 'least-loaded'
}

/** An engine takes at most this many times the mean load before its adapters spill over. */
const loadBound = 1.5
/** Requests allowed above this bound, so that a few requests do not count as overload. */
const loadAllowance = 8
/** Request rate of an adapter per replica, as a fraction of the mean request rate per engine. */
const loadPerReplica = 0.5
/** Requests per second at this router below which an adapter is never replicated: so few requests do not give a reliable rate. */
const minReplicationRate = 0.1
/** Replication weighs the last minute and the last 15 minutes equally. */
const replicationUsage = { recency: 0.5, idleAware: false }
/** Bound on the adapters and prefixes that are tracked. */
const maxTrackedKeys = 4_096
/** An older hint is ignored, and a refusing engine is avoided for at most this time. */
const hintTtlMs = 10_000

export const createRouter = ({ loadMs, mode = 'bounded' }: RouterConfig): Router => {
  let engines: string[] = []
  const hints = new Map<string, EngineLoadHint>()
  /** Requests sent since the last hint of the engine. */
  const sentSinceHint = new Map<string, number>()
  const avoidedUntil = new Map<string, number>()
  const usage = createUsageTracker(maxTrackedKeys, replicationUsage)
  const prefixes = new Map<string, string>()
  const ranks = new Map<string, string[]>()

  const hintOf = (engine: string, now: number): EngineLoadHint | undefined => {
    const hint = hints.get(engine)
    return hint !== undefined && now - hint.at < hintTtlMs ? hint : undefined
  }

  const loadOf = (engine: string, now: number): number => {
    const hint = hintOf(engine, now)
    return (hint === undefined ? 0 : hint.queued + hint.running) + (sentSinceHint.get(engine) ?? 0)
  }

  const rankOf = (adapter: string): string[] => {
    const cached = ranks.get(adapter)
    if (cached !== undefined) {
      return cached
    }
    const rank = rendezvousRank(adapter, engines)
    if (ranks.size >= maxTrackedKeys) {
      ranks.delete(ranks.keys().next().value!)
    }
    ranks.set(adapter, rank)
    return rank
  }

  /** Number of engines that serve the adapter: more than one when it is hot. */
  const replicaCount = (adapter: string, now: number): number => {
    const rate = usage.rate(adapter, now)
    if (rate < minReplicationRate) {
      return 1
    }
    const share = rate / usage.rate('', now)
    return Math.min(engines.length, Math.max(1, Math.ceil(share * engines.length / loadPerReplica)))
  }

  /** Computes the mean load once per request: per candidate, the cost would be quadratic in the number of engines. */
  const overloadTest = (now: number): ((engine: string) => boolean) => {
    const mean = engines.reduce((sum, other) => sum + loadOf(other, now), 0) / engines.length
    const bound = mean * loadBound + loadAllowance
    return engine => loadOf(engine, now) > bound || now < (avoidedUntil.get(engine) ?? 0)
  }

  const byLoad = (list: string[], now: number): string[] =>
    list.map((engine) => ({ engine, load: loadOf(engine, now) })).sort((a, b) => a.load - b.load).map(({ engine }) => engine)

  const bounded = (adapter: string, prefix: string | undefined, now: number): string[] => {
    const rank = rankOf(adapter)
    const count = replicaCount(adapter, now)
    const isOverloaded = overloadTest(now)
    const replicaSet = byLoad(rank.slice(0, count), now)
    const cached = prefix === undefined ? undefined : prefixes.get(`${adapter}|${prefix}`)
    if (cached !== undefined && replicaSet.includes(cached) && !isOverloaded(cached)) {
      replicaSet.splice(replicaSet.indexOf(cached), 1)
      replicaSet.unshift(cached)
    }
    const order = [...replicaSet, ...rank.slice(count)]
    return spill(order.filter(engine => !isOverloaded(engine)), order, now)
  }

  /** Puts the second candidate first when it is faster even if it must load the adapter. */
  const spill = (open: string[], order: string[], now: number): string[] => {
    const [first, second] = open
    if (first === undefined || second === undefined) {
      return open.length > 0 ? open : order
    }
    const wait = (engine: string): number => hintOf(engine, now)?.waitMs ?? 0
    const extra = Math.max(loadMs, hintOf(second, now)?.loadWaitMs ?? 0)
    return wait(first) > wait(second) + extra ? [second, first, ...open.slice(2)] : open
  }

  const recordPrefix = (adapter: string, prefix: string | undefined, engine: string): void => {
    if (prefix === undefined) {
      return
    }
    const key = `${adapter}|${prefix}`
    prefixes.delete(key)
    prefixes.set(key, engine)
    if (prefixes.size > maxTrackedKeys) {
      prefixes.delete(prefixes.keys().next().value!)
    }
  }

  return {
    step (event, now) {
      switch (event.type) {
        case 'engines':
          engines = [...event.engines].sort()
          ranks.clear()
          break
        case 'hint':
          hints.set(event.hint.engine, event.hint)
          sentSinceHint.set(event.hint.engine, 0)
          break
        case 'refused':
          avoidedUntil.set(event.engine, now + Math.min(event.retryAfterMs, hintTtlMs))
          break
      }
    },
    rank: rankOf,
    route ({ adapter, prefix }, now) {
      if (engines.length === 0) {
        return []
      }
      usage.record(adapter, now)
      usage.record('', now)
      const order = mode === 'bounded'
        ? bounded(adapter, prefix, now)
        : mode === 'affinity' ? rankOf(adapter) : byLoad(engines, now)
      sentSinceHint.set(order[0]!, (sentSinceHint.get(order[0]!) ?? 0) + 1)
      recordPrefix(adapter, prefix, order[0]!)
      return order
    }
  }
}
