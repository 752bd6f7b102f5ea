/** Ends connections of an HTTP server on which no request arrives in time, or none that can be read. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { isParserEnded } from './bounded-server'
import { trackResponses } from './response-tracker'
import { sharedReads } from './shared-reads'

export type EndingConnections = {
  /** The connection ends with a refusal, so what is read on it from now on must not run. */
  add (socket: Socket): void
  /** To be called for each request, before anything else. */
  has (socket: Socket): boolean
}

/** Error of a connection on which a request does not arrive in time. */
export const requestLateCode = 'ERR_HTTP_REQUEST_TIMEOUT'

/** Errors of connections on which what has arrived is HTTP, so that the requests before are sound. */
const limitCodes: ReadonlySet<string> = new Set([requestLateCode, 'HPE_HEADER_OVERFLOW'])

/** Time for which a client may read a refusal before its connection is destroyed, in ms. */
const refusalReadMs = 2000

/**
 * Refuses what cannot be read, and closes connections that are idle for too long.
 *
 * @param refuse - sends a refusal and closes the connection
 */
export function refuseUnreadable (server: Server, refuse: (err: NodeJS.ErrnoException, socket: Socket) => void): EndingConnections {
  const responses = trackResponses(server)
  const ending = new WeakSet<Socket>()
  /** Connections that end with a refusal of what cannot be read, once the responses before it are complete. */
  const refused = new WeakSet<Socket>()
  /** Connections whose time is over, while what has arrived on them is read. */
  const late = new WeakSet<Socket>()

  function end (err: NodeJS.ErrnoException, socket: Socket): void {
    const isMalformed = !limitCodes.has(err.code ?? '')
    // A refusal would be read as part of the response in progress, or in place of it.
    if (!socket.writable || socket.readableEnded || (isMalformed && responses.isResponding(socket))) {
      socket.destroy()
      return
    }
    // Each later part of the input that cannot be read is an error again.
    if (refused.has(socket)) return
    refused.add(socket)
    ending.add(socket)
    responses.responded(socket).then(() => {
      if (!socket.writable) return
      refuse(err, socket)
      // The client may keep its side open.
      const timer = setTimeout(() => { socket.destroy() }, refusalReadMs)
      socket.once('close', () => { clearTimeout(timer) })
    }, (failure: Error) => { socket.destroy(failure) })
  }

  /** If the process could not run for a while, or read others first, timers are handled before requests that arrived in time. */
  function afterReading (socket: Socket, endLate: () => void): void {
    late.add(socket)
    sharedReads.afterReading(socket, () => { if (late.delete(socket) && !responses.isResponding(socket)) endLate() })
  }

  server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
    if (isParserEnded(err)) return
    if (err.code !== requestLateCode || responses.isResponding(socket)) end(err, socket)
    else afterReading(socket, () => { end(err, socket) })
  })
  server.on('timeout', socket => { afterReading(socket, () => { socket.destroy() }) })

  return {
    add: socket => { ending.add(socket) },
    has (socket) {
      late.delete(socket)
      return ending.has(socket)
    }
  }
}
