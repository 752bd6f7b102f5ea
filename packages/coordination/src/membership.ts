/**
 * SWIM-style membership. In each period a node probes one member, directly and then through others.
 * A member that does not respond becomes suspect, and dead if it does not refute that in time. Work
 * and messages per node and period do not depend on the number of nodes.
 */
import { unsafeUniformIntDistribution, type RandomGenerator } from 'pure-rand'
import { createGossipBuffer } from './member-gossip'
import { createMemberTable, hidesSelf, toMember, type TableEntry } from './member-table'
import { maxIncarnation } from './membership-codec'
import type { ListedNode, Member, MembershipAction, MembershipEvent, MembershipMessage, MemberUpdate } from './membership-types'

export type MembershipConfig = {
  self: { id: string, address: string, incarnation: number }
  /** Length of a period, in which one member is probed, in ms. */
  periodMs: number
  /** Time without an ack after which other members are asked to probe, in ms. */
  ackTimeoutMs: number
  /** Time to refute a suspicion, in ms. */
  suspicionMs: number
  /** Number of members asked to probe. */
  indirectProbes: number
  random: RandomGenerator
}

/** With these values a dead node is detected about 3 s after the first missed probe. */
export const membershipDefaults = { periodMs: 1000, ackTimeoutMs: 300, suspicionMs: 2000, indirectProbes: 3 }

/** Once in this many periods a dead but listed member is probed, to detect healed partitions. */
const periodsPerDeadProbe = 4

export type Membership = {
  step (event: MembershipEvent, now: number): MembershipAction[]
  member (id: string): Member | undefined
  /** Members that are not dead, excluding this node. */
  live (): Member[]
}

type Probe = { number: number, id: string, sentAt: number, indirectSent: boolean }
/** A ping on behalf of another node; `probe` is the number that this node assigned to its probe. */
type Relay = { forId: string, forAddress: string, probe: number, sentAt: number }

const toUpdate = (entry: TableEntry): MemberUpdate => ({
  id: entry.id,
  address: entry.address,
  incarnation: entry.incarnation,
  refutation: entry.refutation,
  state: entry.state,
  leaving: entry.leaving
})

/**
 * @param cfg - identity, periods and the source of random choices
 * @returns a node without other members until the first instance list or datagram
 */
export const createMembership = (cfg: MembershipConfig): Membership => {
  const table = createMemberTable(cfg.self.id)
  const gossip = createGossipBuffer()
  const suspectedAt = new Map<string, number>()
  const relays = new Map<number, Relay>()
  let dead: string[] = []
  let round: string[] = []
  /** Members at the start of the round and those added since; may include removed ones. */
  let memberIds: string[] = []
  let self: MemberUpdate = { ...cfg.self, refutation: 0, state: 'alive', leaving: false }
  let probe: Probe | undefined
  let probeNumber = 0
  let periods = 0
  let nextPeriodAt = 0
  let lastTickAt: number | undefined
  let listAsOf = -Infinity

  const pick = (size: number): number => unsafeUniformIntDistribution(0, size - 1, cfg.random)

  /** @param stated - what the receiver has just stated of itself */
  const send = (to: { id: string, address: string }, type: MembershipMessage['type'], probe: number, target?: MembershipMessage['target'], stated?: MemberUpdate): MembershipAction => {
    const entry = table.get(to.id)
    // A suspect or dead member must receive its own state, or it cannot refute it. So must one that a former process hides.
    const first = entry !== undefined && (entry.state !== 'alive' || (stated !== undefined && hidesSelf(entry, stated))) ? toUpdate(entry) : undefined
    const updates = gossip.take(table.size, first)
    const message: MembershipMessage = { type, from: cfg.self.id, probe, updates: [self, ...updates.filter(({ id }) => id !== self.id)] }
    return { type: 'datagram', to: to.id, address: to.address, message: target === undefined ? message : { ...message, target } }
  }

  const trackState = (entry: TableEntry, now: number): void => {
    suspectedAt.delete(entry.id)
    dead = dead.filter(id => id !== entry.id)
    if (entry.state === 'suspect') {
      suspectedAt.set(entry.id, now)
    }
    if (entry.state === 'dead') {
      dead.push(entry.id)
    }
  }

  const recordChange = (entry: TableEntry, now: number): MembershipAction => {
    trackState(entry, now)
    return { type: 'member-changed', member: toMember(entry) }
  }

  const gossipChange = (entry: TableEntry, now: number): MembershipAction => {
    gossip.put(toUpdate(entry))
    return recordChange(entry, now)
  }

  const mergeSelf = (update: MemberUpdate): MembershipAction[] => {
    if (hidesSelf(update, self)) {
      return [{ type: 'superseded', incarnation: update.incarnation }]
    }
    if (update.incarnation === self.incarnation && update.state !== 'alive' && update.refutation >= self.refutation) {
      self = { ...self, refutation: update.refutation + 1 }
      gossip.put(self)
    }
    return []
  }

  const merge = (update: MemberUpdate, now: number): MembershipAction[] => {
    if (update.id === cfg.self.id) {
      return mergeSelf(update)
    }
    const previous = table.get(update.id)
    const isNew = previous === undefined
    const entry = table.merge(update)
    if (entry === undefined) {
      return []
    }
    if (isNew) {
      insertIntoRound(entry.id)
    }
    // Every datagram carries its sender's incarnation, so the first one of a listed member is not gossiped.
    return previous?.incarnation === 0 && entry.state === 'alive' && !entry.leaving ? [recordChange(entry, now)] : [gossipChange(entry, now)]
  }

  /** Inserts a new member at a random position of the current round, so that it is probed soon. */
  const insertIntoRound = (id: string): void => {
    memberIds.push(id)
    round.splice(pick(round.length + 1), 0, id)
  }

  const startRound = (): void => {
    memberIds = [...table.ids()]
    round = memberIds.filter(id => table.get(id)?.state !== 'dead')
    for (let last = round.length - 1; last > 0; last--) {
      const other = pick(last + 1)
      const id = round[last] as string
      round[last] = round[other] as string
      round[other] = id
    }
  }

  const isDead = (id: string): boolean => table.get(id)?.state === 'dead'

  const nextInRound = (): TableEntry | undefined => {
    if (round.length === 0) {
      startRound()
    }
    while (round.length > 0) {
      const id = round.pop() as string
      const entry = table.get(id)
      if (entry !== undefined && !isDead(id)) {
        return entry
      }
    }
    return undefined
  }

  const nextDead = (): TableEntry | undefined => {
    const id = dead[pick(Math.max(dead.length, 1))]
    return id === undefined ? undefined : table.get(id)
  }

  const nextTarget = (): TableEntry | undefined => {
    periods += 1
    return (periods % periodsPerDeadProbe === 0 ? nextDead() : undefined) ?? nextInRound() ?? nextDead()
  }

  const markSuspect = (id: string, now: number): MembershipAction[] => {
    const entry = table.get(id)
    if (entry === undefined || entry.state !== 'alive') {
      return []
    }
    const changes = merge({ ...toUpdate(entry), state: 'suspect' }, now)
    // In a large system gossip may not reach the suspect before its suspicion expires, so it is pinged.
    return [...changes, send(entry, 'ping', 0)]
  }

  const startProbe = (now: number): MembershipAction[] => {
    const target = nextTarget()
    if (target === undefined) {
      return []
    }
    probeNumber += 1
    probe = { number: probeNumber, id: target.id, sentAt: now, indirectSent: false }
    return [send(target, 'ping', probeNumber)]
  }

  const nextPeriod = (now: number): MembershipAction[] => {
    if (now < nextPeriodAt) {
      return []
    }
    nextPeriodAt = now + cfg.periodMs
    const missed = probe
    probe = undefined
    return [...(missed === undefined ? [] : markSuspect(missed.id, now)), ...startProbe(now)]
  }

  /** Picks random live members; repeated draws only lower their number. */
  const pickHelpers = (except: string): TableEntry[] => {
    const chosen = new Map<string, TableEntry>()
    for (let draw = 0; draw < 3 * cfg.indirectProbes && memberIds.length > 0 && chosen.size < cfg.indirectProbes; draw++) {
      const entry = table.get(memberIds[pick(memberIds.length)] as string)
      if (entry !== undefined && entry.id !== except && entry.state === 'alive') {
        chosen.set(entry.id, entry)
      }
    }
    return [...chosen.values()]
  }

  const probeIndirectly = (now: number): MembershipAction[] => {
    if (probe === undefined || probe.indirectSent || now - probe.sentAt < cfg.ackTimeoutMs) {
      return []
    }
    probe.indirectSent = true
    const target = table.get(probe.id)
    const { number } = probe
    return target === undefined
      ? []
      : pickHelpers(target.id).map(helper => send(helper, 'ping-request', number, { id: target.id, address: target.address }))
  }

  const expireSuspicions = (now: number): MembershipAction[] => {
    const actions: MembershipAction[] = []
    for (const [id, since] of suspectedAt) {
      const entry = table.get(id)
      if (entry !== undefined && now - since >= cfg.suspicionMs) {
        actions.push(...merge({ ...toUpdate(entry), state: 'dead' }, now))
      }
    }
    return actions
  }

  /** After a pause of this process a missing ack proves nothing about other members. */
  const resetAfterPause = (now: number): void => {
    const pausedMs = lastTickAt === undefined ? 0 : now - lastTickAt
    lastTickAt = now
    if (pausedMs < cfg.periodMs) {
      return
    }
    probe = undefined
    for (const id of suspectedAt.keys()) {
      suspectedAt.set(id, now)
    }
  }

  const expireRelays = (now: number): void => {
    for (const [number, { sentAt }] of relays) {
      if (now - sentAt < cfg.periodMs) {
        return
      }
      relays.delete(number)
    }
  }

  const tick = (now: number): MembershipAction[] => {
    resetAfterPause(now)
    expireRelays(now)
    return [...expireSuspicions(now), ...probeIndirectly(now), ...nextPeriod(now)]
  }

  const relayPing = (message: MembershipMessage, sender: { id: string, address: string }, now: number): MembershipAction[] => {
    if (message.target === undefined) {
      return []
    }
    probeNumber += 1
    relays.set(probeNumber, { forId: sender.id, forAddress: sender.address, probe: message.probe, sentAt: now })
    return [send(message.target, 'ping', probeNumber)]
  }

  const receiveAck = (message: MembershipMessage, sender: { id: string, address: string }): MembershipAction[] => {
    const relay = relays.get(message.probe)
    if (relay !== undefined) {
      relays.delete(message.probe)
      return [send({ id: relay.forId, address: relay.forAddress }, 'ack', relay.probe, sender)]
    }
    const responder = message.target?.id ?? message.from
    if (probe?.number === message.probe && probe.id === responder) {
      probe = undefined
    }
    return []
  }

  const receive = (message: MembershipMessage, now: number): MembershipAction[] => {
    const changes = message.updates.flatMap(update => merge(update, now))
    const stated = message.updates.find(({ id }) => id === message.from)
    const address = stated?.address ?? table.get(message.from)?.address
    if (address === undefined) {
      return changes
    }
    const sender = { id: message.from, address }
    if (message.type === 'ping') {
      return [...changes, send(sender, 'ack', message.probe, undefined, stated)]
    }
    return [...changes, ...(message.type === 'ack' ? receiveAck(message, sender) : relayPing(message, sender, now))]
  }

  const memberRemoved = (entry: TableEntry): MembershipAction => {
    suspectedAt.delete(entry.id)
    dead = dead.filter(id => id !== entry.id)
    gossip.drop(entry.id)
    return { type: 'member-changed', member: { ...toMember(entry), state: 'dead', listed: false } }
  }

  const applyInstanceList = (asOf: number, nodes: readonly ListedNode[]): MembershipAction[] => {
    if (asOf < listAsOf) {
      return []
    }
    listAsOf = asOf
    const previousIds = new Set(table.ids())
    const outcome = table.applyList(nodes)
    for (const entry of outcome.changed) {
      if (!previousIds.has(entry.id)) {
        insertIntoRound(entry.id)
      }
    }
    const changed = outcome.changed.map((entry): MembershipAction => ({ type: 'member-changed', member: toMember(entry) }))
    return [...changed, ...outcome.removed.map(memberRemoved)]
  }

  const leave = (): MembershipAction[] => {
    self = { ...self, leaving: true }
    gossip.put(self)
    return []
  }

  const precede = (incarnation: number): MembershipAction[] => {
    if (incarnation >= self.incarnation && incarnation < maxIncarnation) {
      self = { ...self, incarnation: incarnation + 1, refutation: 0 }
      gossip.put(self)
    }
    return []
  }

  return {
    step (event, now) {
      switch (event.type) {
        case 'tick': return tick(now)
        case 'instance-list': return applyInstanceList(event.asOf, event.nodes)
        case 'datagram': return receive(event.message, now)
        case 'leave': return leave()
        case 'former-process': return precede(event.incarnation)
      }
    },
    member (id) {
      const entry = table.get(id)
      return entry === undefined ? undefined : toMember(entry)
    },
    live: () => [...table.ids()]
      .map(id => toMember(table.get(id) as TableEntry))
      .filter(({ state }) => state !== 'dead')
  }
}
