/** Test server that writes the given bytes and then ends, resets or keeps the connection. */
import { createServer, type AddressInfo, type Socket } from 'node:net'

export type RawServer = { url: string, requests: () => number, connections: () => number, received: () => string, close: () => Promise<void> }

/** Action after the bytes: `end` closes the connection gracefully, `reset` resets it, `hang` keeps it open. */
export type AfterBytes = 'end' | 'reset' | 'hang'

/** Starts a server that writes the bytes whenever the headers of a request have arrived. */
export async function startRawServer (bytes: string | Uint8Array, after: AfterBytes): Promise<RawServer> {
  const sockets = new Set<Socket>()
  let requests = 0
  let connections = 0
  let receivedText = ''
  const respond = (socket: Socket): void => {
    requests++
    const finish = (): void => {
      if (after === 'end') socket.end()
      else if (after === 'reset') socket.resetAndDestroy()
    }
    if (bytes.length === 0) finish()
    else socket.write(bytes, finish)
  }
  const server = createServer(socket => {
    sockets.add(socket)
    connections++
    let received = ''
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', chunk => {
      received += chunk.toString('latin1')
      receivedText += chunk.toString('latin1')
      if (!received.includes('\r\n\r\n')) return
      received = ''
      respond(socket)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return {
    url: `http://127.0.0.1:${port}`,
    requests: () => requests,
    connections: () => connections,
    received: () => receivedText,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/** @returns the text of a complete HTTP response */
export function httpResponse (status: number, body: string, contentType = 'application/json'): string {
  return `HTTP/1.1 ${status} X\r\ncontent-type: ${contentType}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
}
