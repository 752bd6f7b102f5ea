import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createStreamOrigins } from './stream-origins'

const test = suite('stream origins')

const stream = (id: string, version = 'v1'): { id: string, service: string, version: string, digest: string } => ({ id, service: 'llm', version, digest: 'd1' })

// Guards against a stream that clients can no longer take up while it runs, however long that takes.
test('a stream is known until a while after its end', () => {
  const origins = createStreamOrigins()
  origins.began(stream('r1'), 0)
  assert.is(origins.find('r1', 3_600_000)?.ageMs, 3_600_000)
  origins.ended('r1', false, 3_600_000)
  assert.equal(origins.find('r1', 3_659_999)?.origin, { service: 'llm', version: 'v1', digest: 'd1' })
  assert.is(origins.find('r1', 3_660_000), undefined)
})

test('a complete stream is recorded only for a short time', () => {
  const origins = createStreamOrigins()
  origins.began(stream('r1'), 0)
  origins.began(stream('r2'), 0)
  origins.ended('r1', true, 100)
  assert.equal(origins.current(200).map(({ id }) => id), ['r1', 'r2'])
  assert.equal(origins.current(6000).map(({ id }) => id), ['r2'])
})

test('a stream that is taken up is kept from its end there', () => {
  const origins = createStreamOrigins()
  origins.began(stream('r1'), 0)
  origins.ended('r1', false, 0)
  origins.began(stream('r1'), 50_000)
  assert.ok(origins.find('r1', 100_000))
  origins.ended('r1', false, 100_000)
  assert.is(origins.find('r1', 150_000)?.ageMs, 150_000)
})

// Guards against memory that grows with clients which begin streams and leave them.
test('the number of streams is bounded, and the oldest are dropped', () => {
  const origins = createStreamOrigins()
  for (let number = 0; number < 5000; number++) {
    origins.began(stream(`r${number}`), number)
    origins.ended(`r${number}`, false, number)
  }
  assert.is(origins.find('r0', 5000), undefined)
  assert.ok(origins.find('r4999', 5000))
  assert.ok(origins.current(5000).length <= 4096)
})

test('the end of a stream without an event is ignored', () => {
  const origins = createStreamOrigins()
  origins.ended('r1', false, 0)
  assert.is(origins.find('r1', 0), undefined)
})

test.run()
