/** Loopback addresses. */
import { createServer } from 'node:net'

export const loopback = '127.0.0.1'

/** @returns address at which the server listens, as IP:PORT */
export async function listen (server, port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, loopback, resolve)
  })
  return `${loopback}:${server.address().port}`
}

/** @returns ports that are free now */
export async function freePorts (count) {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map(server => listen(server)))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
  return ports
}

/** Resets a connection: what it has sent has arrived, and nothing but a reset follows. */
export function reset (socket) {
  socket.resetAndDestroy()
}
