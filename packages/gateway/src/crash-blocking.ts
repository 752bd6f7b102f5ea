/** What crashes servers and is refused at all nodes: parts of prompts, as owners of engines find them, and whole requests. */
import { isEvidenceMessage } from './crash-evidence'
import { fieldsCheck, isCount, isName } from './field-checks'
import type { Fleet } from './fleet'
import { createPartBlocking, type PartBlocking, type PartBlockingOptions } from './part-blocking'
import type { PeerMessage } from './peer-link'
import { createRequestCrashes, type RequestCrashes } from './request-crashes'

export type CrashBlockingOptions = Omit<PartBlockingOptions, 'notifyPeers' | 'notifyHold'> & {
  self: string
  fleet: Pick<Fleet, 'peers' | 'address'>
  deliver (address: string, message: PeerMessage): void
  /** Calls back after a time, in ms. */
  after (delayMs: number, callback: () => void): void
}

export type CrashBlocking = {
  parts: PartBlocking
  requests: RequestCrashes
  /** @returns whether the message is about crashes */
  receive (from: string, message: PeerMessage): boolean
}

const isHold = fieldsCheck<{ part: string, forMs: number }>({ part: isName, forMs: isCount })

export function createCrashBlocking (options: CrashBlockingOptions): CrashBlocking {
  const { self, fleet, deliver } = options
  const parts = createPartBlocking({
    ...options,
    notifyPeers (part) {
      for (const { address } of fleet.peers()) deliver(address, { kind: 'blocked-part', payload: part })
    },
    notifyHold (part, forMs) {
      for (const { address } of fleet.peers()) deliver(address, { kind: 'held-part', payload: { part, forMs } })
    }
  })
  const requests = createRequestCrashes({
    ...options,
    blocking: parts,
    nodes: () => [self, ...fleet.peers().map(({ name }) => name)],
    send (node, message) {
      const address = fleet.address(node)
      if (address !== undefined) deliver(address, { kind: 'request-crash', payload: message })
    }
  })

  return {
    parts,
    requests,
    receive (from, { kind, payload }) {
      if (kind === 'request-crash' && isEvidenceMessage(payload)) requests.receive(from, payload)
      else if (kind === 'held-part' && isHold(payload)) parts.receiveHold(from, payload.part, payload.forMs)
      else if (kind === 'blocked-part' && isName(payload)) parts.receive(from, payload)
      else return false
      return true
    }
  }
}
