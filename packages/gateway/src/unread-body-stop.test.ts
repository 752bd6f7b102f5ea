/** Requests that reach a node after it has stopped to accept them, and whose bodies arrive later than their heads. */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes, type TestOutcome } from './testing'

const test = suite('bodies that arrive at a stopping node')

const timeoutMs = 5000
/** The server answers after this time, in ms, so that the node is still there when it accepts no requests. */
const workMs = 4000
/** Longer than a leaving node accepts requests, in ms. */
const closedMs = 2800

let nodes: TestNodes
let backend: FakeBackend
let client: Socket
let running: Promise<TestOutcome>
let stopped: Promise<void>

test.before.each(async () => {
  nodes = await startTestNodes(['a'], { graceMs: 8000 })
  backend = await startBackend('s1', 'desk', (req, res) => {
    const id = String(req.headers['x-id'])
    setTimeout(() => res.writeHead(200, { 'x-id': id, 'x-seal': 's' }).end('ok'), id === 'running' ? workMs : 0)
  })
  nodes.platform.operator.append('config', { type: 'config', config: { ...testConfig, routes: testConfig.routes.map(route => ({ ...route, timeoutMs })) } })
  nodes.platform.servers.append('s1', { type: 'server', server: backend.server, sequence: 1 })
  await untilServed(nodes, front => sendTestRequest(front, '/order/x', 'first'))
  client = connect(nodes.fronts[0]!, '127.0.0.1')
  client.on('error', () => {})
  running = sendTestRequest(nodes.fronts[0]!, '/order/x', 'running')
  await sleep(200)
  stopped = nodes.stop()
  await sleep(closedMs)
})
test.after.each(async () => {
  client.destroy()
  await running
  await stopped
  backend.close()
})

// Guards against a connection that is reset before the client has read that its request has not run.
test('the refusal reaches a client that reads it after it has sent the body', async () => {
  client.write('POST /order/x HTTP/1.1\r\nhost: a.example\r\nx-id: late\r\ncontent-length: 2\r\n\r\n')
  await sleep(100)
  client.write('h')
  await sleep(50)
  client.write('i')
  await sleep(50)
  let received = ''
  client.on('data', chunk => { received += chunk.toString('latin1') })
  await sleep(300)
  assert.match(received, /^HTTP\/1\.1 503 /)
  assert.match(received, /connection: close/i)
  assert.equal(backend.requests.filter(req => req.headers['x-id'] === 'late').length, 0)
})

test.run()
