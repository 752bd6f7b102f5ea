import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { logPosition } from './log-position'
import type { FeedRecord, ServerRecord } from './platform-interface'
import { createServerRelay, parseServerUpdate, zoneReader } from './server-relay'

const test = suite('server relay')

function record (id: string, offset: number, overrides: Partial<BackendServer> = {}): FeedRecord<ServerRecord> {
  return { key: id, offset, value: { type: 'server', sequence: offset, server: { id, bornAt: 1, service: 'llm', address: `${id}:1`, zone: 'a', state: 'ready', slots: 4, models: [], ...overrides } } }
}

test('omits entries in which only the sequence changed, and relays states, restarts and removals', () => {
  const relay = createServerRelay()
  relay.seen([record('s1', 1), record('s2', 2), record('s3', 3)])
  const changes = [record('s2', 5, { state: 'draining' }), record('s3', 6, { bornAt: 9 })]
  assert.equal(relay.updateFor([record('s1', 4), ...changes], 4, 7, undefined), { from: 4, next: 7, records: changes })
  const removal: FeedRecord<ServerRecord> = { key: 's1', offset: 8, value: undefined }
  assert.equal(relay.updateFor([removal, record('s2', 9, { state: 'draining' })], 7, 10, undefined).records, [removal])
})

// Guards against nodes that let a stream go on at a server whose software has changed since.
test('relays an entry in which only the version of the software changed', () => {
  const relay = createServerRelay()
  relay.seen([record('s1', 1, { version: 'v1' }), record('s2', 2)])
  const changes = [record('s1', 3, { version: 'v2' }), record('s2', 4, { version: 'v1' })]
  assert.equal(relay.updateFor(changes, 3, 5, undefined).records, changes)
})

// Guards against a server that registers again under its id and stays unknown to the zone.
test('relays an entry that is written again after its removal', () => {
  const relay = createServerRelay()
  relay.seen([record('s1', 1), { key: 's1', offset: 2, value: undefined }])
  assert.is(relay.updateFor([record('s1', 3)], 3, 4, undefined).records.length, 1)
})

// Guards against nodes that ignored an entry of a copy and are not told of the next one, which is the same but for its sequence.
test('relays the next entry of each server after a restoration of the store', () => {
  const relay = createServerRelay()
  relay.replaced([record('s1', 1)], 2)
  assert.is(relay.updateFor([record('s1', 2)], 2, 3, undefined).records.length, 0)
  relay.replaced([record('s1', logPosition(1, 1))], logPosition(1, 2))
  assert.is(relay.updateFor([record('s1', logPosition(1, 2))], logPosition(1, 2), logPosition(1, 3), undefined).records.length, 1)
})

// Guards against nodes that go on using a server whose removal is the first that the reader sees of it after a restoration.
test('relays the removal of a server that it has not seen since a restoration of the store', () => {
  const relay = createServerRelay()
  relay.replaced([record('s1', 1)], 2)
  relay.replaced([record('s1', logPosition(1, 1))], logPosition(1, 2))
  const removal: FeedRecord<ServerRecord> = { key: 's1', offset: logPosition(1, 2), value: undefined }
  assert.equal(relay.updateFor([removal], logPosition(1, 2), logPosition(1, 3), undefined).records, [removal])
})

// Guards against nodes that take an entry which the store writes late for a new one, because they do not know the last one.
test('the last entry of a server precedes its removal if the other nodes have not been told of it', () => {
  const relay = createServerRelay()
  relay.replaced([record('s1', 1), record('s2', 2)], 3)
  const [last, removal, other] = [record('s1', 3), { key: 's1', offset: 4, value: undefined }, { key: 's2', offset: 5, value: undefined }]
  assert.equal(relay.updateFor([last], 3, 4, undefined, true), { from: 3, next: 4, records: [], complete: true })
  assert.equal(relay.updateFor([removal], 4, 5, undefined, true).records, [last, removal])
  assert.equal(relay.updateFor([other], 5, 6, undefined, true).records, [record('s2', 2), other])
  const changed = record('s3', 6)
  assert.equal(relay.updateFor([changed, { ...removal, key: 's3' }], 6, 8, undefined, true).records, [changed, { ...removal, key: 's3' }])
})

// Guards against changes that are lost because they do not fit into a datagram.
test('announces only the end offset of changes that do not fit, so that the nodes detect the gap', () => {
  const many = Array.from({ length: 40 }, (_, index) => record(`s${index}`, index))
  assert.equal(createServerRelay().updateFor(many, 0, 40, undefined), { from: 40, next: 40, records: [] })
})

test('exactly one alive node of a zone reads, regardless of other zones', () => {
  const node = (name: string, zone = 'a', state: 'alive' | 'dead' = 'alive') => ({ name, zone, incarnation: 1, capacity: 1, state })
  const names = ['n1', 'n2', 'n3']
  const readers = names.filter(name => zoneReader({ name, zone: 'a' }, [...names.filter(other => other !== name).map(other => node(other)), node('m1', 'b'), node('m2', 'b')]) === name)
  assert.is(readers.length, 1)
  const rest = names.filter(name => name !== readers[0])
  assert.is(rest.filter(name => zoneReader({ name, zone: 'a' }, names.filter(other => other !== name).map(other => node(other, 'a', other === readers[0] ? 'dead' : 'alive'))) === name).length, 1)
})

test('rejects malformed messages', () => {
  for (const value of [null, 1, {}, { from: 1, next: 'x', records: [] }, { from: 1, next: 2 }]) assert.is(parseServerUpdate(value), undefined)
  assert.equal(parseServerUpdate({ from: 1, next: 2, records: [] }), { from: 1, next: 2, records: [], unusable: 0 })
})

test.run()
