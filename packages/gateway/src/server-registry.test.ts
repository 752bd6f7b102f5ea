import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { firstEra, logPosition } from './log-position'
import type { FeedRecord, ServerRecord } from './platform-interface'
import { createServerRegistry } from './server-registry'

const test = suite('server registry')

function entry (id: string, offset: number, overrides: Partial<BackendServer> = {}, sequence = offset): FeedRecord<ServerRecord> {
  const server: BackendServer = { id, bornAt: 1, service: 'svc', address: `${id}:1`, zone: 'a', state: 'ready', slots: 1, models: [], ...overrides }
  return { key: id, offset, value: { type: 'server', sequence, server } }
}

const removal = (key: string, offset: number): FeedRecord<ServerRecord> => ({ key, offset, value: undefined })
const readyIds = (registry: ReturnType<typeof createServerRegistry>): string[] => registry.ready('svc').map(({ id }) => id)

// Guards against new requests to a draining server because of a later ready entry.
test('a draining server gets no requests, even after a later ready entry', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0), entry('s2', 1)], 0)
  assert.is(registry.apply([entry('s1', 2, { state: 'draining' })], 10)[0]?.type, 'draining')
  registry.apply([entry('s1', 3, { state: 'ready' })], 20)
  assert.equal(readyIds(registry), ['s2'])
})

test('a restart under the same id replaces the earlier start, whose late entries are ignored', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0, { bornAt: 5, state: 'draining' })], 0)
  assert.is(registry.apply([entry('s1', 1, { bornAt: 9 }, 1)], 10)[0]?.type, 'started-again')
  registry.apply([entry('s1', 2, { bornAt: 5, address: 'old:1' }, 99)], 20)
  assert.is(registry.readyServer('s1')?.address, 's1:1')
  assert.equal(readyIds(registry), ['s1'])
})

// Guards against an entry that the store has written late, after a later one of the same start.
test('an entry with an earlier sequence is ignored, whatever its position', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0, { address: 'new:1' }, 7)], 0)
  assert.equal(registry.apply([entry('s1', 1, { address: 'old:1' }, 6)], 10), [{ type: 'ignored', key: 's1', offset: 1, sequence: 6, reason: 'sequence' }])
  assert.is(registry.readyServer('s1')?.address, 'new:1')
})

test('a removed server gets no requests', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0)], 0)
  assert.is(registry.apply([removal('s1', 1)], 10)[0]?.type, 'removed')
  assert.equal(readyIds(registry), [])
})

// Guards against removing all servers because their entries expired during an outage of the store.
test('removes servers that expired in an outage two seconds after its end, unless they register again', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0), entry('s2', 1)], 0)
  registry.storeRecovered(10_000)
  registry.apply([removal('s1', 2), removal('s2', 3)], 10_010)
  assert.equal(readyIds(registry), ['s1', 's2'])
  registry.apply([entry('s2', 4)], 11_000)
  assert.equal(registry.tick(11_900), [])
  assert.equal(registry.tick(12_100).map(change => change.type === 'removed' ? change.server.id : change.type), ['s1'])
  assert.equal(readyIds(registry), ['s2'])
})

test('a server with an unreadable entry is removed; the others stay', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0), entry('s2', 1)], 0)
  const changes = registry.apply([{ key: 's1', offset: 2, value: { type: 'unreadable', reason: 'state is missing' } }], 10)
  assert.equal(changes.map(({ type }) => type), ['unreadable', 'removed'])
  assert.equal(readyIds(registry), ['s2'])
})

// Guards against servers that stay registered because their removal was in a dropped part of the history.
test('the newest records of all keys replace the registry', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0), entry('s2', 1)], 0)
  registry.replace([entry('s2', 1), entry('s3', 7)], 8, 10)
  assert.equal(readyIds(registry), ['s2', 's3'])
})

// Guards against using a server again that has left, because a restored store still has its entry.
test('a removed server comes back only with a later entry or a new start', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0, {}, 4), entry('s1', 1, { state: 'draining' }, 5), removal('s1', 2)], 0)
  const restored = logPosition(1, 0)
  assert.equal(registry.replace([entry('s1', restored, {}, 4)], restored + 1, 10), [{ type: 'ignored', key: 's1', offset: restored, sequence: 4, reason: 'left' }])
  assert.equal(readyIds(registry), [])
  registry.apply([entry('s1', restored + 1, {}, 6)], 20)
  assert.equal(readyIds(registry), ['s1'])
  registry.apply([removal('s1', restored + 2), entry('s1', restored + 3, { bornAt: 2 }, 1)], 30)
  assert.equal(readyIds(registry), ['s1'])
})

// Guards against a node that was not told of entries in which only the sequence changed, and takes one in a copy for a later one.
test('a removed server whose last sequences are not known does not come back with the copy', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0, {}, 1), removal('s1', 40)], 0)
  const restored = logPosition(1, 30)
  registry.replace([entry('s1', restored, {}, 25)], restored + 1, 10)
  registry.apply([entry('s1', restored, {}, 25)], 20)
  assert.equal(readyIds(registry), [])
  registry.apply([entry('s1', restored + 5, {}, 26)], 30)
  assert.equal(readyIds(registry), ['s1'])
})

// Guards against a server without a sequence that is not used again after its entry expired.
test('a removed server without sequences comes back with the next entry', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0, {}, 0), removal('s1', 1), entry('s1', 2, {}, 0)], 0)
  assert.equal(readyIds(registry), ['s1'])
})

// Guards against an entry from before the removal that comes later, at a node that does not know the last one before it.
test('a removed server whose last entry is not known comes back with the second later entry', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0, {}, 1)], 0)
  registry.apply([removal('s1', 40)], 0, false)
  assert.equal(registry.apply([entry('s1', 41, {}, 25)], 10, false), [{ type: 'ignored', key: 's1', offset: 41, sequence: 25, reason: 'maybe-left' }])
  assert.equal(readyIds(registry), [])
  registry.replace([entry('s1', 41, {}, 25)], 42, 20)
  assert.equal(readyIds(registry), [])
  registry.replace([entry('s1', 44, {}, 26)], 45, 30)
  assert.equal(readyIds(registry), ['s1'])
})

test('a removed server whose last entry is known comes back with the next one, and not with an earlier one', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0, {}, 20), removal('s1', 40)], 0, true)
  registry.apply([entry('s1', 41, {}, 19)], 10, true)
  assert.equal(readyIds(registry), [])
  registry.apply([entry('s1', 42, {}, 21)], 20, true)
  assert.equal(readyIds(registry), ['s1'])
})

// Guards against a node that starts and takes a late entry for a sign of life, or drops a server that has written since.
test('departures that another node has seen outdate earlier entries only, whichever arrives first', () => {
  const departure = { id: 's1', bornAt: 5, sequence: 12, era: firstEra, complete: true }
  for (const [bornAt, sequence, isUsed] of [[5, 8, false], [5, 12, false], [5, 13, true], [4, 20, false], [6, 1, true]] as const) {
    const early = createServerRegistry()
    early.applyDepartures([departure])
    early.replace([entry('s1', 3, { bornAt }, sequence)], 4, 0)
    const late = createServerRegistry()
    late.replace([entry('s1', 3, { bornAt }, sequence)], 4, 0)
    late.applyDepartures([departure])
    for (const registry of [early, late]) assert.is(readyIds(registry).length === 1, isUsed, `start ${bornAt}, sequence ${sequence}`)
  }
})

// Guards against a late entry that is used because the other node did not know the last one before the removal.
test('an entry after a departure whose last entry is not known is used when a later one follows', () => {
  const registry = createServerRegistry()
  registry.replace([entry('s1', 3, { bornAt: 5 }, 8)], 4, 0)
  const changes = registry.applyDepartures([{ id: 's1', bornAt: 5, sequence: 3, era: firstEra, complete: false }])
  assert.equal(changes.map(change => change.type === 'ignored' ? change.reason : change.type), ['removed', 'maybe-left'])
  registry.apply([entry('s1', 5, { bornAt: 5 }, 9)], 0)
  assert.equal(readyIds(registry), ['s1'])
})

// Guards against a node that takes an engine which has just left for one that it has not heard of.
test('a server that was removed is known, one without an entry is not', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0), removal('s1', 1)], 0)
  assert.equal([registry.isKnown('s1'), registry.isKnown('s2')], [true, false])
})

test.run()
