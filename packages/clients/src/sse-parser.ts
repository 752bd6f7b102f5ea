/** Incremental parser for server-sent events (HTML Living Standard, section 9.2) with bounded memory. */
import { StringDecoder } from 'node:string_decoder'
import { createByteCollector } from './byte-collector'

export type ServerSentEvent = { id: string, data: string }

/** Thrown for an event beyond the size limit. It ends the stream, because the rest can't be assigned to events. */
export class OversizedEventError extends Error {
  constructor (maxBytes: number) {
    super(`event exceeds ${maxBytes} bytes`)
    this.name = 'OversizedEventError'
  }
}

export type SseParser = {
  /**
   * @returns the events completed by the chunk
   * @throws {OversizedEventError}
   */
  push (chunk: Uint8Array): ServerSentEvent[]
}

const defaultMaxBytes = 64 * 1024
/** Encoding in which each UTF-16 code unit of decoded text takes the same number of bytes. */
const textEncoding = 'utf16le'
const codeUnitBytes = 2

/** @returns the index of the next occurrence of a character, or the length of the text */
function nextIndex (text: string, character: string, from: number): number {
  const index = text.indexOf(character, from)
  return index < 0 ? text.length : index
}

/** @param maxBytes - size limit of one event, counted in characters of its lines */
export function createSseParser (maxBytes = defaultMaxBytes): SseParser {
  const decoder = new StringDecoder('utf8')
  /** Text of the line that is not complete. */
  const rest = createByteCollector()
  let atStart = true
  let id = ''
  let data: string | undefined
  let size = 0
  let afterReturn = false

  const parseField = (line: string): void => {
    size += line.length
    if (size > maxBytes) throw new OversizedEventError(maxBytes)
    const colon = line.indexOf(':')
    if (colon === 0) return
    const name = colon < 0 ? line : line.slice(0, colon)
    const start = line.charCodeAt(colon + 1) === 32 ? colon + 2 : colon + 1
    const value = colon < 0 ? '' : line.slice(start)
    if (name === 'data') data = data === undefined ? value : `${data}\n${value}`
    else if (name === 'id' && !value.includes('\0')) id = value
  }

  const processLine = (line: string, events: ServerSentEvent[]): void => {
    if (line !== '') return parseField(line)
    if (data !== undefined) events.push({ id, data })
    data = undefined
    size = 0
  }

  /** @returns the line that ends with the text */
  const completeLine = (text: string): string => {
    if (rest.size === 0) return text
    rest.append(Buffer.from(text, textEncoding))
    return rest.take().toString(textEncoding)
  }

  return {
    push (chunk) {
      const events: ServerSentEvent[] = []
      let text = decoder.write(chunk as Buffer)
      if (atStart && text !== '') {
        atStart = false
        if (text.charCodeAt(0) === 0xfeff) text = text.slice(1)
      }
      const completesLineEnd = afterReturn && text.startsWith('\n')
      if (text !== '') afterReturn = false
      if (completesLineEnd) text = text.slice(1)
      let from = 0
      // Most streams have only one kind of line end. Searching for the other only once, not for every line, avoids quadratic time.
      let carriageReturn = nextIndex(text, '\r', 0)
      let lineFeed = nextIndex(text, '\n', 0)
      while (Math.min(lineFeed, carriageReturn) < text.length) {
        const end = Math.min(lineFeed, carriageReturn)
        processLine(completeLine(text.slice(from, end)), events)
        if (end === carriageReturn && end + 1 === text.length) afterReturn = true
        from = end === carriageReturn && lineFeed === end + 1 ? end + 2 : end + 1
        if (carriageReturn < from) carriageReturn = nextIndex(text, '\r', from)
        if (lineFeed < from) lineFeed = nextIndex(text, '\n', from)
      }
      rest.append(Buffer.from(text.slice(from), textEncoding))
      if (rest.size / codeUnitBytes + size > maxBytes) throw new OversizedEventError(maxBytes)
      return events
    }
  }
}
