/** Relays TCP connections on loopback and counts the bytes of both directions. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

export type CountingRelay = {
  /** IP address and port. */
  address: string
  bytes (): number
  close (): Promise<void>
}

/** @param target - IP address and port that connections are relayed to */
export async function createCountingRelay (target: string): Promise<CountingRelay> {
  const [host = '', port = ''] = target.split(':')
  const sockets = new Set<Socket>()
  let bytes = 0
  const pipe = (from: Socket, to: Socket): void => {
    sockets.add(from)
    from.on('data', chunk => { bytes += chunk.length })
    from.on('error', () => to.destroy())
    from.on('close', () => {
      sockets.delete(from)
      to.destroy()
    })
    from.pipe(to)
  }
  const server = createServer(inner => {
    const outer = connect(Number(port), host)
    pipe(inner, outer)
    pipe(outer, inner)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    bytes: () => bytes,
    async close () {
      for (const socket of sockets) socket.destroy()
      await new Promise<void>(resolve => { server.close(() => resolve()) })
    }
  }
}
