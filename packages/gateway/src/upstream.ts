/** Requests to backend servers over HTTP/1.1 without pipelining; response data is forwarded as it arrives. */
import { asSocket, createCheckedAgent, createPieceBatch, createServerConnector, createTrafficMonitor, framingOf, isComplete, isValidStatus, limitReads, unprovenEnd, UnusableResponseError, type BodyFraming, type ConnectionTraffic, type ResponseReads, type ServerConnection, type ServerConnectionOptions, type ServerConnector, type TrafficMonitor } from '@yuccawharf/clients'
import { Pool, type buildConnector, type Dispatcher } from 'undici'
import type { BackendServer } from './cluster-types'
import type { LinkMonitor } from './link-monitor'
import type { RawHeaders } from './platform-interface'
import type { RelayConnector } from './relay-connector'
import { createRelayedConnection, RelayLostError } from './relayed-connection'
import { headerOf } from './response-end'

export type UpstreamFailure = {
  /** The request was started on a connection; if false, no byte of it left this process. */
  sent: boolean
  reason: string
  /** The links of this node are cut, or the node that relays was lost, so it says nothing about the server. */
  linksCut?: true
  /** This node gave the response up, because nobody could have used it. */
  unusable?: true
}

export type UpstreamHandler = {
  /** @param through - node that has relayed the request, if one has */
  headers (status: number, raw: RawHeaders, through?: string): void
  /** @param pieces - number of pieces in which the bytes have arrived */
  data (bytes: Buffer, pieces: number): void
  /** The body is complete. */
  complete (): void
  failed (failure: UpstreamFailure): void
}

export type UpstreamCall = {
  /** Closes the connection; no further callback is called. */
  abort (reason: string): void
  pause (): void
  resume (): void
}

export type UpstreamRequest = {
  method: string
  path: string
  headers: RawHeaders
  body: Buffer | null
  /** Sends the request on a connection of its own, on which no other response can arrive. */
  newConnection?: boolean
  /** The request may run again, so that it is given up when the links are cut before its response begins. */
  repeatable?: boolean
}

export type Upstream = {
  send (server: BackendServer, req: UpstreamRequest, handler: UpstreamHandler): UpstreamCall
  /** Opens a new connection for each request for a while, because responses on reused connections cannot be trusted. */
  disableReuse (server: BackendServer, since: number): void
  /** Sends requests to the server through other nodes while this node's links are cut; undefined while they work. */
  relay (server: BackendServer): Dispatcher | undefined
  /** What has arrived from servers. */
  traffic: Pick<TrafficMonitor, 'totals' | 'mostPieces'>
  /** Closes the connections to all other servers when their requests have ended. */
  retain (servers: readonly BackendServer[]): void
  close (): void
}

export type UpstreamOptions = {
  now (): number
  /** Maximum number of connections of this node to one server of the service. */
  connections (service: string): number
  /** Links of this node to the servers, and the way around them. Without, a server that cannot be reached counts as gone. */
  detour?: { links: Pick<LinkMonitor, 'isCut' | 'onCut' | 'notConnected' | 'sent' | 'received'>, relays: RelayConnector }
}

/** Connect timeout in ms; connecting takes a few round trips of a few ms each within a zone. */
const connectTimeoutMs = 400
/** Idle time after which this side closes a connection unless the server states a shorter one, in ms. */
const idleMs = 4000
/** Connections are no longer used this long before the idle time that the server states ends, in ms. */
const idleMarginMs = 500
/** Time without connection reuse after a rejected response, such as one that belongs to another request, in ms. */
const noReuseMs = 10_000

type Entry = { pool: Pool, noReuseUntil: number, watch: ConnectionWatch }

/** A request on a link of this node whose response has not begun. */
type Unanswered = { service: string, repeatable: boolean, giveUp (): void }

function keyOf (server: BackendServer): string {
  return `${server.id}@${server.address}#${server.bornAt}`
}

/** State of the connections of one pool within the current event. */
type ConnectionWatch = {
  /** The connection whose bytes are being parsed. */
  reading?: ResponseReads
  connection?: ServerConnection
  /** Node that relays the connection. */
  through?: string
}

/** Opens the connection through another node. */
function createRelayedConnector (relays: RelayConnector, server: BackendServer, options: ServerConnectionOptions = {}, opened: (node: string) => void = () => {}): ServerConnector {
  return (_options, callback) => {
    relays.open(server).then(({ socket, node, framed }) => {
      opened(node)
      callback(null, createRelayedConnection(socket, framed, options))
    }, (err: Error) => { callback(err, null) })
  }
}

/** Creates a connector that closes connections that are of no use. */
function createWatchedConnector (watch: ConnectionWatch, connect: ServerConnector, traffic: () => ConnectionTraffic): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...[err, connection]) => {
      if (err !== null) return callback(err, null)
      limitReads(connection, reads => { Object.assign(watch, { reading: reads, connection }) }, traffic())
      callback(null, asSocket(connection))
    })
  }
}

function flattenHeaders (headers: Record<string, string | string[] | undefined>): RawHeaders {
  const flat: RawHeaders = []
  for (const [name, value] of Object.entries(headers)) {
    if (Array.isArray(value)) value.forEach(item => flat.push(name, item))
    else if (value !== undefined) flat.push(name, value)
  }
  return flat
}

function rawHeaders (controller: Dispatcher.DispatchController, parsed: Record<string, string | string[] | undefined>): RawHeaders {
  const raw = controller.rawHeaders
  return Array.isArray(raw) ? raw.map(item => typeof item === 'string' ? item : item.toString('latin1')) : flattenHeaders(parsed)
}

const noDetour: NonNullable<UpstreamOptions['detour']> = {
  links: { isCut: () => false, onCut () {}, notConnected: async () => false, sent: () => () => {}, received () {} },
  relays: { open: async ({ id }) => { throw new Error(`no other node reaches ${id}`) } }
}

export function createUpstream (options: UpstreamOptions): Upstream {
  const { links, relays } = options.detour ?? noDetour
  const entries = new Map<string, Entry>()
  const unanswered = new Set<Unanswered>()
  const traffic = createTrafficMonitor()

  /** What waits on a cut link when its request is given up would otherwise still reach the server later. */
  function resetWhenCut ({ service }: BackendServer): ServerConnectionOptions {
    return { resets: () => links.isCut(service) }
  }

  function createEntry (server: BackendServer, connections: number, connect: ServerConnector = createServerConnector(connectTimeoutMs, resetWhenCut(server)), watch: ConnectionWatch = {}): Entry {
    const pool = new Pool(`http://${server.address}`, {
      connections,
      pipelining: 1,
      connect: createWatchedConnector(watch, connect, () => traffic.connected(server.id)),
      keepAliveTimeout: idleMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      // The caller enforces deadlines, because it knows how long the client waits.
      headersTimeout: 0,
      bodyTimeout: 0
    })
    return { pool, noReuseUntil: -Infinity, watch }
  }

  function entryOf (server: BackendServer): Entry {
    const key = keyOf(server)
    const existing = entries.get(key)
    if (existing !== undefined) return existing
    const created = createEntry(server, options.connections(server.service))
    entries.set(key, created)
    return created
  }

  function closePool (entry: Entry): void {
    // Requests in progress report their own failures.
    entry.pool.close().catch(() => {})
  }

  function createRelayedEntry (server: BackendServer): Entry {
    const watch: ConnectionWatch = {}
    return createEntry(server, 1, createRelayedConnector(relays, server, resetWhenCut(server), node => { watch.through = node }), watch)
  }

  /** @param isOwnLink - whether the connections are this node's own */
  function sendOn (entry: Entry, service: string, { method, path, headers, body, newConnection = false, repeatable = false }: UpstreamRequest, isOwnLink: boolean, handler: UpstreamHandler): UpstreamCall {
    let controller: Dispatcher.DispatchController | undefined
    let ended = false
    let framing: BodyFraming = 'none'
    const state: { aborted?: string } = {}
    let answered: () => void = () => {}
    const batch = createPieceBatch((bytes, pieces) => { handler.data(bytes, pieces) }, err => { controller?.abort(err) })
    const progressed = (): void => {
      entry.watch.reading?.progressed()
      if (isOwnLink) links.received(service)
    }

    function abort (reason: string): void {
      ended = true
      batch.discard()
      answered()
      state.aborted = reason
      controller?.abort(new Error(reason))
    }

    function watchLink (): void {
      const call: Unanswered = {
        service,
        repeatable,
        giveUp () {
          abort('links cut')
          handler.failed({ sent: true, reason: 'links to servers are cut', linksCut: true })
        }
      }
      const noLongerWaits = links.sent(service)
      unanswered.add(call)
      answered = () => {
        noLongerWaits()
        unanswered.delete(call)
      }
    }

    entry.pool.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body, reset: newConnection || entry.noReuseUntil > options.now() }, {
      onRequestStart (started) {
        controller = started
        if (state.aborted !== undefined) return started.abort(new Error(state.aborted))
        if (isOwnLink) watchLink()
      },
      onResponseStart (started, status, parsed) {
        // undici closes the connection and reports the error.
        if (!isValidStatus(status)) throw new UnusableResponseError(`the response has the invalid status ${status}`)
        // Ignores interim (1xx) responses.
        if (status < 200) return
        progressed()
        answered()
        const raw = rawHeaders(started, parsed)
        framing = framingOf({ method, status }, name => headerOf(raw, name))
        // undici would keep a buffer for each name and value, and the read that they are parts of, until the response is complete.
        started.rawHeaders = null
        if (!ended) handler.headers(status, raw, entry.watch.through)
      },
      onResponseData (_started, chunk) {
        progressed()
        entry.watch.reading?.piece(chunk.length)
        if (!ended) batch.push(chunk)
      },
      onResponseEnd () {
        progressed()
        entry.watch.reading?.ended()
        batch.flush()
        if (ended) return
        ended = true
        if (isComplete(framing, entry.watch.connection)) handler.complete()
        else handler.failed({ sent: true, reason: unprovenEnd })
      },
      onResponseError (_started, err) {
        answered()
        batch.flush()
        if (ended) return
        ended = true
        const sent = controller !== undefined
        handler.failed({ sent, ...(err instanceof RelayLostError || (!sent && !isOwnLink) ? { linksCut: true } : {}), ...(err instanceof UnusableResponseError ? { unusable: true } : {}), reason: (err as { code?: string }).code ?? err.message })
      }
    })

    return {
      abort,
      pause: () => controller?.pause(),
      resume: () => controller?.resume()
    }
  }

  function sendDirectly (server: BackendServer, req: UpstreamRequest, handler: UpstreamHandler): UpstreamCall {
    const entry = req.newConnection === true ? createEntry(server, 1) : entryOf(server)
    const call = sendOn(entry, server.service, req, true, handler)
    if (req.newConnection === true) closePool(entry)
    return call
  }

  /** Other requests get connections of their own, so that the node that relays judges each time whether the server may be used. */
  function sendThroughNode (server: BackendServer, req: UpstreamRequest, handler: UpstreamHandler): UpstreamCall {
    const entry = createRelayedEntry(server)
    const call = sendOn(entry, server.service, { ...req, newConnection: true }, false, handler)
    closePool(entry)
    return call
  }

  links.onCut(service => {
    for (const call of [...unanswered]) {
      if (call.service === service && call.repeatable) call.giveUp()
    }
  })

  return {
    send (server, req, handler) {
      if (links.isCut(server.service)) return sendThroughNode(server, req, handler)
      let aborted = false
      let current = sendDirectly(server, req, {
        ...handler,
        failed (failure) {
          if (failure.sent) return handler.failed(failure)
          links.notConnected(server).then(cut => {
            if (aborted) return
            if (cut) current = sendThroughNode(server, req, handler)
            else handler.failed(failure)
          }).catch((err: Error) => { if (!aborted) handler.failed({ sent: false, reason: err.message }) })
        }
      })
      return {
        abort (reason) {
          aborted = true
          current.abort(reason)
        },
        pause: () => current.pause(),
        resume: () => current.resume()
      }
    },
    relay: server => links.isCut(server.service) ? createCheckedAgent({ pipelining: 0 }, createRelayedConnector(relays, server)) : undefined,
    disableReuse (server, since) {
      // Idle connections may hold bytes of other responses; requests in progress keep their connections.
      closePool(entryOf(server))
      entries.delete(keyOf(server))
      entryOf(server).noReuseUntil = since + noReuseMs
    },
    traffic,
    retain (servers) {
      const keys = new Set(servers.map(keyOf))
      for (const [key, entry] of entries) {
        if (keys.has(key)) continue
        entries.delete(key)
        closePool(entry)
      }
    },
    close () {
      for (const entry of entries.values()) closePool(entry)
      entries.clear()
    }
  }
}
