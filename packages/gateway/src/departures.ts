/**
 * Servers that have left, as other nodes know them. A node that starts has seen neither the last entry
 * of such a server nor its removal, so it would use an earlier entry that the store has written late.
 */
import type { DecisionLog } from './decision-log'
import type { Fleet } from './fleet'
import { fetchDepartures } from './peer-state'
import type { Departure, RegistryChange, ServerRegistry } from './server-registry'

export type DeparturesOptions = {
  log: DecisionLog
  random (): number
  fleet: Pick<Fleet, 'controlsNearby'>
  registry: Pick<ServerRegistry, 'departures' | 'applyDepartures'>
  changed (changes: RegistryChange[]): void
}

export type Departures = {
  /** Called when the fleet is known: asks a few nodes, and others as long as none has an answer. Later calls have no effect. */
  learn (): void
  /** @returns undefined until this node has asked, as it does not know yet what others knew when it started */
  known (): Departure[] | undefined
}

/** Number of nodes that are asked at a time. */
const peersAsked = 3
/** Number of times that nodes are asked: an entry that was written late lapses within about four seconds. */
const maxRounds = 6
/** Pause between two rounds, in ms. */
const roundPauseMs = 500

export function createDepartures ({ log, random, fleet, registry, changed }: DeparturesOptions): Departures {
  let started = false
  let done = false

  /** @returns whether the peer had an answer */
  async function askPeer (address: string): Promise<boolean> {
    const departures = await fetchDepartures(address)
    if (departures === undefined) return false
    log.info('departures-received', { peer: address, count: departures.length })
    changed(registry.applyDepartures(departures))
    return true
  }

  async function askPeers (): Promise<void> {
    for (let round = 1; round <= maxRounds; round++) {
      const answered = await Promise.all(fleet.controlsNearby(peersAsked, random).map(askPeer))
      if (answered.includes(true)) break
      await new Promise(resolve => setTimeout(resolve, roundPauseMs))
    }
    done = true
  }

  return {
    learn () {
      if (started) return
      started = true
      askPeers().catch(err => { log.error('departures-failed', { reason: (err as Error).message }) })
    },
    known: () => done ? registry.departures() : undefined
  }
}
