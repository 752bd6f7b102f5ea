/** Bounds the connections of a server, and the requests that a client sends on one before it has got the responses to earlier ones. */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { createConnectionRoom, headTimeMs } from './connection-room'
import { sharedReads } from './shared-reads'

/** The part of a connection of an HTTP server that Node.js does not document. */
type ParsedSocket = Socket & {
  parser?: {
    /** Creates the response to a request and emits both; a result below 0 is an error at which the parser ends. */
    onIncoming?: ((req: IncomingMessage, keepsConnection: boolean) => number) | null
  } | null
}

/** Time for which a client may read a refusal before its connection is destroyed, in ms. */
const refusalReadMs = 2000

/** Result of a request's listener in the parser. */
const parserError = -1

/** Error of a connection whose parser was ended by that result. */
const parserEndedCode = 'HPE_CB_HEADERS_COMPLETE'

/**
 * Number of requests of one connection that may have no complete response. Node.js starts all that it
 * reads, and stops reading only if complete responses fill a buffer, which requests in progress do not.
 */
export const maxUnanswered = 32

/**
 * Node.js creates all requests of the bytes that it has read, up to 64 KiB, also after the connection is destroyed, and
 * keeps them until the connections that are readable at the same time have all been read. This ends it before the next one.
 */
function endParsingWhen (ended: () => boolean, { parser }: ParsedSocket): void {
  const { onIncoming } = parser ?? {}
  if (!parser || !onIncoming) return
  parser.onIncoming = (req, keepsConnection) => {
    const result = onIncoming(req, keepsConnection)
    return ended() ? parserError : result
  }
}

/** Whether the server has ended the connection's parser itself; the responses that are due are still sent. */
export function isParserEnded ({ code }: NodeJS.ErrnoException): boolean {
  return code === parserEndedCode
}

/**
 * Node.js emits `close` only for the response whose turn on the connection it is, so those behind it
 * would keep what was counted for them when their client has left.
 */
function closeAll (responses: ReadonlySet<ServerResponse>): void {
  for (const res of responses) {
    res.destroy()
    res.emit('close')
  }
}

/** Whether HTTP forbids the request because it does not name its host. */
function lacksHost ({ httpVersion, headers }: IncomingMessage): boolean {
  return httpVersion === '1.1' && headers.host === undefined
}

/** `receiving` is one on which a part of a request's head has arrived. */
export type ClosedConnection = 'idle' | 'receiving' | 'new'

function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

export type ServerBounds = {
  /**
   * Largest number of open connections. Before it is reached, those are closed that have been idle for longest, then those
   * that have sent a part of a request's head for longest. At more, the new one is closed if none is idle.
   */
  maxConnections?: number
  /** Number of places among them that are taken otherwise. */
  reserved? (): number
  /** Called with the number of open connections when it has changed. */
  connectionsChanged? (count: number): void
  /** Called for each connection that is closed because there are too many. */
  closedForRoom? (connection: ClosedConnection): void
  /**
   * Refuses the first of too many requests on a connection. Its response is the last one of the connection.
   *
   * @param unanswered - number of requests before it that have no complete response
   */
  exceeded? (unanswered: number, req: IncomingMessage, res: ServerResponse): void
}

/**
 * Creates a server that passes on the requests within the bound; each of their responses emits `close`.
 * The requests that Node.js would answer itself, past the listener, are answered here, so that the bound holds for them.
 */
export function createBoundedServer (listener: RequestListener, options: ServerOptions = {}, bounds: ServerBounds = {}): Server {
  const unansweredOf = new WeakMap<Socket, Set<ServerResponse>>()
  /** Connections that close with the response to a request that was refused; nothing behind it is parsed. */
  const refused = new WeakSet<Socket>()
  /** Bytes that had been read on a connection when its newest request was. */
  const requestBytes = new WeakMap<Socket, number>()
  const isReceiving = (socket: Socket): boolean => socket.bytesRead !== requestBytes.get(socket)
  const room = createConnectionRoom<Socket>(bounds.maxConnections ?? Infinity, isReceiving, () => performance.now(), () => bounds.reserved?.() ?? 0)
  let makingRoom = false

  function close (socket: Socket, kind: ClosedConnection): void {
    bounds.closedForRoom?.(kind)
    socket.destroy()
  }

  function makeRoom (): void {
    for (let leaving = room.excess(); leaving !== undefined; leaving = room.excess()) close(leaving, isReceiving(leaving) ? 'receiving' : 'idle')
    makingRoom = room.isCrowded()
    if (makingRoom) setTimeout(makeRoomAfterReading, headTimeMs).unref()
  }

  /** New connections may be accepted before requests are read that had arrived earlier. */
  function makeRoomAfterReading (): void {
    setImmediate(() => setImmediate(makeRoom))
  }

  function connected (socket: Socket): void {
    requestBytes.set(socket, 0)
    const leaving = room.opened(socket)
    if (leaving !== undefined) close(leaving, leaving === socket ? 'new' : isReceiving(leaving) ? 'receiving' : 'idle')
    if (!makingRoom && room.isCrowded()) {
      makingRoom = true
      makeRoomAfterReading()
    }
    socket.once('close', () => {
      room.closed(socket)
      bounds.connectionsChanged?.(room.size())
    })
    bounds.connectionsChanged?.(room.size())
  }

  function responsesOf (socket: Socket): Set<ServerResponse> {
    const known = unansweredOf.get(socket)
    if (known !== undefined) return known
    const responses = new Set<ServerResponse>()
    unansweredOf.set(socket, responses)
    socket.once('close', () => { closeAll(responses) })
    endParsingWhen(() => socket.destroyed || refused.has(socket), socket)
    return responses
  }

  function bounded (next: RequestListener): RequestListener {
    return (req, res) => {
      const { socket } = req
      // Requests that were read together with those before the close still arrive.
      if (socket.destroyed) return
      const responses = responsesOf(socket)
      const unanswered = responses.size
      responses.add(res)
      room.busy(socket)
      const read = (): void => { requestBytes.set(socket, socket.bytesRead) }
      read()
      // Without a body this would come only after the response, when the next request may be arriving.
      if (hasBody(req)) req.once('end', read)
      res.once('close', () => {
        responses.delete(res)
        if (responses.size === 0) room.idle(socket)
      })
      if (refused.has(socket)) {
        // It gets no response, so it must not run.
        req.resume()
      } else if (unanswered >= maxUnanswered) {
        refused.add(socket)
        req.resume()
        res.shouldKeepAlive = false
        bounds.exceeded?.(unanswered, req, res)
        if (!res.writableEnded) res.writeHead(503).end()
      } else if (lacksHost(req)) {
        refused.add(socket)
        res.writeHead(400, { connection: 'close' }).end()
      } else next(req, res)
    }
  }

  /** Node.js has handed over the connection, so its listeners are missing, and what follows is not read as requests. */
  function refuseTunnel (socket: Socket): void {
    const responses = responsesOf(socket)
    room.busy(socket)
    socket.on('error', () => { socket.destroy() })
    socket.on('end', () => { socket.destroy() })
    socket.on('drain', () => {
      for (const res of responses) if (res.socket === socket) res.emit('drain')
    })
    socket.resume()
    const respond = (): void => {
      if (responses.size > 0 || !socket.writable) return
      room.busy(socket)
      socket.end('HTTP/1.1 501 Not Implemented\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
      const timer = setTimeout(() => { socket.destroy() }, refusalReadMs)
      socket.once('close', () => { clearTimeout(timer) })
    }
    for (const res of responses) res.once('close', respond)
    respond()
  }

  const server = createServer({ ...options, requireHostHeader: false }, bounded(listener))
  server.on('connection', connected)
  sharedReads.add(server)
  // Without a listener Node.js destroys the connection, and with it the requests in progress.
  server.on('connect', (req: IncomingMessage) => { refuseTunnel(req.socket) })
  server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
    // With a listener Node.js leaves the connection to it.
    if (isParserEnded(err) || server.listenerCount('clientError') > 1) return
    if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n')
    else socket.destroy()
  })
  server.on('checkExpectation', bounded((_req, res) => { res.writeHead(417).end() }))
  return server
}
