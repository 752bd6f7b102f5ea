/** Stops that come twice, or while the node still starts. */
import { createServer } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createDecisionLog } from './decision-log'
import { createGateway, type Gateway } from './gateway'
import { createGatewayMetrics } from './gateway-metrics'
import { createFakePlatform, freePorts, testNodeSettings } from './testing'

const test = suite('stop paths')

let gateway: Gateway
let events: string[]
let front: number

test.before.each(async () => {
  events = []
  const ports = await freePorts(6)
  const settings = testNodeSettings('n1', 'a', ports)
  front = settings.front.port
  const log = createDecisionLog('n1', { write: line => { events.push((JSON.parse(line) as { event: string }).event) }, flush: async () => {}, dropped: () => 0 })
  gateway = createGateway({ platform: createFakePlatform(settings), log, metrics: createGatewayMetrics(), metricsAddress: { port: ports[4]!, path: '/metrics' }, now: () => performance.now(), random: Math.random })
})

// Guards against a process that ends with an error because its sockets are closed twice, or a grace period that begins anew.
test('a second stop ends with the first one', async () => {
  await gateway.start()
  await Promise.all([gateway.stop(), gateway.stop()])
  await gateway.stop()
  assert.is(events.filter(event => event === 'stopping').length, 1)
  assert.is(events.filter(event => event === 'stopped').length, 1)
})

test('a node that waits for an address can be stopped', async () => {
  const occupant = createServer()
  await new Promise<void>(resolve => occupant.listen(front, '127.0.0.1', resolve))
  const started = gateway.start()
  await sleep(300)
  await gateway.stop()
  await started
  occupant.close()
  assert.is(events.includes('started'), false)
})

test('settings that change while the node waits for an address are applied', async () => {
  const occupant = createServer()
  await new Promise<void>(resolve => occupant.listen(front, '127.0.0.1', resolve))
  const started = gateway.start()
  await sleep(300)
  gateway.reload(testNodeSettings('n1', 'a', await freePorts(6), { graceMs: 700 }))
  occupant.close()
  await started
  await gateway.stop()
  assert.equal(events.filter(event => ['address-in-use', 'settings-reloaded', 'address-free', 'started', 'stopped'].includes(event)), ['address-in-use', 'settings-reloaded', 'address-free', 'started', 'stopped'])
})

/** Opens a connection, and sends a request on it and one on a new connection while the thread of the node cannot run. */
const lateClient = `
  const { connect } = require('node:net')
  const { parentPort, workerData: { port, statuses } } = require('node:worker_threads')
  const send = (socket, index) => {
    socket.write('GET / HTTP/1.1\\r\\nhost: a\\r\\nx-id: ' + index + '\\r\\n\\r\\n')
    socket.on('data', chunk => { Atomics.store(statuses, index, Number(chunk.toString().split(' ')[1])) })
  }
  const kept = connect(port, '127.0.0.1', () => parentPort.postMessage('connected'))
  parentPort.once('message', () => {
    send(kept, 0)
    const fresh = connect(port, '127.0.0.1', () => send(fresh, 1))
    for (const socket of [kept, fresh]) socket.on('error', () => {})
  })
`

/** Keeps the thread from running, in ms, as a busy machine does. */
const block = (ms: number): unknown => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms)

// Guards against connections that the end of the process resets although their requests arrived long before.
test('requests that arrive while the leaving process cannot run are answered before it ends', async () => {
  gateway.reload(testNodeSettings('n1', 'a', await freePorts(6), { graceMs: 8000 }))
  await gateway.start()
  const statuses = new Int32Array(new SharedArrayBuffer(8))
  const client = new Worker(lateClient, { eval: true, workerData: { port: front, statuses } })
  await new Promise(resolve => client.once('message', resolve))
  const stopped = gateway.stop()
  await sleep(2400)
  client.postMessage('send')
  block(400)
  await stopped
  // The process would have ended.
  block(200)
  await client.terminate()
  assert.equal([...statuses], [503, 503])
})

test.run()
