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
      notifyPeers: part => { node.notified.push(part) },
      notifyHold () {},
      record: async (key, value) => { node.records.push({ key, value }) }
    })
  }
  return node
}

const isBlocked = ({ blocking }: Node, at: number): boolean => blocking.find(['other', 'p'], at) !== undefined

// Guards against a part that crashes the engines of one service after those of another.
test('a part is blocked for all services, at the peers and in the log', () => {
  const node = createNode()
  node.blocking.block('p', ['e1', 'e2', 'e3'])
  assert.ok(isBlocked(node, 0))
  assert.equal(node.notified, ['p'])
  assert.equal(node.records, [{ key: 'blocked-part/p', value: { type: 'blocked-part', part: 'p', at: wallClockStart } }])
})

// Guards against a node that starts again and sends the part to engines until more of them have crashed.
test('a node that starts later blocks the recorded part for the rest of its time', () => {
  const first = createNode()
  first.blocking.block('p', [])
  const later = createNode()
  later.at(60_000)
  later.blocking.apply(first.records.map(({ key, value }) => ({ key, offset: 7, value })))
  assert.equal(later.blocking.find(['p'], 60_000), { part: 'p', remainingMs: blockMs - 60_000 })
  assert.equal([isBlocked(later, blockMs - 1), isBlocked(later, blockMs + 1), later.blocking.wasBlocked('p')], [true, false, true])
})

// Guards against a record from long ago that blocks a part each time a node starts.
test('a record whose time is over blocks nothing', () => {
  const node = createNode()
  node.at(25 * 3_600_000)
  node.blocking.apply([{ key: 'blocked-part/p', offset: 1, value: { type: 'blocked-part', part: 'p', at: wallClockStart } }])
  assert.equal([isBlocked(node, 25 * 3_600_000), node.blocking.wasBlocked('p')], [false, false])
})

test('a record of a node whose time of day is ahead does not prolong the time', () => {
  const node = createNode()
  node.blocking.apply([{ key: 'blocked-part/p', offset: 1, value: { type: 'blocked-part', part: 'p', at: wallClockStart + 3_600_000 } }])
  assert.equal([isBlocked(node, blockMs - 1), isBlocked(node, blockMs + 1)], [true, false])
})

// Guards against a part of sound requests that operators cannot free for ten minutes.
test('a block ends at all nodes when operators remove its record', () => {
  const [writer, other] = [createNode(), createNode()]
  writer.blocking.block('p', [])
  other.blocking.receive('writer', 'p')
  other.blocking.hold('q', [], 15_000)
  for (const node of [writer, other]) {
    node.blocking.apply([{ key: 'blocked-part/p', offset: 9, value: undefined }, { key: 'blocked-part/q', offset: 10, value: undefined }, { key: 'node/p', offset: 11, value: undefined }])
    assert.equal([isBlocked(node, 0), node.blocking.find(['q'], 0), node.blocking.wasBlocked('p')], [false, undefined, false])
  }
})

test.run()
