import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createOwnerStatusCache, type OwnedEngineStatus, type OwnerStatus } from './owner-status-cache'
import { maxDatagramBytes } from './peer-link'

const test = suite('owner status cache')

const notSuspended = { endedAt: () => -Infinity }

function engine (index: number, scopes: string[]): OwnedEngineStatus {
  return { id: `i-${index}d699934e`, scopes, backlogMs: 120, running: 9, loadWaitMs: 260, commandable: true }
}

const statusOf = (engines: OwnedEngineStatus[]): OwnerStatus => ({ engines, fleetNext: 300, fleetAgeMs: 200, operatorNext: 9 })

// Guards against adapters that other nodes know under another name, so that they are loaded again.
test('a receiver knows the same scopes as the sender', () => {
  const scopes = ['base', 'base/a1', 'base/a2', 'other/a1', 'other/part/a3']
  const [message] = createOwnerStatusCache(notSuspended).encode(statusOf([engine(1, scopes), engine(2, [])]), 0, 1000)
  const receiver = createOwnerStatusCache(notSuspended)
  receiver.receive('n1', JSON.parse(JSON.stringify(message)), 0)
  assert.equal([...receiver.engineStatus('i-1d699934e', 0).scopes].sort(), [...scopes].sort())
  assert.is(receiver.engineStatus('i-2d699934e', 0).scopes.size, 0)
})

// Guards against traffic between zones: an owner sends its status to every node, up to four times a second.
test('the status of twelve engines with ten adapters each fits into two datagrams', () => {
  const engines = Array.from({ length: 12 }, (_, index) => engine(index, Array.from({ length: 10 }, (_, adapter) => `bocu288f3c/a${9000 + index * 10 + adapter}`)))
  const messages = createOwnerStatusCache(notSuspended).encode(statusOf(engines), 0, 1000)
  assert.ok(messages.length <= 2, `${messages.length} datagrams`)
  for (const message of messages) assert.ok(JSON.stringify(message).length <= maxDatagramBytes)
})

// Guards against a choice by the backlog of an engine as it was long ago, before a suspension of this node or in a status that others have followed.
test('the backlog of a status is used for three seconds, and not after a suspension', () => {
  let endedAt = -Infinity
  const cache = createOwnerStatusCache({ endedAt: () => endedAt })
  const backlogAt = (now: number): number => cache.engineStatus('i-1d699934e', now).backlogMs
  cache.setOwn('n1', [engine(1, ['base'])], 1000)
  assert.equal([backlogAt(1000), backlogAt(3900), backlogAt(4100)], [100, 100, 0])
  cache.setOwn('n1', [engine(1, ['base'])], 5000)
  endedAt = 5001
  assert.equal([backlogAt(5001), cache.engineStatus('i-1d699934e', 5001).ageMs], [0, Infinity])
  assert.equal([...cache.engineStatus('i-1d699934e', 5001).scopes], ['base'], 'adapters rarely change')
})

// Guards against memory that grows with each engine that is replaced by one with another name.
test('the status of an engine that is gone is removed, and that of one whose entry is not read yet is kept', () => {
  const cache = createOwnerStatusCache({ endedAt: () => -Infinity })
  cache.setOwn('n1', [engine(1, ['base']), engine(2, ['base'])], 0)
  cache.setOwn('n1', [engine(3, ['base'])], 4900)
  cache.retain(new Set(['i-2d699934e']), 5000)
  const statuses = [1, 2, 3].map(index => cache.engineStatus(`i-${index}d699934e`, 5000))
  assert.equal(statuses.map(({ scopes }) => [...scopes]), [[], ['base'], ['base']])
  assert.is(statuses[2]!.ageMs, 100)
})

// Guards against a node that counts an engine as in use for long after its owner has last named it.
test('an engine counts as announced for three seconds after its last status', () => {
  const cache = createOwnerStatusCache(notSuspended)
  cache.setOwn('n1', [engine(1, [])], 1000)
  assert.equal([cache.announced(3900), cache.announced(4100)], [['i-1d699934e'], []])
})

// Guards against a speed of a former start of the engine, messages of earlier builds that are rejected, malformed speeds, and datagrams that are too large.
test('speeds are shared with their age for one start of an engine', () => {
  const shared = (index: number): OwnedEngineStatus => ({ ...engine(index, Array.from({ length: 10 }, (_, adapter) => `bocu288f3c/a${9000 + adapter}`)), speed: { speed: 0.456, ageMs: 2000, bornAt: 1_700_000_012_345 } })
  const messages = createOwnerStatusCache(notSuspended).encode(statusOf(Array.from({ length: 12 }, (_, index) => shared(index))), 0, 1000)
  for (const message of messages) assert.ok(JSON.stringify(message).length <= maxDatagramBytes)
  const receiver = createOwnerStatusCache(notSuspended)
  for (const message of messages) receiver.receive('n1', JSON.parse(JSON.stringify(message)), 5000)
  const server = { id: 'i-1d699934e', bornAt: 1_700_000_012_345 }
  assert.equal(receiver.sharedSpeed(server, 6000), { speed: 0.46, ageMs: 3000 })
  assert.is(receiver.sharedSpeed({ ...server, bornAt: server.bornAt + 60_001 }, 6000), undefined)
  assert.is(receiver.sharedSpeed(server, 70_000), undefined)
  const packed = ['i-1d699934e', [], 0, 0, 1, 0]
  const frame = { fleetNext: 1, fleetAgeMs: 0, operatorNext: 1 }
  assert.is(receiver.receive('n2', { ...frame, engines: [packed] }, 6000)?.unusable, 0)
  assert.is(receiver.sharedSpeed(server, 6000)?.speed, 0.46, 'a status without a speed says nothing about it')
  for (const speed of [[], [0, 0, 0], [1e9, 0, 0], [1, -1, 0], [1, 0], 'fast']) assert.is(receiver.receive('n2', { ...frame, engines: [[...packed, speed]] }, 6000)?.unusable, 1)
})

test.run()
