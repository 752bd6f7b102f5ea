import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCoreSimulation, type CoreSimulation, type CoreSimulationOptions } from './testing/core-simulation'

const nodes = ['n1', 'n2', 'n3']

const createOrderSimulation = (options: Partial<CoreSimulationOptions> = {}): CoreSimulation => {
  const simulation = createCoreSimulation({ nodes, engines: [], ...options })
  simulation.advance(6_000)
  return simulation
}

const newKey = (simulation: CoreSimulation, node: string, id: string): string => {
  const { orderKeyPrefix } = simulation.node(node).core.addresses({ service: 'desk' }, simulation.clock.now())
  assert.ok(orderKeyPrefix !== undefined, `${node} has no key prefix`)
  return `${orderKeyPrefix}order-${id}`
}

const outcome = (simulation: CoreSimulation, orderId: string): string | undefined => {
  const result = simulation.orders.get(orderId)
  return result?.type === 'ok' ? String(result.response.status) : result?.refusal.outcome
}

const senderNode = (simulation: CoreSimulation): string => simulation.trace.find(({ action }) => action.type === 'send-order')?.node ?? ''

test('an order runs once, and a repeated call with its key gets the same result at any node', () => {
  const simulation = createOrderSimulation()
  const key = newKey(simulation, 'n1', 'aaaaaaaa')
  simulation.order('n1', { orderId: 'o1', key })
  simulation.advance(1_000)
  nodes.forEach((node, index) => simulation.order(node, { orderId: `again${index}`, key }))
  simulation.advance(1_000)
  assert.equal(['o1', 'again0', 'again1', 'again2'].map(id => outcome(simulation, id)), ['200', '200', '200', '200'])
  assert.is(simulation.service.executions(key), 1)
})

test('an order runs once when several nodes consider themselves the owner of its shard', () => {
  const simulation = createOrderSimulation()
  const key = newKey(simulation, 'n1', 'bbbbbbbb')
  simulation.nodes.forEach(node => { node.isolated = true })
  simulation.advance(8_000)
  nodes.forEach(node => simulation.order(node, { orderId: node, key }))
  simulation.advance(12_000)
  assert.is(simulation.service.executions(key), 1)
  assert.equal(nodes.map(id => outcome(simulation, id)), ['200', '200', '200'])
})

test('when the sender fails after sending, the outcome of the key stays unknown and it does not run again', () => {
  const simulation = createOrderSimulation()
  const key = newKey(simulation, 'n1', 'cccccccc')
  simulation.service.setDelay(2_000)
  simulation.order('n1', { orderId: 'o1', key })
  simulation.advance(500)
  const owner = senderNode(simulation)
  simulation.node(owner).kill(500)
  simulation.advance(6_000)
  const other = nodes.find(id => id !== owner) ?? ''
  simulation.order(other, { orderId: 'o2', key })
  simulation.advance(12_000)
  assert.is(outcome(simulation, 'o2'), 'unknown')
  assert.is(simulation.service.executions(key), 1)
})

test('a sender that pauses between its claim and the read-back does not send after the deadline', () => {
  const simulation = createOrderSimulation({ log: { latencyMs: 50 } })
  const key = newKey(simulation, 'n1', 'dddddddd')
  simulation.order('n1', { orderId: 'o1', key })
  simulation.advance(10)
  const appender = simulation.trace.findLast(({ action }) => action.type === 'append' && action.stream.startsWith('claims'))?.node ?? ''
  simulation.node(appender).pause()
  simulation.advance(20_000)
  simulation.node(appender).resume()
  simulation.advance(5_000)
  assert.is(simulation.service.executions(key), 0)
  assert.ok(['not-run', 'unknown'].includes(outcome(simulation, 'o1') ?? ''))
})

test('a claim whose acknowledgement is lost and that is appended late neither blocks nor repeats the order', () => {
  const simulation = createOrderSimulation()
  const key = newKey(simulation, 'n1', 'eeeeeeee')
  simulation.log.delayNextAppend(5_000)
  simulation.order('n1', { orderId: 'o1', key })
  simulation.advance(12_000)
  assert.is(outcome(simulation, 'o1'), '200')
  assert.is(simulation.service.executions(key), 1)
})

test('a lost response of the backend server is unknown, and a repeated call does not run the order again', () => {
  const simulation = createOrderSimulation()
  const key = newKey(simulation, 'n1', 'ffffffff')
  simulation.service.loseNextResponse()
  simulation.order('n1', { orderId: 'o1', key })
  simulation.advance(1_000)
  simulation.order('n2', { orderId: 'o2', key })
  simulation.advance(11_000)
  assert.equal(['o1', 'o2'].map(id => outcome(simulation, id)), ['unknown', 'unknown'])
  assert.is(simulation.service.executions(key), 1)
})

// Guards against P4: the node that handled a key may be the one that has ended, and then no node can report it.
test('during a log outage the outcome of a new order is unknown after a node has ended', () => {
  const simulation = createOrderSimulation()
  const key = newKey(simulation, 'n1', 'hhhhhhhh')
  simulation.order('n1', { orderId: 'o0', key: `${key}0` })
  simulation.advance(1_000)
  const owner = senderNode(simulation)
  simulation.log.setOutage(true)
  simulation.advance(1_000)
  simulation.node(nodes.find(id => id !== 'n1' && id !== owner) ?? '').kill(500)
  simulation.advance(8_000)
  simulation.order('n1', { orderId: 'o1', key })
  simulation.advance(2_000)
  assert.is(outcome(simulation, 'o1'), 'unknown')
})

test('during a log outage new orders are refused as not run, and the same key runs once afterwards', () => {
  const simulation = createOrderSimulation()
  const key = newKey(simulation, 'n1', 'gggggggg')
  simulation.log.setOutage(true)
  simulation.advance(1_000)
  simulation.order('n1', { orderId: 'o1', key })
  simulation.advance(2_000)
  assert.is(outcome(simulation, 'o1'), 'not-run')
  assert.is(simulation.service.executions(key), 0)
  simulation.log.setOutage(false)
  simulation.advance(5_000)
  simulation.order('n1', { orderId: 'o2', key })
  simulation.advance(3_000)
  assert.is(outcome(simulation, 'o2'), '200')
  assert.is(simulation.service.executions(key), 1)
})

test('a node that resumes from a pause during a log outage does not treat a key as new that another node has sent', () => {
  const simulation = createOrderSimulation()
  simulation.nodes.forEach(node => { node.isolated = true })
  simulation.advance(8_000)
  const key = newKey(simulation, 'n1', 'iiiiiiii')
  simulation.node('n2').pause()
  simulation.order('n1', { orderId: 'o1', key })
  simulation.advance(1_000)
  assert.is(outcome(simulation, 'o1'), '200')
  simulation.log.setOutage(true)
  simulation.nodes.forEach(node => { node.isolated = false })
  simulation.node('n2').resume()
  simulation.advance(100)
  simulation.order('n2', { orderId: 'o2', key })
  simulation.advance(12_000)
  assert.ok(['unknown', '200'].includes(outcome(simulation, 'o2') ?? ''), `the outcome is ${outcome(simulation, 'o2')}`)
  assert.is(simulation.service.executions(key), 1)
})

test('an outcome recorded before the shard moved is returned afterwards', () => {
  const simulation = createOrderSimulation()
  const key = newKey(simulation, 'n1', 'hhhhhhhh')
  simulation.order('n1', { orderId: 'o1', key })
  simulation.advance(1_000)
  const owner = senderNode(simulation)
  simulation.node(owner).kill(500)
  simulation.advance(6_000)
  simulation.order(nodes.find(id => id !== owner) ?? '', { orderId: 'o2', key })
  simulation.advance(3_000)
  assert.is(outcome(simulation, 'o2'), '200')
  assert.is(simulation.service.executions(key), 1)
})

test('attempt ids stay unique when a shard leaves a node and returns, so an old claim does not win', () => {
  const simulation = createOrderSimulation()
  const keys = nodes.flatMap(node => Array.from({ length: 8 }, (_, index) => newKey(simulation, node, `${node}-moved${index}`)))
  keys.forEach((key, index) => simulation.order('n1', { orderId: `o${index}`, key }))
  simulation.advance(1_000)
  simulation.node('n2').isolated = true
  simulation.advance(8_000)
  simulation.node('n2').isolated = false
  simulation.advance(8_000)
  keys.forEach((key, index) => simulation.order('n3', { orderId: `p${index}`, key }))
  simulation.advance(12_000)
  assert.ok(keys.every(key => simulation.service.executions(key) === 1))
})

test('an order that was delayed in transit is not sent after its caller got a response', () => {
  const simulation = createOrderSimulation()
  const keys = nodes.flatMap(node => Array.from({ length: 6 }, (_, index) => newKey(simulation, node, `${node}-late${index}`)))
  simulation.node('n2').pause()
  keys.forEach((key, index) => simulation.order('n1', { orderId: `o${index}`, key, deadline: simulation.clock.now() + 1_500 }))
  simulation.advance(2_000)
  const notRun = keys.filter((key, index) => outcome(simulation, `o${index}`) === 'unknown' && simulation.service.executions(key) === 0)
  assert.ok(notRun.length > 0, 'some shards belong to the paused node')
  simulation.node('n2').resume()
  simulation.advance(10_000)
  assert.ok(notRun.every(key => simulation.service.executions(key) === 0))
})

test('an idempotent call is retried at another instance, within the budget and the deadline', () => {
  const simulation = createOrderSimulation()
  simulation.instanceList.put({ id: 'desk-2', kind: 'service', address: '', zone: 'z1', region: 'r1', group: 'desk', state: 'live' })
  simulation.advance(1_500)
  simulation.service.loseNextResponse()
  simulation.order('n1', { orderId: 'o1' })
  simulation.advance(5_000)
  assert.is(outcome(simulation, 'o1'), '200')
  const sends = simulation.trace.flatMap(({ action }) => action.type === 'send-order' ? [action.instance] : [])
  assert.is(new Set(sends).size, 2, 'the retry goes to the instance that has not been tried')
})

test.run()
