/** Watches a node's links to the backend servers of each service, and tries connections to find out whether they are cut. */
import { connect } from 'node:net'
import type { BackendServer } from './cluster-types'
import type { DecisionLog } from './decision-log'
import { drawSample } from './directory'
import type { GatewayMetrics } from './gateway-metrics'
import { createServerLinks, type LinkState, type ServerLinks } from './server-links'

export type LinkMonitorOptions = {
  now (): number
  /** Uniform numbers from 0 to 1. */
  random (): number
  log: DecisionLog
  metrics: Pick<GatewayMetrics, 'gauge'>
  /** All servers that accept requests. */
  servers (): BackendServer[]
  /** Opens and closes a connection. @returns whether it could be opened */
  tryConnection? (address: string): Promise<boolean>
}

export type LinkMonitor = {
  /** Whether the links to all servers of the service are cut. */
  isCut (service: string): boolean
  /** Called each time the links to a service are found to be cut. */
  onCut (listener: (service: string) => void): void
  /** A request was sent on a link. @returns to be called when it has ended */
  sent (service: string): () => void
  /** Bytes of a server have arrived on a link. */
  received (service: string): void
  /** A connection to the server could not be opened. @returns whether the links to its service are cut */
  notConnected (server: BackendServer): Promise<boolean>
  /** Checks the links if that is due. */
  tick (): void
  stop (): void
}

/** Connect timeout of a try, in ms: as that of requests. */
const connectTimeoutMs = 400

function tryConnection (address: string): Promise<boolean> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = connect({ host: host!, port: Number(port) })
    const finish = (connected: boolean): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(connected)
    }
    // If the process could not run for a while, the connection may be open already.
    const timer = setTimeout(() => { setImmediate(() => setImmediate(() => finish(false))) }, connectTimeoutMs)
    socket.once('connect', () => finish(true))
    socket.on('error', () => finish(false))
  })
}

/** Links to one service. `verdicts` wait for the end of the current check. */
type Watched = { links: ServerLinks, reported: LinkState, verdicts: ((cut: boolean) => void)[] }

export function createLinkMonitor ({ now, random, log, metrics, servers, ...options }: LinkMonitorOptions): LinkMonitor {
  const open = options.tryConnection ?? tryConnection
  const services = new Map<string, Watched>()
  const cutListeners: ((service: string) => void)[] = []
  let stopped = false

  function watched (service: string): Watched {
    const known = services.get(service)
    if (known !== undefined) return known
    const created: Watched = { links: createServerLinks(), reported: 'connected', verdicts: [] }
    services.set(service, created)
    return created
  }

  function resolveVerdicts (service: Watched, cut: boolean): void {
    const { verdicts } = service
    service.verdicts = []
    for (const resolve of verdicts) resolve(cut)
  }

  function update (name: string, service: Watched, reason: string): void {
    const state = service.links.state()
    if (state === 'checking') return
    const changed = state !== service.reported
    service.reported = state
    if (changed) {
      const cut = state === 'cut'
      log.warn(cut ? 'server-links-cut' : 'server-links-restored', { service: name, reason })
      metrics.gauge('cut_services', [...services.values()].filter(({ reported }) => reported === 'cut').length)
      if (cut) {
        for (const listener of cutListeners) listener(name)
        for (const [other, { links }] of services) if (other !== name) links.suspect()
      }
    }
    resolveVerdicts(service, state === 'cut')
  }

  function check (name: string, service: Watched): void {
    const known = servers().filter(server => server.service === name)
    const due = service.links.check(drawSample(known.map(({ id }) => id), known.length, random), now())
    if (due === undefined) return
    const startedAt = now()
    for (const id of due.servers) {
      open(known.find(server => server.id === id)!.address).then(connected => {
        service.links.tried(id, connected, now())
        log.info('server-link-tried', { service: name, server: id, connected, reason: due.reason, afterMs: Math.round(now() - startedAt) })
        update(name, service, due.reason)
      }).catch(err => { log.error('server-link-failed', { service: name, server: id, reason: (err as Error).message }) })
    }
    update(name, service, due.reason)
  }

  function tick (): void {
    if (stopped) return
    for (const [name, service] of services) check(name, service)
  }

  return {
    isCut: service => services.get(service)?.links.state() === 'cut',
    onCut: listener => { cutListeners.push(listener) },
    sent: service => watched(service).links.sent(now()),
    received: service => watched(service).links.received(now()),
    notConnected ({ id, service }) {
      const own = watched(service)
      own.links.notConnected(id)
      tick()
      return own.links.state() === 'checking' ? new Promise(resolve => { own.verdicts.push(resolve) }) : Promise.resolve(own.links.state() === 'cut')
    },
    tick,
    stop () {
      stopped = true
      for (const service of services.values()) resolveVerdicts(service, false)
    }
  }
}
