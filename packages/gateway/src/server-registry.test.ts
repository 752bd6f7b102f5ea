import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import type { FeedRecord, ServerRecord } from './platform-interface'
import { createServerRegistry } from './server-registry'

const test = suite('server registry')

function entry (id: string, offset: number, overrides: Partial<BackendServer> = {}, sequence = offset): FeedRecord<ServerRecord> {
  const server: BackendServer = { id, bornAt: 1, service: 'svc', address: `${id}:1`, zone: 'a', state: 'ready', slots: 1, models: [], ...overrides }
  return { key: id, offset, value: { type: 'server', sequence, server } }
}

const removal = (key: string, offset: number): FeedRecord<ServerRecord> => ({ key, offset, value: undefined })
const readyIds = (registry: ReturnType<typeof createServerRegistry>): string[] => registry.ready('svc').map(({ id }) => id)

// Guards against new requests for a server that has said that it leaves, through an entry that arrived late.
test('a draining server takes no requests, whatever older entries say later', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0), entry('s2', 1)], 0)
  assert.is(registry.apply([entry('s1', 2, { state: 'draining' })], 10)[0]?.type, 'draining')
  registry.apply([entry('s1', 3, { state: 'ready' })], 20)
  assert.equal(readyIds(registry), ['s2'])
})

test('a new start under the same id replaces the earlier one, and its late entries are ignored', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0, { bornAt: 5, state: 'draining' })], 0)
  assert.is(registry.apply([entry('s1', 1, { bornAt: 9 }, 1)], 10)[0]?.type, 'started-again')
  registry.apply([entry('s1', 2, { bornAt: 5, address: 'old:1' }, 99)], 20)
  assert.is(registry.get('s1')?.address, 's1:1')
  assert.equal(readyIds(registry), ['s1'])
})

test('a removed server takes no requests', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0)], 0)
  assert.is(registry.apply([removal('s1', 1)], 10)[0]?.type, 'removed')
  assert.equal(readyIds(registry), [])
})

// Guards against losing every server because their entries lapsed while the store was away.
test('keeps servers that lapsed in an outage until two seconds after its end, unless they return', () => {
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

test('an entry that cannot be read names no server; the others hold', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0), entry('s2', 1)], 0)
  const changes = registry.apply([{ key: 's1', offset: 2, value: { type: 'unreadable', reason: 'state is missing' } }], 10)
  assert.equal(changes.map(({ type }) => type), ['unreadable', 'removed'])
  assert.equal(readyIds(registry), ['s2'])
})

// Guards against servers that stay known although their removal fell into a part of the history that was dropped.
test('the newest records of all keys replace what was known', () => {
  const registry = createServerRegistry()
  registry.apply([entry('s1', 0), entry('s2', 1)], 0)
  registry.replace([entry('s2', 1), entry('s3', 7)], 10)
  assert.equal(readyIds(registry), ['s2', 's3'])
})

test.run()
