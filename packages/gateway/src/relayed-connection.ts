/** The connection to a server through another node. */
import type { Socket } from 'node:net'
import { ConnectionBrokenError, ServerConnection, type ServerConnectionOptions } from '@yuccawharf/clients'
import { createFrameReader } from './relay-frames'

/** The node that relays has ended or lost the connection, which says nothing about the server. */
export class RelayLostError extends ConnectionBrokenError {
  override readonly code = 'RELAY_LOST'
}

/**
 * Ends only if the node that relays says that the server has ended its connection. Without frames nothing says so: a
 * response with a length or chunks is complete by itself, another one fails.
 *
 * @param framed - whether the node sends frames
 */
export function createRelayedConnection (socket: Socket, framed: boolean, options: ServerConnectionOptions): ServerConnection {
  const lost = (reason: string): RelayLostError => new RelayLostError(`the node that relays the connection ${reason}`)
  const connection = new ServerConnection(socket, {
    ...options,
    // Without frames, a reset may be the server's.
    ...(framed ? { failureOf: err => lost(`is lost: ${err.message}`) } : {})
  })
  const data = (bytes: Buffer): void => { if (!connection.push(bytes)) socket.pause() }
  const read = framed
    ? createFrameReader({
      data,
      ended: () => connection.finish(),
      broken: () => connection.breakOff(new ConnectionBrokenError('the server has broken off'))
    })
    : data
  socket.on('data', read)
  socket.on('end', () => connection.breakOff(lost(framed ? 'has closed it' : 'doesn\'t say whether the server has ended')))
  return connection
}
