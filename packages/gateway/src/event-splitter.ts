/** Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded. */

export type EventSplitter = {
  /** @returns the bytes of all events that are complete with this chunk, or undefined if there are none */
  push (chunk: Buffer): Buffer | undefined
  /** Bytes after the last complete event. */
  rest (): Buffer
  /** Last event id of the complete events, if one was set. */
  lastId (): string | undefined
}

const idLine = /(?:^|\n)id: ?([^\r\n]*)/g

function eventsEnd (bytes: Buffer): number {
  const lfIndex = bytes.lastIndexOf('\n\n')
  const crlfIndex = bytes.lastIndexOf('\r\n\r\n')
  return Math.max(lfIndex < 0 ? 0 : lfIndex + 2, crlfIndex < 0 ? 0 : crlfIndex + 4)
}

export function createEventSplitter (): EventSplitter {
  let rest: Buffer = Buffer.alloc(0)
  let id: string | undefined

  return {
    push (chunk) {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
      const end = eventsEnd(bytes)
      rest = bytes.subarray(end)
      if (end === 0) return undefined
      const completeEvents = bytes.subarray(0, end)
      for (const [, value] of completeEvents.toString('latin1').matchAll(idLine)) id = value
      return completeEvents
    },
    rest: () => rest,
    lastId: () => id
  }
}
