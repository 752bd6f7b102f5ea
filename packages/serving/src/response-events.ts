/**
 * Parses the event stream of one response without decoding its tokens, because decoding each token's
 * JSON costs more than relaying it. Events are split at blank lines, only the `id:` field and the end
 * markers are read, and consecutive token events of a chunk are returned as one run of bytes.
 */

import { createByteCollector } from '@yuccawharf/clients'

/** Consecutive token events; `bytes` are exactly the events `first` to `last`. */
export type TokenRun = { type: 'tokens', first: number, last: number, bytes: Uint8Array }

export type ResponseEvent =
  | TokenRun
  /** The chunk with the finish reason; `count` is the number of tokens of the whole response. */
  | { type: 'finish', count: number, reason: string, bytes: Uint8Array }
  /** The end marker of the OpenAI format. */
  | { type: 'done', bytes: Uint8Array }
  /** A problem document that ends the stream. */
  | { type: 'error', data: string, bytes: Uint8Array }
  | { type: 'malformed', reason: string }

export type ResponseParser = {
  /**
   * @param chunk next bytes of the stream; the returned events share its memory
   * @returns the complete events, in stream order
   */
  push (chunk: Uint8Array): ResponseEvent[]
  /** Size of the buffered incomplete event, in bytes. */
  pendingBytes (): number
}

const newline = 10
const digitZero = 48
const idField = Buffer.from('id: ')
const blankLine = Buffer.from('\n\n')
const usageMarker = Buffer.from('"usage":{')
const doneEvent = Buffer.from('data: [DONE]\n\n')
const errorField = Buffer.from('event: error\n')

/** A larger event is malformed, so that a stream without blank lines cannot exhaust the memory. */
const maxEventBytes = 1 << 20

function startsWith (bytes: Buffer, from: number, prefix: Buffer): boolean {
  for (let index = 0; index < prefix.length; index++) {
    if (bytes[from + index] !== prefix[index]) return false
  }
  return true
}

/** @returns the number in the leading `id:` field, or -1 */
function eventId (bytes: Buffer, from: number, end: number): number {
  if (!startsWith(bytes, from, idField)) return -1
  let value = 0
  let index = from + idField.length
  for (; index < end && bytes[index] !== newline; index++) {
    const digit = (bytes[index] ?? 0) - digitZero
    if (digit < 0 || digit > 9 || value > 1e12) return -1
    value = value * 10 + digit
  }
  return index === from + idField.length ? -1 : value
}

/** @returns the text of the event's `data:` lines */
function eventData (bytes: Buffer): string {
  const lines = bytes.toString('utf8').split('\n')
  const data = lines.filter(line => line.startsWith('data:'))
  return data.map(line => line.slice(line.startsWith('data: ') ? 6 : 5)).join('\n')
}

function parseFinishEvent (bytes: Buffer): ResponseEvent {
  try {
    const chunk = JSON.parse(eventData(bytes)) as { usage?: { completion_tokens?: unknown }, choices?: { finish_reason?: unknown }[] }
    const count = chunk.usage?.completion_tokens
    const reason = chunk.choices?.[0]?.finish_reason
    if (typeof count !== 'number' || !Number.isInteger(count) || count < 0) return { type: 'malformed', reason: 'the last chunk has no token count' }
    return { type: 'finish', count, reason: typeof reason === 'string' ? reason : 'stop', bytes }
  } catch {
    return { type: 'malformed', reason: 'the last chunk is not valid JSON' }
  }
}

function isComment (bytes: Buffer, from: number): boolean {
  return bytes[from] === 58
}

function parseEventWithoutId (bytes: Buffer): ResponseEvent | undefined {
  if (isComment(bytes, 0)) return undefined
  if (bytes.equals(doneEvent)) return { type: 'done', bytes }
  if (startsWith(bytes, 0, errorField)) return { type: 'error', data: eventData(bytes), bytes }
  return { type: 'malformed', reason: 'an event has neither an id nor an end marker' }
}

/** Appends the event `bytes[from, end)`, extending the last run when the ids are consecutive. */
function appendEvent (events: ResponseEvent[], bytes: Buffer, from: number, end: number): void {
  const event = bytes.subarray(from, end)
  if (event.includes(usageMarker)) {
    events.push(parseFinishEvent(event))
    return
  }
  const id = eventId(bytes, from, end)
  if (id < 0) {
    const other = parseEventWithoutId(event)
    if (other !== undefined) events.push(other)
    return
  }
  const run = events.at(-1)
  const adjacent = run?.type === 'tokens' && run.last + 1 === id && run.bytes.byteOffset + run.bytes.length === event.byteOffset
  if (!adjacent) {
    events.push({ type: 'tokens', first: id, last: id, bytes: event })
    return
  }
  run.last = id
  run.bytes = bytes.subarray(run.bytes.byteOffset - bytes.byteOffset, end)
}

export function createResponseParser (): ResponseParser {
  const incomplete = createByteCollector()

  /** @returns the incomplete event and the chunk if they complete an event, otherwise undefined */
  function prependIncomplete (chunk: Uint8Array): Buffer | undefined {
    const bytes = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length)
    if (incomplete.size === 0) return bytes
    // The blank line may be split between what was searched before and the chunk.
    const searchFrom = Math.max(0, incomplete.size - (blankLine.length - 1))
    incomplete.append(bytes)
    if (incomplete.bytes().indexOf(blankLine, searchFrom) < 0) return undefined
    // The events may be kept, so they get no more memory than their bytes.
    const joined = Buffer.from(incomplete.bytes())
    incomplete.take()
    return joined
  }

  return {
    push (chunk) {
      const bytes = prependIncomplete(chunk)
      const events: ResponseEvent[] = []
      if (bytes !== undefined) {
        let from = 0
        while (from < bytes.length) {
          const end = bytes.indexOf(blankLine, from)
          if (end < 0) break
          appendEvent(events, bytes, from, end + blankLine.length)
          from = end + blankLine.length
        }
        incomplete.append(bytes.subarray(from))
      }
      if (incomplete.size > maxEventBytes) {
        incomplete.take()
        events.push({ type: 'malformed', reason: `an event is larger than ${maxEventBytes} bytes` })
      }
      return events
    },
    pendingBytes: () => incomplete.size
  }
}

/**
 * @param run consecutive token events
 * @param after sequence number below `run.last`
 * @returns the part of the run that follows `after`; shares the memory of `run`
 */
export function sliceAfter (run: TokenRun, after: number): TokenRun {
  if (after < run.first) return run
  const bytes = Buffer.from(run.bytes.buffer, run.bytes.byteOffset, run.bytes.length)
  let from = 0
  for (let seq = run.first; seq <= after; seq++) {
    from = bytes.indexOf(blankLine, from) + blankLine.length
  }
  return { type: 'tokens', first: after + 1, last: run.last, bytes: bytes.subarray(from) }
}
