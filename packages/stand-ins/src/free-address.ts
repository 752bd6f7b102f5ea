/** Addresses for processes under test. */
import { createServer, type AddressInfo } from 'node:net'

/** @returns a free IP address and port on loopback; another process may bind it before the caller does */
export async function findFreeAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise<void>(resolve => { server.close(() => resolve()) })
  return `127.0.0.1:${port}`
}
