import { setTimeout as sleep } from 'node:timers/promises'
import { Err, Ok } from 'ts-results/result.js'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { followFeed, type Follower } from './feed-follower'
import { logPosition } from './log-position'
import type { Feed, FeedPage, FeedRecord } from './platform-interface'

const test = suite('feed follower')

type Call = { type: 'newest' } | { type: 'read', from: number, signal: AbortSignal | undefined }
type ReadResult = ReturnType<Feed<string>['read']>

const record = (offset: number): FeedRecord<string> => ({ key: 'k', offset, value: `v${offset}` })
const page = (next: number, ...offsets: number[]): FeedPage<string> => ({ records: offsets.map(record), next })

let follower: Follower | undefined
test.after.each(() => { follower?.stop() })

function follow (results: ((call: Call) => ReadResult)[], pauseMs = 0): { events: string[], calls: Call[] } {
  const events: string[] = []
  const calls: Call[] = []
  const nextResult = (call: Call): ReadResult => {
    calls.push(call)
    return results[calls.length - 1]?.(call) ?? new Promise(() => {})
  }
  const feed: Feed<string> = { newest: () => nextResult({ type: 'newest' }), read: (from, _waitMs, signal) => nextResult({ type: 'read', from, signal }) }
  follower = followFeed(feed, {
    replaced: records => { events.push(`replaced ${records.length}`) },
    changed: records => { events.push(`changed ${records.map(({ offset }) => offset).join(',')}`) },
    succeeded () {},
    lost: () => { events.push('lost') },
    regained: () => { events.push('regained') },
    restored: era => { events.push(`restored ${era}`) },
    failed () {},
    aborted () {},
    stalled: () => { events.push('stalled') },
    call () {}
  }, { now: () => performance.now(), lastTurn: () => performance.now(), waitMs: () => 1000, pauseMs: () => pauseMs, retryPauseMs: () => 100 })
  return { events, calls }
}

test('reads the newest records, then each change after them', async () => {
  const { events, calls } = follow([async () => Ok(page(5, 4)), async () => Ok(page(7, 5, 6))])
  await sleep(20)
  assert.equal(events, ['replaced 1', 'changed 5,6'])
  assert.is((calls[2] as { from: number }).from, 7)
})

// Guards against a node that misses all changes after the store has dropped its history.
test('starts over with the newest records when the history was dropped', async () => {
  const { events } = follow([async () => Ok(page(5, 4)), async () => Err({ type: 'expired' }), async () => Ok(page(90, 88, 89))])
  await sleep(20)
  assert.equal(events, ['replaced 1', 'replaced 2'])
})

// Guards against a long poll that was sent during an outage and blocks until its timeout after the outage has ended.
test('reads without a wait during an outage, and reads again after a restart', async () => {
  const waits: number[] = []
  const feed: Feed<string> = {
    newest: async () => Ok(page(5)),
    read: async (_from, waitMs, signal) => {
      waits.push(waitMs)
      if (waits.length === 1) return Err({ type: 'unavailable', reason: '503' })
      if (waits.length === 2) return Ok(page(5))
      return await new Promise(resolve => signal?.addEventListener('abort', () => resolve(Err({ type: 'unavailable', reason: 'cancelled' }))))
    }
  }
  follower = followFeed(feed, { replaced () {}, changed () {}, succeeded () {}, lost () {}, regained () {}, restored () {}, failed () {}, aborted () {}, stalled () {}, call () {} }, { now: () => performance.now(), lastTurn: () => performance.now(), waitMs: () => 1000, pauseMs: () => pauseMs, retryPauseMs: () => 100 })
  await sleep(200)
  assert.equal(waits, [1000, 0, 1000])
  follower.restart()
  await sleep(20)
  assert.equal(waits, [1000, 0, 1000, 1000])
})

// Guards against records of a restored store that are taken for later ones of the former history.
test('reports a restoration of the store before the records that it has now', async () => {
  const { events, calls } = follow([async () => Ok(page(5, 4)), async () => Err({ type: 'expired' }), async () => Ok(page(logPosition(1, 3), 2)), async () => Ok(page(logPosition(1, 4), 3))])
  await sleep(20)
  assert.equal(events, ['replaced 1', 'restored 1', 'replaced 1', 'changed 3'])
  assert.is((calls[3] as { from: number }).from, logPosition(1, 3))
})

// Guards against dropping servers whose entries expired during an outage, because the node learns of its end only after their removal.
test('reports the start and the end of an outage once each, the end before the records', async () => {
  const unavailable = async (): ReadResult => Err({ type: 'unavailable', reason: '503' })
  const { events } = follow([async () => Ok(page(5)), unavailable, unavailable, unavailable, async () => Ok(page(6, 5))])
  await sleep(500)
  assert.equal(events, ['replaced 0', 'lost', 'regained', 'changed 5'])
})

// Guards against waiting on a stalled connection for a change that peers have already read.
test('aborts a long poll that does not catch up with a peer', async () => {
  const hang = (call: Call): ReadResult => new Promise(resolve => {
    if (call.type === 'read') call.signal?.addEventListener('abort', () => resolve(Err({ type: 'unavailable', reason: 'cancelled' })))
  })
  const { events, calls } = follow([async () => Ok(page(5, 4)), hang, async () => Ok(page(9, 8))])
  await sleep(20)
  follower!.behind(5)
  await sleep(350)
  assert.is(calls.length, 2, 'a peer at the same offset does not abort the read')
  follower!.behind(9)
  await sleep(350)
  assert.equal(events, ['replaced 1', 'stalled', 'changed 8'])
})

// Guards against a node that never catches up because each read is aborted before a slow store has responded.
test('catches up with its peers although the store takes longer than the time after which a read is aborted', async () => {
  const slow = (call: Call): ReadResult => new Promise(resolve => {
    const timer = setTimeout(() => resolve(Ok(page(9, 8))), 700)
    if (call.type === 'read') call.signal?.addEventListener('abort', () => { clearTimeout(timer); resolve(Err({ type: 'unavailable', reason: 'cancelled' })) })
  })
  const { events } = follow([async () => Ok(page(5, 4)), ...Array.from({ length: 20 }, () => slow)])
  const peers = setInterval(() => follower!.behind(9), 20)
  await sleep(3000)
  clearInterval(peers)
  assert.ok(events.includes('changed 8'), events.join(', '))
})

// Guards against feeds that wait on connections that have become silent, and against new connections for each call to a silent store.
test('reports a stalled connection once when a call gets no response', async () => {
  const silent = async (): ReadResult => Err({ type: 'unavailable', reason: 'timeout', noResponse: true })
  const refused = async (): ReadResult => Err({ type: 'unavailable', reason: '503' })
  const { events } = follow([async () => Ok(page(5, 4)), silent, silent, async () => Ok(page(6, 5)), refused, async () => Ok(page(7, 6))])
  await sleep(500)
  assert.equal(events, ['replaced 1', 'stalled', 'lost', 'regained', 'changed 5', 'changed 6'])
})

const pauseMs = 60

// Guards against calls to the store that grow with the number of nodes.
test('does not read while a peer relays changes, and reads again when the peer stops', async () => {
  const { calls } = follow([async () => Ok(page(5, 4)), async () => Ok(page(5))], pauseMs)
  await sleep(pauseMs / 2)
  const before = calls.length
  for (let next = 6; next < 12; next++) {
    assert.ok(follower!.advance(next - 1, next))
    await sleep(pauseMs / 3)
  }
  assert.is(calls.length, before)
  await sleep(2 * pauseMs)
  assert.is(calls.length, before + 1)
  assert.is((calls.at(-1) as { from: number }).from, 11)
})

// Guards against a change that is lost because its datagram was lost.
test('reads at once when changes before those of a peer are missing', async () => {
  const { calls } = follow([async () => Ok(page(5, 4)), async () => Ok(page(5))], 10 * pauseMs)
  await sleep(pauseMs / 2)
  assert.not.ok(follower!.advance(7, 9))
  await sleep(pauseMs / 2)
  assert.is((calls.at(-1) as { from: number }).from, 5)
})

test('ignores a peer that is behind', async () => {
  follow([async () => Ok(page(5, 4)), async () => Ok(page(5))], pauseMs)
  await sleep(pauseMs / 2)
  assert.not.ok(follower!.advance(2, 4))
})

// Guards against a change that counts as new although a peer has told of it before, because the response was held up.
test('a change that a peer has already read is no newer than the message of the peer', async () => {
  let writtenAfter = NaN
  let respond: (() => void) | undefined
  const feed: Feed<string> = {
    newest: async () => Ok(page(5, 4)),
    read: () => new Promise(resolve => { respond = () => resolve(Ok(page(6, 5))) })
  }
  follower = followFeed(feed, { replaced () {}, changed (_records, _next, after) { writtenAfter = after }, succeeded () {}, lost () {}, regained () {}, restored () {}, failed () {}, aborted () {}, stalled () {}, call () {} }, { now: () => performance.now(), lastTurn: () => performance.now(), waitMs: () => 1000, pauseMs: () => 0, retryPauseMs: () => 100 })
  await sleep(50)
  const toldAt = performance.now()
  follower.behind(6)
  await sleep(150)
  respond!()
  await sleep(10)
  assert.ok(writtenAfter >= toldAt && writtenAfter < toldAt + 50, `${writtenAfter - toldAt} ms after the message`)
  await sleep(50)
  const writtenAt = performance.now()
  respond!()
  await sleep(10)
  assert.ok(writtenAfter >= writtenAt, 'the next change is new again')
})

// Guards against a process that was stopped, and takes an empty page of before for as recent as the end of a wait that the store had cut short.
test('an empty page is no more recent than the last turn in which the read still waited', async () => {
  let now = 0
  const known: number[] = []
  const ends: (() => void)[] = []
  const feed: Feed<string> = { newest: async () => Ok(page(5, 4)), read: () => new Promise(resolve => { ends.push(() => resolve(Ok(page(5)))) }) }
  const ignore = (): void => {}
  let lastTurn = -Infinity
  follower = followFeed(feed, { replaced: ignore, changed: ignore, succeeded: (_asOf, _next, provenAsOf) => { known.push(provenAsOf) }, lost: ignore, regained: ignore, restored: ignore, failed: ignore, aborted: ignore, stalled: ignore, call: ignore }, { now: () => now, lastTurn: () => lastTurn, waitMs: () => 1000, pauseMs: () => 0, retryPauseMs: () => 100 })
  for (const [end, turn] of [[1000, 950], [8000, 1100], [10_000, 9900]] as const) {
    await sleep(5)
    now = end
    lastTurn = turn
    ends.shift()!()
  }
  await sleep(5)
  assert.equal(known, [0, 950, 1100, 9000])
})

test.run()
