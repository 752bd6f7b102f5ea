/** Sends the status of the engines that a node owns to all other nodes. */
import type { EngineOwner } from './engine-owner'
import type { Feeds } from './feeds'
import type { Fleet } from './fleet'
import type { OwnerStatusCache } from './owner-status-cache'
import type { PeerLink } from './peer-link'

export type StatusSenderOptions = {
  self: { name: string }
  now (): number
  fleet: Pick<Fleet, 'size' | 'peers'>
  link: Pick<PeerLink, 'notify'>
  owner: Pick<EngineOwner, 'status' | 'freshness' | 'ownsEngines'>
  feeds: Pick<Feeds, 'fleetNext' | 'operatorNext'>
  /** Statuses of all owners that this node knows, its own included. */
  statuses: Pick<OwnerStatusCache, 'setOwn' | 'encode'>
}

export type StatusSender = {
  /** Sends the status if it is due; called every {@link statusIntervalMs}. */
  send (): void
}

/**
 * Interval at which owners send their status to all nodes, in ms. It grows with the number of nodes,
 * because a status costs an owner one datagram per node.
 */
export const statusIntervalMs = 250
const statusIntervalPerNodeMs = 15
const statusIntervalMaxMs = 2000
/** Owners repeat an unchanged status after this time, in ms. */
const statusRepeatMs = 1000

export function createStatusSender ({ self, now, fleet, link, owner, feeds, statuses }: StatusSenderOptions): StatusSender {
  let nextAt = -Infinity

  return {
    send () {
      if (now() < nextAt) return
      nextAt = now() + Math.min(statusIntervalMaxMs, statusIntervalPerNodeMs * fleet.size())
      const status = { engines: owner.status().engines, fleetNext: feeds.fleetNext() ?? -1, fleetAgeMs: owner.freshness.ageMs(now()), operatorNext: feeds.operatorNext() ?? -1 }
      statuses.setOwn(self.name, status.engines, now())
      if (!owner.ownsEngines()) return
      const messages = statuses.encode(status, now(), statusRepeatMs)
      for (const { address } of fleet.peers()) {
        for (const payload of messages) link.notify(address, { kind: 'status', payload })
      }
    }
  }
}
