import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createResponseParser } from './response-events'

const test = suite('response parser')

/** @returns number of bytes that `run` searches and copies in buffers */
function processedBytes (run: () => void): number {
  const { concat } = Buffer
  const { indexOf, copy } = Buffer.prototype
  let bytes = 0
  Buffer.concat = (list: readonly Uint8Array[], length?: number) => {
    const joined = concat(list, length)
    bytes += joined.length
    return joined
  }
  function countingIndexOf (this: Buffer, value: Uint8Array, from = 0): number {
    const index = indexOf.call(this, value, from)
    bytes += (index < 0 ? this.length : index) - from
    return index
  }
  function countingCopy (this: Buffer, target: Uint8Array, targetStart?: number, sourceStart?: number, sourceEnd?: number): number {
    const copied = copy.call(this, target, targetStart, sourceStart, sourceEnd)
    bytes += copied
    return copied
  }
  Object.assign(Buffer.prototype, { indexOf: countingIndexOf, copy: countingCopy })
  try {
    run()
  } finally {
    Buffer.concat = concat
    Object.assign(Buffer.prototype, { indexOf, copy })
  }
  return bytes
}

// Guards against an event that is copied and searched from its beginning with each piece of it.
test('an event in pieces of one byte is searched and copied in linear time', () => {
  const event = Buffer.from(`id: 1\ndata: ${'x'.repeat(32 * 1024)}\n\n`)
  const parser = createResponseParser()
  const bytes = processedBytes(() => {
    for (let at = 0; at < event.length - 1; at++) assert.equal(parser.push(event.subarray(at, at + 1)), [])
  })
  assert.is(parser.pendingBytes(), event.length - 1)
  assert.ok(bytes < 8 * event.length, `${bytes} bytes for ${event.length}`)
  assert.equal(parser.push(event.subarray(-1)).map(({ type }) => type), ['tokens'])
})

// Guards against events that a relay keeps with the memory of what was collected before them.
test('an event in pieces of one byte takes no more than twice its memory', () => {
  const event = Buffer.from(`id: 1\ndata: ${'x'.repeat(9000)}\n\n`)
  const parser = createResponseParser()
  const [run] = Array.from(event, (_byte, at) => parser.push(event.subarray(at, at + 1))).flat()
  assert.ok(run !== undefined && run.type === 'tokens')
  assert.equal(Buffer.from(run.bytes), event)
  assert.ok(run.bytes.buffer.byteLength <= 2 * event.length, `${run.bytes.buffer.byteLength} bytes for ${event.length}`)
})

test('an event without an end is malformed once it is too large', () => {
  const parser = createResponseParser()
  const events = Array.from({ length: 17 }, () => parser.push(Buffer.alloc(64 * 1024, 'x'))).flat()
  assert.equal(events.map(({ type }) => type), ['malformed'])
  assert.is(parser.pendingBytes(), 0)
})

test.run()
