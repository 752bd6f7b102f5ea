/**
 * Reads connections to servers in their turns, and closes those whose bytes lead to no response that could be used.
 * One place knows what each byte on the wire costs; it does not matter who waits for the response.
 */
import type { Socket } from 'node:net'
import type { ConnectionTraffic } from './response-traffic'
import { sharedReads } from './shared-reads'

/** Bytes that a server may send without completing a response head or sending a part of a body. */
const maxBytesWithoutProgress = 64 * 1024

/**
 * Bytes of heads, chunk sizes, chunk extensions and trailers that a response may have beside `maxFramingRatio` for each
 * byte of its body. Chunks of one byte have five for each.
 */
const maxFramingBytes = 1024 * 1024
const maxFramingRatio = 16

/** Bytes beside its body that a complete response may have without counting as overhead, because each answers a request. */
const maxAnswerBytes = 2048

/** Fields of a head or of trailers. undici limits their bytes only, and keeps objects of some hundred bytes for each field. */
const maxHeadFields = 500

/** The part of the parser of undici that it does not document: it is told the size of each name and each value. */
type HeadParser = { headers: readonly Buffer[], trackHeader (bytes: number): void }

/** Nobody could have used the response. */
export class UnusableResponseError extends Error {}

/** What the parser reports of the connection whose bytes it parses. */
export type ResponseReads = {
  /** The head of a response is complete, or a part of its body or its end has arrived. */
  progressed (): void
  /** @param bytes - size of a part of a body */
  piece (bytes: number): void
  ended (): void
}

/** Makes the parser of a connection treat a head with too many fields as one with too many bytes. */
function limitHeadFields (socket: Socket): void {
  const key = Object.getOwnPropertySymbols(socket).find(symbol => symbol.description === 'parser')
  const parser = key === undefined ? undefined : (socket as unknown as Record<symbol, HeadParser | null>)[key]
  if (parser == null) return
  const { trackHeader } = parser
  parser.trackHeader = bytes => {
    // What is left of the read is parsed, too, and undici would create an error for each name and value.
    if (!socket.destroyed) trackHeader.call(parser, parser.headers.length > 2 * maxHeadFields ? Infinity : bytes)
  }
}

/**
 * To be called before undici uses the connection. undici limits the size of header fields, but neither of a
 * status line nor of the number of interim responses.
 *
 * @param reading - called before the bytes of a read are parsed
 */
export function limitReads (socket: Socket, reading: (reads: ResponseReads) => void, traffic: ConnectionTraffic): void {
  // Outside of the parser, which must not be entered again.
  const turns = sharedReads.addClient(() => process.nextTick(() => { if (!socket.destroyed) socket.emit('readable') }))
  let bytesWithoutProgress = 0
  /** Bytes of the current read, and those of bodies among them. */
  let readBytes = 0
  let bodyBytes = 0
  let isRead = false

  const reads: ResponseReads = {
    progressed () { bytesWithoutProgress = 0 },
    piece (bytes) {
      bodyBytes += bytes
      traffic.piece(bytes)
    },
    ended () {
      bodyBytes += Math.min(maxAnswerBytes, traffic.current.wireBytes - traffic.current.bodyBytes)
      traffic.responseEnded()
    }
  }

  function count (bytes: number): void {
    readBytes += bytes
    bytesWithoutProgress += bytes
    traffic.read(bytes)
  }

  function endRead (): void {
    if (readBytes === 0) return
    const parsed = { readBytes, bodyBytes }
    readBytes = bodyBytes = 0
    turns.parsed(parsed.readBytes, parsed.bodyBytes)
  }

  /** @returns why nobody could use the response, if so; the bytes that have just been read are not parsed yet */
  function unusableReason (unparsedBytes: number): string | undefined {
    if (bytesWithoutProgress - unparsedBytes > maxBytesWithoutProgress) return `${bytesWithoutProgress} bytes without a response`
    const { current } = traffic
    const framingBytes = current.wireBytes - unparsedBytes - current.bodyBytes
    return framingBytes > maxFramingBytes + maxFramingRatio * current.bodyBytes ? `${framingBytes} bytes of framing for ${current.bodyBytes} of a body` : undefined
  }

  const { read, unshift } = socket
  // undici parses what this returns before it reads again, so the callbacks of a response know their connection.
  socket.read = size => {
    endRead()
    // The parser may report the end of a response without bytes.
    reading(reads)
    // Before its next request undici reads what has arrived on an idle connection, and closes it then.
    if (turns.held() && (!isRead || traffic.current.wireBytes > 0)) return null
    const chunk = read.call(socket, size) as Buffer | null
    if (chunk === null) return chunk
    if (!isRead) limitHeadFields(socket)
    isRead = true
    count(chunk.length)
    const reason = unusableReason(chunk.length)
    if (reason !== undefined) {
      socket.destroy(new UnusableResponseError(reason))
      return null
    }
    // A parser that is paused does not read again.
    queueMicrotask(endRead)
    return chunk
  }
  // A parser that is paused returns what it has not parsed, and reads it again.
  socket.unshift = (chunk, ...rest) => {
    count(-(chunk as Buffer).length)
    unshift.call(socket, chunk, ...rest)
  }
  // Before the listeners of undici, for whom these events may complete a response.
  for (const event of ['end', 'error', 'close']) socket.on(event, () => { reading(reads) })
  socket.once('close', () => {
    traffic.closed()
    turns.closed()
  })
}
