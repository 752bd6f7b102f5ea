import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { createEngineOwnership, lostOwner, type EngineOwnership, type FleetMember } from './engine-ownership'
import { createLogFreshness, logFreshMs } from './log-freshness'
import { logPosition } from './log-position'
import type { FleetRecord } from './platform-interface'

const test = suite('engine ownership')

const leaseMs = 3000
const engine = (id: string, zone = 'a'): BackendServer => ({ id, bornAt: 1, service: 'llm', address: `${id}:1`, zone, state: 'ready', slots: 1, models: [] })
const member = (name: string, overrides: Partial<FleetMember> = {}): FleetMember => ({ name, zone: 'a', incarnation: 1, capacity: 1, state: 'alive', ...overrides })

function owner (name: string, incarnation = 1): EngineOwnership {
  return createEngineOwnership({ name, incarnation, zone: 'a', capacity: 1, leaseMs }, 0)
}

function record (engineId: string, node: string, incarnation: number, offset: number, after?: string): { key: string, offset: number, value: FleetRecord } {
  return { key: `owner/${engineId}`, offset, value: { type: 'owner', engine: engineId, node, incarnation, ...(after === undefined ? {} : { after }) } }
}

test('one node of a zone claims all engines of the zone', () => {
  const members = ['n1', 'n2', 'n3'].map(name => member(name))
  const claimants = ['n1', 'n2', 'n3'].filter(name => owner(name).plan([engine('e1'), engine('e2')], members, 1000).claims.length > 0)
  assert.is(claimants.length, 1)
  assert.is(owner(claimants[0]!).plan([engine('e1'), engine('e2')], members, 1000).claims.length, 2)
})

// Guards against one owner with more engines than it can schedule.
test('many engines of a zone are spread over several owners, each claimed once', () => {
  const names = ['n1', 'n2', 'n3', 'n4', 'n5', 'n6']
  const engines = Array.from({ length: 36 }, (_, index) => engine(`e${index}`))
  const claimed = names.map(name => owner(name).plan(engines, names.map(other => member(other)), 1000).claims.map(claim => claim.engine))
  assert.equal(claimed.flat().sort(), engines.map(({ id }) => id).sort())
  assert.equal(claimed.map(({ length }) => length).filter(count => count > 0), [12, 12, 12])
})

// Guards against scheduling many engines on the weakest machine of a zone.
test('a node with a fraction of the capacity of others does not become an owner', () => {
  const members = [member('n2', { capacity: 4 }), member('n3', { capacity: 1 })]
  assert.equal(owner('n1').plan([engine('e1'), engine('e2')], members, 1000).claims, [])
})

// Guards against a node that claims all engines because it has not discovered the others yet.
test('does not claim before nodes that start together have discovered each other', () => {
  assert.equal(owner('n1').plan([engine('e1')], [], 100).claims, [])
})

const restoredRecord = (engineId: string, node: string, offset: number, era?: number): ReturnType<typeof record> => {
  const made = record(engineId, node, 1, logPosition(2, offset))
  return { ...made, value: { ...made.value, ...(era === undefined ? {} : { era }) } as FleetRecord }
}

// Guards against two nodes that give commands, because a restored store still names an earlier owner.
test('an owner record of the copy does not replace a later one that the store has lost', () => {
  const former = owner('n1')
  former.apply([record('e1', 'n1', 1, logPosition(1, 50)), record('e1', 'n2', 1, logPosition(1, 90))], 0)
  former.apply([restoredRecord('e1', 'n1', 50, 1)], 1000)
  assert.is(former.term('e1')?.node, 'n2')
  assert.is(former.commandsFrom('e1'), undefined)
  former.apply([restoredRecord('e1', 'n3', 70, 2)], 2000)
  assert.is(former.term('e1')?.node, 'n3')
})

// Guards against an owner that others do not know, because the store has lost its record.
test('an owner records its engines again after a restoration, without a new wait', () => {
  const current = owner('n1')
  current.apply([record('e1', 'n1', 1, logPosition(1, 50), 'n2')], 0)
  const commandsFrom = current.commandsFrom('e1')
  assert.equal(current.recordedBefore(1), [])
  assert.equal(current.recordedBefore(2), [{ engine: 'e1', after: 'n2' }])
  current.apply([restoredRecord('e1', 'n1', 51, 2)], 1000)
  assert.equal(current.recordedBefore(2), [])
  assert.is(current.commandsFrom('e1'), commandsFrom)
})

// Guards against commands of two holders within one lease, the first of which the store has forgotten.
test('a process that cannot know of lost owner records waits for a lease before its first command', () => {
  const claimOf = (node: EngineOwnership, era: number): string | undefined => node.plan([engine('e1')], [], 1000, era).claims[0]?.after
  assert.is(claimOf(owner('n1'), 1), undefined)
  assert.is(claimOf(owner('n1'), 2), lostOwner)
  const restarted = owner('n1', 2)
  restarted.apply([restoredRecord('e1', 'n1', 50, 1)], 0)
  assert.is(claimOf(restarted, 2), lostOwner)
  restarted.apply([restoredRecord('e1', 'n1', 60, 2)], 0)
  assert.is(claimOf(restarted, 2), undefined)
  const running = owner('n1')
  running.plan([], [], 0, 2)
  assert.is(running.plan([engine('e1')], [], 1000 + logFreshMs + leaseMs, 2).claims[0]?.after, undefined)
})

// Guards against commands of two holders within one lease, on engines that do not check fencing tokens.
test('a new owner waits until no command of the former one can arrive and a lease has passed', () => {
  const newOwner = owner('n2')
  newOwner.apply([record('e1', 'n1', 1, 5)], 0)
  assert.equal(newOwner.plan([engine('e1')], [member('n1', { state: 'dead' }), member('n3', { zone: 'b' }), member('n4', { zone: 'b' })], 1000).claims, [{ engine: 'e1', reason: 'owner-dead', after: 'n1' }])
  newOwner.apply([record('e1', 'n2', 1, 9, 'n1')], 1000)
  assert.ok(newOwner.commandsFrom('e1')! >= 1000 + logFreshMs + leaseMs)
})

test('the wait counts from the end of a former owner that announced it', () => {
  const newOwner = owner('n2')
  newOwner.apply([record('e1', 'n1', 1, 5)], 0)
  newOwner.nodeStopped('n1', 1, 500)
  newOwner.apply([record('e1', 'n2', 1, 9, 'n1')], 2500)
  const from = newOwner.commandsFrom('e1')!
  assert.ok(from >= 500 + leaseMs && from < 500 + leaseMs + 1000)
})

// Guards against relying on the announcement of an earlier process when a later one of the same node gave commands.
test('the announced end of another process of the former owner does not shorten the wait', () => {
  const newOwner = owner('n2')
  newOwner.apply([record('e1', 'n1', 2, 5)], 0)
  newOwner.nodeStopped('n1', 1, 0)
  newOwner.apply([record('e1', 'n2', 1, 9, 'n1')], 1000)
  assert.ok(newOwner.commandsFrom('e1')! >= 1000 + logFreshMs + leaseMs)
})

test('a new process of the same node continues at once, but repeats a wait that was not over', () => {
  const restarted = owner('n1', 2)
  restarted.apply([record('e1', 'n1', 1, 5), record('e2', 'n1', 1, 6, 'n9')], 0)
  assert.equal(restarted.plan([engine('e1'), engine('e2')], [], 10).claims, [{ engine: 'e1', reason: 'restarted' }, { engine: 'e2', reason: 'restarted', after: 'n9' }])
  restarted.apply([record('e1', 'n1', 2, 7), record('e2', 'n1', 2, 8, 'n9')], 20)
  assert.is(restarted.commandsFrom('e1'), 20)
  assert.ok(restarted.commandsFrom('e2')! >= 20 + leaseMs)
})

test('does not claim the engines of an owner that is leaving or has just restarted', () => {
  const other = owner('n2')
  other.apply([record('e1', 'n1', 1, 5)], 0)
  assert.equal(other.plan([engine('e1')], [member('n1', { state: 'leaving' })], 1000).claims, [])
  assert.equal(other.plan([engine('e1')], [member('n1', { incarnation: 2 })], 1000).claims, [])
})

// Guards against a node that is partitioned from most others and claims engines whose owner still works.
test('does not claim engines of a dead owner without a majority', () => {
  const isolated = owner('n2')
  isolated.apply([record('e1', 'n1', 1, 5)], 0)
  const dead = ['n1', 'n3', 'n4'].map(name => member(name, { state: 'dead' }))
  assert.equal(isolated.plan([engine('e1')], dead, 1000).claims, [])
})

test('gives no more commands when a newer record names another node', () => {
  const former = owner('n1')
  former.apply([record('e1', 'n1', 1, 5)], 0)
  assert.is(former.commandsFrom('e1'), 0)
  former.apply([record('e1', 'n2', 1, 9, 'n1')], 100)
  assert.is(former.commandsFrom('e1'), undefined)
})

// Guards against an owner that was suspended or partitioned and gives commands after another has taken over.
test('excludes a new owner only while the end of the log was read recently', () => {
  const freshness = createLogFreshness()
  assert.not.ok(freshness.excludesNewOwner(0, 9))
  freshness.read(1000, 10)
  assert.ok(freshness.excludesNewOwner(1000 + logFreshMs, 9))
  assert.not.ok(freshness.excludesNewOwner(1001 + logFreshMs, 9))
  freshness.peerRead(10, 2700)
  assert.ok(freshness.excludesNewOwner(3500, 9))
  freshness.peerRead(11, 4700)
  assert.not.ok(freshness.excludesNewOwner(5000, 9), 'the peer has read further than this node')
  freshness.read(6000, 11)
  freshness.suspended(6100)
  assert.not.ok(freshness.excludesNewOwner(6100, 9))
  freshness.read(6050, 11)
  assert.not.ok(freshness.excludesNewOwner(6100, 9), 'the read was sent before the suspension')
  freshness.peerRead(11, 6050)
  for (const node of ['n1', 'n2', 'n3', 'n4', 'n5']) freshness.unreachable(node, 6050, 11)
  assert.not.ok(freshness.excludesNewOwner(6100, 9), 'the peers were asked before the suspension')
})

// Guards against a stop of all loads during an outage of the store that all nodes observe.
test('excludes a new owner while most nodes cannot reach the log', () => {
  const freshness = createLogFreshness()
  freshness.read(0, 10)
  for (const node of ['n1', 'n2', 'n3', 'n4']) freshness.unreachable(node, 5000, 10)
  assert.not.ok(freshness.excludesNewOwner(5100, 9))
  freshness.unreachable('n5', 5000, 10)
  assert.ok(freshness.excludesNewOwner(5100, 9))
  assert.not.ok(freshness.excludesNewOwner(7000, 9))
  freshness.unreachable('n5', 7000, 10)
  freshness.suspended(7100)
  assert.not.ok(freshness.excludesNewOwner(7100, 1))
})

// Guards against an owner that was frozen during a takeover and gives commands beside its successor in an outage of the store.
test('does not exclude a new owner if a node that cannot reach the log knows of a later record', () => {
  const freshness = createLogFreshness()
  freshness.read(0, 10)
  for (const node of ['n1', 'n2', 'n3', 'n4', 'n5', 'n6']) freshness.unreachable(node, 5000, node === 'n6' ? 11 : 10)
  assert.not.ok(freshness.excludesNewOwner(5100, 9))
  assert.is(freshness.knownEnd(), 11, 'the position is passed on to others that ask')
  freshness.read(5200, 11)
  for (const node of ['n1', 'n2', 'n3', 'n4', 'n5']) freshness.unreachable(node, 8000, 11)
  assert.ok(freshness.excludesNewOwner(8100, 9))
})

// Guards against counting nodes that have just started and know nothing of the log.
test('a node that has never read the log does not count among those that cannot reach it', () => {
  const freshness = createLogFreshness()
  freshness.read(0, 10)
  for (const node of ['n1', 'n2', 'n3', 'n4', 'n5']) freshness.unreachable(node, 5000, -1)
  assert.not.ok(freshness.excludesNewOwner(5100, 9))
})

test.run()
