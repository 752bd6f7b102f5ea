/** Loopback addresses. Their ports lie below those that Linux gives to outgoing connections, so that they stay free between two uses. */
import { createSocket } from 'node:dgram'
import { createServer } from 'node:net'

export const loopback = '127.0.0.1'

const firstPort = 15_000
const lastPort = 32_000

const drawPort = () => firstPort + Math.floor(Math.random() * (lastPort - firstPort))

function listenAt (server, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, loopback, () => {
      server.off('error', reject)
      resolve(`${loopback}:${port}`)
    })
  })
}

/** @returns address at which the server listens, as IP:PORT; at any free port if none is given */
export async function listen (server, port) {
  if (port !== undefined) return await listenAt(server, port)
  for (;;) {
    try {
      return await listenAt(server, drawPort())
    } catch (err) {
      if (err.code !== 'EADDRINUSE') throw err
    }
  }
}

async function isFree (port) {
  const stream = createServer()
  const datagrams = createSocket('udp4')
  try {
    await listenAt(stream, port)
    await new Promise((resolve, reject) => {
      datagrams.once('error', reject)
      datagrams.bind(port, loopback, resolve)
    })
    return true
  } catch {
    return false
  } finally {
    if (stream.listening) await new Promise(resolve => { stream.close(resolve) })
    datagrams.close()
  }
}

/** @returns ports that are free now, for streams and datagrams */
export async function freePorts (count) {
  const ports = new Set()
  while (ports.size < count) {
    const port = drawPort()
    if (!ports.has(port) && await isFree(port)) ports.add(port)
  }
  return [...ports]
}

/** Resets a connection: what it has sent has arrived, and nothing but a reset follows. */
export function reset (socket) {
  socket.resetAndDestroy()
}
