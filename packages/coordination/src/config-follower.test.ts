import { xoroshiro128plus } from 'pure-rand'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { configFollowerDefaults, createConfigFollower, type ConfigFollower } from './config-follower'
import { validateConfig } from './config-validator'

const followerOf = (node = 'n1'): ConfigFollower => createConfigFollower({
  ...configFollowerDefaults, retentionMs: 60_000, node, incarnation: 1, validate: validateConfig, random: xoroshiro128plus(1)
})

const change = (id: string, base: number): unknown =>
  ({ type: 'change', id, base, writes: { [`model/${id}`]: { group: 'g' } }, reads: [], by: 'operator' })

const read = (follower: ConfigFollower, values: unknown[], now: number, first = 0): void => {
  follower.poll(now)
  follower.page({ first, next: first + values.length, records: values.map((value, index) => ({ offset: first + index, time: 0, value })) }, now)
}

/** Ticks as the daemon does, so that the follower does not take the time for a pause. */
const tickUntil = (follower: ConfigFollower, from: number, to: number): void => {
  for (let now = from; now <= to; now += 250) {
    follower.poll(now)
  }
}

test('a node that has never heard of the log is not fresh', () => {
  assert.not(followerOf().isFresh(0))
})

test('a node without contact turns stale after the bound, and a peer with the same revision keeps it fresh', () => {
  const follower = followerOf()
  read(follower, [change('a', -1)], 0)
  tickUntil(follower, 0, 5000)
  assert.ok(follower.isFresh(6000))
  assert.not(follower.isFresh(6001))
  follower.peerRevision('n2', 0, 5100)
  assert.ok(follower.isFresh(11_100))
  follower.peerRevision('n2', -1, 5200)
  assert.not(follower.isFresh(11_101), 'a peer that is behind proves nothing')
})

test('messages that waited while the process was paused are no contact', () => {
  const follower = followerOf()
  read(follower, [change('a', -1)], 0)
  follower.peerRevision('n2', 0, 20_000)
  assert.not(follower.isFresh(20_000))
  tickUntil(follower, 20_000, 21_500)
  follower.peerRevision('n2', 0, 21_500)
  assert.ok(follower.isFresh(21_500))
})

test('a node behind a peer asks it for its state only when the log does not help in time', () => {
  const ahead = followerOf('n2')
  read(ahead, [change('a', -1)], 0)
  const follower = followerOf()
  follower.peerRevision('n2', 0, 100)
  assert.is(follower.peerToAsk(599), undefined)
  assert.is(follower.peerToAsk(600), 'n2')
  assert.is(follower.peerToAsk(601), undefined, 'one question per delay')
  assert.ok(follower.adopt(ahead.reducer.state()!))
  assert.is(follower.reducer.revision, 0)
  assert.not(follower.adopt(ahead.reducer.state()!))
})

test('a node that starts after retention waits for a snapshot and then continues', () => {
  const writer = followerOf('n2')
  const values = [change('a', -1), change('b', 0)]
  read(writer, values, 0)
  assert.is(writer.dueSnapshot([{ id: 'n2' }], 0), undefined)
  tickUntil(writer, 0, 20_000)
  const records = writer.dueSnapshot([{ id: 'n2' }], 20_000)
  assert.ok(records !== undefined)
  const follower = followerOf()
  follower.poll(0)
  follower.expired(2, 2 + records.length, 1)
  read(follower, records, 2, 2)
  assert.ok(follower.isFresh(2))
  assert.is(follower.reducer.revision, 1)
  assert.equal(follower.reducer.state()?.entries, writer.reducer.state()?.entries)
})

test('a gap makes the copy stale at once: changes may have been missed', () => {
  const follower = followerOf()
  read(follower, [change('a', -1)], 0)
  follower.poll(10)
  follower.expired(5, 5, 20)
  assert.not(follower.isFresh(20))
  assert.is(follower.reducer.revision, 0, 'the last revision stays')
})

test.run()
