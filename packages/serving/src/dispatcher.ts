/** Late dispatch: sends only as many requests as keep the engine's batch full, and tracks them until they end. */
import { createDeficitRoundRobin } from './deficit-round-robin'
import type { DeficitRoundRobin } from './deficit-round-robin'
import { invariant } from './invariant'
import type { SchedulingContext } from './load-choice'
import type { SchedulerAction, SchedulerConfig } from './messages'
import type { PrefixCache } from './prefix-cache'
import type { RequestGroup, WaitingRequest } from './request-queue'
import type { AdapterReplica } from './slots'

export type RunningRequest = WaitingRequest & {
  handle: string
  dispatchedAt: number
  firstTokenAt?: number
  cancelled: boolean
}

export type Dispatcher = {
  readonly running: ReadonlyMap<string, RunningRequest>
  plan (now: number): SchedulerAction[]
  /**
   * Removes the request from its replica.
   * @returns the request, or undefined when it was not running
   */
  end (requestId: string, now: number): RunningRequest | undefined
  get (requestId: string): RunningRequest | undefined
}

/** Number of requests of one adapter and class that are searched for a cached prefix. */
const prefixSearchDepth = 8
/** Requests with a cached prefix may overtake a request during this share of its patience. */
const overtakeShare = 0.1

type ReadyGroup = { group: RequestGroup, replica: AdapterReplica, list: WaitingRequest[] }

/** @param rank returns the rank of a class by its target, 0 for the shortest; sent as the engine's priority */
export const createDispatcher = (cfg: SchedulerConfig, context: SchedulingContext, prefixes: PrefixCache, rank: (className: string) => number): Dispatcher => {
  const { queue, slots, feedback, options, isPatient } = context
  const running = new Map<string, RunningRequest>()
  const roundRobins = new Map<string, DeficitRoundRobin>()
  /** At least one request beyond the batch covers the round trip to the engine. */
  const maxRunning = cfg.batchSize + Math.max(1, Math.floor(cfg.batchSize / 16))
  const reservedBatchSlots = Math.floor(cfg.batchSize / 8)

  const readyByClass = (now: number): Map<string, ReadyGroup[]> => {
    const residentByKey = new Map<string, AdapterReplica>()
    for (const replica of slots.all()) {
      if (replica.state === 'resident' && replica.pausedUntil <= now) {
        residentByKey.set(replica.key, replica)
      }
    }
    const ready = new Map<string, ReadyGroup[]>()
    for (const [key, replica] of residentByKey) {
      const group = queue.group(key)
      for (const [name, list] of group?.byClass ?? []) {
        ready.set(name, [...(ready.get(name) ?? []), { group: group!, replica, list }])
      }
    }
    return ready
  }

  const earliest = (entries: ReadyGroup[]): ReadyGroup =>
    entries.reduce((best, entry) => entry.list[0]!.request.arrivedAt < best.list[0]!.request.arrivedAt ? entry : best)

  const chooseClass = (ready: Map<string, ReadyGroup[]>, now: number): string | undefined => {
    let best: string | undefined
    let bestUrgency = -Infinity
    const full = running.size >= cfg.batchSize - reservedBatchSlots
    for (const [name, entries] of ready) {
      if (full && options.reserveBatchSlots && isPatient(name)) {
        continue
      }
      const { arrivedAt } = earliest(entries).list[0]!.request
      const urgency = options.dispatchOrder === 'urgency' ? feedback.urgency(name, now - arrivedAt) : -arrivedAt
      if (urgency > bestUrgency) {
        best = name
        bestUrgency = urgency
      }
    }
    return best
  }

  const chooseAdapter = (name: string, entries: ReadyGroup[]): ReadyGroup => {
    if (options.dispatchOrder === 'arrival') {
      return earliest(entries)
    }
    const roundRobin = roundRobins.get(name) ?? createDeficitRoundRobin()
    roundRobins.set(name, roundRobin)
    const costs = new Map(entries.map(({ group, list }) => [group.key, list[0]!.request.maxTokens]))
    const key = roundRobin.next(costs)
    return entries.find(({ group }) => group.key === key)!
  }

  const chooseRequest = (name: string, list: WaitingRequest[], now: number): WaitingRequest => {
    const first = list[0]!
    const patience = feedback.patienceMs(name, first.request.maxTokens)
    if (options.dispatchOrder === 'arrival' || now - first.request.arrivedAt > patience * overtakeShare) {
      return first
    }
    const likelihood = ({ request }: WaitingRequest): number => request.prefix === undefined ? 0 : prefixes.likelihood(request.prefix, now)
    return list.slice(0, prefixSearchDepth).reduce((best, entry) => likelihood(entry) > likelihood(best) + 0.25 ? entry : best)
  }

  const dispatch = (name: string, { replica, list }: ReadyGroup, now: number): SchedulerAction => {
    const waiting = chooseRequest(name, list, now)
    const { request } = waiting
    queue.remove(request.requestId)
    invariant(replica.adapter === request.adapter && replica.version === request.version, `request ${request.requestId} dispatched to ${replica.handle}, which has another adapter or version`)
    invariant(!running.has(request.requestId), `request ${request.requestId} dispatched twice`)
    running.set(request.requestId, { ...waiting, handle: replica.handle, dispatchedAt: now, cancelled: false })
    replica.running.add(request.requestId)
    replica.lastUsed = now
    if (request.prefix !== undefined) {
      prefixes.recordUse(request.prefix, now)
    }
    return { type: 'dispatch', requestId: request.requestId, handle: replica.handle, priority: rank(name) }
  }

  return {
    running,
    plan (now) {
      const actions: SchedulerAction[] = []
      while (running.size < maxRunning && queue.size > 0) {
        const ready = readyByClass(now)
        const name = chooseClass(ready, now)
        if (name === undefined) {
          break
        }
        actions.push(dispatch(name, chooseAdapter(name, ready.get(name)!), now))
      }
      return actions
    },
    end (requestId, now) {
      const ended = running.get(requestId)
      if (ended === undefined) {
        return undefined
      }
      running.delete(requestId)
      const replica = slots.get(ended.handle)
      if (replica !== undefined) {
        replica.running.delete(requestId)
        replica.lastUsed = now
      }
      return ended
    },
    get: (requestId) => running.get(requestId)
  }
}
