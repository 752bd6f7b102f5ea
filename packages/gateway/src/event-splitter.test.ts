import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createEventSplitter } from './event-splitter'

const test = suite('event splitter')

type Split = { events: string, rest: string, insideEvent: boolean, lastId: string | undefined }

function split (chunks: string[]): Split {
  const splitter = createEventSplitter()
  const events = chunks.map(chunk => splitter.push(Buffer.from(chunk))?.toString() ?? '').join('')
  return { events, rest: splitter.rest().toString(), insideEvent: splitter.insideEvent(), lastId: splitter.lastId() }
}

const lineEnds: [name: string, lineEnd: string][] = [['LF', '\n'], ['CRLF', '\r\n'], ['CR', '\r']]

// Guards against taking a complete stream for one that was broken off inside an event.
for (const [name, lineEnd] of lineEnds) {
  test(`finds the ends of events with ${name}, wherever the stream is split into chunks`, () => {
    const stream = ['id: 1', 'data: a', '', 'id: 2', 'data: b', '', ''].join(lineEnd)
    for (let at = 0; at <= stream.length; at++) {
      const { events, rest, insideEvent, lastId } = split([stream.slice(0, at), stream.slice(at)])
      assert.is(events + rest, stream, `split at ${at}`)
      assert.equal([insideEvent, lastId], [false, '2'], `split at ${at}`)
    }
  })

  test(`an event without its empty line is incomplete with ${name}, wherever it is broken off`, () => {
    const complete = ['id: 1', 'data: a', '', ''].join(lineEnd)
    const broken = ['id: 2', 'data: b', ''].join(lineEnd)
    for (let length = 1; length <= broken.length; length++) {
      const { events, insideEvent, lastId } = split([complete, broken.slice(0, length)])
      assert.equal([events, insideEvent, lastId], [complete, true, '1'], `${length} bytes`)
    }
  })
}

function heapBytes (): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  return process.memoryUsage().heapUsed
}

// Guards against a node that ends because each piece of an event costs many times its bytes.
test('an incomplete event that arrives a byte at a time takes little heap', () => {
  const eventBytes = 256 * 1024
  const read = Buffer.alloc(eventBytes, 'x')
  const splitter = createEventSplitter()
  const before = heapBytes()
  for (let at = 0; at < eventBytes; at++) splitter.push(read.subarray(at, at + 1))
  const taken = heapBytes() - before
  assert.is(splitter.restBytes(), eventBytes)
  assert.ok(taken < 4 * eventBytes, `${taken} bytes of heap for an event of ${eventBytes}`)
})

// Guards against events that are written over by what follows them.
test('events stay as they are while the next ones arrive', () => {
  const splitter = createEventSplitter()
  const events = ['data: a', '\n\ndata: b', 'c\n\ndata', ': d\n\n'].map(text => splitter.push(Buffer.from(text)))
  assert.equal(events.map(bytes => bytes?.toString()), [undefined, 'data: a\n\n', 'data: bc\n\n', 'data: d\n\n'])
})

test('finds the end of an event whose lines end differently', () => {
  assert.equal(split(['id: 1\r\ndata: a\n\r\nid: 2\r\n']), { events: 'id: 1\r\ndata: a\n\r\n', rest: 'id: 2\r\n', insideEvent: true, lastId: '1' })
})

test.run()
