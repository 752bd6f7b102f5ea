/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded.
 * Chunks of an incomplete event are joined once it is complete, so that each byte is copied once.
 */

export type EventSplitter = {
  /** @returns the bytes of all events that are complete with this chunk, or undefined if there are none */
  push (chunk: Buffer): Buffer | undefined
  /** Bytes after the last complete event. */
  rest (): Buffer
  /** Number of these bytes. */
  restBytes (): number
  /** Whether a part of an event that is not complete has arrived. */
  insideEvent (): boolean
  /** Last event id of the complete events, if one was set. */
  lastId (): string | undefined
}

const idLine = /(?:^|[\r\n])id: ?([^\r\n]*)/g

/** Ends of a line followed by an empty line, for each of the line ends that the format allows. */
const eventEnds = ['\n\n', '\n\r\n', '\r\r']
/** Longest of `eventEnds`, which may be split between two chunks. */
const maxEndBytes = 3

function eventsEnd (bytes: Buffer): number {
  return Math.max(...eventEnds.map(end => {
    const index = bytes.lastIndexOf(end)
    return index < 0 ? 0 : index + end.length
  }))
}

function isLineEnd (byte: number): boolean {
  return byte === 0x0a || byte === 0x0d
}

export function createEventSplitter (): EventSplitter {
  let chunks: Buffer[] = []
  let size = 0
  let id: string | undefined

  /** Last bytes received, enough to find the end of an event that the next chunk completes. */
  function tail (): Buffer {
    const last = chunks.at(-1)
    if (last === undefined || last.length >= maxEndBytes) return last?.subarray(-(maxEndBytes - 1)) ?? Buffer.alloc(0)
    return Buffer.concat(chunks.slice(-maxEndBytes)).subarray(-(maxEndBytes - 1))
  }

  return {
    push (chunk) {
      const isComplete = eventsEnd(chunk) > 0 || (size > 0 && eventsEnd(Buffer.concat([tail(), chunk.subarray(0, maxEndBytes)])) > 0)
      chunks.push(chunk)
      size += chunk.length
      if (!isComplete) return undefined
      const bytes = chunks.length === 1 ? chunk : Buffer.concat(chunks)
      const end = eventsEnd(bytes)
      chunks = end === bytes.length ? [] : [bytes.subarray(end)]
      size = bytes.length - end
      if (end === 0) return undefined
      const completeEvents = bytes.subarray(0, end)
      for (const [, value] of completeEvents.toString('latin1').matchAll(idLine)) id = value
      return completeEvents
    },
    rest: () => Buffer.concat(chunks),
    restBytes: () => size,
    insideEvent: () => chunks.some(chunk => !chunk.every(isLineEnd)),
    lastId: () => id
  }
}
