/**
 * Connections to backend servers for nodes whose own links are cut: another node asks with CONNECT for a
 * server, and its bytes are passed on in both directions. Each connection carries one request. What the server sends
 * comes in frames if the node asks for them.
 */
import { createServer, type IncomingMessage, type Server } from 'node:http'
import { connect, type Socket } from 'node:net'
import { isReset, resetSocket, sharedReads } from '@yuccawharf/clients'
import type { BackendServer } from './cluster-types'
import type { DecisionLog } from './decision-log'
import { createFrameWriter, relayedFramesHeader, relayedFramesVersion } from './relay-frames'
import type { ServerStart } from './server-registry'

/** Names the server, as its address may be another one's by now. */
export const relayedServerHeader = 'x-relayed-server'
export const relayedStartHeader = 'x-relayed-start'

export type RelayServerOptions = {
  log: DecisionLog
  /** Whether the address belongs to another node. */
  isPeer (ip: string): boolean
  leaving (): boolean
  /** Whether this node's own links to the service are cut. */
  isCut (service: string): boolean
  /** @returns the server if it accepts requests of this node */
  server (start: ServerStart): BackendServer | undefined
  /** @returns whether there is room for one more beside those that are relayed */
  hasRoom (relayed: number): boolean
}

export type RelayServer = {
  server: Server
  /** Number of connections that are being relayed. */
  running (): number
  /** Closes all relayed connections. */
  close (): void
}

/** Connect timeout in ms, as that of a node's own requests. */
const connectTimeoutMs = 400

function startOf ({ headers }: IncomingMessage): ServerStart {
  return { id: decodeURIComponent(String(headers[relayedServerHeader] ?? '')), bornAt: Number(headers[relayedStartHeader]) }
}

/** Passes the server's bytes on in frames, which say how it ends. */
function passOnFramed (client: Socket, upstream: Socket): void {
  let broken = false
  const frames = createFrameWriter(() => broken)
  // The last frame may be written much later, when the socket is closed.
  upstream.on('end', () => { broken ||= isReset(upstream) })
  upstream.on('error', () => {
    broken = true
    frames.end()
  })
  upstream.pipe(frames).pipe(client)
}

/** Passes the server's bytes on to a node of an earlier build; a reset becomes a reset. */
function passOnUnframed (client: Socket, upstream: Socket): void {
  const breakOff = (): void => { resetSocket(client) }
  upstream.on('error', breakOff)
  // Comes before the pipe, which ends the other side at the same event.
  upstream.on('end', () => { if (isReset(upstream)) breakOff() })
  upstream.pipe(client)
}

/** Passes bytes on in both directions. */
function join (client: Socket, upstream: Socket, framed: boolean): void {
  client.pipe(upstream)
  if (framed) passOnFramed(client, upstream)
  else passOnUnframed(client, upstream)
  // A node closes its side only if it gives the request up.
  client.on('end', () => { if (!client.writableEnded) client.destroy() })
}

export function createRelayServer (options: RelayServerOptions): RelayServer {
  const { log } = options
  const relayed = new Set<Socket>()
  const server = createServer((_req, res) => { res.writeHead(405).end() })
  sharedReads.add(server)

  function refuse (client: Socket, status: number, reason: string): void {
    client.end(`HTTP/1.1 ${status} ${reason}\r\nconnection: close\r\n\r\n`)
  }

  function relay (client: Socket, { id, address }: BackendServer, framed: boolean): void {
    const [host, port] = address.split(':')
    const upstream = connect({ host: host!, port: Number(port), noDelay: true })
    relayed.add(client)
    client.once('close', () => {
      clearTimeout(timer)
      relayed.delete(client)
      upstream.destroy()
    })
    const failed = (reason: string): void => {
      clearTimeout(timer)
      upstream.destroy()
      relayed.delete(client)
      log.info('relay-refused', { server: id, reason })
      refuse(client, 502, 'server not reached')
    }
    const notConnected = (err: NodeJS.ErrnoException): void => failed(err.code ?? err.message)
    const timer = setTimeout(() => failed('connect timeout'), connectTimeoutMs)
    upstream.once('error', notConnected)
    upstream.once('connect', () => {
      clearTimeout(timer)
      upstream.off('error', notConnected)
      client.write(`HTTP/1.1 200 Connected\r\n${framed ? `${relayedFramesHeader}: ${relayedFramesVersion}\r\n` : ''}\r\n`)
      join(client, upstream, framed)
    })
  }

  server.on('connect', (req: IncomingMessage, client: Socket) => {
    client.setNoDelay(true)
    client.on('error', () => { client.destroy() })
    if (!options.isPeer(client.remoteAddress ?? '')) return refuse(client, 403, 'not a node')
    if (options.leaving() || !options.hasRoom(relayed.size)) return refuse(client, 503, 'does not relay')
    const target = options.server(startOf(req))
    if (target === undefined) return refuse(client, 409, 'server accepts no requests')
    if (options.isCut(target.service)) return refuse(client, 503, 'links are cut')
    relay(client, target, req.headers[relayedFramesHeader] === relayedFramesVersion)
  })

  return {
    server,
    running: () => relayed.size,
    close () {
      for (const client of relayed) resetSocket(client)
    }
  }
}
