/**
 * Router of an entry node: chooses the engine of a request from soft hints. Its decisions affect
 * speed only; the owner of the engine decides whether and when the request runs.
 */
import { rendezvousRank } from './placement'
import type { EngineLoadHint, ServingRequest } from './messages'
import { createUsageTracker } from './usage'

export type RouterEvent =
  /** Engines of the base model in the region that accept new work. */
  | { type: 'engines', engines: string[] }
  | { type: 'hint', hint: EngineLoadHint }
  /** The owner refused the request; the engine is avoided for the time. */
  | { type: 'refused', engine: string, retryAfterMs: number }

export type Router = {
  step (event: RouterEvent, now: number): void
  /** @returns candidates, best first; empty when no engine is known */
  route (request: Pick<ServingRequest, 'adapter' | 'version' | 'prefix'>, now: number): string[]
  /** @returns all engines in the order of the adapter's placement, without regard to load */
  rank (adapter: string): readonly string[]
}

export type RouterConfig = {
  /** ms of one adapter load at full speed */
  loadMs: number
  /**
   * `bounded`: rendezvous hashing with bounded load, replication and spill; `affinity`: the first in
   * rank; `least-loaded`: the shortest queue.
   */
  mode?: 'bounded' | 'affinity' | 'least-loaded'
}

/** An engine takes at most this many times the mean load before its adapters spill over. */
const loadBound = 1.5
/** Requests that are not counted as imbalance. */
const loadAllowance = 8
/** One engine serves this share of all requests for one adapter before it is replicated, times 1/engines. */
const loadPerReplica = 0.5
/** Requests per second at this router below which an adapter is never replicated: shares of few requests mean little. */
const minReplicationRate = 0.1
/** Replication follows the last minute as much as the last quarter of an hour. */
const replicationUsage = { recency: 0.5, idleAware: false }
const maxTrackedKeys = 4_096
/** A hint older than this says nothing about the queue any more. */
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

  /** Engines that serve the adapter: more than one when it is hot. */
  const replicaCount = (adapter: string, now: number): number => {
    const rate = usage.rate(adapter, now)
    if (rate < minReplicationRate) {
      return 1
    }
    const share = rate / usage.rate('', now)
    return Math.min(engines.length, Math.max(1, Math.ceil(share * engines.length / loadPerReplica)))
  }

  /** The mean is taken once per request: per candidate it would cost the square of the number of engines. */
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

  /** The second candidate goes first when it is faster even with a load of the adapter. */
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
