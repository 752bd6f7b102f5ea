/**
 * Reads connections to servers in their turns, and closes those whose bytes lead to no response that could be used.
 * One place knows what each byte on the wire costs; it does not matter who waits for the response.
 */
import type { Duplex } from 'node:stream'
import type { ConnectionTraffic } from './response-traffic'
import { sharedReads } from './shared-reads'

/** Bytes that a server may send without completing a response head or sending a part of a body. */
const maxBytesWithoutProgress = 64 * 1024

/**
 * Lines that a server may send without completing a response head or sending a part of a body. undici bounds the bytes
 * of header fields and trailers, and keeps some hundred bytes for each, however short it is.
 */
const maxLinesWithoutProgress = 256
/** Reads whose lines are shorter than this on average, in bytes, are parsed in parts, so that their lines are counted in time. */
const shortLineBytes = 64
const partBytes = 1024
const lineFeed = 0x0a

/** Bytes of each part of a body that count as overhead, because a part takes about as long as so many bytes of framing. */
const partOverheadBytes = 64
/** Bytes of framing of a complete response that do not count as overhead: this node has asked for it. */
const freeFramingBytes = 4096

/**
 * Bytes of heads, chunk sizes, chunk extensions and trailers that a response may have beside `maxFramingRatio` for each
 * byte of its body. Chunks of one byte have five for each.
 */
const maxFramingBytes = 1024 * 1024
const maxFramingRatio = 16

/** The part of the parser of undici that it does not document. */
type ResponseParser = {
  paused: boolean
  ptr: number
  llhttp: { llhttp_resume (ptr: number): void }
  /** Ends a body that the close of its connection ends. */
  finish (): Error | null
}

/** Nobody could have used the response. */
export class UnusableResponseError extends Error {}

function countLines (bytes: Buffer): number {
  let lines = 0
  for (let at = 0; at < bytes.length; at++) if (bytes[at] === lineFeed) lines += 1
  return lines
}

/** What the parser reports of the connection whose bytes it parses. */
export type ResponseReads = {
  /** The head of a response is complete, or a part of its body or its end has arrived. */
  progressed (): void
  /** @param bytes - size of a part of a body */
  piece (bytes: number): void
  ended (): void
}

/** undici ends the process when a body that the close of its connection ends is complete while its parser is paused. */
function finishPaused (socket: Duplex): void {
  const key = Object.getOwnPropertySymbols(socket).find(symbol => symbol.description === 'parser')
  const parser = key === undefined ? undefined : (socket as unknown as Record<symbol, ResponseParser | null>)[key] ?? undefined
  if (parser === undefined) return
  const { finish } = parser
  parser.finish = () => {
    if (parser.paused) {
      // Only at the end of a connection nothing is left that has not been parsed.
      if (socket.destroyed) return new Error('the connection was closed before the response was read')
      parser.llhttp.llhttp_resume(parser.ptr)
      parser.paused = false
    }
    return finish.call(parser)
  }
}

/**
 * To be called before undici uses the connection. undici limits the size of header fields, but neither of a
 * status line nor of the number of interim responses.
 *
 * @param reading - called before the bytes of a read are parsed
 */
export function limitReads (socket: Duplex, reading: (reads: ResponseReads) => void, traffic: ConnectionTraffic): void {
  // After the sockets of the turn, so that a connection that has been accepted is read first.
  const turns = sharedReads.addClient(() => setImmediate(() => { if (!socket.destroyed) socket.emit('readable') }))
  let bytesWithoutProgress = 0
  let linesWithoutProgress = 0
  let hasBeenRead = false
  /** What the parser has not been given yet of a read that it gets in parts. */
  let rest: Buffer | undefined
  /** Bytes of the current read, and those of bodies among them. */
  let readBytes = 0
  let bodyBytes = 0

  const reads: ResponseReads = {
    progressed () { bytesWithoutProgress = linesWithoutProgress = 0 },
    piece (bytes) {
      bodyBytes += Math.max(0, bytes - partOverheadBytes)
      traffic.piece(bytes)
    },
    ended () {
      const { current } = traffic
      bodyBytes += Math.min(freeFramingBytes, Math.max(0, current.wireBytes - current.bodyBytes))
      traffic.responseEnded()
    }
  }
  const isRead = (): void => { reading(reads) }

  /**
   * Whether the connection waits for its turn. undici reads an idle connection before it uses it again, and closes it if
   * something has arrived, so it is held only within a response, and before its first read.
   */
  function mustWait (): boolean {
    return turns.held() && (!hasBeenRead || traffic.current.wireBytes > 0)
  }

  function count (bytes: number, lines: number): void {
    readBytes += bytes
    bytesWithoutProgress += bytes
    linesWithoutProgress += lines
    traffic.read(bytes)
  }

  function endRead (): void {
    if (readBytes === 0) return
    const parsed = { readBytes, bodyBytes }
    readBytes = bodyBytes = 0
    turns.parsed(parsed.readBytes, parsed.bodyBytes)
  }

  /** @returns why nobody could use the response, if so; what has just been read is not parsed yet */
  function unusableReason (unparsedBytes: number, unparsedLines: number): string | undefined {
    if (bytesWithoutProgress - unparsedBytes > maxBytesWithoutProgress) return `${bytesWithoutProgress} bytes without a response`
    if (linesWithoutProgress - unparsedLines > maxLinesWithoutProgress) return `${linesWithoutProgress} lines without a response`
    const { current } = traffic
    const framingBytes = current.wireBytes - unparsedBytes - current.bodyBytes
    return framingBytes > maxFramingBytes + maxFramingRatio * current.bodyBytes ? `${framingBytes} bytes of framing for ${current.bodyBytes} of a body` : undefined
  }

  const { read, unshift } = socket

  function nextPart (size: number | undefined): { part: Buffer, lines: number } | undefined {
    if (rest === undefined) {
      const bytes = read.call(socket, size) as Buffer | null
      if (bytes === null) return undefined
      const lines = countLines(bytes)
      if (lines * shortLineBytes <= bytes.length) return { part: bytes, lines }
      rest = bytes
    }
    const part = rest.subarray(0, partBytes)
    rest = rest.length > partBytes ? rest.subarray(partBytes) : undefined
    return { part, lines: countLines(part) }
  }

  // undici parses what this returns before it reads again, so the callbacks of a response know their connection.
  socket.read = size => {
    isRead()
    if (socket.destroyed) rest = undefined
    if (rest === undefined) {
      endRead()
      if (mustWait()) return null
    }
    const next = nextPart(size)
    if (next === undefined) return null
    const { part, lines } = next
    if (!hasBeenRead) finishPaused(socket)
    hasBeenRead = true
    count(part.length, lines)
    const reason = unusableReason(part.length, lines)
    if (reason !== undefined) {
      rest = undefined
      socket.destroy(new UnusableResponseError(reason))
      return null
    }
    // A parser that is paused does not read again.
    queueMicrotask(endRead)
    return part
  }
  // A parser that is paused returns what it has not parsed, and reads it again.
  socket.unshift = (chunk, ...encoding) => {
    const bytes = chunk as Buffer
    count(-bytes.length, -countLines(bytes))
    const all = rest === undefined ? bytes : Buffer.concat([bytes, rest])
    rest = undefined
    unshift.call(socket, all, ...encoding)
  }
  // undici may report the end of a response at these, too.
  for (const event of ['end', 'error', 'close']) socket.on(event, isRead)
  socket.once('close', () => {
    traffic.closed()
    turns.closed()
  })
}
