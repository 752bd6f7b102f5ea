/** Bounded piggybacking: each update is added to a limited number of messages, the least sent updates first. */
import { packMembership, packUpdate } from './membership-codec'
import type { MembershipMessage, MemberUpdate } from './membership-types'

/**
 * A node sends and receives two datagrams per second each. At this size, including headers, gossip
 * takes at most 2.7 KB/s of the 3 KB/s for control traffic, even when all members change at once.
 */
export const maxDatagramBytes = 640

/** Reserved for the rest of the message: the sender's own update, the probe, a target and the envelope. */
const reservedBytes = 280

/** Transmissions of an update are limited to this factor times the binary logarithm of the number of members. */
const retransmitFactor = 3

/**
 * @param message - a message within {@link maxDatagramBytes}
 * @returns its encoding as JSON
 */
export const encodeMembership = (message: MembershipMessage): string => JSON.stringify(packMembership(message))

const updateBytes = (update: MemberUpdate): number => Buffer.byteLength(JSON.stringify(packUpdate(update))) + 1

type Pending = { update: MemberUpdate, sent: number, bytes: number }

export type GossipBuffer = {
  /** Adds an update; it replaces an older one about the same member. */
  put (update: MemberUpdate): void
  /**
   * @param members - number of members in the table
   * @param first - update that must be in the message, for example about the receiver
   * @returns updates that fit into the message
   */
  take (members: number, first?: MemberUpdate): MemberUpdate[]
  drop (id: string): void
}

export const createGossipBuffer = (): GossipBuffer => {
  const pending = new Map<string, Pending>()

  const leastSent = (): Pending[] => [...pending.values()].sort((left, right) => left.sent - right.sent)

  const countTransmission = (item: Pending, limit: number): void => {
    item.sent += 1
    if (item.sent >= limit) {
      pending.delete(item.update.id)
    }
  }

  return {
    put (update) {
      pending.set(update.id, { update, sent: 0, bytes: updateBytes(update) })
    },
    take (members, first) {
      const limit = Math.ceil(retransmitFactor * Math.log2(members + 2))
      const taken = first === undefined ? [] : [first]
      let room = maxDatagramBytes - reservedBytes - (first === undefined ? 0 : updateBytes(first))
      for (const item of leastSent()) {
        if (item.bytes > room) {
          break
        }
        if (item.update.id !== first?.id) {
          taken.push(item.update)
          room -= item.bytes
        }
        countTransmission(item, limit)
      }
      return taken
    },
    drop (id) {
      pending.delete(id)
    }
  }
}
