/** Writes chunks of a chunked HTTP response. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Writes one chunk as a single buffer. Node's own `write` passes the size, the data and two line ends
 * to `writev` as four buffers, which is the largest single cost of relaying a token. Falls back to
 * `write` until the headers are sent, and for responses without chunked encoding.
 * @returns false if the writer should wait for the socket's `drain`
 */
export function writeChunk (res: ServerResponse, bytes: Uint8Array, headersWritten: boolean): boolean {
  const socket: Socket | null = res.socket
  if (!headersWritten || socket === null || !res.chunkedEncoding) return res.write(bytes)
  const size = `${bytes.length.toString(16)}\r\n`
  const framed = Buffer.allocUnsafe(size.length + bytes.length + 2)
  framed.write(size, 0, 'latin1')
  framed.set(bytes, size.length)
  framed[framed.length - 2] = 13
  framed[framed.length - 1] = 10
  return socket.write(framed)
}
