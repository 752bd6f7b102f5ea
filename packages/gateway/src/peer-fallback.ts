/** Takes the records of the store from other nodes while this one cannot read them itself, or the store came back without them. */
import type { DecisionLog } from './decision-log'
import type { Feeds } from './feeds'
import type { Fleet } from './fleet'
import { createPeerFetcher, type FeedCache, type PeerSnapshot } from './peer-state'
import type { FleetLog } from './platform-interface'

export type PeerFallbackOptions = {
  self: { control?: string }
  /** Control addresses of other nodes in the settings. */
  seeds (): string[]
  log: DecisionLog
  checkFleetRecord: FleetLog['check']
  fleet: Pick<Fleet, 'control'>
  feeds (): Pick<Feeds, 'operatorNext' | 'operatorReachable'>
  /** Whether this node has a configuration and servers. */
  isComplete (): boolean
  /** Whether a peer has a newer version of the configuration that the store does not have. */
  lacksVersion (): boolean
  apply (snapshot: PeerSnapshot): void
  cache: Pick<FeedCache, 'update'>
  /** Applies only the operators' records, as the store has the others. */
  applyOperator (records: PeerSnapshot['operator']['records']): void
}

export type PeerFallback = {
  /** Position up to which operator records were applied from a peer's snapshot; -1 if none were. */
  operatorNext (): number
  /** The peer has read the operator's records up to `next`. */
  peerPosition (node: string, next: number): void
  fetchFrom (node: string): void
  /** Fetches a snapshot from the seed nodes in the settings if the node starts while the store is unavailable. */
  fetchFromSeeds (): void
}

export function createPeerFallback (options: PeerFallbackOptions): PeerFallback {
  const { self, fleet, feeds } = options
  let appliedNext = -1

  const fetcher = createPeerFetcher({
    log: options.log,
    checkFleetRecord: options.checkFleetRecord,
    needed: () => !feeds().operatorReachable() || options.lacksVersion(),
    apply (snapshot) {
      if (feeds().operatorReachable()) {
        options.applyOperator(snapshot.operator.records)
        // Kept for nodes that start later; the position stays that of the store.
        options.cache.update('operator', snapshot.operator.records, 0)
        return
      }
      appliedNext = snapshot.operator.next
      options.apply(snapshot)
    }
  })

  function fetchFrom (node: string): void {
    const control = fleet.control(node)
    if (control !== undefined) fetcher.fetch([control])
  }

  return {
    operatorNext: () => appliedNext,
    peerPosition (node, next) {
      const ownNext = feeds().operatorNext()
      if (!feeds().operatorReachable() && (ownNext === undefined || next > Math.max(ownNext, appliedNext))) fetchFrom(node)
    },
    fetchFrom,
    fetchFromSeeds () {
      if (options.isComplete()) return
      const others = options.seeds().filter(address => address !== self.control)
      if (others.length > 0) fetcher.fetch(others)
    }
  }
}
