import { xoroshiro128plus } from 'pure-rand'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { LogPage } from '@yuccawharf/clients'
import { createLogTail, type LogTail } from './log-tail'

const tailOf = (pollMs = 100): LogTail => createLogTail({
  stream: 'config',
  readTimeoutMs: 1000,
  pollMs,
  backoff: { baseMs: 200, maxMs: 1600 },
  random: xoroshiro128plus(1)
})

const pageOf = (from: number, to: number, next = to, first = 0): LogPage => ({
  first,
  next,
  records: Array.from({ length: to - from }, (_, index) => ({ offset: from + index, time: 0, value: from + index }))
})

const values = (tail: LogTail, page: LogPage, now: number): unknown[] => tail.receivePage(page, now).records.map(({ value }) => value)

test('one read is outstanding at a time; the next follows at once when behind and after a delay at the head', () => {
  const tail = tailOf()
  assert.equal(tail.poll(0), { type: 'read-log', stream: 'config', from: 0 })
  assert.is(tail.poll(10), undefined)
  assert.equal(values(tail, pageOf(0, 2, 4), 20), [0, 1])
  assert.not(tail.caughtUp)
  assert.equal(tail.poll(20), { type: 'read-log', stream: 'config', from: 2 })
  assert.equal(values(tail, pageOf(2, 4), 30), [2, 3])
  assert.ok(tail.caughtUp)
  assert.is(tail.poll(31), undefined)
  assert.is(tail.poll(130)?.from, 4)
})

test('each record is returned once from repeated and out-of-order pages', () => {
  const tail = tailOf()
  tail.poll(0)
  assert.equal(values(tail, pageOf(3, 5), 1), [], 'records beyond a missing one are not returned yet')
  assert.equal(values(tail, pageOf(0, 3, 5), 2), [0, 1, 2])
  assert.equal(values(tail, pageOf(0, 3, 5), 3), [])
  assert.equal(values(tail, pageOf(1, 5), 4), [3, 4])
})

test('a retention gap is reported, whether the log refuses the read or responds with later records', () => {
  const tail = tailOf()
  tail.poll(0)
  assert.equal(tail.receiveExpired(5, 9, 1), { gap: { from: 0, to: 5 }, records: [] })
  assert.is(tail.poll(2)?.from, 5)
  const progress = tail.receivePage(pageOf(7, 9, 9, 7), 3)
  assert.equal(progress.gap, { from: 5, to: 7 })
  assert.is(progress.records.length, 2)
})

test('failures back off with growing, bounded jitter until the first response', () => {
  const tail = tailOf()
  let now = 0
  for (let failures = 1; failures <= 8; failures++) {
    assert.ok(tail.poll(now) !== undefined)
    tail.readFailed(now)
    const bound = Math.min(1600, 200 * 2 ** (failures - 1))
    assert.is(tail.poll(now), undefined)
    assert.ok(tail.poll(now + bound) !== undefined, `retries within ${bound} ms`)
    tail.receivePage(pageOf(0, 0), now + bound)
    for (let again = 0; again < failures; again++) {
      now += 5000
      tail.poll(now)
      tail.readFailed(now)
    }
    now += 5000
  }
})

test('a read without a response is given up and repeated', () => {
  const tail = tailOf()
  tail.poll(0)
  assert.is(tail.poll(999), undefined)
  assert.is(tail.poll(1000), undefined, 'the timeout starts a backoff')
  assert.is(tail.poll(1200)?.from, 0)
})

test('the last contact is the send time of the read, so that a process does not seem current after a pause', () => {
  const tail = tailOf()
  tail.poll(0)
  tail.receivePage(pageOf(0, 1), 20_000)
  assert.is(tail.lastContact, 0)
})

test('the late response of an old read does not count as that of a new one', () => {
  const tail = tailOf()
  tail.poll(0)
  tail.poll(1000)
  tail.poll(1500)
  tail.receivePage(pageOf(0, 1), 1501)
  assert.is(tail.lastContact, 0)
  tail.receivePage(pageOf(0, 1), 1600)
  assert.is(tail.lastContact, 1500)
})

test('a response that lacks records already read does not update the last contact', () => {
  const tail = tailOf()
  tail.poll(0)
  tail.receivePage(pageOf(0, 3), 1)
  tail.poll(200)
  tail.receivePage({ first: 0, next: 1, records: [] }, 201)
  assert.is(tail.lastContact, 0)
  assert.is(tail.nextOffset, 3)
})

test('skipping to the state of a peer moves the tail forward and never back', () => {
  const tail = tailOf()
  tail.skipTo(10)
  tail.skipTo(5)
  assert.is(tail.poll(0)?.from, 10)
  assert.equal(values(tail, pageOf(8, 12), 1), [10, 11])
})

test.run()
