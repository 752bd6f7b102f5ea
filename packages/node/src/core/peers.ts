/** The other nodes: membership, status of their processes, and the envelopes of messages to them. */
import { createMembership, membershipDefaults, type Member, type MembershipAction, type ProcessId } from '@yuccawharf/coordination'
import type { InstanceSnapshot } from '@yuccawharf/clients'
import type { CoreContext } from './core-context'
import type { Envelope } from './core-events'
import type { CoreMessage } from './peer-messages'

/** A node that may own engines. */
export type NodeInfo = { id: string, zone: string, region: string, address: string }

export type ProcessStatus = 'live' | 'leaving' | 'down'

export type Peers = {
  tick (now: number): void
  applyList (snapshot: InstanceSnapshot, now: number): void
  receive (envelope: Envelope, now: number): void
  send (to: string, message: CoreMessage): void
  leave (now: number): void
  /** Status of a process of a node; `down` also when a newer process of the node exists. */
  status (process: ProcessId, now: number): ProcessStatus
  /** Whether the process's instance has been removed from the list, which proves that the process has ended. */
  hasLeftList (process: ProcessId): boolean
  /** Live nodes that accept new work, including this one unless it is leaving. */
  accepting (): NodeInfo[]
  /** All nodes that are not known to have failed, including this one. */
  live (): NodeInfo[]
  /** Ids of the nodes in the newest instance list, whatever their state. */
  listedNodes (): string[]
  address (node: string): string | undefined
  member (node: string): Member | undefined
  /** Changes whenever {@link Peers.accepting} may have changed. */
  readonly version: number
  /** Time of the latest observed start or end of a process, in ms. */
  readonly processesChangedAt: number
  readonly hasInstanceList: boolean
  readonly leaving: boolean
  /** Whether a newer process with this node's id exists. */
  readonly superseded: boolean
}

export type PeersEnv = {
  revision (): number
}

/** An owner that is neither listed nor known from gossip may have just started, so it counts as live this long. */
const unknownGraceMs = 5_000

export const createPeers = (ctx: CoreContext, env: PeersEnv): Peers => {
  const { cfg } = ctx
  const self: NodeInfo = { id: cfg.node, zone: cfg.zone, region: cfg.region, address: cfg.address }
  const membership = createMembership({ self: { id: cfg.node, address: cfg.address, incarnation: cfg.incarnation }, ...membershipDefaults, random: ctx.random })
  const unknownSince = new Map<string, number>()
  let listedNodes = new Set<string>()
  /** `asOf` of the last list that contained the node. */
  const lastListedAsOf = new Map<string, number>()
  let listAsOf = -Infinity
  let version = 0
  let processesChangedAt = -Infinity
  const incarnations = new Map<string, number>()
  let leaving = false
  let superseded = false

  const envelope = (to: string, message: CoreMessage): Envelope =>
    ({ from: cfg.node, to, incarnation: cfg.incarnation, revision: env.revision(), message })

  const recordProcess = ({ id, incarnation, state, listed }: Member, now: number): void => {
    const previous = incarnations.get(id)
    // A member from the list has incarnation 0 until its first datagram arrives.
    const isSameProcess = previous === incarnation || previous === 0
    if (!isSameProcess || state === 'dead' || !listed) {
      processesChangedAt = now
    }
    incarnations.set(id, incarnation)
  }

  const perform = (action: MembershipAction, now: number): void => {
    switch (action.type) {
      case 'datagram':
        ctx.emit({ type: 'send', envelope: envelope(action.to, { type: 'membership', datagram: action.message }), address: action.address })
        return
      case 'member-changed':
        version += 1
        recordProcess(action.member, now)
        unknownSince.delete(action.member.id)
        ctx.record(`member-${action.member.state}`, {}, action.member.id)
        return
      case 'superseded':
        superseded = true
    }
  }

  const performAll = (actions: MembershipAction[], now: number): void => actions.forEach(action => perform(action, now))

  const recordListed = (snapshot: InstanceSnapshot): void => {
    listedNodes = new Set(snapshot.instances.filter(({ kind }) => kind === 'node').map(({ id }) => id))
    listedNodes.forEach(id => lastListedAsOf.set(id, snapshot.asOf))
  }

  const toNodeInfo = ({ id, zone, region, address }: Member): NodeInfo => ({ id, zone, region, address })

  const unknownStatus = (node: string, now: number): ProcessStatus => {
    const since = unknownSince.get(node) ?? now
    unknownSince.set(node, since)
    return now - since < unknownGraceMs ? 'live' : 'down'
  }

  // A list from before the start of the process may have contained an earlier process of the node.
  const hasLeftList = ({ node, incarnation }: ProcessId): boolean =>
    !listedNodes.has(node) && (lastListedAsOf.get(node) ?? -Infinity) >= incarnation

  return {
    tick: now => performAll(membership.step({ type: 'tick' }, now), now),
    applyList (snapshot, now) {
      if (snapshot.asOf < listAsOf) {
        return
      }
      listAsOf = snapshot.asOf
      const nodes = snapshot.instances.filter(({ kind }) => kind === 'node')
      performAll(membership.step({ type: 'instance-list', asOf: snapshot.asOf, nodes }, now), now)
      version += 1
      recordListed(snapshot)
    },
    receive (received, now) {
      const message = received.message as CoreMessage
      if (message.type === 'membership') {
        performAll(membership.step({ type: 'datagram', message: message.datagram }, now), now)
      }
    },
    send (to, message) {
      const address = membership.member(to)?.address
      ctx.emit({ type: 'send', envelope: envelope(to, message), ...(address === undefined ? {} : { address }) })
    },
    leave (now) {
      leaving = true
      version += 1
      performAll(membership.step({ type: 'leave' }, now), now)
    },
    status (process, now) {
      if (hasLeftList(process)) {
        return 'down'
      }
      const member = membership.member(process.node)
      if (member === undefined) {
        return unknownStatus(process.node, now)
      }
      if (member.state === 'dead' || member.incarnation > process.incarnation) {
        return 'down'
      }
      return member.leaving ? 'leaving' : 'live'
    },
    hasLeftList,
    listedNodes: () => [...listedNodes],
    accepting () {
      const others = membership.live().filter(member => member.listed && !member.leaving).map(toNodeInfo)
      return leaving ? others : [self, ...others]
    },
    live: () => [self, ...membership.live().map(toNodeInfo)],
    address: node => node === cfg.node ? cfg.address : membership.member(node)?.address,
    member: membership.member,
    get version () {
      return version
    },
    get processesChangedAt () {
      return processesChangedAt
    },
    get hasInstanceList () {
      return listAsOf > -Infinity
    },
    get leaving () {
      return leaving
    },
    get superseded () {
      return superseded
    }
  }
}
