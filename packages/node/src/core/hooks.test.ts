/** Each hook breaks one rule; a check that cannot fail would not notice. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CoreHooks } from './core-config'
import { createCoreSimulation, type CoreSimulation } from './testing/core-simulation'

const createBroken = (hooks: CoreHooks, checksFencing = true): CoreSimulation => {
  const world = createCoreSimulation({ nodes: ['n1', 'n2', 'n3'], engines: ['e1'], engine: { checksFencing, reportLagMs: 200, slots: 2 }, hooks })
  world.advance(6_000)
  return world
}

const keyOf = (world: CoreSimulation): string => `${world.node('n1').core.addresses({ service: 'desk' }, world.clock.now()).orderKeyPrefix ?? ''}order-aaaa`

/** The owner pauses during a long request; its successor needs slots. */
const pauseOwner = (world: CoreSimulation): void => {
  const owner = world.ownerOf('e1') ?? ''
  world.submit(owner, { requestId: 'long', adapter: 'a0', maxTokens: 8_000, class: 'long', deadline: 600_000 })
  world.submit(owner, { requestId: 'other', adapter: 'a1', maxTokens: 1 })
  world.advance(2_000)
  world.node(owner).pause()
  world.advance(12_000)
  const successor = world.ownerOf('e1') ?? ''
  for (let number = 2; number < 8; number += 1) {
    world.submit(successor, { requestId: `x${number}`, adapter: `a${number}`, maxTokens: 3 })
  }
  world.advance(20_000)
}

test('evicting pinned handles is noticed by the core itself', () => {
  assert.throws(() => pauseOwner(createBroken({ evictPinned: true })), /a predecessor or a lost request may be using/)
})

test('evicting pinned handles is noticed by the engine when the assertions are off', () => {
  const world = createBroken({ evictPinned: true, skipAssertions: true })
  pauseOwner(world)
  assert.ok((world.engines.get('e1')?.stats().evictedInUse ?? 0) > 0, 'the request of the paused owner was cut off')
})

test('skipping the claim read-back runs an order twice', () => {
  const world = createBroken({ skipClaimReadBack: true })
  const key = keyOf(world)
  world.nodes.forEach(node => { node.isolated = true })
  world.advance(8_000)
  world.nodes.forEach(node => world.order(node.id, { orderId: node.id, key }))
  world.advance(5_000)
  assert.ok(world.service.executions(key) > 1)
})

test('sending after giving up runs an order that was refused as not run', () => {
  const world = createBroken({ sendAfterGiveUp: true })
  const key = keyOf(world)
  world.log.delayNextAppend(3_000)
  world.order('n1', { orderId: 'o1', key, deadline: world.clock.now() + 1_000 })
  world.advance(10_000)
  const result = world.orders.get('o1')
  assert.ok(result?.type === 'refused')
  assert.is(world.service.executions(key), 1)
})

test('skipping the read-back of an eviction intent unloads without a record in the log', () => {
  const world = createBroken({ skipIntentReadBack: true }, false)
  for (let number = 0; number < 6; number += 1) {
    world.submit('n1', { requestId: `x${number}`, adapter: `a${number}`, maxTokens: 3 })
  }
  world.advance(15_000)
  const unloads = world.trace.filter(({ action }) => action.type === 'engine-command' && action.command.type === 'unload')
  assert.ok(unloads.length > 0)
  assert.is(world.log.peek('ownership').records.filter(({ value }) => (value as { type: string }).type === 'evict').length, 0)
})

test('accepting an older configuration is noticed by the core itself', () => {
  const world = createBroken({ acceptOlderConfig: true })
  const envelope = { from: 'n2', to: 'n1', incarnation: 1_000, revision: -1, message: { type: 'config-state', state: { position: 0, entries: [], ids: [] } } }
  assert.throws(() => world.node('n1').deliver({ type: 'message', envelope }), /configuration goes back/)
})

test('ignoring that an engine leaves sends it work', () => {
  const world = createBroken({ ignoreLeaving: true })
  world.instanceList.leave('e1')
  world.advance(5_000)
  const since = world.clock.now()
  world.submit('n1', { requestId: 'r' })
  world.advance(5_000)
  assert.ok(world.trace.some(({ at, action }) => at >= since && action.type === 'dispatch'))
})

test('a dispatch to a wrong handle shows in the text of the answer', () => {
  const world = createBroken({ dispatchToWrongHandle: true })
  const owner = world.ownerOf('e1') ?? ''
  world.submit(owner, { requestId: 'one', adapter: 'a1', maxTokens: 2 })
  world.submit(owner, { requestId: 'two', adapter: 'a2', maxTokens: 2 })
  world.advance(5_000)
  world.node(owner).kill(500)
  world.advance(12_000)
  const other = world.ownerOf('e1') ?? ''
  world.submit(other, { requestId: 'wrong', adapter: 'a1', maxTokens: 2 })
  world.advance(5_000)
  assert.is.not(world.responses.get('wrong').tokens[0], 'a1@1')
})

test.run()
