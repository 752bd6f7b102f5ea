/** Requests to backend servers over HTTP/1.1 without pipelining; response data is forwarded as it arrives. */
import type { Socket } from 'node:net'
import { buildConnector, Pool, type Dispatcher } from 'undici'
import type { BackendServer } from './cluster-types'
import type { RawHeaders } from './platform-interface'

export type UpstreamFailure = {
  /** The request was started on a connection; if false, no byte of it left this process. */
  sent: boolean
  reason: string
}

export type UpstreamHandler = {
  headers (status: number, raw: RawHeaders): void
  data (chunk: Buffer): void
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
}

export type Upstream = {
  send (server: BackendServer, req: UpstreamRequest, handler: UpstreamHandler): UpstreamCall
  /** Opens a new connection for each request for a while, because responses on reused connections cannot be trusted. */
  disableReuse (server: BackendServer, since: number): void
  /** Closes the connections to all other servers when their requests have ended. */
  retain (servers: readonly BackendServer[]): void
  close (): void
}

export type UpstreamOptions = {
  now (): number
  /** Maximum number of connections of this node to one server of the service. */
  connections (service: string): number
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

function keyOf (server: BackendServer): string {
  return `${server.id}@${server.address}#${server.bornAt}`
}

/** Bytes that a server may send without completing a response head or sending a part of a body. */
const maxBytesWithoutProgress = 64 * 1024

/** State of the connections of one pool within the current event. */
type ConnectionWatch = {
  /** A connection is being reset. */
  resetting: boolean
  /** Count of the connection whose bytes are being parsed. */
  reading?: { bytesWithoutProgress: number }
}

/**
 * Closes a connection on which bytes arrive that lead to no response. undici limits the size of header
 * fields, but neither of a status line nor of the number of interim responses.
 */
function limitUselessBytes (socket: Socket, watch: ConnectionWatch): void {
  const count = { bytesWithoutProgress: 0 }
  const read = socket.read.bind(socket)
  // undici parses what this returns within the same event, so the callbacks of a response know their connection.
  socket.read = size => {
    const chunk = read(size) as Buffer | null
    if (chunk === null) return chunk
    watch.reading = count
    count.bytesWithoutProgress += chunk.length
    if (count.bytesWithoutProgress - chunk.length > maxBytesWithoutProgress) {
      socket.destroy(new Error(`${count.bytesWithoutProgress} bytes without a response`))
      return null
    }
    return chunk
  }
}

/**
 * Creates a connector that detects resets before undici does. When a connection is reset, undici
 * reports a response without a length as complete, although only a regular close completes it.
 */
function createWatchedConnector (watch: ConnectionWatch): buildConnector.connector {
  const connect = buildConnector({ timeout: connectTimeoutMs })
  return (options, callback) => {
    connect(options, (...[err, socket]) => {
      if (err !== null) return callback(err, null)
      limitUselessBytes(socket, watch)
      const markReset = (): void => {
        watch.resetting = true
        // undici reports the end of the response within the same event.
        queueMicrotask(() => { watch.resetting = false })
      }
      socket.on('error', markReset)
      // Node.js reports a reset that is read together with preceding data as a regular end, but the socket has no remote port any more.
      socket.on('end', () => { if (socket.remotePort === undefined) markReset() })
      callback(null, socket)
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

export function createUpstream (options: UpstreamOptions): Upstream {
  const entries = new Map<string, Entry>()

  function createEntry (server: BackendServer, connections: number): Entry {
    const watch: ConnectionWatch = { resetting: false }
    const pool = new Pool(`http://${server.address}`, {
      connections,
      pipelining: 1,
      connect: createWatchedConnector(watch),
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

  return {
    send (server, { method, path, headers, body, newConnection = false }, handler) {
      const entry = newConnection ? createEntry(server, 1) : entryOf(server)
      let controller: Dispatcher.DispatchController | undefined
      let ended = false
      const state: { aborted?: string } = {}
      const progressed = (): void => { if (entry.watch.reading !== undefined) entry.watch.reading.bytesWithoutProgress = 0 }

      entry.pool.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body, reset: newConnection || entry.noReuseUntil > options.now() }, {
        onRequestStart (started) {
          controller = started
          if (state.aborted !== undefined) started.abort(new Error(state.aborted))
        },
        onResponseStart (started, status, parsed) {
          // Ignores interim (1xx) responses.
          if (status < 200) return
          progressed()
          if (!ended) handler.headers(status, rawHeaders(started, parsed))
        },
        onResponseData (_started, chunk) {
          progressed()
          if (!ended) handler.data(chunk)
        },
        onResponseEnd () {
          progressed()
          if (ended) return
          ended = true
          if (entry.watch.resetting) handler.failed({ sent: true, reason: 'reset within a response without a length' })
          else handler.complete()
        },
        onResponseError (_started, err) {
          if (ended) return
          ended = true
          handler.failed({ sent: controller !== undefined, reason: (err as { code?: string }).code ?? err.message })
        }
      })

      if (newConnection) closePool(entry)

      return {
        abort (reason) {
          ended = true
          state.aborted = reason
          controller?.abort(new Error(reason))
        },
        pause: () => controller?.pause(),
        resume: () => controller?.resume()
      }
    },
    disableReuse (server, since) {
      // Idle connections may hold bytes of other responses; requests in progress keep their connections.
      closePool(entryOf(server))
      entries.delete(keyOf(server))
      entryOf(server).noReuseUntil = since + noReuseMs
    },
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
