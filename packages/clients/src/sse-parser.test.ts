import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { createSseParser, OversizedEventError, type ServerSentEvent } from './sse-parser'

function parse (text: string, chunkBytes = Infinity): ServerSentEvent[] {
  const parser = createSseParser()
  const bytes = Buffer.from(text)
  const events: ServerSentEvent[] = []
  for (let at = 0; at < bytes.length; at += chunkBytes) events.push(...parser.push(bytes.subarray(at, at + chunkBytes)))
  return events
}

const stream = '\ufeffid: 1\ndata: {"a":1}\n\n: comment\r\n\r\nid:2\r\ndata:  two\r\ndata: lines\r\n\r\nevent: x\rretry: 5\rdata\r\rdata: grüße 𝕏\n\n\n\nid: 9\ndata: unfinished\n'
const expected = [
  { id: '1', data: '{"a":1}' },
  { id: '2', data: ' two\nlines' },
  { id: '2', data: '' },
  { id: '2', data: 'grüße 𝕏' }
]

// Guards against tokens lost or garbled when a network chunk ends inside an event, a line end or a character.
test('events are the same for every chunk size', () => {
  for (let size = 1; size <= 60; size++) assert.equal(parse(stream, size), expected, `chunks of ${size} bytes`)
  assert.equal(parse(stream), expected)
})

test('an id with a null character is ignored', () => {
  assert.equal(parse('id: 4\n\nid: 5\0\ndata: x\n\n'), [{ id: '4', data: 'x' }])
})

// Guards against unbounded memory use for an endless line or event.
test('an event beyond the size limit ends the stream, in one line or many', () => {
  const oneLine = createSseParser(1000)
  assert.throws(() => { for (let at = 0; at < 200; at++) oneLine.push(Buffer.from('data: 12345')) }, (err: unknown) => err instanceof OversizedEventError)
  const manyLines = createSseParser(1000)
  assert.throws(() => { for (let at = 0; at < 200; at++) manyLines.push(Buffer.from('data: 12345\n')) }, (err: unknown) => err instanceof OversizedEventError)
  const small = createSseParser(1000)
  for (let at = 0; at < 200; at++) small.push(Buffer.from('data: 12345\n\n'))
})

// Guards against exceptions for any byte sequence, and against different events when it is split. Seed 5, 4000 streams.
test('random streams parse the same in one chunk and split', () => {
  const random = xoroshiro128plus(5)
  const below = (bound: number): number => unsafeUniformIntDistribution(0, bound - 1, random)
  const pieces = ['data', 'id', ':', ' ', '\n', '\r', '\r\n', '\n\n', 'x', 'ü', '𝕏', '\0', '\ufeff', 'data: 1\n', 'id: 7\n', 'event: e\n']
  for (let round = 0; round < 4000; round++) {
    const bytes = Buffer.from(Array.from({ length: below(30) }, () => pieces[below(pieces.length)]!).join(''))
    if (below(4) === 0 && bytes.length > 0) bytes[below(bytes.length)] = below(256)
    const unsplit = createSseParser().push(bytes)
    const parser = createSseParser()
    const split: ServerSentEvent[] = []
    for (let at = 0; at < bytes.length;) {
      const size = 1 + below(6)
      split.push(...parser.push(bytes.subarray(at, at + size)))
      at += size
    }
    assert.equal(split, unsplit, bytes.toString('hex'))
  }
})

/** @returns number of characters that `run` searches */
function searchedCharacters (run: () => void): number {
  const { indexOf } = String.prototype
  let searched = 0
  function countingIndexOf (this: string, text: string, from = 0): number {
    const index = indexOf.call(this, text, from)
    searched += (index < 0 ? this.length : index) - from
    return index
  }
  Object.assign(String.prototype, { indexOf: countingIndexOf })
  try {
    run()
  } finally {
    Object.assign(String.prototype, { indexOf })
  }
  return searched
}

// Guards against a line that is searched from its beginning with each piece of it.
test('a line in pieces of one byte is searched once', () => {
  const line = Buffer.from(`data: ${'x'.repeat(16 * 1024)}`)
  const parser = createSseParser()
  const searched = searchedCharacters(() => {
    for (let at = 0; at < line.length; at++) parser.push(line.subarray(at, at + 1))
  })
  assert.ok(searched <= 2 * line.length, `${searched} characters for ${line.length}`)
  assert.equal(parser.push(Buffer.from('\n\n')), [{ id: '', data: 'x'.repeat(16 * 1024) }])
})

// Guards against a search for the other kind of line end from each line to the end of the chunk.
test('lines with one kind of line end are searched once for each kind', () => {
  for (const lineEnd of ['\n', '\r']) {
    const text = Buffer.from(`:${lineEnd}`.repeat(4096))
    const parser = createSseParser()
    const searched = searchedCharacters(() => { parser.push(text) })
    assert.ok(searched <= 4 * text.length, `${searched} characters for ${text.length}`)
  }
})

test.run()
