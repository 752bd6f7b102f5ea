/** Messages, events and actions of membership. */

/** `dead` is a conclusion of failure detection, or of the platform when the instance list dropped the member. */
export type MemberState = 'alive' | 'suspect' | 'dead'

/** State of a member as one node reports it to others. */
export type MemberUpdate = {
  id: string
  /** IP address and port for datagrams. */
  address: string
  /** Start time of the process, in ms, or a higher number that it chose to precede a former process; 0 while only the instance list contains the member. */
  incarnation: number
  /** Counter that the member itself increments to refute a suspicion. */
  refutation: number
  state: MemberState
  /** The member accepts no new work; never reset within an incarnation. */
  leaving: boolean
}

export type MembershipMessage = {
  type: 'ping' | 'ping-request' | 'ack'
  from: string
  /** Number of the probe, assigned by the node that waits for the ack. */
  probe: number
  /** For `ping-request`: the member to ping. For `ack`: the member that responded. */
  target?: { id: string, address: string }
  updates: MemberUpdate[]
}

/** A node of the instance list. */
export type ListedNode = { id: string, address: string, zone: string, region: string, state: 'live' | 'leaving' }

export type MembershipEvent =
  | { type: 'tick' }
  /** `asOf` orders snapshots, in ms of the list's clock; older ones are ignored. */
  | { type: 'instance-list', asOf: number, nodes: ListedNode[] }
  | { type: 'datagram', message: MembershipMessage }
  /** This node starts to leave. */
  | { type: 'leave' }
  /** A former process of this node had this incarnation: the present one takes a higher one. */
  | { type: 'former-process', incarnation: number }

export type MembershipAction =
  | { type: 'datagram', to: string, address: string, message: MembershipMessage }
  | { type: 'member-changed', member: Member }
  /** Other nodes know another process with the same id and this incarnation, which takes precedence: a later one, or a former one with a later time of day. */
  | { type: 'superseded', incarnation: number }

/** A member as this node sees it. */
export type Member = {
  id: string
  address: string
  incarnation: number
  state: MemberState
  leaving: boolean
  /** Whether the newest instance list contains the member. */
  listed: boolean
  /** From the instance list; empty until it contains the member. */
  zone: string
  region: string
}
