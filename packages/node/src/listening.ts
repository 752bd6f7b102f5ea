/** Opens the address of a node's HTTP server. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Logger } from './observability'
import { splitAddress } from './peer-rpc'

/** @returns the open connections. @throws if the address cannot be used */
export async function listen (server: Server, address: string, logger: Pick<Logger, 'warn'>): Promise<Set<Socket>> {
  const sockets = new Set<Socket>()
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ port, host, backlog: 1024 }, () => {
      server.off('error', reject)
      resolve()
    })
  })
  // The system reports here that it could not accept a connection; later ones may succeed.
  server.on('error', err => logger.warn(`a connection to ${address} was not accepted: ${err.message}`))
  return sockets
}
