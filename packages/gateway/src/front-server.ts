/** HTTP server for clients: enforces limits, reads the body, finds the route and creates the exchange. */
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { createBoundedServer, refuseUnreadable, requestLateCode, sharedReads, type ServerBounds } from '@yuccawharf/clients'
import { createBodyReader } from './body-reader'
import { abortResponse, createClientExchange, refusalBody, sendRefusal, sendUnreadRefusal, type ClientExchange, type ExchangeContext, type RefusalStatus } from './client-exchange'
import type { DecisionLog } from './decision-log'
import { createHeaderBytes } from './header-bytes'
import { keptBytesLimit, type KeptBytes } from './kept-bytes'
import type { HeaderCodec } from './platform-interface'
import { admitRequest, authenticate, chooseService, type EarlyRefusal } from './request-admission'
import { createRequestBytes, type BodyRefusal } from './request-bytes'
import type { RouteTable } from './route-table'

export type FrontServerEnv = {
  now (): number
  codec: HeaderCodec
  kept: KeptBytes
  /** Limit of the process's memory, in bytes, if it is known. */
  memoryBytes?: number | undefined
  log: DecisionLog
  /** Bounds of connections. */
  bounds?: ServerBounds
  /** Undefined until a configuration has been read. */
  routes (): RouteTable | undefined
  /** Whether the configuration is known to be recent enough to accept keys. */
  configIsCurrent? (): boolean
  /** Whether the node is leaving, so that responses close their connection. */
  closing (): boolean
  /** Whether the node no longer accepts requests. */
  closed (): boolean
  /** Number of requests of other nodes that this one relays. */
  relaying? (): number
  /** Time until which the node can respond; infinite unless it is leaving. */
  respondsUntil (): number
  forward (exchange: ClientExchange): Promise<void>
  ended (exchange: ClientExchange): void
}

export type FrontServer = {
  server: Server
  /** Number of requests in progress, those included whose responses clients have not read yet. */
  running (): number
  /** Ids of requests in progress, of {@link maxNamedRequests} at most. */
  inProgress (): string[]
  /** Bytes of requests that are kept. */
  requestBytes (): number
  /** Applies the limits of a new configuration. */
  configure (): void
  /**
   * Resolves when no request is in progress or relayed and `earliestAt` has passed. At `latestAt` it answers the
   * requests that are still in progress with an unknown outcome, and aborts responses that have begun.
   */
  finish (earliestAt: number, latestAt: number): Promise<void>
  /** Resolves when no request waits to be read, or at `latestAt`. To be called once the node is closed, right before the end. */
  readArrived (latestAt: number): Promise<void>
}

/** Number of requests that the log names when the process fails: the newest, as one of them is likely to have led to it. */
const maxNamedRequests = 32
/** Limit of the HTTP parser until a configuration is known. */
const maxHeaderBytes = 64 * 1024
/** Bytes by which the parser's limit exceeds the configured one, which is checked on each request. */
const headerMarginBytes = 4096
/**
 * Margin on the configured idle time and header timeout, in ms. Clients reuse a connection for up to
 * four fifths of the idle time, so the server keeps it open for all of it and this margin.
 */
const keepAliveMarginMs = 2000
const defaultKeepAliveMs = 20_000
/** Interval between checks for clients that send headers too slowly, in ms. */
const connectionCheckMs = 1000
/** Interval between checks for requests in progress at the end, in ms. */
const finishCheckMs = 50
/** Turns of the event loop without a request after which none waits: one accepts connections, the next one reads them. */
const quietTurns = 3
/** Time after which there may be room for a body, in ms: a few requests with large bodies have ended. */
const noRoomRetryAfterMs = 500

const bodyRefusals: Record<BodyRefusal, { status: number, reason: string, retryAfterMs?: number }> = {
  'no-room': { status: 503, reason: 'too many bytes of requests are kept', retryAfterMs: noRoomRetryAfterMs },
  stalled: { status: 503, reason: 'the body stalls while others wait', retryAfterMs: noRoomRetryAfterMs },
  deadline: { status: 408, reason: 'the body is not complete at the deadline' }
}

function headerBytes (raw: string[]): number {
  return raw.reduce((sum, text) => sum + text.length + 2, 0)
}

const unreadableStatuses: Record<string, RefusalStatus> = {
  HPE_HEADER_OVERFLOW: { status: 431, outcome: 'invalid' },
  // The request was not read, and the node may be too busy to read it.
  [requestLateCode]: { status: 408, outcome: 'not-run' }
}

/** Rejects input that is not HTTP, too slow or too large, and closes the connection. */
function refuseConnection (err: NodeJS.ErrnoException, socket: Socket): void {
  const refusal = unreadableStatuses[err.code ?? ''] ?? { status: 400, outcome: 'invalid' }
  const { status } = refusal
  const body = refusalBody(refusal, `the request could not be read: ${err.code ?? err.message}`)
  socket.end(`HTTP/1.1 ${status} Refused\r\ncontent-type: application/problem+json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
}

export function createFrontServer (env: FrontServerEnv): FrontServer {
  let running = 0
  let received = 0
  const exchanges = new Set<ClientExchange>()
  /** Responses of which a part waits to be sent, and whose clients know no chunks. */
  const unchunked = new Set<ServerResponse>()
  const requestBytes = createRequestBytes(keptBytesLimit(env.memoryBytes))
  const bodies = createBodyReader(requestBytes, env.now)
  const heldHeaders = createHeaderBytes(env.memoryBytes)

  /** Newest request of each connection. */
  const newest = new WeakMap<Socket, IncomingMessage>()

  /** Whether the response to the request closes its connection: not before responses to requests behind it, and none runs behind it. */
  function closesConnection (req: IncomingMessage): boolean {
    if (!env.closing() || newest.get(req.socket) !== req) return false
    ending.add(req.socket)
    return true
  }

  const configIsCurrent = (): boolean => env.configIsCurrent?.() !== false

  async function handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedAt = env.now()
    const closing = (): boolean => closesConnection(req)
    const table = env.routes()
    const refusalHeaders = (id: string, retryAfterMs?: number): Record<string, string> => {
      const retry: Record<string, string> = retryAfterMs === undefined ? {} : { 'retry-after': env.codec.retryAfter(retryAfterMs) }
      return { ...env.codec.identify(id), ...retry, ...(closing() ? { connection: 'close' } : {}) }
    }
    const refuse = async (status: number, outcome: 'not-run' | 'invalid', reason: string, retryAfterMs?: number): Promise<void> => {
      // Requests that were read together with it are passed on later in this turn; only the last response may close the connection.
      if (env.closing()) await nextTurn()
      const { id } = env.codec.request(req.rawHeaders)
      env.log.info('request-refused', { id, status, reason, configVersion: table?.config.version })
      const headers: Record<string, string> = { ...refusalHeaders(id, retryAfterMs), ...(status === 401 ? { 'www-authenticate': 'Bearer' } : {}) }
      if ('connection' in headers) return sendUnreadRefusal(req, res, { status, outcome }, reason, headers)
      sendRefusal(res, { status, outcome }, reason, headers)
      req.resume()
    }
    const refuseHeaders = async (pipelined: boolean): Promise<void> => {
      if (!pipelined) return await refuse(503, 'not-run', 'too many bytes of headers are kept', noRoomRetryAfterMs)
      // The refusal would have to wait for the responses before it, and take memory too.
      env.log.warn('connection-closed', { reason: 'too many bytes of headers are kept' })
      req.socket.destroy()
    }
    const refuseBody = (id: string, refusal: BodyRefusal): void => {
      const { status, reason, retryAfterMs } = bodyRefusals[refusal]
      env.log.info('request-refused', { id, status, reason, requestBytes: requestBytes.total(), afterMs: Math.round(env.now() - arrivedAt) })
      ending.add(req.socket)
      sendUnreadRefusal(req, res, { status, outcome: 'not-run' }, reason, refusalHeaders(id, retryAfterMs))
    }
    const size = headerBytes(req.rawHeaders)
    // A response has its connection when those before it are complete.
    const pipelined = res.socket === null
    const releaseHeaders = heldHeaders.hold(size, pipelined)
    if (releaseHeaders === undefined) return await refuseHeaders(pipelined)
    res.once('close', releaseHeaders)
    const refuseEarly = async ({ status, outcome, reason, retryAfterMs }: EarlyRefusal): Promise<void> => await refuse(status, outcome, reason, retryAfterMs)
    const metadata = env.codec.request(req.rawHeaders)
    const admission = admitRequest({ table, closed: env.closed(), headerBytes: size, host: req.headers.host ?? '', url: req.url ?? '/', metadata, configIsCurrent })
    if (admission.type === 'refused') return await refuseEarly(admission)
    const { route, table: { config: { limits } } } = admission
    const deadlineAt = (): number => Math.min(arrivedAt + Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs), env.respondsUntil())
    const body = await bodies.read(req, limits.bodyBytes, deadlineAt)
    if (body.type === 'aborted') return
    if (body.type === 'too-large') return await refuse(413, 'invalid', `the body exceeds ${limits.bodyBytes} bytes`)
    if (body.type === 'refused') return refuseBody(metadata.id, body.reason)
    const choice = chooseService(admission.table, route, metadata.id)
    if (choice.type === 'refused') {
      body.release()
      return await refuseEarly(choice)
    }
    const { service } = choice
    // The body may have taken long, and the key may have been removed meanwhile.
    const latest = env.routes() ?? admission.table
    const { accounts } = latest
    const authentication = authenticate(latest, route, metadata, configIsCurrent)
    if (authentication.type === 'refused') {
      body.release()
      return await refuseEarly(authentication)
    }
    const { account } = authentication
    const context: ExchangeContext = {
      req,
      res,
      metadata: accounts.enabled ? env.codec.withAccount(metadata, account?.name) : metadata,
      route,
      service,
      ...(account === undefined ? {} : { account }),
      priority: accounts.priority(account, route),
      body: body.bytes,
      arrivedAt,
      deadlineAt: deadlineAt()
    }
    const exchange = createClientExchange(context, { codec: env.codec, kept: env.kept, log: env.log, closing })
    // If the process could not run for a while, the close of a client that has left is read after its request, in the next turn of the event loop.
    await nextTurn()
    await nextTurn()
    exchanges.add(exchange)
    try {
      if (!exchange.ended) await env.forward(exchange)
    } finally {
      exchanges.delete(exchange)
      // The client may take its time to read the response.
      context.body = exchange.body = null
      body.release()
      env.ended(exchange)
    }
  }

  const listener: RequestListener = (req, res) => {
    req.on('error', () => {})
    res.on('error', () => {})
    if (ending.has(req.socket)) {
      // Its client sees the connection close without a response, so it must not run.
      req.resume()
      return
    }
    const { socket } = req
    newest.set(socket, req)
    // Its body would stay in memory until the next request of the connection.
    res.once('close', () => { if (newest.get(socket) === req) newest.delete(socket) })
    running += 1
    received += 1
    if (!res.useChunkedEncodingByDefault) {
      unchunked.add(res)
      res.once('close', () => { unchunked.delete(res) })
    }
    // Emitted when the last byte was handed to the system, or when the connection is closed.
    const responded = new Promise<void>(resolve => { res.once('close', resolve) })
    handle(req, res).catch(err => {
      env.log.error('request-failed', { reason: (err as Error).stack ?? String(err) })
      sendRefusal(res, { status: 500, outcome: 'unknown' }, 'the node could not handle the request')
      if (!res.writableEnded) abortResponse(res)
    }).then(() => responded).finally(() => { running -= 1 })
  }
  const server = createBoundedServer(listener, {
    maxHeaderSize: maxHeaderBytes,
    keepAliveTimeout: defaultKeepAliveMs,
    connectionsCheckingInterval: connectionCheckMs,
    // The client's deadline limits the time for long bodies.
    requestTimeout: 0,
    noDelay: true
  }, {
    ...env.bounds,
    exceeded (unanswered, req, res) {
      const { id } = env.codec.request(req.rawHeaders)
      env.log.warn('connection-closed', { id, reason: 'too many requests without a response', unanswered })
      sendRefusal(res, { status: 503, outcome: 'not-run' }, 'too many requests on the connection have no response', { ...env.codec.identify(id), 'retry-after': env.codec.retryAfter(noRoomRetryAfterMs) })
    }
  })
  const ending = refuseUnreadable(server, refuseConnection)

  return {
    server,
    running: () => running,
    inProgress: () => [...exchanges].slice(-maxNamedRequests).map(({ metadata }) => metadata.id),
    requestBytes: requestBytes.total,
    async finish (earliestAt, latestAt) {
      for (; env.now() < latestAt; await new Promise(resolve => setTimeout(resolve, finishCheckMs))) {
        if (running === 0 && (env.relaying?.() ?? 0) === 0 && env.now() > earliestAt) return
      }
      env.log.warn('stopping-with-requests', { running })
      // The system ends the connections of the process regularly, which would be the end of a body without a length.
      for (const res of unchunked) if (res.headersSent) abortResponse(res)
      for (const exchange of exchanges) {
        if (exchange.headersSent) exchange.abort()
        else exchange.refuse({ status: 502, outcome: 'unknown' }, 'the node stops before the server has answered')
      }
    },
    async readArrived (latestAt) {
      let quiet = 0
      do {
        const before = received
        await nextTurn()
        quiet = received === before && sharedReads.inBatches() === 0 ? quiet + 1 : 0
      } while (quiet < quietTurns && env.now() < latestAt)
    },
    configure () {
      const limits = env.routes()?.config.limits
      if (limits === undefined) return
      server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs
      server.headersTimeout = limits.headerTimeoutMs + keepAliveMarginMs
      // Node.js reads this property for each new connection.
      Object.assign(server, { maxHeaderSize: limits.headerBytes + headerMarginBytes })
    }
  }
}
