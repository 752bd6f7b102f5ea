import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { DecisionLog } from './decision-log'
import { createGatewayMetrics } from './gateway-metrics'
import { createPartBlocking, type PartBlocking } from './part-blocking'
import type { FleetRecord } from './platform-interface'

const test = suite('blocked prompt parts')

const log = { info () {}, warn () {}, error () {} } as unknown as DecisionLog
const wallClockStart = 1_800_000_000_000
const blockMs = 600_000

type Node = { blocking: PartBlocking, records: { key: string, value: FleetRecord }[], notified: string[], at (ms: number): void }

function createNode (): Node {
  let now = 0
  const node: Node = {
    records: [],
    notified: [],
    at (ms) { now = ms },
    blocking: createPartBlocking({
      now: () => now,
      wallClock: () => wallClockStart + now,
      log,
      metrics: createGatewayMetrics(),
      notifyPeers: ({ part }) => { node.notified.push(part) },
      record: async (key, value) => { node.records.push({ key, value }) }
    })
  }
  return node
}

const isBlocked = ({ blocking }: Node, at: number, service = 'llm'): boolean => blocking.find(service, ['other', 'p'], at) !== undefined

test('a part is blocked for its service, at the peers and in the log', () => {
  const node = createNode()
  node.blocking.block({ service: 'llm', part: 'p' }, ['e1', 'e2', 'e3'])
  assert.equal([isBlocked(node, 0), isBlocked(node, 0, 'other')], [true, false])
  assert.equal(node.notified, ['p'])
  assert.equal(node.records, [{ key: 'blocked-part/llm/p', value: { type: 'blocked-part', service: 'llm', part: 'p', at: wallClockStart } }])
})

// Guards against a node that starts again and sends the part to engines until more of them have crashed.
test('a node that starts later blocks the recorded part for the rest of its time', () => {
  const first = createNode()
  first.blocking.block({ service: 'llm', part: 'p' }, [])
  const later = createNode()
  later.at(60_000)
  later.blocking.apply(first.records.map(({ key, value }) => ({ key, offset: 7, value })))
  assert.equal(later.blocking.find('llm', ['p'], 60_000), { part: 'p', remainingMs: blockMs - 60_000 })
  assert.equal([isBlocked(later, blockMs - 1), isBlocked(later, blockMs + 1), later.blocking.wasBlocked('llm', 'p')], [true, false, true])
})

// Guards against a record from long ago that blocks a part each time a node starts.
test('a record whose time is over blocks nothing', () => {
  const node = createNode()
  node.at(25 * 3_600_000)
  node.blocking.apply([{ key: 'blocked-part/llm/p', offset: 1, value: { type: 'blocked-part', service: 'llm', part: 'p', at: wallClockStart } }])
  assert.equal([isBlocked(node, 25 * 3_600_000), node.blocking.wasBlocked('llm', 'p')], [false, false])
})

test('a record of a node whose time of day is ahead does not prolong the time', () => {
  const node = createNode()
  node.blocking.apply([{ key: 'blocked-part/llm/p', offset: 1, value: { type: 'blocked-part', service: 'llm', part: 'p', at: wallClockStart + 3_600_000 } }])
  assert.equal([isBlocked(node, blockMs - 1), isBlocked(node, blockMs + 1)], [true, false])
})

test.run()
