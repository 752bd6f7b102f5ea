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
  /** Last event id of the complete events, if one was set. */
  lastId (): string | undefined
}

const idLine = /(?:^|\n)id: ?([^\r\n]*)/g

/** Longest end of an event, which may be split between two chunks: two line ends. */
const maxEndBytes = 4

function eventsEnd (bytes: Buffer): number {
  const lfIndex = bytes.lastIndexOf('\n\n')
  const crlfIndex = bytes.lastIndexOf('\r\n\r\n')
  return Math.max(lfIndex < 0 ? 0 : lfIndex + 2, crlfIndex < 0 ? 0 : crlfIndex + 4)
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
    lastId: () => id
  }
}
