/** Requests to backend servers: one at a time on a connection, responses handed on as they arrive. */
import { buildConnector, Pool, type Dispatcher } from 'undici'
import type { BackendServer } from './cluster-types'
import type { RawHeaders } from './platform-interface'

export type UpstreamFailure = {
  /** No byte of the request left this process. */
  sent: boolean
  reason: string
}

export type UpstreamHandler = {
  /** @returns nothing; the body follows */
  headers (status: number, raw: RawHeaders): void
  data (chunk: Buffer): void
  /** The whole body has arrived. */
  complete (): void
  failed (failure: UpstreamFailure): void
}

export type UpstreamCall = {
  /** Closes the connection; no callback follows. */
  abort (reason: string): void
  pause (): void
  resume (): void
}

export type UpstreamRequest = { method: string, path: string, headers: RawHeaders, body: Buffer | null }

export type Upstream = {
  send (server: BackendServer, req: UpstreamRequest, handler: UpstreamHandler): UpstreamCall
  /** The server's responses on kept connections cannot be trusted for a while: each request gets a new connection. */
  disableReuse (server: BackendServer, now: number): void
  /** Closes the connections to servers that are gone. */
  retain (servers: readonly BackendServer[]): void
  close (): void
}

export type UpstreamOptions = {
  now (): number
  /** Connections that this node may have to one server of the service. */
  connections (service: string): number
}

/** A new connection takes a few round trips within a zone, each of a few ms. */
const connectTimeoutMs = 400
/** Idle time after which a connection is closed by this side unless the server states less, in ms. */
const idleMs = 4000
/** Time before the end of the server's stated idle time at which a connection is no longer used, in ms. */
const idleMarginMs = 500
/** Time without reuse of connections after a response that belonged to another request, in ms. */
const noReuseMs = 10_000

type Entry = { pool: Pool, noReuseUntil: number, watch: ResetWatch }

function keyOf (server: BackendServer): string {
  return `${server.id}@${server.address}#${server.bornAt}`
}

/** Whether a connection is being reset at this moment. */
type ResetWatch = { resetting: boolean }

/**
 * Connector that notices resets before undici does: undici ends a response without a length as whole
 * when its connection is reset, although only a regular end of the connection completes it.
 */
function createWatchedConnector (watch: ResetWatch): buildConnector.connector {
  const connect = buildConnector({ timeout: connectTimeoutMs })
  return (options, callback) => {
    connect(options, (...[err, socket]) => {
      if (err !== null) return callback(err, null)
      const markReset = (): void => {
        watch.resetting = true
        // The end of the response is reported within the same event.
        queueMicrotask(() => { watch.resetting = false })
      }
      socket.on('error', markReset)
      // A reset that is read together with data before it is reported as a regular end, but the connection has no peer any more.
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

  function entryOf (server: BackendServer): Entry {
    const key = keyOf(server)
    const existing = entries.get(key)
    if (existing !== undefined) return existing
    const watch = { resetting: false }
    const pool = new Pool(`http://${server.address}`, {
      connections: options.connections(server.service),
      pipelining: 1,
      connect: createWatchedConnector(watch),
      keepAliveTimeout: idleMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      // Deadlines are kept by the caller, which knows how long the client waits.
      headersTimeout: 0,
      bodyTimeout: 0
    })
    const created = { pool, noReuseUntil: -Infinity, watch }
    entries.set(key, created)
    return created
  }

  function destroy (entry: Entry): void {
    // Requests in progress end with their own failure.
    entry.pool.close().catch(() => {})
  }

  return {
    send (server, { method, path, headers, body }, handler) {
      const entry = entryOf(server)
      let controller: Dispatcher.DispatchController | undefined
      let ended = false
      const state: { aborted?: string } = {}

      entry.pool.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body, reset: entry.noReuseUntil > options.now() }, {
        onRequestStart (started) {
          controller = started
          if (state.aborted !== undefined) started.abort(new Error(state.aborted))
        },
        onResponseStart (started, status, parsed) {
          // Interim responses precede the one that counts.
          if (!ended && status >= 200) handler.headers(status, rawHeaders(started, parsed))
        },
        onResponseData (_started, chunk) {
          if (!ended) handler.data(chunk)
        },
        onResponseEnd () {
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
    disableReuse (server, now) {
      // Idle connections may hold more bytes of other responses; requests in progress keep theirs.
      destroy(entryOf(server))
      entries.delete(keyOf(server))
      entryOf(server).noReuseUntil = now + noReuseMs
    },
    retain (servers) {
      const keys = new Set(servers.map(keyOf))
      for (const [key, entry] of entries) {
        if (keys.has(key)) continue
        entries.delete(key)
        destroy(entry)
      }
    },
    close () {
      for (const entry of entries.values()) destroy(entry)
      entries.clear()
    }
  }
}
