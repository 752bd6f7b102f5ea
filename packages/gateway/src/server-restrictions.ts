/** What backend servers ask of the nodes in their responses: shared with the other nodes, with permits for plain servers that state a limit. */
import type { Suspensions } from './dated-fact'
import type { DecisionLog } from './decision-log'
import type { Fleet } from './fleet'
import type { PeerLink, PeerMessage } from './peer-link'
import type { GatewayMetrics } from './gateway-metrics'
import { createRequestPermits, isPermitMessage, type RequestLimit, type RequestPermits } from './request-permits'
import type { RegistryChange, ServerStart } from './server-registry'
import { createStatementRecorder, type StatementRecorder } from './statement-recorder'

export type ServerRestrictionsOptions = {
  /** Name and start of this node. */
  self: { name: string, incarnation: number }
  now (): number
  suspensions: Suspensions
  log: DecisionLog
  metrics: Pick<GatewayMetrics, 'serverStatement' | 'permitDenied'>
  fleet: Pick<Fleet, 'peers' | 'members' | 'address'>
  link: PeerLink
  /** Delivers a message and logs a failure. */
  deliver (address: string, message: PeerMessage): void
  /** What the plain server can take; undefined for an engine, whose owner keeps count of what it runs. */
  capacity (server: ServerStart): RequestLimit | undefined
  /** Node that owns the engine, if the server is one. */
  engineOwner (server: string): string | undefined
  /** Whether this node is leaving. */
  leaving (): boolean
  /** The limit of a server has changed. */
  changed (): void
  /**
   * The server has stated that it is leaving.
   *
   * @returns what this changes
   */
  leave (server: ServerStart): RegistryChange[]
}

export type ServerRestrictions = Pick<StatementRecorder, 'limit' | 'record' | 'waitMs'> & Pick<RequestPermits, 'acquire'> & {
  /** @returns whether the message is about what servers ask */
  receive (from: string, message: PeerMessage): boolean
  /** Removes the state of all other servers. */
  retain (servers: readonly ServerStart[]): void
}

export function createServerRestrictions ({ self, now, suspensions, log, metrics, fleet, link, deliver, capacity, engineOwner, leaving, changed, leave }: ServerRestrictionsOptions): ServerRestrictions {
  const statements = createStatementRecorder({
    now,
    log,
    metrics,
    notifyPeers (kind, payload) {
      for (const { address } of fleet.peers()) deliver(address, { kind, payload })
    },
    notifyRelay (node, wait) {
      const address = fleet.address(node)
      if (address !== undefined) deliver(address, { kind: 'stated-wait', payload: wait })
    },
    notifyPacer (limit) {
      const address = fleet.address(engineOwner(limit.id) ?? permits.pacer(limit))
      if (address !== undefined) link.notify(address, { kind: 'stated-limit', payload: limit })
    },
    changed,
    leave
  })
  const permits = createRequestPermits({
    self: self.name,
    incarnation: self.incarnation,
    now,
    suspensions,
    peers: () => fleet.members().flatMap(({ name, state }) => state === 'alive' ? name : []),
    leaving,
    limit (server) {
      const stated = statements.limit(server)
      // A server that must not be overfilled gets what it can take, rather than what fills its queue.
      const room = statements.isBrittle(server) ? capacity(server) : undefined
      if (room !== undefined) return { ...room, requestsPerSecond: Math.min(room.requestsPerSecond, stated ?? Infinity) }
      return stated === undefined ? undefined : { requestsPerSecond: stated }
    },
    async send (node, message) {
      const address = fleet.address(node)
      return address === undefined ? false : await link.deliver(address, { kind: 'permit', payload: message })
    },
    onError: reason => { log.error('permit-failed', { reason }) }
  })

  return {
    limit: statements.limit,
    record: statements.record,
    waitMs: statements.waitMs,
    async acquire (server, maxWaitMs) {
      const result = await permits.acquire(server, maxWaitMs)
      if (result.type === 'denied') metrics.permitDenied(result.reason)
      return result
    },
    receive (from, { kind, payload }) {
      if (kind === 'stated-limit' || kind === 'stated-leaving' || kind === 'stated-wait') statements.receive(from, kind, payload)
      else if (kind === 'permit' && isPermitMessage(payload)) permits.receive(from, payload)
      else return false
      return true
    },
    retain (servers) {
      statements.retain(servers)
      permits.retain(servers)
    }
  }
}
