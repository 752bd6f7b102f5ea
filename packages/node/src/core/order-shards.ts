/** The claims shards that this node owns, by rendezvous hashing. The log keeps orders safe when two nodes both think they own a shard. */
import { claimCoordinatorDefaults, claimShardCount, claimStream, createClaimCoordinator, topNode, orderKeyPrefix, parseOrderKey, type ClaimAction, type ClaimCoordinator, type LogTail } from '@yuccawharf/coordination'
import type { ServiceResult } from '@yuccawharf/clients'
import type { CoreContext } from './core-context'
import { createKeyWitnesses } from './key-witnesses'
import type { LogStreams } from './log-streams'
import type { Order } from './core-events'
import { fromTransfer, replyWithBody, toReply, toSendResult } from './order-transfer'
import type { OrderReply, OrderTransfer } from './peer-messages'
import type { Peers } from './peers'

export type OrderShardsEnv = {
  /** Sends the order to a live instance. @returns the instance, or undefined when there is none and nothing was sent */
  send (orderId: string, order: Order, now: number): string | undefined
  answer (target: string, orderId: string, reply: OrderReply): void
  /** Whether the caller of an order of this entry node still waits. */
  isWanted (orderId: string): boolean
}

export type OrderShards = {
  tick (now: number): void
  ownerOf (shard: number): string | undefined
  order (target: string, order: Order, now: number): void
  received (from: string, order: OrderTransfer, now: number): void
  keyAsked (from: string, orderId: string, key: string): void
  keyAnswered (from: string, orderId: string, seen: boolean): void
  confirmed (orderId: string, wanted: boolean, now: number): void
  /** @returns the instance that the order was sent to */
  serviceResult (orderId: string, result: ServiceResult, now: number): string | undefined
  headsReceived (heads: { shard: number, offset: number }[]): void
  keyPrefix (): string | undefined
  /** This process was paused or cut off from its peers: the log has to be read again before a key counts as new. */
  distrust (now: number): void
  readonly busy: number
}

type Shard = { desk: ClaimCoordinator, tail: LogTail }

type Entry = { order: Order, target: string, arrivedAt: number }

type SendAction = Extract<ClaimAction, { type: 'send' }>

/** An order that won its claim and waits for its entry node. */
type Unconfirmed = { shard: number, action: SendAction, entry: Entry, askedAt: number }

type Sent = { key: string, attempt: string, shard: number, instance: string }

const doubtful: OrderReply = { type: 'refused', refusal: { outcome: 'unknown', reason: 'the log does not answer, and another node may have run an order with the key', retryAfterMs: 1_000 } }

const confirmEveryMs = 300
const checkHeadsMs = 5_000
/** Keys remembered for the check that none is sent twice. */
const maxSentKeys = 10_000
/** A message can be repeated until the deadline of its order; 2,000 replies of 1 KiB are 2 MiB. */
const maxReplies = 2_000

export const createOrderShards = (ctx: CoreContext, streams: LogStreams, peers: Peers, env: OrderShardsEnv): OrderShards => {
  const { cfg, hooks } = ctx
  const witnesses = createKeyWitnesses(ctx, peers)
  const shards = new Map<number, Shard>()
  const entries = new Map<string, Entry>()
  const unconfirmed = new Map<string, Unconfirmed>()
  const sent = new Map<string, Sent>()
  /** Keys that this process has sent to a back end, against a second send. */
  const sentKeys = new Set<string>()
  /** A repeated message must get the same reply: an order that was refused as not run must not run afterwards. */
  const replies = new Map<string, OrderReply>()
  /** Orders by key, kept only for the hook that sends after giving up. */
  const hookEntries = new Map<string, Entry>()
  const heads = new Map<number, number>()
  const owners = new Map<number, string | undefined>()
  let version = -1
  let headsAt = -Infinity
  /** When each process was last told the heads. Telling all of 400 nodes every few seconds would take 48 KB/s. */
  const toldAt = new Map<string, number>()
  let lastAttempt = 0
  /** Reads that began before this may lack claims of a node that took this one for dead. */
  let distrustedAt = -Infinity

  const remember = (set: Set<string>, key: string): void => {
    set.add(key)
    const [oldest] = set
    if (oldest !== undefined && set.size > maxSentKeys) {
      set.delete(oldest)
    }
  }

  const updateOwners = (): void => {
    if (version === peers.version) {
      return
    }
    version = peers.version
    const nodes = peers.accepting()
    for (let shard = 0; shard < claimShardCount; shard += 1) {
      owners.set(shard, topNode(claimStream(shard), nodes)?.id)
    }
  }

  const ownerOf = (shard: number): string | undefined => {
    updateOwners()
    return owners.get(shard)
  }

  const reply = (orderId: string, { target }: Entry, value: OrderReply): void => {
    entries.delete(orderId)
    replies.set(orderId, value)
    const [oldest] = replies.keys()
    if (oldest !== undefined && replies.size > maxReplies) {
      replies.delete(oldest)
    }
    env.answer(target, orderId, value)
  }

  /** Time up to which the shard's stream is known: when the newest read that was answered was sent. */
  const knownUntil = (key: string | undefined): number => {
    const shard = parseOrderKey(key ?? '')?.shard ?? -1
    const contact = shards.get(shard)?.tail.lastContact ?? -Infinity
    return contact > distrustedAt ? contact : -Infinity
  }

  /**
   * A claim may have been appended after the newest read. If that was sent before the call arrived,
   * "not run" also needs the word of all processes that could have handled the key since.
   */
  const answer = (orderId: string, entry: Entry, value: OrderReply, now: number): void => {
    const isNotRun = value.type === 'refused' && value.refusal.outcome === 'not-run'
    const { key } = entry.order
    const until = knownUntil(key)
    if (!isNotRun || until >= entry.arrivedAt) {
      return reply(orderId, entry, value)
    }
    // A process that has ended since cannot be asked.
    witnesses.ask(orderId, key ?? '', isNew => reply(orderId, entry, isNew && peers.processesChangedAt < until ? value : doubtful), now)
  }

  const notSent = (shard: number, action: SendAction, reason: string, now: number): void =>
    performAll(shard, shards.get(shard)?.desk.sendFinished(action.attempt, { type: 'not-sent', reason }, now) ?? [], now)

  const ask = (waiting: Unconfirmed, now: number): void => {
    waiting.askedAt = now
    peers.send(waiting.entry.target, { type: 'order-confirm', orderId: waiting.action.orderId })
  }

  /** A message that was long under way, or a pause of this node, must not run an order after its caller was answered. */
  const send = (shard: number, action: SendAction, now: number): void => {
    const entry = entries.get(action.orderId) ?? hookEntries.get(action.key)
    if (entry === undefined) {
      return notSent(shard, action, 'the caller has been answered', now)
    }
    if (hooks.sendAfterGiveUp === true) {
      return sendNow(shard, action, entry, now)
    }
    if (entry.target !== cfg.node) {
      const waiting = { shard, action, entry, askedAt: now }
      unconfirmed.set(action.orderId, waiting)
      return ask(waiting, now)
    }
    if (env.isWanted(action.orderId)) {
      sendNow(shard, action, entry, now)
    } else {
      notSent(shard, action, 'the caller has been answered', now)
    }
  }

  const checkUnconfirmed = (now: number): void => {
    for (const [orderId, waiting] of unconfirmed) {
      if (now >= waiting.entry.order.deadline) {
        unconfirmed.delete(orderId)
        notSent(waiting.shard, waiting.action, 'the entry node did not confirm the order', now)
      } else if (now >= waiting.askedAt + confirmEveryMs) {
        ask(waiting, now)
      }
    }
  }

  const sendNow = (shard: number, action: SendAction, entry: Entry, now: number): void => {
    const instance = sendOnce(action, entry, now)
    if (instance === undefined) {
      return notSent(shard, action, 'no live instance of the group', now)
    }
    sent.set(action.orderId, { key: action.key, attempt: action.attempt, shard, instance })
  }

  const sendOnce = (action: SendAction, entry: Entry, now: number): string | undefined => {
    ctx.check(!sentKeys.has(action.key), `order ${action.key} would be sent twice`)
    const instance = env.send(action.orderId, entry.order, now)
    if (instance !== undefined) {
      remember(sentKeys, action.key)
    }
    return instance
  }

  const perform = (shard: number, action: ClaimAction, now: number): void => {
    switch (action.type) {
      case 'append':
        ctx.record('claims-append', {}, `${action.values.length} records`)
        return streams.append(action.stream, action.values, (result, at) =>
          performAll(shard, shards.get(shard)?.desk.appendFinished(action.token, result, at) ?? [], at))
      case 'send': return send(shard, action, now)
      case 'respond': {
        const entry = entries.get(action.orderId)
        if (entry !== undefined) {
          answer(action.orderId, entry, toReply(action.response), now)
        }
      }
    }
  }

  const performAll = (shard: number, actions: ClaimAction[], now: number): void => actions.forEach(action => perform(shard, action, now))

  const attemptId = (): string => {
    lastAttempt += 1
    return `${cfg.node}/${cfg.incarnation}/${lastAttempt}`
  }

  const open = (shard: number): Shard => {
    const known = shards.get(shard)
    if (known !== undefined) {
      return known
    }
    const desk = createClaimCoordinator({
      ...claimCoordinatorDefaults,
      node: cfg.node,
      shard,
      attemptId,
      isLogCurrent: () => (shards.get(shard)?.tail.lastContact ?? -Infinity) > distrustedAt,
      hooks: { skipReadBack: hooks.skipClaimReadBack === true, sendAfterGiveUp: hooks.sendAfterGiveUp === true }
    })
    const tail = streams.follow(claimStream(shard), {
      read: ({ records }, { first, next }, now) => performAll(shard, desk.receivePage({ first, next, records }, now), now),
      failed: now => performAll(shard, desk.readFailed(now), now)
    })
    const opened = { desk, tail }
    shards.set(shard, opened)
    return opened
  }

  const close = (shard: number): void => {
    shards.delete(shard)
    streams.unfollow(claimStream(shard))
  }

  const updateShards = (): void => {
    if (!peers.listed) {
      return
    }
    for (let shard = 0; shard < claimShardCount; shard += 1) {
      const isOwner = ownerOf(shard) === cfg.node
      if (isOwner) {
        open(shard)
      } else if (shards.get(shard)?.desk.pendingCount === 0) {
        close(shard)
      }
    }
  }

  /** @returns nodes whose process is new or was told long ago, and counts them as told */
  const dueForHeads = (now: number): string[] => {
    const processes = peers.live()
      .filter(({ id }) => id !== cfg.node)
      .map(({ id }) => ({ id, process: `${id}/${peers.member(id)?.incarnation ?? 0}` }))
    const known = new Set(processes.map(({ process }) => process))
    ;[...toldAt.keys()].filter(process => !known.has(process)).forEach(process => toldAt.delete(process))
    const due = processes.filter(({ process }) => now >= (toldAt.get(process) ?? -Infinity) + cfg.claimHeadsIntervalMs)
    due.forEach(({ process }) => toldAt.set(process, now))
    return due.map(({ id }) => id)
  }

  const tellHeads = (now: number): void => {
    for (const [shard, { desk }] of shards) {
      if (desk.head !== undefined) {
        heads.set(shard, desk.head)
      }
    }
    if (now < headsAt + checkHeadsMs || shards.size === 0) {
      return
    }
    headsAt = now
    const own = [...shards.keys()].flatMap(shard => heads.has(shard) ? [{ shard, offset: heads.get(shard) ?? 0 }] : [])
    if (own.length > 0) {
      dueForHeads(now).forEach(id => peers.send(id, { type: 'claim-heads', heads: own }))
    }
  }

  const order = (target: string, value: Order, now: number): void => {
    const shard = parseOrderKey(value.key ?? '')?.shard
    if (shard === undefined || value.key === undefined) {
      return env.answer(target, value.orderId, { type: 'refused', refusal: { outcome: 'invalid', reason: 'the key does not start with a prefix from an address response' } })
    }
    const known = replies.get(value.orderId)
    if (known !== undefined) {
      return env.answer(target, value.orderId, known)
    }
    if (entries.has(value.orderId)) {
      return
    }
    const entry = { order: value, target, arrivedAt: now }
    entries.set(value.orderId, entry)
    witnesses.handled(value.key)
    if (hooks.sendAfterGiveUp === true) {
      hookEntries.set(value.key, entry)
    }
    performAll(shard, open(shard).desk.submit({ orderId: value.orderId, key: value.key, deadline: value.deadline }, now), now)
  }

  return {
    tick (now) {
      updateShards()
      shards.forEach(({ desk }, shard) => performAll(shard, desk.tick(now), now))
      checkUnconfirmed(now)
      witnesses.tick(now)
      tellHeads(now)
    },
    ownerOf,
    order,
    received: (from, transfer, now) => order(from, fromTransfer(transfer, now), now),
    keyAsked: (from, orderId, key) => peers.send(from, { type: 'key-answer', orderId, seen: witnesses.hasHandled(key) }),
    keyAnswered: witnesses.answered,
    confirmed (orderId, wanted, now) {
      const waiting = unconfirmed.get(orderId)
      if (waiting === undefined) {
        return
      }
      unconfirmed.delete(orderId)
      if (wanted && now < waiting.entry.order.deadline) {
        sendNow(waiting.shard, waiting.action, waiting.entry, now)
      } else {
        notSent(waiting.shard, waiting.action, 'the caller has been answered', now)
      }
    },
    serviceResult (orderId, result, now) {
      const call = sent.get(orderId)
      if (call === undefined) {
        return undefined
      }
      sent.delete(orderId)
      if (result.type === 'not-sent') {
        sentKeys.delete(call.key)
      }
      const entry = entries.get(orderId)
      if (result.type === 'ok' && entry !== undefined) {
        reply(orderId, entry, replyWithBody(result))
      }
      performAll(call.shard, shards.get(call.shard)?.desk.sendFinished(call.attempt, toSendResult(result), now) ?? [], now)
      return call.instance
    },
    headsReceived (received) {
      received.forEach(({ shard, offset }) => heads.set(shard, Math.max(offset, heads.get(shard) ?? 0)))
    },
    keyPrefix () {
      const known = [...heads]
      const chosen = known[Math.floor(ctx.uniform() * known.length)]
      return chosen === undefined ? undefined : orderKeyPrefix(...chosen)
    },
    distrust (now) {
      distrustedAt = now
    },
    get busy () {
      return entries.size + [...shards.values()].reduce((sum, { desk }) => sum + desk.pendingCount, 0)
    }
  }
}
