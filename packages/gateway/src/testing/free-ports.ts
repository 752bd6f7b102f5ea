import { createServer } from 'node:net'

/** @returns ports of the loopback interface that nothing listens on */
export async function freePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer()
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return server
  }))
  const ports = servers.map(server => (server.address() as { port: number }).port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}
