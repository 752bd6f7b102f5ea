import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createOwnerStatusCache, type OwnedEngineStatus, type OwnerStatus } from './owner-status-cache'
import { maxDatagramBytes } from './peer-link'

const test = suite('owner status cache')

function engine (index: number, scopes: string[]): OwnedEngineStatus {
  return { id: `i-${index}d699934e`, scopes, backlogMs: 120, running: 9, loadWaitMs: 260, commandable: true }
}

const statusOf = (engines: OwnedEngineStatus[]): OwnerStatus => ({ engines, fleetNext: 300, fleetAgeMs: 200, operatorNext: 9 })

// Guards against adapters that other nodes know under another name, so that they are loaded again.
test('a receiver knows the same scopes as the sender', () => {
  const scopes = ['base', 'base/a1', 'base/a2', 'other/a1', 'other/part/a3']
  const [message] = createOwnerStatusCache().encode(statusOf([engine(1, scopes), engine(2, [])]), 0, 1000)
  const receiver = createOwnerStatusCache()
  receiver.receive('n1', JSON.parse(JSON.stringify(message)), 0)
  assert.equal([...receiver.engineStatus('i-1d699934e', 0).scopes].sort(), [...scopes].sort())
  assert.is(receiver.engineStatus('i-2d699934e', 0).scopes.size, 0)
})

// Guards against traffic between zones: an owner sends its status to every node, up to four times a second.
test('the status of twelve engines with ten adapters each fits into two datagrams', () => {
  const engines = Array.from({ length: 12 }, (_, index) => engine(index, Array.from({ length: 10 }, (_, adapter) => `bocu288f3c/a${9000 + index * 10 + adapter}`)))
  const messages = createOwnerStatusCache().encode(statusOf(engines), 0, 1000)
  assert.ok(messages.length <= 2, `${messages.length} datagrams`)
  for (const message of messages) assert.ok(JSON.stringify(message).length <= maxDatagramBytes)
})

// Guards against memory that grows with each engine that is replaced by one with another name.
test('the status of an engine that is gone is removed, and that of one whose entry is not read yet is kept', () => {
  const cache = createOwnerStatusCache()
  cache.setOwn('n1', [engine(1, ['base']), engine(2, ['base'])], 0)
  cache.setOwn('n1', [engine(3, ['base'])], 4900)
  cache.retain(new Set(['i-2d699934e']), 5000)
  assert.equal([1, 2, 3].map(index => cache.engineStatus(`i-${index}d699934e`, 5000).ageMs), [Infinity, 5000, 100])
})

test.run()
