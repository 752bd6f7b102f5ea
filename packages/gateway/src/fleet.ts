/** The nodes of the gateway: their records come from the fleet log, their state from probing each other. */
import { createMembership, packMembership, unpackMembership, type Membership, type MembershipAction } from '@yuccawharf/coordination'
import { xoroshiro128plus } from 'pure-rand'
import type { DecisionLog } from './decision-log'
import { drawSample, type DirectoryNode } from './directory'
import type { FleetMember } from './engine-ownership'
import { isLaterProcess } from './own-records'
import type { FeedRecord, FleetRecord, NodeSettings, UnreadableRecord } from './platform-interface'

/** Failure detection; times in ms. A failed node is declared dead after about two seconds, during which its engines have no owner. */
const failureDetection = { periodMs: 500, ackTimeoutMs: 200, suspicionMs: 1200, indirectProbes: 3 }

export type NodeRecord = FleetRecord & { type: 'node' }

/** @returns the record under which the others find a node */
export function nodeRecordOf (settings: NodeSettings, incarnation: number): NodeRecord {
  return {
    type: 'node',
    name: settings.name,
    address: `${settings.ip}:${settings.peerPorts[0]}`,
    zone: settings.zone,
    incarnation,
    front: `${settings.front.host}:${settings.front.port}`,
    capacity: settings.cpuShare,
    ...(settings.control === undefined ? {} : { control: `${settings.control.host}:${settings.control.port}` })
  }
}

export type FleetOptions = {
  self: NodeRecord
  now (): number
  log: DecisionLog
  /** Sends a datagram, which may be lost. */
  notify (address: string, payload: unknown): void
  nodeLost (node: string): void
}

export type Fleet = {
  apply (records: readonly FeedRecord<FleetRecord | UnreadableRecord>[]): void
  /** Handles a membership datagram of a peer. */
  receive (payload: unknown): void
  tick (): void
  leave (): void
  members (): FleetMember[]
  /** All nodes, this one included, and whether clients may use them. */
  directory (selfReady: boolean): DirectoryNode[]
  /** Peers that are not dead. */
  peers (): NodeRecord[]
  address (node: string): string | undefined
  /** Address at which the node serves the records that it has read from the store. */
  control (node: string): string | undefined
  /**
   * Control addresses of random peers that are not dead, those of the own zone first.
   *
   * @param count - maximum number of addresses
   */
  controlsNearby (count: number, random: () => number): string[]
  /** Whether the node is a recorded peer that is not dead. */
  isAlive (node: string): boolean
  size (): number
}

export function createFleet (options: FleetOptions): Fleet {
  const { self, now } = options
  const nodes = new Map<string, NodeRecord>()
  const membership: Membership = createMembership({
    self: { id: self.name, address: self.address, incarnation: self.incarnation },
    ...failureDetection,
    random: xoroshiro128plus(self.incarnation ^ (self.incarnation / 2 ** 32))
  })

  function perform (actions: MembershipAction[]): void {
    for (const action of actions) {
      if (action.type === 'datagram') options.notify(action.address, packMembership(action.message))
      else if (action.type === 'member-changed') memberChanged(action.member)
      else otherProcess(action.incarnation)
    }
  }

  /** Position of this process' record, once it has been read. */
  let ownPosition: number | undefined
  let superseded = false
  let lastOther: number | undefined

  /** Other nodes know another process of this node, with an incarnation that hides this one. */
  function otherProcess (incarnation: number): void {
    if (incarnation === lastOther) return
    lastOther = incarnation
    if (superseded) return options.log.warn('node-superseded', { incarnation })
    options.log.warn('former-process-preceded', { incarnation })
    perform(membership.step({ type: 'former-process', incarnation }, now()))
  }

  function applyOwn (record: NodeRecord, offset: number): void {
    if (record.incarnation === self.incarnation) {
      ownPosition = offset
      return
    }
    superseded ||= isLaterProcess(self, ownPosition, record, offset)
    if (record.incarnation > self.incarnation) otherProcess(record.incarnation)
  }

  /** Results of `members` and `peers` until a record or the state of a member changes; both are used several times a second. */
  let cachedMembers: FleetMember[] | undefined
  let cachedPeers: NodeRecord[] | undefined

  function clearCaches (): void {
    cachedMembers = undefined
    cachedPeers = undefined
  }

  function memberChanged ({ id, state, leaving, incarnation }: { id: string, state: string, leaving: boolean, incarnation: number }): void {
    clearCaches()
    options.log.info('member-changed', { member: id, state, leaving, incarnation })
    if (state === 'dead') options.nodeLost(id)
  }

  function updateMembership (): void {
    const instances = [...nodes.values()].map(node => ({ id: node.name, address: node.address, zone: node.zone, region: '', state: 'live' as const }))
    perform(membership.step({ type: 'instance-list', asOf: now(), nodes: instances }, now()))
  }

  function isMemberAlive (name: string): boolean {
    const member = membership.member(name)
    return member !== undefined && member.state !== 'dead'
  }

  function peers (): NodeRecord[] {
    cachedPeers ??= [...nodes.values()].filter(({ name }) => isMemberAlive(name))
    return cachedPeers
  }

  return {
    apply (records) {
      let updated = false
      for (const { key, offset, value } of records) {
        if (value?.type === 'unreadable') options.log.warn('fleet-record-unreadable', { key, offset, reason: value.reason })
        if (value?.type !== 'node') continue
        if (value.name === self.name) {
          applyOwn(value, offset)
          continue
        }
        nodes.set(value.name, value)
        updated = true
      }
      if (!updated) return
      clearCaches()
      updateMembership()
    },
    receive (payload) {
      const message = unpackMembership(payload)
      if (message === undefined) options.log.warn('peer-message-failed', { reason: "message 'member' is malformed" })
      else perform(membership.step({ type: 'datagram', message }, now()))
    },
    tick: () => perform(membership.step({ type: 'tick' }, now())),
    leave: () => perform(membership.step({ type: 'leave' }, now())),
    members: () => {
      cachedMembers ??= [...nodes.values()].map(({ name, zone, incarnation, capacity }): FleetMember => {
        const member = membership.member(name)
        const state = !isMemberAlive(name) ? 'dead' : member?.leaving === true ? 'leaving' : 'alive'
        return { name, zone, incarnation: member?.incarnation ?? incarnation, capacity, state }
      })
      return cachedMembers
    },
    directory (selfReady) {
      const others = [...nodes.values()].map(node => {
        const member = membership.member(node.name)
        return { name: node.name, front: node.front, zone: node.zone, capacity: node.capacity, ready: member !== undefined && member.state === 'alive' && !member.leaving }
      })
      return [{ name: self.name, front: self.front, zone: self.zone, capacity: self.capacity, ready: selfReady }, ...others]
    },
    peers,
    address: node => nodes.get(node)?.address,
    control: node => nodes.get(node)?.control,
    controlsNearby (count, random) {
      const isNear = ({ zone }: NodeRecord): boolean => zone === self.zone
      const sample = [...drawSample(peers().filter(isNear), count, random), ...drawSample(peers().filter(node => !isNear(node)), count, random)]
      return sample.flatMap(({ control }) => control ?? []).slice(0, count)
    },
    isAlive: node => nodes.has(node) && isMemberAlive(node),
    size: () => nodes.size + 1
  }
}
