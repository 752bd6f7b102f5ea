import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCoreSimulation, type CoreSimulation, type CoreSimulationOptions } from './testing/core-simulation'

const nodes = ['n1', 'n2', 'n3']

const createOrderWorld = (options: Partial<CoreSimulationOptions> = {}): CoreSimulation => {
  const world = createCoreSimulation({ nodes, engines: [], ...options })
  world.advance(6_000)
  return world
}

const newKey = (world: CoreSimulation, node: string, id: string): string => {
  const { orderKeyPrefix } = world.node(node).core.addresses({ service: 'desk' }, world.clock.now())
  assert.ok(orderKeyPrefix !== undefined, `${node} knows no key prefix`)
  return `${orderKeyPrefix}order-${id}`
}

const outcome = (world: CoreSimulation, orderId: string): string | undefined => {
  const result = world.orders.get(orderId)
  return result?.type === 'ok' ? String(result.response.status) : result?.refusal.outcome
}

const sender = (world: CoreSimulation): string => world.trace.find(({ action }) => action.type === 'send-order')?.node ?? ''

test('an order runs once, and a repeated call with its key gets the same result at any node', () => {
  const world = createOrderWorld()
  const key = newKey(world, 'n1', 'aaaaaaaa')
  world.order('n1', { orderId: 'o1', key })
  world.advance(1_000)
  nodes.forEach((node, index) => world.order(node, { orderId: `again${index}`, key }))
  world.advance(1_000)
  assert.equal(['o1', 'again0', 'again1', 'again2'].map(id => outcome(world, id)), ['200', '200', '200', '200'])
  assert.is(world.service.executions(key), 1)
})

test('nodes that each take themselves for the owner of the shard run an order once', () => {
  const world = createOrderWorld()
  const key = newKey(world, 'n1', 'bbbbbbbb')
  world.nodes.forEach(node => { node.isolated = true })
  world.advance(8_000)
  nodes.forEach(node => world.order(node, { orderId: node, key }))
  world.advance(12_000)
  assert.is(world.service.executions(key), 1)
  assert.equal(nodes.map(id => outcome(world, id)), ['200', '200', '200'])
})

test('the sender dies after sending: the key stays unknown and does not run again', () => {
  const world = createOrderWorld()
  const key = newKey(world, 'n1', 'cccccccc')
  world.service.setDelay(2_000)
  world.order('n1', { orderId: 'o1', key })
  world.advance(500)
  const owner = sender(world)
  world.node(owner).kill(500)
  world.advance(6_000)
  const other = nodes.find(id => id !== owner) ?? ''
  world.order(other, { orderId: 'o2', key })
  world.advance(12_000)
  assert.is(outcome(world, 'o2'), 'unknown')
  assert.is(world.service.executions(key), 1)
})

test('the sender pauses between its claim and the read-back: it does not send after the deadline', () => {
  const world = createOrderWorld({ log: { latencyMs: 50 } })
  const key = newKey(world, 'n1', 'dddddddd')
  world.order('n1', { orderId: 'o1', key })
  world.advance(10)
  const appender = world.trace.findLast(({ action }) => action.type === 'append' && action.stream.startsWith('claims'))?.node ?? ''
  world.node(appender).pause()
  world.advance(20_000)
  world.node(appender).resume()
  world.advance(5_000)
  assert.is(world.service.executions(key), 0)
  assert.ok(['not-run', 'unknown'].includes(outcome(world, 'o1') ?? ''))
})

test('a claim whose answer is lost and that lands late neither blocks nor repeats the order', () => {
  const world = createOrderWorld()
  const key = newKey(world, 'n1', 'eeeeeeee')
  world.log.delayNextAppend(5_000)
  world.order('n1', { orderId: 'o1', key })
  world.advance(12_000)
  assert.is(outcome(world, 'o1'), '200')
  assert.is(world.service.executions(key), 1)
})

test('a lost response of the back end is unknown, and asking again does not run the order', () => {
  const world = createOrderWorld()
  const key = newKey(world, 'n1', 'ffffffff')
  world.service.loseNextAnswer()
  world.order('n1', { orderId: 'o1', key })
  world.advance(1_000)
  world.order('n2', { orderId: 'o2', key })
  world.advance(11_000)
  assert.equal(['o1', 'o2'].map(id => outcome(world, id)), ['unknown', 'unknown'])
  assert.is(world.service.executions(key), 1)
})

// Guards against P4: the node that handled a key may be the one that has ended, and then nobody can say so.
test('while the log is down, the end of a node makes the answer to a new order unknown', () => {
  const world = createOrderWorld()
  const key = newKey(world, 'n1', 'hhhhhhhh')
  world.order('n1', { orderId: 'o0', key: `${key}0` })
  world.advance(1_000)
  const owner = sender(world)
  world.log.setOutage(true)
  world.advance(1_000)
  world.node(nodes.find(id => id !== 'n1' && id !== owner) ?? '').kill(500)
  world.advance(8_000)
  world.order('n1', { orderId: 'o1', key })
  world.advance(2_000)
  assert.is(outcome(world, 'o1'), 'unknown')
})

test('while the log is down new orders are refused as not run, and the same key runs once afterwards', () => {
  const world = createOrderWorld()
  const key = newKey(world, 'n1', 'gggggggg')
  world.log.setOutage(true)
  world.advance(1_000)
  world.order('n1', { orderId: 'o1', key })
  world.advance(2_000)
  assert.is(outcome(world, 'o1'), 'not-run')
  assert.is(world.service.executions(key), 0)
  world.log.setOutage(false)
  world.advance(5_000)
  world.order('n1', { orderId: 'o2', key })
  world.advance(3_000)
  assert.is(outcome(world, 'o2'), '200')
  assert.is(world.service.executions(key), 1)
})

test('a node that paused and wakes in a log outage does not call a key new that another node has sent', () => {
  const world = createOrderWorld()
  world.nodes.forEach(node => { node.isolated = true })
  world.advance(8_000)
  const key = newKey(world, 'n1', 'iiiiiiii')
  world.node('n2').pause()
  world.order('n1', { orderId: 'o1', key })
  world.advance(1_000)
  assert.is(outcome(world, 'o1'), '200')
  world.log.setOutage(true)
  world.nodes.forEach(node => { node.isolated = false })
  world.node('n2').resume()
  world.advance(100)
  world.order('n2', { orderId: 'o2', key })
  world.advance(12_000)
  assert.ok(['unknown', '200'].includes(outcome(world, 'o2') ?? ''), `the answer is ${outcome(world, 'o2')}`)
  assert.is(world.service.executions(key), 1)
})

test('an outcome recorded before the node forgot its desk answers after the shard moved', () => {
  const world = createOrderWorld()
  const key = newKey(world, 'n1', 'hhhhhhhh')
  world.order('n1', { orderId: 'o1', key })
  world.advance(1_000)
  const owner = sender(world)
  world.node(owner).kill(500)
  world.advance(6_000)
  world.order(nodes.find(id => id !== owner) ?? '', { orderId: 'o2', key })
  world.advance(3_000)
  assert.is(outcome(world, 'o2'), '200')
  assert.is(world.service.executions(key), 1)
})

test('attempt ids stay unique when a shard leaves a node and comes back, so an old claim wins nothing', () => {
  const world = createOrderWorld()
  const keys = nodes.flatMap(node => Array.from({ length: 8 }, (_, index) => newKey(world, node, `${node}-moved${index}`)))
  keys.forEach((key, index) => world.order('n1', { orderId: `o${index}`, key }))
  world.advance(1_000)
  world.node('n2').isolated = true
  world.advance(8_000)
  world.node('n2').isolated = false
  world.advance(8_000)
  keys.forEach((key, index) => world.order('n3', { orderId: `p${index}`, key }))
  world.advance(12_000)
  assert.ok(keys.every(key => world.service.executions(key) === 1))
})

test('an order that was long under way is not sent after its caller was answered', () => {
  const world = createOrderWorld()
  const keys = nodes.flatMap(node => Array.from({ length: 6 }, (_, index) => newKey(world, node, `${node}-late${index}`)))
  world.node('n2').pause()
  keys.forEach((key, index) => world.order('n1', { orderId: `o${index}`, key, deadline: world.clock.now() + 1_500 }))
  world.advance(2_000)
  const unanswered = keys.filter((key, index) => outcome(world, `o${index}`) === 'unknown' && world.service.executions(key) === 0)
  assert.ok(unanswered.length > 0, 'some shards belong to the paused node')
  world.node('n2').resume()
  world.advance(10_000)
  assert.ok(unanswered.every(key => world.service.executions(key) === 0))
})

test('an idempotent call is retried at another instance, within the budget and the deadline', () => {
  const world = createOrderWorld()
  world.instanceList.put({ id: 'desk-2', kind: 'service', address: '', zone: 'z1', region: 'r1', group: 'desk', state: 'live' })
  world.advance(1_500)
  world.service.loseNextAnswer()
  world.order('n1', { orderId: 'o1' })
  world.advance(5_000)
  assert.is(outcome(world, 'o1'), '200')
  const sends = world.trace.flatMap(({ action }) => action.type === 'send-order' ? [action.instance] : [])
  assert.is(new Set(sends).size, 2, 'the retry goes to the instance that has not been tried')
})

test.run()
