/** Each hook disables one rule, and each test verifies that the violation is detected. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CoreHooks } from './core-config'
import { createCoreSimulation, type CoreSimulation } from './testing/core-simulation'

const createSimulationWith = (hooks: CoreHooks, checksFencing = true): CoreSimulation => {
  const simulation = createCoreSimulation({ nodes: ['n1', 'n2', 'n3'], engines: ['e1'], engine: { checksFencing, reportLagMs: 200, slots: 2 }, hooks })
  simulation.advance(6_000)
  return simulation
}

const keyOf = (simulation: CoreSimulation): string => `${simulation.node('n1').core.addresses({ service: 'desk' }, simulation.clock.now()).orderKeyPrefix ?? ''}order-aaaa`

/** Pauses the owner during a long request, then submits requests for which its successor needs slots. */
const pauseOwnerUnderLoad = (simulation: CoreSimulation): void => {
  const owner = simulation.ownerOf('e1') ?? ''
  simulation.submit(owner, { requestId: 'long', adapter: 'a0', maxTokens: 8_000, class: 'long', deadline: 600_000 })
  simulation.submit(owner, { requestId: 'other', adapter: 'a1', maxTokens: 1 })
  simulation.advance(2_000)
  simulation.node(owner).pause()
  simulation.advance(12_000)
  const successor = simulation.ownerOf('e1') ?? ''
  for (let index = 2; index < 8; index += 1) {
    simulation.submit(successor, { requestId: `x${index}`, adapter: `a${index}`, maxTokens: 3 })
  }
  simulation.advance(20_000)
}

test('evicting pinned handles fails an assertion of the core', () => {
  assert.throws(() => pauseOwnerUnderLoad(createSimulationWith({ evictPinned: true })), /a predecessor or a lost request may be using/)
})

test('evicting pinned handles is detected by the engine when the assertions are disabled', () => {
  const simulation = createSimulationWith({ evictPinned: true, skipAssertions: true })
  pauseOwnerUnderLoad(simulation)
  assert.ok((simulation.engines.get('e1')?.stats().evictedInUse ?? 0) > 0, 'the request of the paused owner was interrupted')
})

test('skipping the claim read-back runs an order twice', () => {
  const simulation = createSimulationWith({ skipClaimReadBack: true })
  const key = keyOf(simulation)
  simulation.nodes.forEach(node => { node.isolated = true })
  simulation.advance(8_000)
  simulation.nodes.forEach(node => simulation.order(node.id, { orderId: node.id, key }))
  simulation.advance(5_000)
  assert.ok(simulation.service.executions(key) > 1)
})

test('sending after giving up runs an order that was refused as not run', () => {
  const simulation = createSimulationWith({ sendAfterGiveUp: true })
  const key = keyOf(simulation)
  simulation.log.delayNextAppend(3_000)
  simulation.order('n1', { orderId: 'o1', key, deadline: simulation.clock.now() + 1_000 })
  simulation.advance(10_000)
  const result = simulation.orders.get('o1')
  assert.ok(result?.type === 'refused')
  assert.is(simulation.service.executions(key), 1)
})

test('skipping the read-back of an eviction intent unloads an adapter without a record in the log', () => {
  const simulation = createSimulationWith({ skipIntentReadBack: true }, false)
  for (let index = 0; index < 6; index += 1) {
    simulation.submit('n1', { requestId: `x${index}`, adapter: `a${index}`, maxTokens: 3 })
  }
  simulation.advance(15_000)
  const unloads = simulation.trace.filter(({ action }) => action.type === 'engine-command' && action.command.type === 'unload')
  assert.ok(unloads.length > 0)
  assert.is(simulation.log.peek('ownership').records.filter(({ value }) => (value as { type: string }).type === 'evict').length, 0)
})

test('accepting an older configuration fails an assertion of the core', () => {
  const simulation = createSimulationWith({ acceptOlderConfig: true })
  const envelope = { from: 'n2', to: 'n1', incarnation: 1_000, revision: -1, message: { type: 'config-state', state: { position: 0, entries: [], ids: [] } } }
  assert.throws(() => simulation.node('n1').deliver({ type: 'message', envelope }), /configuration goes back/)
})

test('ignoring that an engine is leaving sends it new work', () => {
  const simulation = createSimulationWith({ ignoreLeaving: true })
  simulation.instanceList.leave('e1')
  simulation.advance(5_000)
  const leavingSince = simulation.clock.now()
  simulation.submit('n1', { requestId: 'r' })
  simulation.advance(5_000)
  assert.ok(simulation.trace.some(({ at, action }) => at >= leavingSince && action.type === 'dispatch'))
})

test('a dispatch to a wrong handle shows in the text of the response', () => {
  const simulation = createSimulationWith({ dispatchToWrongHandle: true })
  const owner = simulation.ownerOf('e1') ?? ''
  simulation.submit(owner, { requestId: 'one', adapter: 'a1', maxTokens: 2 })
  simulation.submit(owner, { requestId: 'two', adapter: 'a2', maxTokens: 2 })
  simulation.advance(5_000)
  simulation.node(owner).kill(500)
  simulation.advance(12_000)
  const other = simulation.ownerOf('e1') ?? ''
  simulation.submit(other, { requestId: 'wrong', adapter: 'a1', maxTokens: 2 })
  simulation.advance(5_000)
  assert.is.not(simulation.responses.get('wrong').tokens[0], 'a1@1')
})

test.run()
