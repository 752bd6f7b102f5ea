/** Late dispatch: sends just enough requests to keep the engine's batch full, and follows them to their end. */
import { createFairOrder } from './fair-order'
import type { FairOrder } from './fair-order'
import { invariant } from './invariant'
import type { ChoiceContext } from './load-choice'
import type { SchedulerAction, SchedulerConfig } from './messages'
import type { PrefixCache } from './prefix-cache'
import type { Group, Waiting } from './request-queue'
import type { Slot } from './slots'

export type Running = Waiting & {
  handle: string
  dispatchedAt: number
  firstTokenAt?: number
  cancelled: boolean
}

export type Dispatcher = {
  readonly running: ReadonlyMap<string, Running>
  plan (now: number): SchedulerAction[]
  /** @returns the request when it was running, after removing it from its slot */
  end (requestId: string, now: number): Running | undefined
  get (requestId: string): Running | undefined
}

/** Requests of one adapter and class that are searched for a cached prefix. */
const prefixLookup = 8
/** A request may be overtaken by one with a cached prefix for this share of its patience. */
const overtakeShare = 0.1

type Ready = { group: Group, slot: Slot, list: Waiting[] }

/**
 * @param rank position of a class by urgency of its target; the engine's priority
 */
export const createDispatcher = (cfg: SchedulerConfig, context: ChoiceContext, prefixes: PrefixCache, rank: (className: string) => number): Dispatcher => {
  const { queue, slots, feedback, options, isPatient } = context
  const running = new Map<string, Running>()
  const fairOrders = new Map<string, FairOrder>()
  /** One request beyond the batch covers the round trip to the engine. */
  const limit = cfg.batchSize + Math.max(1, Math.floor(cfg.batchSize / 16))
  const reserved = Math.floor(cfg.batchSize / 8)

  const readyByClass = (now: number): Map<string, Ready[]> => {
    const usable = new Map<string, Slot>()
    for (const slot of slots.all()) {
      if (slot.state === 'resident' && slot.holdUntil <= now) {
        usable.set(slot.key, slot)
      }
    }
    const ready = new Map<string, Ready[]>()
    for (const [key, slot] of usable) {
      const group = queue.group(key)
      for (const [name, list] of group?.byClass ?? []) {
        ready.set(name, [...(ready.get(name) ?? []), { group: group!, slot, list }])
      }
    }
    return ready
  }

  const earliest = (entries: Ready[]): Ready =>
    entries.reduce((best, entry) => entry.list[0]!.request.arrivedAt < best.list[0]!.request.arrivedAt ? entry : best)

  const chooseClass = (ready: Map<string, Ready[]>, now: number): string | undefined => {
    let best: string | undefined
    let bestUrgency = -Infinity
    const full = running.size >= cfg.batchSize - reserved
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

  const chooseAdapter = (name: string, entries: Ready[]): Ready => {
    if (options.dispatchOrder === 'arrival') {
      return earliest(entries)
    }
    const order = fairOrders.get(name) ?? createFairOrder()
    fairOrders.set(name, order)
    const costs = new Map(entries.map(({ group, list }) => [group.key, list[0]!.request.maxTokens]))
    const key = order.next(costs)
    return entries.find(({ group }) => group.key === key)!
  }

  const chooseRequest = (name: string, list: Waiting[], now: number): Waiting => {
    const first = list[0]!
    const patience = feedback.patienceMs(name, first.request.maxTokens)
    if (options.dispatchOrder === 'arrival' || now - first.request.arrivedAt > patience * overtakeShare) {
      return first
    }
    const likelihood = ({ request }: Waiting): number => request.prefix === undefined ? 0 : prefixes.likelihood(request.prefix, now)
    return list.slice(0, prefixLookup).reduce((best, entry) => likelihood(entry) > likelihood(best) + 0.25 ? entry : best)
  }

  const dispatch = (name: string, { slot, list }: Ready, now: number): SchedulerAction => {
    const waiting = chooseRequest(name, list, now)
    const { request } = waiting
    queue.remove(request.requestId)
    invariant(slot.adapter === request.adapter && slot.version === request.version, `request ${request.requestId} dispatched to ${slot.handle}`)
    invariant(!running.has(request.requestId), `request ${request.requestId} dispatched twice`)
    running.set(request.requestId, { ...waiting, handle: slot.handle, dispatchedAt: now, cancelled: false })
    slot.running.add(request.requestId)
    slot.lastUsed = now
    if (request.prefix !== undefined) {
      prefixes.used(request.prefix, now)
    }
    return { type: 'dispatch', requestId: request.requestId, handle: slot.handle, priority: rank(name) }
  }

  return {
    running,
    plan (now) {
      const actions: SchedulerAction[] = []
      while (running.size < limit && queue.size > 0) {
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
      const slot = slots.get(ended.handle)
      if (slot !== undefined) {
        slot.running.delete(requestId)
        slot.lastUsed = now
      }
      return ended
    },
    get: (requestId) => running.get(requestId)
  }
}
