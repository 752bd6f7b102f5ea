import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CoreAction } from './core-events'
import { createCoreSimulation, type CoreSimulation, type CoreSimulationOptions } from './testing/core-simulation'

const createThreeNodes = (options: Partial<CoreSimulationOptions> = {}): CoreSimulation => {
  const simulation = createCoreSimulation({ nodes: ['n1', 'n2', 'n3'], engines: ['e1', 'e2'], ...options })
  simulation.advance(4_000)
  return simulation
}

const advanceUntil = (simulation: CoreSimulation, condition: () => boolean, limitMs: number): number => {
  const start = simulation.clock.now()
  while (!condition() && simulation.clock.now() - start < limitMs) {
    simulation.advance(10)
  }
  assert.ok(condition(), `the condition does not hold after ${limitMs} ms`)
  return simulation.clock.now() - start
}

const ownerOf = (simulation: CoreSimulation, engine: string): string => {
  const owner = simulation.ownerOf(engine)
  assert.ok(owner !== undefined, `${engine} has no owner`)
  return owner
}

const countActions = (simulation: CoreSimulation, node: string, type: CoreAction['type'], since = 0): number =>
  simulation.trace.filter(entry => entry.node === node && entry.action.type === type && entry.at >= since).length

const evictedInUse = (simulation: CoreSimulation): number => [...simulation.engines.values()].reduce((sum, engine) => sum + engine.stats().evictedInUse, 0)

/** Submits requests for more adapters than the engine has slots, so that its owner must evict. */
const submitToManyAdapters = (simulation: CoreSimulation, node: string, prefix: string, count = 10): void => {
  for (let number = 0; number < count; number += 1) {
    simulation.submit(node, { requestId: `${prefix}${number}`, adapter: `a${number % 10}`, maxTokens: 5 })
  }
}

const createOneEngine = (checksFencing: boolean, reportLagMs = 200): CoreSimulation =>
  createThreeNodes({ engines: ['e1'], engine: { checksFencing, reportLagMs, slots: 2 } })

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'an engine that checks fencing tokens' : 'an engine that ignores fencing tokens'

  test(`${kind}: a paused owner's running request is not interrupted, and its slots are free after it resumes`, () => {
    const simulation = createOneEngine(checksFencing)
    const owner = ownerOf(simulation, 'e1')
    simulation.submit(owner, { requestId: 'long0', adapter: 'a0', maxTokens: 4_000, class: 'long', deadline: 600_000 })
    simulation.submit(owner, { requestId: 'short1', adapter: 'a1', maxTokens: 1 })
    simulation.advance(2_000)
    simulation.node(owner).pause()
    advanceUntil(simulation, () => ownerOf(simulation, 'e1') !== owner, 15_000)
    const successor = ownerOf(simulation, 'e1')
    submitToManyAdapters(simulation, successor, 'x', 4)
    simulation.advance(20_000)
    const unloads = simulation.trace.filter(({ node, action }) => node === successor && action.type === 'record' && action.kind === 'unload')
    assert.is(unloads.length, 0, 'both slots may be in use by the paused owner')
    assert.is(simulation.responses.get('x0').end, 'length', 'the resident adapter serves the new owner at once')
    simulation.node(owner).resume()
    simulation.advance(60_000)
    assert.is(evictedInUse(simulation), 0)
    assert.is(simulation.responses.get('long0').tokens.length, 4_000)
    submitToManyAdapters(simulation, successor, 'y', 4)
    simulation.advance(20_000)
    assert.equal(['y0', 'y1', 'y2', 'y3'].map(id => simulation.responses.get(id).end), ['length', 'length', 'length', 'length'])
  })

  test(`${kind}: a late command of the former owner does not interrupt the new owner's requests`, () => {
    const simulation = createOneEngine(checksFencing)
    const owner = ownerOf(simulation, 'e1')
    submitToManyAdapters(simulation, owner, 'x', 2)
    simulation.advance(3_000)
    const engine = simulation.engines.get('e1')
    assert.ok(engine !== undefined)
    const command = engine.command.bind(engine)
    const delayed: (() => void)[] = []
    engine.command = (value, fence, done) => {
      if (value.type === 'unload' && value.handle.startsWith('a') && fence === 0) {
        delayed.push(() => command(value, fence, done))
      } else {
        command(value, fence, done)
      }
    }
    simulation.submit(owner, { requestId: 'third', adapter: 'a5', maxTokens: 5 })
    advanceUntil(simulation, () => delayed.length > 0, 10_000)
    simulation.node(owner).kill(500)
    advanceUntil(simulation, () => ownerOf(simulation, 'e1') !== owner, 15_000)
    const successor = ownerOf(simulation, 'e1')
    simulation.submit(successor, { requestId: 'a', adapter: 'a0', maxTokens: 400 })
    simulation.submit(successor, { requestId: 'b', adapter: 'a1', maxTokens: 400 })
    simulation.advance(3_000)
    delayed.forEach(run => run())
    simulation.advance(30_000)
    assert.is(evictedInUse(simulation), 0)
    assert.equal(['a', 'b'].map(id => simulation.responses.get(id).end), ['length', 'length'])
  })
}

test('when a node fails, the next in rank takes over within 6 s and resumes the whole stream', () => {
  const simulation = createThreeNodes()
  const owner = ownerOf(simulation, 'e1')
  const entry = ['n1', 'n2', 'n3'].find(id => id !== owner) ?? ''
  simulation.submit(owner, { requestId: 'r', adapter: 'a0', maxTokens: 1_500 })
  simulation.advance(2_000)
  simulation.node(owner).kill(10_000)
  const gap = advanceUntil(simulation, () => ownerOf(simulation, 'e1') !== owner, 15_000)
  assert.ok(gap < 6_000, `${gap} ms without an owner`)
  simulation.advance(30_000)
  assert.is(simulation.responses.get('r').tokens.length, 1_500)
  simulation.submit(entry, { requestId: 'later', adapter: 'a0' })
  simulation.advance(3_000)
  assert.is(simulation.responses.get('later').end, 'length')
})

test('of two concurrent successors, the log makes one the owner and the other does not serve the engine', () => {
  const simulation = createThreeNodes({ engines: ['e1'] })
  const owner = ownerOf(simulation, 'e1')
  simulation.nodes.forEach(node => { node.isolated = true })
  simulation.node(owner).kill(500)
  simulation.advance(15_000)
  const owners = [...simulation.nodes.values()].filter(node => node.alive && node.core.watchedEngines().includes('e1'))
  assert.equal(owners.map(({ id }) => id), [ownerOf(simulation, 'e1')])
})

test('during a log outage owners keep serving, and takeovers wait until it ends', () => {
  const simulation = createThreeNodes()
  const owner = ownerOf(simulation, 'e1')
  const other = ['n1', 'n2', 'n3'].find(id => id !== owner) ?? ''
  simulation.log.setOutage(true)
  simulation.advance(10_000)
  simulation.submit(other, { requestId: 'during', adapter: 'a3' })
  simulation.advance(3_000)
  assert.is(simulation.responses.get('during').end, 'length')
  simulation.node(owner).kill(500)
  simulation.advance(15_000)
  assert.is(ownerOf(simulation, 'e1'), owner)
  simulation.log.setOutage(false)
  advanceUntil(simulation, () => ownerOf(simulation, 'e1') !== owner, 10_000)
})

test('a node without contact with the log and peers refuses new work as not run after 6 s', () => {
  const simulation = createThreeNodes()
  simulation.log.setOutage(true)
  simulation.node('n1').isolated = true
  simulation.advance(12_000)
  simulation.submit('n1', { requestId: 'late' })
  simulation.advance(500)
  assert.equal(simulation.responses.get('late').refusals.map(({ outcome }) => outcome), ['not-run'])
  simulation.submit('n2', { requestId: 'peered' })
  simulation.advance(5_000)
  assert.is(simulation.responses.get('peered').end, 'length', 'nodes in contact with peers of the same revision keep serving')
})

test('drain: running requests complete, the engines are handed over, and the node exits', () => {
  const simulation = createThreeNodes()
  const owner = ownerOf(simulation, 'e1')
  simulation.submit(owner, { requestId: 'r', adapter: 'a0', maxTokens: 1_000 })
  simulation.advance(1_500)
  simulation.node(owner).deliver({ type: 'drain' })
  const handedOver = advanceUntil(simulation, () => ownerOf(simulation, 'e1') !== owner, 5_000)
  assert.ok(handedOver < 2_000, `the first in rank does not wait, but it took ${handedOver} ms`)
  simulation.advance(1_000)
  assert.ok(simulation.node(owner).alive, 'its own request still runs')
  advanceUntil(simulation, () => simulation.node(owner).exited, 40_000)
  assert.is(simulation.responses.get('r').tokens.length, 1_000)
  assert.is(evictedInUse(simulation), 0)
})

test('a draining node exits during a log outage', () => {
  const simulation = createThreeNodes()
  simulation.log.setOutage(true)
  simulation.advance(1_000)
  const owner = ownerOf(simulation, 'e1')
  simulation.node(owner).deliver({ type: 'drain' })
  advanceUntil(simulation, () => simulation.node(owner).exited, 15_000)
})

test('address responses contain the owners of the adapter\'s engines and omit nodes that are leaving', () => {
  const simulation = createThreeNodes()
  const [first, second] = [ownerOf(simulation, 'e1'), ownerOf(simulation, 'e2')]
  const addressesAt = (node: string): string[] =>
    simulation.node(node).core.addresses({ model: 'base:a0@1' }, simulation.clock.now()).addresses.map(({ address }) => address)
  const other = ['n1', 'n2', 'n3'].find(id => id !== first) ?? ''
  assert.equal(new Set(addressesAt(other)), new Set([`${first}:1`, `${second}:1`]))
  simulation.node(first).deliver({ type: 'drain' })
  simulation.advance(3_000)
  assert.not(addressesAt(other).includes(`${first}:1`))
})

test('a leaving engine gets no new work, and its queued requests run elsewhere', () => {
  const simulation = createThreeNodes()
  submitToManyAdapters(simulation, 'n1', 'x', 10)
  simulation.advance(100)
  simulation.instanceList.leave('e1')
  const leavingSince = simulation.clock.now() + 3_000
  simulation.advance(30_000)
  submitToManyAdapters(simulation, 'n2', 'y', 10)
  simulation.advance(30_000)
  const late = simulation.trace.filter(({ at, action }) => at >= leavingSince && action.type === 'dispatch' && action.engine === 'e1')
  assert.is(late.length, 0)
  const ends = ['x', 'y'].flatMap(prefix => Array.from({ length: 10 }, (_, number) => simulation.responses.get(`${prefix}${number}`).end))
  assert.ok(ends.every(end => end === 'length'), String(ends))
})

test('an engine that was leaving and is live again gets work', () => {
  const simulation = createThreeNodes({ engines: ['e1'] })
  simulation.instanceList.leave('e1')
  simulation.advance(5_000)
  simulation.instanceList.put({ id: 'e1', kind: 'engine', address: '', zone: 'z1', region: 'r1', group: 'engines', state: 'live' })
  simulation.advance(3_000)
  simulation.submit('n1', { requestId: 'r' })
  simulation.advance(5_000)
  assert.is(simulation.responses.get('r').end, 'length')
})

test('after an engine restart, requests without a token run again and others are unknown', () => {
  const simulation = createThreeNodes({ engines: ['e1'], engine: { checksFencing: true } })
  simulation.submit('n1', { requestId: 'running', maxTokens: 2_000, class: 'long', deadline: 600_000 })
  simulation.advance(3_000)
  assert.ok(simulation.responses.get('running').tokens.length > 0)
  simulation.submit('n1', { requestId: 'waiting', adapter: 'a7' })
  simulation.advance(20)
  simulation.engines.get('e1')?.restart(500)
  simulation.advance(15_000)
  assert.equal(simulation.responses.get('running').refusals.map(({ outcome }) => outcome), ['unknown'])
  assert.is(simulation.responses.get('waiting').end, 'length')
})

test('a new node uses the snapshots when the start of the log has expired', () => {
  const simulation = createThreeNodes({ config: { logRetentionMs: 30_000 } })
  simulation.advance(60_000)
  const [config, ownership] = ['config', 'ownership'].map(stream => simulation.log.peek(stream).records)
  assert.ok(config !== undefined && ownership !== undefined)
  const snapshotAt = (records: typeof config): number => records.findLast(({ value }) => (value as { type: string }).type === 'snapshot')?.offset ?? -1
  assert.ok(snapshotAt(config) > 0 && snapshotAt(ownership) > 0, 'both streams have a snapshot')
  const idle = ['n1', 'n2', 'n3'].find(id => id !== ownerOf(simulation, 'e1')) ?? ''
  simulation.log.expire('config', snapshotAt(config))
  simulation.log.expire('ownership', snapshotAt(ownership))
  simulation.node(idle).kill(500)
  simulation.advance(2_000)
  simulation.node(idle).restart()
  simulation.advance(3_000)
  simulation.submit(idle, { requestId: 'r' })
  simulation.advance(5_000)
  assert.is(simulation.responses.get('r').end, 'length')
})

test('an idle system appends nothing to the ownership stream and sends few messages', () => {
  const simulation = createThreeNodes()
  simulation.advance(10_000)
  const records = simulation.log.peek('ownership').next
  const since = simulation.clock.now()
  simulation.advance(60_000)
  assert.is(simulation.log.peek('ownership').next, records)
  const perSecond = countActions(simulation, 'n1', 'send', since) / 60
  assert.ok(perSecond < 10, `${perSecond} messages per second`)
})

test.run()
