/** What backend servers ask of the nodes in their responses: shared with the other nodes, with permits for plain servers that state a limit. */
import type { BackendServer } from './cluster-types'
import type { Suspensions } from './dated-fact'
import type { DecisionLog } from './decision-log'
import type { Fleet } from './fleet'
import type { PeerLink, PeerMessage } from './peer-link'
import type { GatewayMetrics } from './gateway-metrics'
import { createRequestPermits, isPermitMessage, type RequestPermits } from './request-permits'
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
  /** Number of requests that the plain server can run at once; undefined for an engine, whose owner keeps count of what it runs. */
  plainSlots (server: ServerStart): number | undefined
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

/** @returns time until each server that accepts no requests now may be asked, in ms */
export function statedWaits (servers: readonly BackendServer[], waitMs: (server: BackendServer) => number): Map<string, number> {
  return new Map(servers.map((server): [string, number] => [server.id, waitMs(server)]).filter(([, ms]) => ms > 0))
}

export function createServerRestrictions ({ self, now, suspensions, log, metrics, fleet, link, deliver, plainSlots, engineOwner, leaving, changed, leave }: ServerRestrictionsOptions): ServerRestrictions {
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
      const requestsPerSecond = statements.limit(server)
      const slots = statements.isBrittle(server) ? plainSlots(server) : undefined
      // A new connection may hold a slot for a moment.
      const concurrent = slots === undefined ? undefined : Math.max(1, slots - 1)
      if (requestsPerSecond === undefined && concurrent === undefined) return undefined
      return { ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }), ...(concurrent === undefined ? {} : { concurrent }) }
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
    async acquire (server, maxWaitMs, endInMs) {
      const result = await permits.acquire(server, maxWaitMs, endInMs)
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
