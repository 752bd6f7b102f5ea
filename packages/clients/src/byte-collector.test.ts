import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createByteCollector } from './byte-collector'

const test = suite('byte collector')

test('returns what was appended, however it is split', () => {
  const text = 'abcdefghij'.repeat(1000)
  for (const pieceBytes of [1, 7, 1000, text.length]) {
    const collector = createByteCollector()
    for (let from = 0; from < text.length; from += pieceBytes) collector.append(Buffer.from(text.slice(from, from + pieceBytes)))
    assert.is(collector.size, text.length)
    assert.is(collector.bytes().toString(), text)
  }
})

// Guards against pieces whose memory is a multiple of their bytes.
test('takes at most twice the bytes of what arrives in pieces of one byte', () => {
  const collector = createByteCollector()
  const piece = Buffer.from('x')
  for (let count = 0; count < 100_000; count++) collector.append(piece)
  assert.ok(collector.keptBytes <= 2 * collector.size, `${collector.keptBytes} bytes for ${collector.size}`)
})

// Guards against one byte that keeps the memory of the whole read that it arrived in.
test('does not keep the read of which a piece is a small part', () => {
  const read = Buffer.allocUnsafeSlow(65_536)
  const collector = createByteCollector()
  collector.append(read.subarray(100, 101))
  assert.is(collector.bytes().buffer.byteLength, 1)
  collector.append(read.subarray(200, 300))
  assert.ok(collector.bytes().buffer.byteLength <= 1024)
})

test('keeps a single piece that fills its memory without a copy', () => {
  const piece = Buffer.allocUnsafeSlow(4096)
  const collector = createByteCollector()
  collector.append(piece)
  assert.is(collector.bytes().buffer, piece.buffer)
})

// Guards against a piece of the caller that is written over.
test('does not write to a piece that it keeps', () => {
  const read = Buffer.from('abcdef')
  const collector = createByteCollector()
  collector.append(read.subarray(0, 4))
  collector.append(Buffer.from('XY'))
  assert.is(read.toString(), 'abcdef')
  assert.is(collector.bytes().toString(), 'abcdXY')
})

test('makes room for the stated length, and never for more than the limit', () => {
  const stated = createByteCollector({ statedBytes: 5000, limitBytes: 10_000 })
  const limited = createByteCollector({ limitBytes: 5000 })
  for (const collector of [stated, limited]) {
    for (let count = 0; count < 5; count++) collector.append(Buffer.alloc(1000))
    assert.is(collector.keptBytes, 5000)
  }
})

// Guards against a body that counts with its stated length before it arrives.
test('counts what was written of a large buffer', () => {
  const collector = createByteCollector({ statedBytes: 10_000_000 })
  for (let count = 0; count < 5; count++) collector.append(Buffer.alloc(1000))
  assert.ok(collector.keptBytes < 200_000, `${collector.keptBytes} bytes`)
})

test('what is taken stays as it is, and the rest is kept', () => {
  const collector = createByteCollector()
  for (const text of ['abc', 'def']) collector.append(Buffer.from(text))
  const taken = collector.take(4)
  collector.append(Buffer.from('gh'))
  assert.is(taken.toString(), 'abcd')
  assert.is(collector.take().toString(), 'efgh')
  assert.equal([collector.size, collector.keptBytes], [0, 0])
})

test.run()
