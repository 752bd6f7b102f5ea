/** Messages, events and actions of membership. */

/** `dead` is a conclusion of failure detection, or of the platform when the instance list dropped the member. */
export type MemberState = 'alive' | 'suspect' | 'dead'

/** What one node claims about another. */
export type MemberUpdate = {
  id: string
  /** IP address and port for datagrams. */
  address: string
  /** Start time of the process, in ms; 0 when only the instance list has named it. */
  incarnation: number
  /** Raised by the member itself to refute a suspicion. */
  refutation: number
  state: MemberState
  /** The member accepts no new work; never withdrawn within an incarnation. */
  leaving: boolean
}

export type MembershipMessage = {
  type: 'ping' | 'ping-request' | 'ack'
  from: string
  /** Number of the probe at the node that waits for the ack. */
  probe: number
  /** For `ping-request`: the member to ping. For `ack`: the member that answered. */
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

export type MembershipAction =
  | { type: 'datagram', to: string, address: string, message: MembershipMessage }
  | { type: 'member-changed', member: Member }
  /** Another process with the same id and a newer incarnation exists: this one has been replaced. */
  | { type: 'superseded', incarnation: number }

/** A member as this node sees it. */
export type Member = {
  id: string
  address: string
  incarnation: number
  state: MemberState
  leaving: boolean
  /** In the newest instance list. */
  listed: boolean
  /** Known from the instance list; empty until it has named the member. */
  zone: string
  region: string
}
