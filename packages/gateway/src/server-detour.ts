/** The way to backend servers through other nodes for a node whose own links are cut, and for the others through this one. */
import type { BackendServer } from './cluster-types'
import type { DecisionLog } from './decision-log'
import type { Fleet } from './fleet'
import type { GatewayMetrics } from './gateway-metrics'
import { createLinkMonitor, type LinkMonitor } from './link-monitor'
import { createRelayConnector, type RelayConnector } from './relay-connector'
import { createRelayServer, type RelayServer } from './relay-server'
import type { ServerRegistry } from './server-registry'

export type ServerDetourOptions = {
  zone: string
  now (): number
  /** Uniform numbers from 0 to 1. */
  random (): number
  log: DecisionLog
  metrics: Pick<GatewayMetrics, 'gauge'>
  fleet: Pick<Fleet, 'peers'>
  registry: Pick<ServerRegistry, 'all' | 'readyServer'>
  /** Time for which the server wants no requests from this node, in ms. */
  waitMs (server: BackendServer): number
  leaving (): boolean
  /** Largest number of connections of clients. */
  maxClients: number
  /** Number of requests of this node's own clients in progress. */
  running (): number
}

export type ServerDetour = {
  links: LinkMonitor
  relays: RelayConnector
  relayServer: RelayServer
  /** Whether the links to the service of the server are cut. */
  isCutFrom (server: string): boolean
  /** Updates the gauge of relayed connections. */
  report (): void
  close (): void
}

/** Share of a node's room for clients that requests of other nodes may take. */
const relayShare = 1 / 2

export function createServerDetour ({ zone, now, random, log, metrics, fleet, registry, waitMs, leaving, maxClients, running }: ServerDetourOptions): ServerDetour {
  const links = createLinkMonitor({ now, random, log, metrics, servers: () => registry.all().filter(({ state }) => state === 'ready') })
  const relays = createRelayConnector({ zone, now, random, log, nodes: fleet.peers })
  const relayServer = createRelayServer({
    log,
    isPeer: ip => fleet.peers().some(({ address }) => address.startsWith(`${ip}:`)),
    leaving,
    isCut: links.isCut,
    server ({ id, bornAt }) {
      const server = registry.readyServer(id)
      return server?.bornAt === bornAt && waitMs(server) === 0 ? server : undefined
    },
    // Each takes as many descriptors as a request of a client.
    hasRoom: relayed => relayed < maxClients * relayShare && running() + relayed < maxClients
  })

  return {
    links,
    relays,
    relayServer,
    isCutFrom (id) {
      const server = registry.readyServer(id)
      return server !== undefined && links.isCut(server.service)
    },
    report () { metrics.gauge('relayed_connections', relayServer.running()) },
    close () {
      relayServer.server.close()
      relayServer.close()
      links.stop()
    }
  }
}
