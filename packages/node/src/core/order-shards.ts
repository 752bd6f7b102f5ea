/**
 * The claims shards that this node owns by rendezvous hashing. If two nodes both consider themselves
 * the owner of a shard, claims in the log still ensure that an order is sent only once.
 */
import { claimCoordinatorDefaults, claimShardCount, claimStream, createClaimCoordinator, topNode, orderKeyPrefix, parseOrderKey, type ClaimAction, type ClaimCoordinator, type LogTail } from '@yuccawharf/coordination'
import type { ServiceResult } from '@yuccawharf/clients'
import type { CoreContext } from './core-context'
import { createHandledKeys } from './handled-keys'
import type { LogStreams } from './log-streams'
import type { Order } from './core-events'
import { fromTransfer, replyWithFullBody, toReply, toSendResult } from './order-transfer'
import type { OrderReply, OrderTransfer } from './peer-messages'
import type { Peers } from './peers'

export type OrderShardsEnv = {
  /** Sends the order to a live instance. @returns the instance, or undefined when there is none and nothing was sent */
  send (orderId: string, order: Order, now: number): string | undefined
  sendReply (target: string, orderId: string, reply: OrderReply): void
  /** Whether the caller of an order that entered at this node is still waiting. */
  isWanted (orderId: string): boolean
}

export type OrderShards = {
  tick (now: number): void
  ownerOf (shard: number): string | undefined
  submit (target: string, order: Order, now: number): void
  receiveOrder (from: string, order: OrderTransfer, now: number): void
  receiveKeyQuery (from: string, orderId: string, key: string): void
  receiveKeyReply (from: string, orderId: string, seen: boolean): void
  receiveConfirmation (orderId: string, wanted: boolean, now: number): void
  /** @returns the instance that the order was sent to */
  serviceFinished (orderId: string, result: ServiceResult, now: number): string | undefined
  receiveHeads (heads: { shard: number, offset: number }[]): void
  keyPrefix (): string | undefined
  /** Called after this process was paused or isolated from its peers: the log must be read again before a key counts as new. */
  invalidateReads (now: number): void
  readonly pendingCount: number
}

type Shard = { coordinator: ClaimCoordinator, tail: LogTail }

type PendingOrder = { order: Order, target: string, arrivedAt: number }

type SendAction = Extract<ClaimAction, { type: 'send' }>

/** An order that won its claim and awaits confirmation by its entry node. */
type UnconfirmedSend = { shard: number, action: SendAction, entry: PendingOrder, askedAt: number }

type SentOrder = { key: string, attempt: string, shard: number, instance: string }

const unknownReply: OrderReply = { type: 'refused', refusal: { outcome: 'unknown', reason: 'the log does not answer, and another node may have run an order with the key', retryAfterMs: 1_000 } }

const confirmRetryMs = 300
const headsCheckIntervalMs = 5_000
/** Number of keys stored to assert that none is sent twice. */
const maxSentKeys = 10_000
/** Replies stored for messages that are repeated, until the deadline of the order; 2,000 replies of 1 KiB take 2 MiB. */
const maxReplies = 2_000

export const createOrderShards = (ctx: CoreContext, streams: LogStreams, peers: Peers, env: OrderShardsEnv): OrderShards => {
  const { cfg, hooks } = ctx
  const handledKeys = createHandledKeys(ctx, peers)
  const shards = new Map<number, Shard>()
  const pendingOrders = new Map<string, PendingOrder>()
  const unconfirmedSends = new Map<string, UnconfirmedSend>()
  const sentOrders = new Map<string, SentOrder>()
  /** Keys of orders that this process has sent to a backend server, to detect a second send. */
  const sentKeys = new Set<string>()
  /** A repeated message must get the same reply: an order that was refused as not run must not run afterwards. */
  const replies = new Map<string, OrderReply>()
  /** Orders by key, stored only for the hook `sendAfterGiveUp`. */
  const hookOrders = new Map<string, PendingOrder>()
  const heads = new Map<number, number>()
  const shardOwners = new Map<number, string | undefined>()
  let peersVersion = -1
  let headsCheckedAt = -Infinity
  /** When the heads were last sent to each process. Sending them to all of 400 nodes every few seconds would take 48 KB/s. */
  const headsSentAt = new Map<string, number>()
  let lastAttempt = 0
  /** Reads that began before this time may lack claims of a node that had declared this one dead. */
  let readsInvalidBefore = -Infinity

  const addBounded = (set: Set<string>, key: string): void => {
    set.add(key)
    const [oldest] = set
    if (oldest !== undefined && set.size > maxSentKeys) {
      set.delete(oldest)
    }
  }

  const updateOwners = (): void => {
    if (peersVersion === peers.version) {
      return
    }
    peersVersion = peers.version
    const nodes = peers.accepting()
    for (let shard = 0; shard < claimShardCount; shard += 1) {
      shardOwners.set(shard, topNode(claimStream(shard), nodes)?.id)
    }
  }

  const ownerOf = (shard: number): string | undefined => {
    updateOwners()
    return shardOwners.get(shard)
  }

  const sendReply = (orderId: string, { target }: PendingOrder, reply: OrderReply): void => {
    pendingOrders.delete(orderId)
    replies.set(orderId, reply)
    const [oldest] = replies.keys()
    if (oldest !== undefined && replies.size > maxReplies) {
      replies.delete(oldest)
    }
    env.sendReply(target, orderId, reply)
  }

  /** Time up to which the shard's stream has been read: when the newest read with a response was sent. */
  const readUntil = (key: string | undefined): number => {
    const shard = parseOrderKey(key ?? '')?.shard ?? -1
    const contact = shards.get(shard)?.tail.lastContact ?? -Infinity
    return contact > readsInvalidBefore ? contact : -Infinity
  }

  /**
   * A claim may have been appended after the newest read. If that read was sent before the order
   * arrived, "not run" also requires that all processes that could have handled the key since deny it.
   */
  const replyWhenCertain = (orderId: string, entry: PendingOrder, reply: OrderReply, now: number): void => {
    const isNotRun = reply.type === 'refused' && reply.refusal.outcome === 'not-run'
    const { key } = entry.order
    const until = readUntil(key)
    if (!isNotRun || until >= entry.arrivedAt) {
      return sendReply(orderId, entry, reply)
    }
    // A process that has ended since cannot be asked.
    handledKeys.queryNodes(orderId, key ?? '', isNew => sendReply(orderId, entry, isNew && peers.processesChangedAt < until ? reply : unknownReply), now)
  }

  const reportNotSent = (shard: number, action: SendAction, reason: string, now: number): void =>
    performAll(shard, shards.get(shard)?.coordinator.sendFinished(action.attempt, { type: 'not-sent', reason }, now) ?? [], now)

  const askEntryNode = (unconfirmed: UnconfirmedSend, now: number): void => {
    unconfirmed.askedAt = now
    peers.send(unconfirmed.entry.target, { type: 'order-confirm', orderId: unconfirmed.action.orderId })
  }

  /** An order must not run after its caller got a response, for example due to a delayed message or a pause of this node. */
  const send = (shard: number, action: SendAction, now: number): void => {
    const entry = pendingOrders.get(action.orderId) ?? hookOrders.get(action.key)
    if (entry === undefined) {
      return reportNotSent(shard, action, 'the caller has been answered', now)
    }
    if (hooks.sendAfterGiveUp === true) {
      return sendNow(shard, action, entry, now)
    }
    if (entry.target !== cfg.node) {
      const unconfirmed = { shard, action, entry, askedAt: now }
      unconfirmedSends.set(action.orderId, unconfirmed)
      return askEntryNode(unconfirmed, now)
    }
    if (env.isWanted(action.orderId)) {
      sendNow(shard, action, entry, now)
    } else {
      reportNotSent(shard, action, 'the caller has been answered', now)
    }
  }

  const checkUnconfirmed = (now: number): void => {
    for (const [orderId, unconfirmed] of unconfirmedSends) {
      if (now >= unconfirmed.entry.order.deadline) {
        unconfirmedSends.delete(orderId)
        reportNotSent(unconfirmed.shard, unconfirmed.action, 'the entry node did not confirm the order', now)
      } else if (now >= unconfirmed.askedAt + confirmRetryMs) {
        askEntryNode(unconfirmed, now)
      }
    }
  }

  const sendNow = (shard: number, action: SendAction, entry: PendingOrder, now: number): void => {
    const instance = sendOnce(action, entry, now)
    if (instance === undefined) {
      return reportNotSent(shard, action, 'no live instance of the group', now)
    }
    sentOrders.set(action.orderId, { key: action.key, attempt: action.attempt, shard, instance })
  }

  const sendOnce = (action: SendAction, entry: PendingOrder, now: number): string | undefined => {
    ctx.check(!sentKeys.has(action.key), `order ${action.key} would be sent twice`)
    const instance = env.send(action.orderId, entry.order, now)
    if (instance !== undefined) {
      addBounded(sentKeys, action.key)
    }
    return instance
  }

  const perform = (shard: number, action: ClaimAction, now: number): void => {
    switch (action.type) {
      case 'append':
        ctx.record('claims-append', {}, `${action.values.length} records`)
        return streams.append(action.stream, action.values, (result, finishedAt) =>
          performAll(shard, shards.get(shard)?.coordinator.appendFinished(action.token, result, finishedAt) ?? [], finishedAt))
      case 'send': return send(shard, action, now)
      case 'respond': {
        const entry = pendingOrders.get(action.orderId)
        if (entry !== undefined) {
          replyWhenCertain(action.orderId, entry, toReply(action.response), now)
        }
      }
    }
  }

  const performAll = (shard: number, actions: ClaimAction[], now: number): void => actions.forEach(action => perform(shard, action, now))

  const attemptId = (): string => {
    lastAttempt += 1
    return `${cfg.node}/${cfg.incarnation}/${lastAttempt}`
  }

  const openShard = (shard: number): Shard => {
    const existing = shards.get(shard)
    if (existing !== undefined) {
      return existing
    }
    const coordinator = createClaimCoordinator({
      ...claimCoordinatorDefaults,
      node: cfg.node,
      shard,
      attemptId,
      isLogCurrent: () => (shards.get(shard)?.tail.lastContact ?? -Infinity) > readsInvalidBefore,
      hooks: { skipReadBack: hooks.skipClaimReadBack === true, sendAfterGiveUp: hooks.sendAfterGiveUp === true }
    })
    const tail = streams.follow(claimStream(shard), {
      read: ({ records }, { first, next }, now) => performAll(shard, coordinator.receivePage({ first, next, records }, now), now),
      readFailed: now => performAll(shard, coordinator.readFailed(now), now)
    })
    const opened = { coordinator, tail }
    shards.set(shard, opened)
    return opened
  }

  const closeShard = (shard: number): void => {
    shards.delete(shard)
    streams.unfollow(claimStream(shard))
  }

  const updateShards = (): void => {
    if (!peers.hasInstanceList) {
      return
    }
    for (let shard = 0; shard < claimShardCount; shard += 1) {
      const isOwner = ownerOf(shard) === cfg.node
      if (isOwner) {
        openShard(shard)
      } else if (shards.get(shard)?.coordinator.pendingCount === 0) {
        closeShard(shard)
      }
    }
  }

  /** @returns nodes whose process is new or due for the heads again, and records them as sent */
  const nodesDueForHeads = (now: number): string[] => {
    const processes = peers.live()
      .filter(({ id }) => id !== cfg.node)
      .map(({ id }) => ({ id, process: `${id}/${peers.member(id)?.incarnation ?? 0}` }))
    const liveProcesses = new Set(processes.map(({ process }) => process))
    ;[...headsSentAt.keys()].filter(process => !liveProcesses.has(process)).forEach(process => headsSentAt.delete(process))
    const due = processes.filter(({ process }) => now >= (headsSentAt.get(process) ?? -Infinity) + cfg.claimHeadsIntervalMs)
    due.forEach(({ process }) => headsSentAt.set(process, now))
    return due.map(({ id }) => id)
  }

  const sendHeads = (now: number): void => {
    for (const [shard, { coordinator }] of shards) {
      if (coordinator.head !== undefined) {
        heads.set(shard, coordinator.head)
      }
    }
    if (now < headsCheckedAt + headsCheckIntervalMs || shards.size === 0) {
      return
    }
    headsCheckedAt = now
    const own = [...shards.keys()].flatMap(shard => heads.has(shard) ? [{ shard, offset: heads.get(shard) ?? 0 }] : [])
    if (own.length > 0) {
      nodesDueForHeads(now).forEach(id => peers.send(id, { type: 'claim-heads', heads: own }))
    }
  }

  const submit = (target: string, order: Order, now: number): void => {
    const shard = parseOrderKey(order.key ?? '')?.shard
    if (shard === undefined || order.key === undefined) {
      return env.sendReply(target, order.orderId, { type: 'refused', refusal: { outcome: 'invalid', reason: 'the key does not start with a prefix from an address response' } })
    }
    const earlierReply = replies.get(order.orderId)
    if (earlierReply !== undefined) {
      return env.sendReply(target, order.orderId, earlierReply)
    }
    if (pendingOrders.has(order.orderId)) {
      return
    }
    const pending = { order, target, arrivedAt: now }
    pendingOrders.set(order.orderId, pending)
    handledKeys.add(order.key)
    if (hooks.sendAfterGiveUp === true) {
      hookOrders.set(order.key, pending)
    }
    performAll(shard, openShard(shard).coordinator.submit({ orderId: order.orderId, key: order.key, deadline: order.deadline }, now), now)
  }

  return {
    tick (now) {
      updateShards()
      shards.forEach(({ coordinator }, shard) => performAll(shard, coordinator.tick(now), now))
      checkUnconfirmed(now)
      handledKeys.tick(now)
      sendHeads(now)
    },
    ownerOf,
    submit,
    receiveOrder: (from, transfer, now) => submit(from, fromTransfer(transfer, now), now),
    receiveKeyQuery: (from, orderId, key) => peers.send(from, { type: 'key-answer', orderId, seen: handledKeys.has(key) }),
    receiveKeyReply: handledKeys.receiveReply,
    receiveConfirmation (orderId, wanted, now) {
      const unconfirmed = unconfirmedSends.get(orderId)
      if (unconfirmed === undefined) {
        return
      }
      unconfirmedSends.delete(orderId)
      if (wanted && now < unconfirmed.entry.order.deadline) {
        sendNow(unconfirmed.shard, unconfirmed.action, unconfirmed.entry, now)
      } else {
        reportNotSent(unconfirmed.shard, unconfirmed.action, 'the caller has been answered', now)
      }
    },
    serviceFinished (orderId, result, now) {
      const sentOrder = sentOrders.get(orderId)
      if (sentOrder === undefined) {
        return undefined
      }
      sentOrders.delete(orderId)
      if (result.type === 'not-sent') {
        sentKeys.delete(sentOrder.key)
      }
      const entry = pendingOrders.get(orderId)
      if (result.type === 'ok' && entry !== undefined) {
        sendReply(orderId, entry, replyWithFullBody(result))
      }
      performAll(sentOrder.shard, shards.get(sentOrder.shard)?.coordinator.sendFinished(sentOrder.attempt, toSendResult(result), now) ?? [], now)
      return sentOrder.instance
    },
    receiveHeads (received) {
      received.forEach(({ shard, offset }) => heads.set(shard, Math.max(offset, heads.get(shard) ?? 0)))
    },
    keyPrefix () {
      const shardHeads = [...heads]
      const chosen = shardHeads[Math.floor(ctx.uniform() * shardHeads.length)]
      return chosen === undefined ? undefined : orderKeyPrefix(...chosen)
    },
    invalidateReads (now) {
      readsInvalidBefore = now
    },
    get pendingCount () {
      return pendingOrders.size + [...shards.values()].reduce((sum, { coordinator }) => sum + coordinator.pendingCount, 0)
    }
  }
}
