/** A node that starts again with an earlier time of day than the process before it. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createDecisionLog } from './decision-log'
import { createEngineOwnership } from './engine-ownership'
import { createFleet, nodeRecordOf, type Fleet, type NodeRecord } from './fleet'
import { createOwnRecords } from './own-records'
import type { FleetRecord, NodeSettings } from './platform-interface'
import { createFakePlatform, testNodeSettings } from './testing'

const test = suite('earlier clock')

const tickMs = 100
/** Longer than failure detection takes. */
const detectionMs = 10_000

let time: number
let running: Map<string, Fleet>
let superseded: number

function start (name: string, port: number, incarnation: number): NodeRecord {
  const settings = testNodeSettings(name, 'a', [1, 2, 3, 4, 5, port])
  const self = nodeRecordOf(settings, incarnation)
  const log = createDecisionLog(name, { write: line => { superseded += Number(line.includes('node-superseded')) }, flush: async () => {}, dropped: () => 0 })
  running.set(self.address, createFleet({ self, now: () => time, log, notify: (address, payload) => { setImmediate(() => running.get(address)?.receive(JSON.parse(JSON.stringify(payload)))) }, nodeLost () {} }))
  return self
}

async function run (ms: number): Promise<void> {
  for (const end = time + ms; time < end; time += tickMs) {
    for (const fleet of running.values()) fleet.tick()
    for (let turns = 0; turns < 6; turns++) await new Promise(resolve => setImmediate(resolve))
  }
}

function share (records: NodeRecord[]): void {
  for (const fleet of running.values()) fleet.apply(records.map((value, offset) => ({ key: `node/${value.name}`, offset, value })))
}

for (const [name, secondIncarnation] of [['later', 2_000_000], ['earlier', 940_000]] as const) {
  test(`a node that starts again at a ${name} time of day is alive for its peers`, async () => {
    time = 0
    superseded = 0
    running = new Map()
    const first = start('n1', 7001, 1_000_000)
    const peer = start('n2', 7002, 1_000_000)
    share([first, peer])
    await run(detectionMs)
    assert.ok(running.get(peer.address)!.isAlive('n1'))
    running.delete(first.address)
    await run(detectionMs)
    const second = start('n1', 7001, secondIncarnation)
    share([second, peer])
    await run(detectionMs)
    assert.ok(running.get(peer.address)!.isAlive('n1'), `n1 is dead for n2, told ${superseded} times that it was superseded`)
  })
}

// Guards against peers that go on to use a node that leaves, because a former process hides what it states.
test('peers learn that a node leaves that was restarted at an earlier time of day before they noticed', async () => {
  time = 0
  superseded = 0
  running = new Map()
  const first = start('n1', 7001, 1_000_000)
  const peer = start('n2', 7002, 1_000_000)
  share([first, peer])
  await run(detectionMs)
  const second = start('n1', 7001, 940_000)
  share([second, peer])
  await run(detectionMs)
  const state = (): string => running.get(peer.address)!.members()[0]!.state
  assert.is(state(), 'alive')
  running.get(second.address)!.leave()
  await run(detectionMs)
  assert.is(state(), 'leaving')
})

// Guards against a node that counts as leaving for as long as its new process runs.
test('a node that has left is alive again after a start at an earlier time of day, or at the same one', async () => {
  for (const incarnation of [940_000, 1_000_000]) {
    time = 0
    running = new Map()
    const first = start('n1', 7001, 1_000_000)
    const peer = start('n2', 7002, 1_000_000)
    share([first, peer])
    await run(detectionMs)
    running.get(first.address)!.leave()
    await run(detectionMs)
    const second = start('n1', 7001, incarnation)
    share([second, peer])
    await run(detectionMs)
    assert.is(running.get(peer.address)!.members()[0]!.state, 'alive', String(incarnation))
  }
})

// Guards against two processes of a node that each take a higher incarnation than the other without end.
test('a process does not precede one of another address whose record follows its own', async () => {
  time = 0
  superseded = 0
  running = new Map()
  const first = start('n1', 7001, 940_000)
  const peer = start('n2', 7002, 1_000_000)
  share([first, peer])
  const second = start('n1', 7003, 1_000_000)
  share([first, second, peer])
  await run(detectionMs)
  assert.is(running.get(peer.address)!.members()[0]!.incarnation, 1_000_000)
  assert.is(superseded, 1)
})

// Guards against an incarnation that no later process can precede.
test('a node stays alive for its peers after a message with the highest number as its incarnation', async () => {
  time = 0
  running = new Map()
  const node = start('n1', 7001, 1_000_000)
  const peer = start('n2', 7002, 1_000_000)
  share([node, peer])
  await run(detectionMs)
  for (const highest of [Number.MAX_SAFE_INTEGER, 2 ** 48 + 1, 2 ** 47]) {
    for (const flags of [0, 2, 4, 6]) {
      for (const fleet of running.values()) fleet.receive([0, 'n3', 1, [['n1', node.address, highest, 0, flags]]])
    }
  }
  await run(detectionMs)
  assert.is(running.get(peer.address)!.members()[0]!.state, 'alive')
})

// Guards against a former process of a node, with a later time of day, that is taken for the present one.
test('a process claims the engines of a former one with a later time of day, and reports no end of it as its own', () => {
  const ownership = createEngineOwnership({ name: 'n1', incarnation: 940_000, zone: 'a', capacity: 1, leaseMs: 1000 }, 0)
  ownership.apply([{ key: 'owner/e1', offset: 0, value: { type: 'owner', engine: 'e1', node: 'n1', incarnation: 1_000_000 } }], 0)
  const engine = { id: 'e1', bornAt: 1, service: 'llm', address: 'e1:1', zone: 'a', state: 'ready' as const, slots: 1, models: [] }
  assert.equal(ownership.plan([engine], [], 1).claims, [{ engine: 'e1', reason: 'restarted' }])
  assert.is(ownership.commandsFrom('e1'), undefined)
})

// Guards against a node that a restored store knows only by its former process.
test('a process appends its record again if a restored store has that of a former one with a later time of day', async () => {
  const { fleet } = createFakePlatform({} as NodeSettings)
  const log = createDecisionLog('n1', { write () {}, flush: async () => {}, dropped: () => 0 })
  const own = createOwnRecords({ fleetLog: fleet, log, random: () => 0, leaving: () => false })
  const record = (incarnation: number): FleetRecord => nodeRecordOf(testNodeSettings('n1', 'a', [1, 2, 3, 4, 5, 7001]), incarnation)
  await own.append('node/n1', record(940_000), 'failed')
  await own.appendMissing([{ key: 'node/n1', offset: 0, value: record(1_000_000) }])
  assert.equal((await fleet.read(0, 0)).unwrap().records.map(({ value }) => value), [record(940_000), record(940_000)])
})

test.run()
