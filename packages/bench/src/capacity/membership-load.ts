/** Membership cost per node, measured with all nodes in one process on a virtual clock. */
import { createMembership, encodeMembership, membershipDefaults, type ListedNode, type Membership, type MembershipAction } from '@yuccawharf/coordination'
import { xoroshiro128plus } from 'pure-rand'
import { measureHeap } from './measure'

export type MembershipCost = {
  nodes: number
  /** Bytes that one node sends and receives in a second, IP and UDP headers included. */
  bytesPerSecond: number
  /** The same in the first ten seconds after a simultaneous start of all nodes. */
  startBytesPerSecond: number
  datagramsPerSecond: number
  /** Processor time of one node in a second, in microseconds. */
  microsPerSecond: number
  /** Heap of one node's member table, in bytes. */
  heapBytes: number
}

const tickMs = 100
const startSeconds = 10
/** IP and UDP headers of one datagram. */
const headerBytes = 28

const createList = (count: number): ListedNode[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `node-${index}`,
    address: `10.0.${Math.floor(index / 250)}.${index % 250}:7400`,
    zone: `zone-${index % 5}`,
    region: `region-${index % 2}`,
    state: 'live' as const
  }))

const createNode = ({ id, address }: ListedNode, seed: number): Membership =>
  createMembership({ ...membershipDefaults, self: { id, address, incarnation: 1 }, random: xoroshiro128plus(seed) })

/**
 * @param count - nodes
 * @param seconds - virtual time that is measured
 * @param warmUpSeconds - virtual time before the measurement, until the gossip after the simultaneous start subsides
 */
export function measureMembership (count: number, seconds: number, warmUpSeconds: number): MembershipCost {
  const list = createList(count)
  const { bytes: heap, value: nodes } = measureHeap(() => {
    const created = new Map(list.map((node, index) => [node.id, createNode(node, index + 1)]))
    for (const node of created.values()) node.step({ type: 'instance-list', asOf: 1, nodes: list }, 0)
    return created
  })
  let bytes = 0
  let datagrams = 0
  const deliver = (actions: MembershipAction[], now: number): void => {
    for (const action of actions) {
      if (action.type !== 'datagram') continue
      bytes += Buffer.byteLength(encodeMembership(action.message)) + headerBytes
      datagrams += 1
      const receiver = nodes.get(action.to)
      if (receiver !== undefined) deliver(receiver.step({ type: 'datagram', message: action.message }, now), now)
    }
  }
  const run = (from: number, to: number): void => {
    for (let now = from; now < to; now += tickMs) {
      for (const node of nodes.values()) deliver(node.step({ type: 'tick' }, now), now)
    }
  }
  run(0, startSeconds * 1000)
  const startBytesPerSecond = 2 * bytes / (nodes.size * startSeconds)
  run(startSeconds * 1000, warmUpSeconds * 1000)
  bytes = 0
  datagrams = 0
  const start = process.cpuUsage()
  run(warmUpSeconds * 1000, (warmUpSeconds + seconds) * 1000)
  const { user, system } = process.cpuUsage(start)
  const perNodeSecond = nodes.size * seconds
  return {
    nodes: count,
    bytesPerSecond: 2 * bytes / perNodeSecond,
    startBytesPerSecond,
    datagramsPerSecond: 2 * datagrams / perNodeSecond,
    microsPerSecond: (user + system) / perNodeSecond,
    heapBytes: heap / count
  }
}
