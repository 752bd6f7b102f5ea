/**
 * Decides which node owns the ledger of an account's limit, which nodes stand in for it, and whether
 * this node may give the whole rate. Answers partitions and failures that are not detected yet: more
 * than one node may take itself for the owner, and at most one of them may give the whole rate for long.
 */
import { rankNodes } from '@yuccawharf/coordination'
import type { FleetMember } from './engine-ownership'
import type { LedgerMode } from './quota-ledger'

export type QuotaOwners = {
  /** A membership message of a peer has arrived. */
  heard (node: string, now: number): void
  /**
   * Applies the members as this node sees them.
   *
   * @param leaving - whether this node is leaving
   */
  view (members: readonly FleetMember[], leaving: boolean, now: number): void
  /** @returns the owner, then the nodes that stand in for it */
  order (account: string): readonly string[]
  /**
   * @param suspendedUntil - end of the last suspension of this process, in ms
   * @param forOwner - the owner asks, which may not give the whole rate yet
   * @returns how much this node may give as the owner or in its place
   */
  mode (account: string, suspendedUntil: number, now: number, forOwner?: boolean): LedgerMode
  /** The node that would have taken the account over does not give the whole rate: it has started too, as after the loss of all nodes. */
  unopposed (account: string): void
  /** @returns whether this node has owned the ledger within {@link formerMs} */
  wasOwner (account: string, now: number): boolean
  /** @returns time since which this node may give the whole rate; only if the mode is full */
  ownerSince (account: string, suspendedUntil: number): number
}

/** Nodes that are asked for an account: the owner and two in its place, so that a loss of two nodes at a time is covered. */
const orderLength = 3
/** Time in which a node in contact with the fleet hears enough peers, in ms: each probes a peer, and is probed once, every 500 ms. */
const contactMs = 3000
/** Peers heard in that time by a node that is in contact: a node that reaches all hears about twelve, one of a third of the fleet four. */
const contactPeers = 5
/** Time after the loss of several nodes for which a new owner does not give the whole rate, in ms: they may be a partition with the previous owner in it, which detects that later. */
const settleMs = 1500
/** Time within which lost nodes count as lost together, in ms: failure detection takes up to that. */
const lossMs = 3000
/** Time for which a former owner goes on for one that does not give the whole rate yet, in ms: a started node is in contact within about two seconds. */
const formerMs = 5000
/** Time for which lost nodes count as part of the fleet, in ms: an isolated node takes minutes to declare a large fleet dead. */
const knownMs = 300_000
/** Time after its start for which an owner without a predecessor gives the whole rate before it is in contact, in ms: contact takes about two seconds. */
const startMs = 4000
/** Accounts that are remembered for that time. */
const maxUnopposed = 1024

export function createQuotaOwners (self: string, startedAt: number): QuotaOwners {
  const heardAt = new Map<string, number>()
  /** Time at which each node was seen alive last, if it is not now. */
  const lostAt = new Map<string, number>()
  let alive = new Set<string>([self])
  let candidates: { id: string }[] = [{ id: self }]
  let lastMembers: readonly FleetMember[] | undefined
  let lastLeaving = false
  /** Time at which this node last lacked contact, and at which the view changed. */
  let noContactAt = startedAt
  let settledAt = startedAt
  const orders = new Map<string, string[]>()
  const since = new Map<string, number>()
  /** Time at which this node ceased to own a ledger. */
  const formerAt = new Map<string, number>()
  /** Accounts that no other node has taken over. */
  const withoutPredecessor = new Set<string>()
  let changedAt = startedAt

  /** Nodes that are alive or were lost a while ago. */
  function knownCount (now: number): number {
    for (const [node, at] of lostAt) {
      if (now - at > knownMs) lostAt.delete(node)
    }
    return alive.size + lostAt.size
  }

  function neededPeers (now: number): number {
    return Math.min(contactPeers, Math.floor(knownCount(now) / 2))
  }

  function heardCount (now: number): number {
    let count = 0
    for (const [node, at] of heardAt) {
      if (now - at > contactMs) heardAt.delete(node)
      else count += 1
    }
    return count
  }

  /** With half of the nodes, the side of the first by name is the majority. */
  function seesMajority (now: number): boolean {
    const known = knownCount(now)
    if (2 * alive.size !== known) return 2 * alive.size > known
    const first = [...alive, ...lostAt.keys()].reduce((left, right) => left < right ? left : right)
    return alive.has(first)
  }

  /** Half of a fleet of two cannot hear a majority. */
  function inContact (now: number): boolean {
    return heardCount(now) >= Math.min(neededPeers(now), alive.size - 1)
  }

  function checkContact (now: number): void {
    if (!inContact(now) || !seesMajority(now)) noContactAt = now
  }

  function order (account: string): readonly string[] {
    const cached = orders.get(account)
    if (cached !== undefined) return cached
    const ranked = rankNodes(`quota/${account}`, candidates).slice(0, orderLength).map(({ id }) => id)
    orders.set(account, ranked)
    if (ranked[0] !== self) {
      if (since.delete(account)) formerAt.set(account, changedAt)
    } else if (!since.has(account)) {
      since.set(account, changedAt)
    }
    return ranked
  }

  function ownerSince (account: string, suspendedUntil: number): number {
    return Math.max(since.get(account) ?? changedAt, noContactAt, suspendedUntil, startedAt)
  }

  return {
    heard (node, now) {
      checkContact(now)
      heardAt.set(node, now)
    },
    view (members, leaving, now) {
      if (members === lastMembers && leaving === lastLeaving) return
      lastMembers = members
      lastLeaving = leaving
      const next = new Set([self, ...members.flatMap(({ name, state }) => state === 'dead' ? [] : name)])
      for (const node of alive) {
        if (!next.has(node)) lostAt.set(node, now)
      }
      for (const node of next) lostAt.delete(node)
      alive = next
      const others = members.flatMap(({ name, state }) => state === 'alive' && name !== self ? [{ id: name }] : [])
      candidates = leaving && others.length > 0 ? others : [{ id: self }, ...others]
      const lostTogether = [...lostAt.values()].filter(at => now - at < lossMs).length
      if (lostTogether > 1) settledAt = now + settleMs
      changedAt = now
      for (const [account, at] of formerAt) {
        if (now - at > formerMs) formerAt.delete(account)
      }
      const owned = [...since.keys()]
      orders.clear()
      for (const account of owned) order(account)
    },
    order,
    mode (account, suspendedUntil, now, forOwner = false) {
      checkContact(now)
      const known = knownCount(now)
      if (withoutPredecessor.has(account) && now - startedAt < startMs && suspendedUntil < startedAt && order(account)[0] === self && seesMajority(now)) return { type: 'full' }
      // All nodes without contact together stay within the tolerance.
      if (noContactAt === now) return { type: 'part', share: Math.min(1, (Math.min(heardCount(now), alive.size - 1) + 1) / known) }
      const isOwner = order(account)[0] === self || forOwner
      // Contact and settling are judged again after a suspension.
      const settles = now < settledAt || now - suspendedUntil < settleMs
      return isOwner && !settles ? { type: 'full' } : { type: 'part', share: 1 }
    },
    unopposed (account) {
      if (withoutPredecessor.size < maxUnopposed) withoutPredecessor.add(account)
    },
    wasOwner: (account, now) => now - (formerAt.get(account) ?? -Infinity) <= formerMs,
    ownerSince
  }
}
