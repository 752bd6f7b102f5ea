import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { bodyCheckMs, createRequestBytes, type CountedBody, type RequestBytes } from './request-bytes'

const test = suite('request bytes')

const kb = 1024
const mb = 1024 * kb
/** Room for two large bodies, and for small ones of 1 MB in all. */
const roomBytes = 4 * mb
const largeBytes = 1.5 * mb

let account: RequestBytes
let events: string[]

test.before.each(() => {
  account = createRequestBytes(roomBytes)
  events = []
})

function open (name: string, statedBytes: number | undefined, now = 0, deadlineAt = 10_000): CountedBody & { readable: boolean } {
  const body = account.open({
    statedBytes,
    maxBytes: largeBytes,
    deadlineAt: () => deadlineAt,
    proceed: () => { events.push(`${name} proceeds`) },
    refuse: reason => { events.push(`${name} ${reason}`) }
  }, now)
  return { ...body, readable: body.received(0, 0, now) }
}

function checkUntil (end: number, start = 0): void {
  for (let now = start + bodyCheckMs; now <= end; now += bodyCheckMs) account.check(now)
}

// Guards against bodies that are bounded one by one, and not in sum.
test('a large body waits until another is released, and is refused if none is', () => {
  const first = open('first', largeBytes)
  const second = open('second', largeBytes)
  const third = open('third', largeBytes)
  open('fourth', largeBytes)
  assert.equal([first.readable, second.readable, third.readable], [true, true, false])
  first.received(largeBytes, largeBytes, 10)
  second.received(largeBytes, largeBytes, 10)
  first.complete(largeBytes, 10)
  second.complete(largeBytes, 10)
  assert.equal(events, [], 'a complete body counts until its request is answered')
  first.release(20)
  assert.equal(events, ['third proceeds'])
  checkUntil(300)
  third.received(largeBytes, largeBytes, 300)
  third.complete(largeBytes, 300)
  checkUntil(1000, 300)
  assert.equal(events, ['third proceeds', 'fourth no-room'])
  second.release(1000)
  third.release(1000)
  assert.is(account.total(), 0)
})

// Guards against clients that hold back the last bytes and block all others.
test('a body that stalls yields to one that waits, and one that arrives slowly does not', () => {
  open('held back', largeBytes).received(largeBytes - 10, largeBytes, 10)
  const slow = open('slow', largeBytes)
  for (let now = bodyCheckMs; now <= 300; now += bodyCheckMs) {
    slow.received(now * kb, largeBytes, now)
    account.check(now)
  }
  open('waiting', largeBytes, 300)
  for (let now = 400; now <= 900; now += bodyCheckMs) {
    slow.received(now * kb, largeBytes, now)
    account.check(now)
  }
  assert.equal(events, ['held back stalled', 'waiting proceeds'])
})

// Guards against refusals of sound requests because other clients are slow while there is room for all.
test('a body that stalls is kept until its deadline while nobody waits', () => {
  open('held back', largeBytes, 0, 5000).received(largeBytes - 10, largeBytes, 10)
  checkUntil(4900)
  assert.equal(events, [])
  checkUntil(5000, 4900)
  assert.equal(events, ['held back deadline'])
  assert.is(account.total(), 0)
})

// Guards against a process that was suspended and takes the time for a pause of its clients.
test('the time of a suspension does not count as a pause', () => {
  const body = open('arriving', largeBytes)
  open('other', largeBytes)
  open('waiting', largeBytes)
  body.received(20 * kb, largeBytes, 50)
  account.check(100)
  account.check(2100)
  assert.equal(events, [])
})

// Guards against small requests that are refused because of others' large bodies.
test('small bodies have room beside large ones, and the largest incomplete one yields', () => {
  open('a', largeBytes)
  open('b', largeBytes)
  open('c', largeBytes)
  const small = Array.from({ length: 20 }, (_, index) => open(`small ${index}`, 50 * kb))
  assert.ok(small.every(({ readable }) => readable))
  for (const body of small) body.received(50 * kb, 50 * kb, 1)
  assert.equal(events, [])
  const tiny = open('tiny', 500)
  tiny.received(500, 500, 2)
  open('last', 60 * kb).received(40 * kb, 40 * kb, 3)
  assert.is(events.length, 1)
  assert.match(events[0]!, /^small \d+ no-room$/)
})

// Guards against bodies without a stated length that take more than was reserved for them.
test('a body in chunks reserves the largest length once it is large', () => {
  const body = open('chunks', undefined)
  assert.ok(body.received(60 * kb, 64 * kb, 1))
  assert.is(account.total(), 64 * kb)
  assert.ok(body.received(70 * kb, 128 * kb, 2))
  assert.is(account.total(), largeBytes)
  body.complete(128 * kb, 3)
  assert.is(account.total(), 128 * kb)
})

// Guards against thousands of clients that wait, of which each takes the memory that its connection has read ahead.
test('the number of bodies that wait is bounded', () => {
  for (let index = 0; index < 200; index++) open(`body ${index}`, largeBytes)
  assert.is(events.filter(event => event.endsWith('no-room')).length, 200 - 2 - 128)
})

test.run()
