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

test('finds the end of an event whose lines end differently', () => {
  assert.equal(split(['id: 1\r\ndata: a\n\r\nid: 2\r\n']), { events: 'id: 1\r\ndata: a\n\r\n', rest: 'id: 2\r\n', insideEvent: true, lastId: '1' })
})

test.run()
