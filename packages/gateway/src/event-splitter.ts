/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded.
 * The bytes of an incomplete event are collected in one buffer, and searched once.
 */
import { createByteCollector } from '@yuccawharf/clients'

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
  const rest = createByteCollector()
  let id: string | undefined

  /** @returns number of bytes, from the beginning of those collected, that complete events take */
  function append (chunk: Buffer): number {
    // The end of an event may be split between what was searched before and the chunk.
    const from = Math.max(0, rest.size - (maxEndBytes - 1))
    rest.append(chunk)
    const end = eventsEnd(rest.bytes().subarray(from))
    return end === 0 ? 0 : from + end
  }

  return {
    push (chunk) {
      const end = append(chunk)
      if (end === 0) return undefined
      const completeEvents = rest.take(end)
      for (const [, value] of completeEvents.toString('latin1').matchAll(idLine)) id = value
      return completeEvents
    },
    rest: () => rest.bytes(),
    restBytes: () => rest.size,
    insideEvent: () => !rest.bytes().every(isLineEnd),
    lastId: () => id
  }
}
