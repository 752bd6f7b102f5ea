/** Tracks the connections of an HTTP server on which a response is due or in progress. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'

export type ResponseTracker = {
  /** Whether a request on the connection was read as a whole, or its response has begun, and the response is not complete. */
  isResponding (socket: Duplex): boolean
  /** Resolves when the responses for which `isResponding` holds now are complete or cut. */
  responded (socket: Duplex): Promise<void>
}

export function trackResponses (server: Server): ResponseTracker {
  const exchanges = new WeakMap<Duplex, Map<ServerResponse, IncomingMessage>>()
  server.on('request', (req, res) => {
    const current = exchanges.get(req.socket) ?? new Map<ServerResponse, IncomingMessage>()
    exchanges.set(req.socket, current.set(res, req))
    res.on('close', () => current.delete(res))
  })
  const open = (socket: Duplex): ServerResponse[] => [...exchanges.get(socket) ?? []].filter(([res, req]) => req.complete || res.headersSent).map(([res]) => res)

  return {
    isResponding: socket => open(socket).length > 0,
    async responded (socket) {
      await Promise.all(open(socket).map(async res => await new Promise<void>(resolve => { res.once('close', resolve) })))
    }
  }
}
