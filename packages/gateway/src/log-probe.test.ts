import { setTimeout as sleep } from 'node:timers/promises'
import { Err, Ok } from 'ts-results/result.js'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLogProbe, createLogProbeSchedule, replyAsOf } from './log-probe'
import type { Feed } from './platform-interface'
import { createFactClock } from './suspension-detector'

const test = suite('log probe')

// Guards against calls to the store that grow with the number of nodes while one owner of a large fleet cannot reach it.
test('asks a few nodes as long as one of them reads the log, and all nodes otherwise', () => {
  const asked = (repliesAfterMs: number | undefined): Record<string, number> => {
    const schedule = createLogProbeSchedule()
    const counts: Record<string, number> = { none: 0, some: 0, all: 0 }
    let readAt = 0
    let replyAt = Infinity
    for (let now = 0; now < 9000; now += 50) {
      if (now >= replyAt) {
        readAt = replyAt
        replyAt = Infinity
      }
      const nodes = schedule.nodesToAsk(now - readAt, now)
      counts[nodes]! += 1
      if (nodes !== 'none' && repliesAfterMs !== undefined) replyAt = now + repliesAfterMs
    }
    return counts
  }
  const reachable = asked(10)
  assert.is(reachable.all, 0)
  assert.ok(reachable.some! > 5)
  assert.ok(asked(undefined).all! >= 14, 'failed reads count for 1000 ms, so all nodes are asked at least twice as often')
})

// Guards against a call to the store for each owner that asks, and against an old failure that counts as a new one.
test('shares a read among questions and states the age of a failure', async () => {
  let reads = 0
  let reachable = false
  const feed: Feed<unknown> = {
    newest: async () => Ok({ records: [], next: 0 }),
    async read () {
      reads += 1
      return reachable ? Ok({ records: [], next: 7 }) : Err({ type: 'unavailable' as const, reason: 'down' })
    }
  }
  const probe = createLogProbe({ clock: createFactClock({ now: () => performance.now(), wallClock: Date.now }), feed, position: () => 5, knownEnd: () => 5 })
  const first = await probe.read()
  await sleep(150)
  const second = await probe.read()
  assert.is(reads, 1)
  assert.is(first.type, 'unreachable')
  assert.ok(second.ageMs >= first.ageMs + 100)
  reachable = true
  await sleep(400)
  const third = await probe.read()
  assert.is(third.type, 'read')
})

// Guards against a reply that has waited in a socket and counts as a new one.
test('a reply counts from the time of its question, or from an earlier read that it repeats', () => {
  const question = { incarnation: 7, askedAt: 1000 }
  assert.is(replyAsOf(question, { ageMs: 40, waitedMs: 40 }, 7, 9000), 1000)
  assert.is(replyAsOf(question, { ageMs: 240, waitedMs: 40 }, 7, 9000), 800)
  assert.is(replyAsOf({ ...question, incarnation: 6 }, { ageMs: 0, waitedMs: 0 }, 7, 9000), undefined, 'another process asked')
  assert.is(replyAsOf({ ...question, askedAt: 9001 }, { ageMs: 0, waitedMs: 0 }, 7, 9000), undefined, 'it was not asked yet')
  for (const other of [undefined, null, 1, {}]) assert.is(replyAsOf(other, { ageMs: 0, waitedMs: 0 }, 7, 9000), undefined)
  assert.is(replyAsOf(question, { ageMs: 0 }, 7, 9000), undefined)
})

// Guards against a read from before a suspension, during which the clock that gives its age stood still.
test('a read from before a suspension is not used for a reply', async () => {
  let reads = 0
  let wallClock = 0
  const feed: Feed<unknown> = {
    newest: async () => Ok({ records: [], next: 0 }),
    async read () {
      reads += 1
      return Ok({ records: [], next: 7 })
    }
  }
  let monotonic = 0
  const probe = createLogProbe({ clock: createFactClock({ now: () => monotonic, wallClock: () => wallClock }), feed, position: () => 5, knownEnd: () => 5 })
  await probe.read()
  await probe.read()
  assert.is(reads, 1)
  monotonic += 1
  wallClock += 8001
  await probe.read()
  assert.is(reads, 2)
})

test.run()
