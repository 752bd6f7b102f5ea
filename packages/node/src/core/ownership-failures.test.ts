import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CoreAction } from './core-events'
import { createCoreSimulation, type CoreSimulation, type CoreSimulationOptions } from './testing/core-simulation'

const threeNodes = (options: Partial<CoreSimulationOptions> = {}): CoreSimulation => {
  const world = createCoreSimulation({ nodes: ['n1', 'n2', 'n3'], engines: ['e1', 'e2'], ...options })
  world.advance(4_000)
  return world
}

const until = (world: CoreSimulation, condition: () => boolean, limitMs: number): number => {
  const start = world.clock.now()
  while (!condition() && world.clock.now() - start < limitMs) {
    world.advance(10)
  }
  assert.ok(condition(), `the condition does not hold after ${limitMs} ms`)
  return world.clock.now() - start
}

const ownerOf = (world: CoreSimulation, engine: string): string => {
  const owner = world.ownerOf(engine)
  assert.ok(owner !== undefined, `${engine} has no owner`)
  return owner
}

const countActions = (world: CoreSimulation, node: string, type: CoreAction['type'], since = 0): number =>
  world.trace.filter(entry => entry.node === node && entry.action.type === type && entry.at >= since).length

const evictedInUse = (world: CoreSimulation): number => [...world.engines.values()].reduce((sum, engine) => sum + engine.stats().evictedInUse, 0)

/** Asks for more adapters than the engine has slots, so that its owner has to evict. */
const pressSlots = (world: CoreSimulation, node: string, prefix: string, count = 10): void => {
  for (let number = 0; number < count; number += 1) {
    world.submit(node, { requestId: `${prefix}${number}`, adapter: `a${number % 10}`, maxTokens: 5 })
  }
}

const oneEngine = (checksFencing: boolean, reportLagMs = 200): CoreSimulation =>
  threeNodes({ engines: ['e1'], engine: { checksFencing, reportLagMs, slots: 2 } })

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'an engine that checks fencing numbers' : 'an engine that ignores fencing numbers'

  test(`${kind}: a paused owner's running request is not cut off, and its slots are free after it wakes`, () => {
    const world = oneEngine(checksFencing)
    const owner = ownerOf(world, 'e1')
    world.submit(owner, { requestId: 'long0', adapter: 'a0', maxTokens: 4_000, class: 'long', deadline: 600_000 })
    world.submit(owner, { requestId: 'short1', adapter: 'a1', maxTokens: 1 })
    world.advance(2_000)
    world.node(owner).pause()
    until(world, () => ownerOf(world, 'e1') !== owner, 15_000)
    const successor = ownerOf(world, 'e1')
    pressSlots(world, successor, 'x', 4)
    world.advance(20_000)
    const unloads = world.trace.filter(({ node, action }) => node === successor && action.type === 'record' && action.kind === 'unload')
    assert.is(unloads.length, 0, 'both slots may be in use by the paused owner')
    assert.is(world.responses.get('x0').end, 'length', 'the resident adapter serves the new owner at once')
    world.node(owner).resume()
    world.advance(60_000)
    assert.is(evictedInUse(world), 0)
    assert.is(world.responses.get('long0').tokens.length, 4_000)
    pressSlots(world, successor, 'y', 4)
    world.advance(20_000)
    assert.equal(['y0', 'y1', 'y2', 'y3'].map(id => world.responses.get(id).end), ['length', 'length', 'length', 'length'])
  })

  test(`${kind}: a command that the old owner sent before its pause arrives late without cutting off the successor's work`, () => {
    const world = oneEngine(checksFencing)
    const owner = ownerOf(world, 'e1')
    pressSlots(world, owner, 'x', 2)
    world.advance(3_000)
    const engine = world.engines.get('e1')
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
    world.submit(owner, { requestId: 'third', adapter: 'a5', maxTokens: 5 })
    until(world, () => delayed.length > 0, 10_000)
    world.node(owner).kill(500)
    until(world, () => ownerOf(world, 'e1') !== owner, 15_000)
    const successor = ownerOf(world, 'e1')
    world.submit(successor, { requestId: 'a', adapter: 'a0', maxTokens: 400 })
    world.submit(successor, { requestId: 'b', adapter: 'a1', maxTokens: 400 })
    world.advance(3_000)
    delayed.forEach(run => run())
    world.advance(30_000)
    assert.is(evictedInUse(world), 0)
    assert.equal(['a', 'b'].map(id => world.responses.get(id).end), ['length', 'length'])
  })
}

test('a node dies: the next in rank takes over within 6 s and the stream is resumed whole', () => {
  const world = threeNodes()
  const owner = ownerOf(world, 'e1')
  const entry = ['n1', 'n2', 'n3'].find(id => id !== owner) ?? ''
  world.submit(owner, { requestId: 'r', adapter: 'a0', maxTokens: 1_500 })
  world.advance(2_000)
  world.node(owner).kill(10_000)
  const gap = until(world, () => ownerOf(world, 'e1') !== owner, 15_000)
  assert.ok(gap < 6_000, `${gap} ms without an owner`)
  world.advance(30_000)
  assert.is(world.responses.get('r').tokens.length, 1_500)
  world.submit(entry, { requestId: 'later', adapter: 'a0' })
  world.advance(3_000)
  assert.is(world.responses.get('later').end, 'length')
})

test('two successors at once: the log makes one of them the owner and the other gives way', () => {
  const world = threeNodes({ engines: ['e1'] })
  const owner = ownerOf(world, 'e1')
  world.nodes.forEach(node => { node.isolated = true })
  world.node(owner).kill(500)
  world.advance(15_000)
  const holders = [...world.nodes.values()].filter(node => node.alive && node.core.watchedEngines().includes('e1'))
  assert.equal(holders.map(({ id }) => id), [ownerOf(world, 'e1')])
})

test('a log outage: owners keep serving, takeovers wait for its end', () => {
  const world = threeNodes()
  const owner = ownerOf(world, 'e1')
  const other = ['n1', 'n2', 'n3'].find(id => id !== owner) ?? ''
  world.log.setOutage(true)
  world.advance(10_000)
  world.submit(other, { requestId: 'during', adapter: 'a3' })
  world.advance(3_000)
  assert.is(world.responses.get('during').end, 'length')
  world.node(owner).kill(500)
  world.advance(15_000)
  assert.is(ownerOf(world, 'e1'), owner)
  world.log.setOutage(false)
  until(world, () => ownerOf(world, 'e1') !== owner, 10_000)
})

test('a node without contact to log and peers refuses new work as not run after 6 s', () => {
  const world = threeNodes()
  world.log.setOutage(true)
  world.node('n1').isolated = true
  world.advance(12_000)
  world.submit('n1', { requestId: 'late' })
  world.advance(500)
  assert.equal(world.responses.get('late').refusals.map(({ outcome }) => outcome), ['not-run'])
  world.submit('n2', { requestId: 'peered' })
  world.advance(5_000)
  assert.is(world.responses.get('peered').end, 'length', 'nodes that hear peers of the same revision go on')
})

test('drain: running requests end whole, the engines are handed over, and the node may exit', () => {
  const world = threeNodes()
  const owner = ownerOf(world, 'e1')
  world.submit(owner, { requestId: 'r', adapter: 'a0', maxTokens: 1_000 })
  world.advance(1_500)
  world.node(owner).deliver({ type: 'drain' })
  const handedOver = until(world, () => ownerOf(world, 'e1') !== owner, 5_000)
  assert.ok(handedOver < 2_000, `the first in rank does not wait, but it took ${handedOver} ms`)
  world.advance(1_000)
  assert.ok(world.node(owner).alive, 'its own request still runs')
  until(world, () => world.node(owner).exited, 40_000)
  assert.is(world.responses.get('r').tokens.length, 1_000)
  assert.is(evictedInUse(world), 0)
})

test('a drained node exits although the log is down', () => {
  const world = threeNodes()
  world.log.setOutage(true)
  world.advance(1_000)
  const owner = ownerOf(world, 'e1')
  world.node(owner).deliver({ type: 'drain' })
  until(world, () => world.node(owner).exited, 15_000)
})

test('addresses name live owners of the adapter\'s engines first and leave out nodes that failed or leave', () => {
  const world = threeNodes()
  const [first, second] = [ownerOf(world, 'e1'), ownerOf(world, 'e2')]
  const addressesAt = (node: string): string[] =>
    world.node(node).core.addresses({ model: 'base:a0@1' }, world.clock.now()).addresses.map(({ address }) => address)
  const other = ['n1', 'n2', 'n3'].find(id => id !== first) ?? ''
  assert.equal(new Set(addressesAt(other)), new Set([`${first}:1`, `${second}:1`]))
  world.node(first).deliver({ type: 'drain' })
  world.advance(3_000)
  assert.not(addressesAt(other).includes(`${first}:1`))
})

test('a leaving engine gets no new work, and what was queued for it runs elsewhere', () => {
  const world = threeNodes()
  pressSlots(world, 'n1', 'x', 10)
  world.advance(100)
  world.instanceList.leave('e1')
  const since = world.clock.now() + 3_000
  world.advance(30_000)
  pressSlots(world, 'n2', 'y', 10)
  world.advance(30_000)
  const late = world.trace.filter(({ at, action }) => at >= since && action.type === 'dispatch' && action.engine === 'e1')
  assert.is(late.length, 0)
  const ends = ['x', 'y'].flatMap(prefix => Array.from({ length: 10 }, (_, number) => world.responses.get(`${prefix}${number}`).end))
  assert.ok(ends.every(end => end === 'length'), String(ends))
})

test('an engine that was leaving and is live again gets work', () => {
  const world = threeNodes({ engines: ['e1'] })
  world.instanceList.leave('e1')
  world.advance(5_000)
  world.instanceList.put({ id: 'e1', kind: 'engine', address: '', zone: 'z1', region: 'r1', group: 'engines', state: 'live' })
  world.advance(3_000)
  world.submit('n1', { requestId: 'r' })
  world.advance(5_000)
  assert.is(world.responses.get('r').end, 'length')
})

test('an engine restarts cold: requests without a token run again, others are unknown', () => {
  const world = threeNodes({ engines: ['e1'], engine: { checksFencing: true } })
  world.submit('n1', { requestId: 'running', maxTokens: 2_000, class: 'long', deadline: 600_000 })
  world.advance(3_000)
  assert.ok(world.responses.get('running').tokens.length > 0)
  world.submit('n1', { requestId: 'waiting', adapter: 'a7' })
  world.advance(20)
  world.engines.get('e1')?.restart(500)
  world.advance(15_000)
  assert.equal(world.responses.get('running').refusals.map(({ outcome }) => outcome), ['unknown'])
  assert.is(world.responses.get('waiting').end, 'length')
})

test('a new node that finds the start of the log dropped uses the snapshots', () => {
  const world = threeNodes({ config: { logRetentionMs: 30_000 } })
  world.advance(60_000)
  const [config, ownership] = ['config', 'ownership'].map(stream => world.log.peek(stream).records)
  assert.ok(config !== undefined && ownership !== undefined)
  const snapshotAt = (records: typeof config): number => records.findLast(({ value }) => (value as { type: string }).type === 'snapshot')?.offset ?? -1
  assert.ok(snapshotAt(config) > 0 && snapshotAt(ownership) > 0, 'both streams have a snapshot')
  const idle = ['n1', 'n2', 'n3'].find(id => id !== ownerOf(world, 'e1')) ?? ''
  world.log.expire('config', snapshotAt(config))
  world.log.expire('ownership', snapshotAt(ownership))
  world.node(idle).kill(500)
  world.advance(2_000)
  world.node(idle).restart()
  world.advance(3_000)
  world.submit(idle, { requestId: 'r' })
  world.advance(5_000)
  assert.is(world.responses.get('r').end, 'length')
})

test('an idle system appends nothing to the ownership stream and sends few messages', () => {
  const world = threeNodes()
  world.advance(10_000)
  const records = world.log.peek('ownership').next
  const since = world.clock.now()
  world.advance(60_000)
  assert.is(world.log.peek('ownership').next, records)
  const perSecond = countActions(world, 'n1', 'send', since) / 60
  assert.ok(perSecond < 10, `${perSecond} messages per second`)
})

test.run()
