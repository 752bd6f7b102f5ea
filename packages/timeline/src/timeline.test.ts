import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { validateTimelineReply, type TimelineEvent } from '@yuccawharf/schema'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { compareStamps, createHybridClock, createTimelineRecorder, createTrace, formatEvent, formatStamp, mergeTimelines, parseStamp, type HybridStamp } from './index'

const recorder = (process: string, capacity = 100) => createTimelineRecorder({ process, capacity, clock: createHybridClock() })

// Guards against a merged timeline that shows an effect before its cause. Seed 2.
test('a stamp is later than all stamps of its process and of the messages it received', () => {
  const random = xoroshiro128plus(2)
  const below = (bound: number): number => unsafeUniformIntDistribution(0, bound - 1, random)
  const clocks = Array.from({ length: 4 }, () => ({ clock: createHybridClock(), skew: below(5000) - 2500, latest: { time: 0, counter: 0 } }))
  const inTransit: HybridStamp[] = []
  for (let step = 0; step < 5000; step++) {
    const process = clocks[below(4)]!
    // Wall clocks differ by up to 5 s and sometimes step back.
    const now = 1_000_000 + step + process.skew - (below(20) === 0 ? 300 : 0)
    const message = below(2) === 0 ? inTransit[below(Math.max(1, inTransit.length))] : undefined
    const stamp = message === undefined ? process.clock.tick(now) : process.clock.receive(message, now)
    assert.ok(compareStamps(stamp, process.latest) > 0)
    if (message !== undefined) assert.ok(compareStamps(stamp, message) > 0)
    process.latest = stamp
    inTransit.push(stamp)
  }
})

test('a stamp that is far ahead or malformed is ignored', () => {
  const clock = createHybridClock()
  assert.equal(clock.receive({ time: 500_000, counter: 3 }, 1000), { time: 1000, counter: 0 })
  assert.equal(clock.receive({ time: NaN, counter: 0 }, 1001), { time: 1001, counter: 0 })
  assert.equal(clock.receive({ time: 1500, counter: 3 }, 1002), { time: 1500, counter: 4 })
})

test('stamps are parsed from their text form, other texts are rejected', () => {
  assert.equal(parseStamp(formatStamp({ time: 1780000000000, counter: 3 })), { time: 1780000000000, counter: 3 })
  for (const text of ['', '1', '1.', '.1', '-1.0', '1.0.0', '1e3.0', '99999999999999999.0']) assert.is(parseStamp(text), undefined, text)
})

// Guards against memory that grows with the number of events, and against events out of order after the ring wraps.
test('the ring keeps the latest events in order and counts the dropped ones', () => {
  const events = recorder('n1', 3)
  for (let time = 0; time < 8; time++) events.record(time, 'k', { request: `r${time}` }, 'x'.repeat(2000))
  const reply = events.list()
  assert.equal(reply.events.map(event => event.request), ['r5', 'r6', 'r7'])
  assert.is(reply.dropped, 5)
  assert.is(reply.events[0]?.detail?.length, 500)
  assert.ok(validateTimelineReply(reply))
  assert.equal(events.list({ request: 'r6', engine: 'e1' }).events, [])
  assert.is(events.list({ request: 'r6' }).events.length, 1)
})

// Guards against a filter that misses events of an adapter because they contain the handle of one load.
test('an adapter is found by name, by version and by handle', () => {
  const events = recorder('n1')
  for (const adapter of ['poem@1~3.1', 'poem@12~3.2', 'poems@1~3.3', 'poem']) events.record(1, 'load', { adapter })
  events.record(1, 'start')
  const found = (adapter: string) => events.list({ adapter }).events.map(event => event.adapter)
  assert.equal(found('poem'), ['poem@1~3.1', 'poem@12~3.2', 'poem'])
  assert.equal(found('poem@1'), ['poem@1~3.1'])
  assert.equal(found('poem@12~3.2'), ['poem@12~3.2'])
})

test('a merge orders by stamp and lists an event of two sources once', () => {
  const first = recorder('n1')
  const second = recorder('n2')
  for (const now of [1, 3, 3]) first.record(now, 'a')
  for (const now of [2, 3]) second.record(now, 'b')
  const merged = mergeTimelines([second.list(), first.list(), first.list()])
  assert.equal(merged.map(event => `${event.process}:${event.time}.${event.counter}`), ['n1:1.0', 'n2:2.0', 'n1:3.0', 'n2:3.0', 'n1:3.1'])
})

// Guards against recorded text that forges lines of the output or controls the terminal.
test('a line shows ids, duration and detail, without control characters', () => {
  const event: TimelineEvent = { time: 0, counter: 2, process: 'n1', kind: 'loaded', engine: 'e1', adapter: 'a', detail: 'x\ny\u001b[2J', durationMs: 250.04 }
  assert.is(formatEvent(event), '1970-01-01T00:00:00.000Z+2 n1 loaded engine=e1 adapter=a | 250 ms, x\\u000ay\\u001b[2J')
  assert.match(formatEvent({ ...event, time: 9e15 }), /^9000000000000000\+2 /)
})

test('a trace has named processes and tracks, durations and one span per request', () => {
  const events = recorder('n1')
  events.record(10, 'submit', { request: 'r1' })
  events.record(20, 'loaded', { engine: 'e1', adapter: 'a' }, undefined, 5)
  events.record(30, 'done', { request: 'r1', engine: 'e1' })
  const { traceEvents } = createTrace(events.list().events)
  const byPhase = (ph: string) => traceEvents.filter(entry => entry.ph === ph)
  assert.equal(byPhase('M').map(entry => entry.args?.name), ['n1', 'node', 'e1'])
  assert.equal(byPhase('X').map(({ name, ts, dur, tid }) => ({ name, ts, dur, tid })), [{ name: 'loaded', ts: 15_000, dur: 5000, tid: 2 }])
  assert.equal([...byPhase('b'), ...byPhase('e')].map(({ id, ts }) => ({ id, ts })), [{ id: 'r1', ts: 10_000 }, { id: 'r1', ts: 30_000 }])
  assert.equal(byPhase('i').map(entry => entry.name), ['submit', 'done'])
})

test.run()
