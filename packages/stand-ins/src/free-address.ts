/** Addresses for processes under test. */
import { createSocket } from 'node:dgram'
import { createServer } from 'node:net'

const host = '127.0.0.1'
/** Below the ports that systems give to outgoing connections, which could take a port between the check and its use. */
export const firstPort = 10_000
export const portCount = 20_000

/** Ports that were handed out by this process. */
const used = new Set<number>()

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const socket = createSocket('udp4')
  try {
    await new Promise<void>((resolve, reject) => { server.on('error', reject).listen(port, host, resolve) })
    await new Promise<void>((resolve, reject) => { socket.on('error', reject).bind(port, host, resolve) })
    return true
  } catch {
    return false
  } finally {
    await new Promise<void>(resolve => { server.listening ? server.close(() => resolve()) : resolve() })
    await new Promise<void>(resolve => { socket.close(resolve) })
  }
}

/**
 * @param random - uniform numbers from 0 to 1
 * @returns ports of the loopback interface that are free for TCP and UDP, and different from all returned before
 */
export async function findFreePorts (count: number, random: () => number = Math.random): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = firstPort + Math.floor(random() * portCount)
    if (used.has(port) || !(await isFree(port))) continue
    used.add(port)
    ports.push(port)
  }
  return ports
}

/** @returns a free IP address and port on loopback */
export async function findFreeAddress (): Promise<string> {
  return `${host}:${(await findFreePorts(1))[0]}`
}
