/**
 * Calls to plain services. The entry node sends idempotent calls itself and retries them. Other calls
 * go to the owner of the key's shard, where claims in the log decide which node sends them.
 */
import { createCircuitBreaker, createRetryBudget, parseOrderKey, retryDelayMs, type CircuitBreaker, type RetryBudget } from '@yuccawharf/coordination'
import type { ServiceResponse, ServiceResult } from '@yuccawharf/clients'
import type { CoreContext } from './core-context'
import type { Instances } from './instances'
import type { Order, Refusal } from './core-events'
import { createOrderShards } from './order-shards'
import { fromReply, toTransfer } from './order-transfer'
import type { LogStreams } from './log-streams'
import type { OrderReply, OrderTransfer } from './peer-messages'
import type { Peers } from './peers'

export type Orders = {
  tick (now: number): void
  submit (order: Order, refusalReason: string | undefined, now: number): void
  serviceFinished (orderId: string, result: ServiceResult, now: number): void
  /** Receives an order from another entry node, for a shard of this node. */
  receiveOrder (from: string, order: OrderTransfer, now: number): void
  receiveReply (from: string, orderId: string, reply: OrderReply): void
  receiveConfirmRequest (from: string, orderId: string): void
  receiveConfirmation (orderId: string, wanted: boolean, now: number): void
  receiveKeyQuery (from: string, orderId: string, key: string): void
  receiveKeyReply (from: string, orderId: string, seen: boolean): void
  receiveHeads (heads: { shard: number, offset: number }[]): void
  keyPrefix (): string | undefined
  /** Called after this process was paused or isolated from its peers. */
  invalidateReads (now: number): void
  /** Orders without a response or without a recorded outcome. */
  readonly pendingCount: number
}

type IdempotentCall = { order: Order, attempt: number, instance: string, retryAt: number | undefined, tried: Set<string> }

/** A keyed order sent to its shard's owner. Its key makes it safe to send it again. */
type PendingTransfer = {
  order: Order
  sentAt: number
  sentTo: Set<string>
  /** Nodes that replied "not run"; certain only when all nodes that received the order have replied so. */
  notRun: Set<string>
}

const transferRetryMs = 1_000
const retryConfig = { baseMs: 50, maxMs: 2_000, maxRetries: 3 }
const budgetConfig = { ratio: 0.1, burst: 10 }
const breakerConfig = { failureThreshold: 5, openMs: 2_000 }

/** Operators identify an order by its key; idempotent calls have none. */
const timelineIdOf = ({ key, orderId }: Order): string => key ?? orderId

export const createOrders = (ctx: CoreContext, streams: LogStreams, peers: Peers, instances: Instances): Orders => {
  const { cfg } = ctx
  const calls = new Map<string, IdempotentCall>()
  const transfers = new Map<string, PendingTransfer>()
  const breakers = new Map<string, CircuitBreaker>()
  const budgets = new Map<string, RetryBudget>()

  const breakerOf = (instance: string): CircuitBreaker => {
    const entry = breakers.get(instance) ?? createCircuitBreaker(breakerConfig)
    breakers.set(instance, entry)
    return entry
  }

  const budgetOf = (group: string): RetryBudget => {
    const entry = budgets.get(group) ?? createRetryBudget(budgetConfig)
    budgets.set(group, entry)
    return entry
  }

  /** @returns a live instance of the group; prefers instances that were not tried, then those in this zone */
  const chooseInstance = (group: string, tried: ReadonlySet<string>, now: number): string | undefined => {
    const usable = instances.ofKind('service').filter(instance =>
      instance.group === group && instance.region === cfg.region && !instances.isLeaving(instance.id) && breakerOf(instance.id).state(now) !== 'open')
    const untried = usable.filter(({ id }) => !tried.has(id))
    const candidates = untried.length > 0 ? untried : usable
    const sameZone = candidates.filter(({ zone }) => zone === cfg.zone)
    const pool = sameZone.length > 0 ? sameZone : candidates
    const chosen = pool[Math.floor(ctx.uniform() * pool.length)]?.id
    return chosen !== undefined && breakerOf(chosen).allowCall(now) ? chosen : undefined
  }

  const sendToInstance = (instance: string, orderId: string, order: Order, now: number): void => {
    const since = instances.leavingSince(instance)
    ctx.check(since === undefined || now - since < 3_000, `order ${orderId} sent to the leaving instance ${instance}`)
    ctx.record('send-order', { order: timelineIdOf(order) }, instance)
    ctx.emit({ type: 'send-order', orderId, instance, req: order.req })
  }

  const recordResult = (instance: string, result: ServiceResult, now: number): void => {
    if (result.type === 'ok') {
      breakerOf(instance).recordSuccess()
    } else {
      breakerOf(instance).recordFailure(now)
    }
  }

  const shards = createOrderShards(ctx, streams, peers, {
    send (orderId, order, now) {
      const instance = chooseInstance(order.group, new Set(), now)
      if (instance !== undefined) {
        sendToInstance(instance, orderId, order, now)
      }
      return instance
    },
    isWanted: orderId => transfers.has(orderId),
    sendReply: (target, orderId, reply) => sendReply(target, orderId, reply)
  })

  const finish = (order: Order, result: { type: 'ok', response: ServiceResponse } | { type: 'refused', refusal: Refusal }): void => {
    ctx.record('order-result', { order: timelineIdOf(order) }, result.type === 'ok' ? String(result.response.status) : result.refusal.outcome)
    ctx.emit({ type: 'order-result', orderId: order.orderId, result })
  }

  const sendReply = (target: string, orderId: string, reply: OrderReply): void => {
    if (target !== cfg.node) {
      return peers.send(target, { type: 'order-reply', orderId, reply })
    }
    receiveReply(cfg.node, orderId, reply)
  }

  const isFinal = (pending: PendingTransfer, from: string, reply: OrderReply): boolean => {
    if (reply.type === 'ok' || reply.refusal.outcome === 'invalid') {
      return true
    }
    if (reply.refusal.outcome === 'unknown') {
      return pending.sentTo.size === 1
    }
    pending.notRun.add(from)
    return [...pending.sentTo].every(node => pending.notRun.has(node))
  }

  const receiveReply = (from: string, orderId: string, reply: OrderReply): void => {
    const pending = transfers.get(orderId)
    if (pending !== undefined && isFinal(pending, from, reply)) {
      transfers.delete(orderId)
      finish(pending.order, fromReply(reply))
    }
  }

  const sendTransfer = (pending: PendingTransfer, now: number): void => {
    const { order } = pending
    const shard = parseOrderKey(order.key ?? '')?.shard ?? 0
    const owner = shards.ownerOf(shard)
    pending.sentAt = now
    if (owner === undefined) {
      return
    }
    pending.sentTo.add(owner)
    ctx.record('forward-order', { order: timelineIdOf(order) }, owner)
    if (owner === cfg.node) {
      shards.submit(cfg.node, order, now)
    } else {
      peers.send(owner, { type: 'order', order: toTransfer(order, now) })
    }
  }

  const startKeyed = (order: Order, now: number): void => {
    if (transfers.has(order.orderId)) {
      return
    }
    const pending: PendingTransfer = { order, sentAt: now, sentTo: new Set(), notRun: new Set() }
    transfers.set(order.orderId, pending)
    sendTransfer(pending, now)
  }

  const sendCall = (entry: IdempotentCall, now: number): void => {
    const instance = chooseInstance(entry.order.group, entry.tried, now)
    entry.retryAt = undefined
    if (instance === undefined) {
      return retry(entry, { type: 'not-sent', reason: 'no live instance of the group' }, now)
    }
    entry.instance = instance
    entry.tried.add(instance)
    sendToInstance(instance, entry.order.orderId, entry.order, now)
  }

  const retry = (entry: IdempotentCall, result: Exclude<ServiceResult, { type: 'ok' }>, now: number): void => {
    const { order, attempt } = entry
    const progress = result.type === 'not-sent' ? 'not-sent' : 'maybe-sent'
    const delayMs = retryDelayMs(retryConfig, budgetOf(order.group), { idempotent: true, progress, attempt, deadline: order.deadline }, ctx.uniform(), now)
    if (delayMs !== undefined) {
      entry.attempt += 1
      entry.retryAt = now + delayMs
      return
    }
    calls.delete(order.orderId)
    const mayHaveRun = result.type === 'unknown' || entry.tried.size > 1
    finish(order, { type: 'refused', refusal: { outcome: mayHaveRun ? 'unknown' : 'not-run', reason: result.reason, retryAfterMs: 1_000 } })
  }

  const startIdempotent = (order: Order, now: number): void => {
    const entry: IdempotentCall = { order, attempt: 0, instance: '', retryAt: undefined, tried: new Set() }
    calls.set(order.orderId, entry)
    budgetOf(order.group).recordAttempt()
    sendCall(entry, now)
  }

  const expireTransfer = (order: Order): void => {
    transfers.delete(order.orderId)
    // Even if this call was not sent, earlier calls with its key may have run.
    finish(order, { type: 'refused', refusal: { outcome: 'unknown', reason: 'the deadline passed without an answer of the shard\'s owner' } })
  }

  const tickTransfers = (now: number): void => {
    for (const pending of transfers.values()) {
      if (now >= pending.order.deadline) {
        expireTransfer(pending.order)
      } else if (pending.notRun.size === 0 && now - pending.sentAt >= transferRetryMs) {
        sendTransfer(pending, now)
      }
    }
  }

  return {
    tick (now) {
      shards.tick(now)
      tickTransfers(now)
      for (const entry of calls.values()) {
        if (entry.retryAt !== undefined && now >= entry.retryAt) {
          sendCall(entry, now)
        }
      }
    },
    submit (order, refusalReason, now) {
      if (refusalReason !== undefined) {
        // A node that may have missed claims cannot rule out that the key has run elsewhere.
        return finish(order, { type: 'refused', refusal: { outcome: order.key === undefined ? 'not-run' : 'unknown', reason: refusalReason, retryAfterMs: 1_000 } })
      }
      if (order.key === undefined) {
        startIdempotent(order, now)
      } else {
        startKeyed(order, now)
      }
    },
    serviceFinished (orderId, result, now) {
      const entry = calls.get(orderId)
      if (entry === undefined) {
        const instance = shards.serviceFinished(orderId, result, now)
        if (instance !== undefined) {
          recordResult(instance, result, now)
        }
        return
      }
      recordResult(entry.instance, result, now)
      if (result.type === 'ok') {
        calls.delete(orderId)
        finish(entry.order, { type: 'ok', response: result.response })
      } else {
        retry(entry, result, now)
      }
    },
    receiveConfirmRequest: (from, orderId) => peers.send(from, { type: 'order-confirmed', orderId, wanted: transfers.has(orderId) }),
    receiveConfirmation: shards.receiveConfirmation,
    receiveKeyQuery: shards.receiveKeyQuery,
    receiveKeyReply: shards.receiveKeyReply,
    receiveOrder: (from, order, now) => shards.receiveOrder(from, order, now),
    receiveReply,
    invalidateReads: shards.invalidateReads,
    receiveHeads: heads => shards.receiveHeads(heads),
    keyPrefix: () => shards.keyPrefix(),
    get pendingCount () {
      return calls.size + transfers.size + shards.pendingCount
    }
  }
}
