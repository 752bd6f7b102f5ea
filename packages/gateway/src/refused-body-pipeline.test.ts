/** Requests that a client has already sent behind a body that is refused. */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes } from './testing'

const test = suite('requests behind a refused body')

const bodyBytes = 4_194_304
/** Bodies of this number fill the room of a node whose memory is not known. */
const holders = 9
const timeoutMs = 4000
/** Longest wait for room, and a second in which the rest of the body is discarded. */
const refusedMs = 2500
/** Time for which a leaving node still accepts requests, in ms, and a margin. */
const stopMs = 4000

let nodes: TestNodes
let backend: FakeBackend
let sockets: Socket[]
let feeder: NodeJS.Timeout

function send (head: string): Socket {
  const socket = connect(nodes.fronts[0]!, '127.0.0.1')
  socket.on('error', () => {})
  socket.write(head)
  sockets.push(socket)
  return socket
}

const head = (id: string, bytes: number): string => `POST /order/x HTTP/1.1\r\nhost: a.example\r\nx-id: ${id}\r\ncontent-length: ${bytes}\r\n\r\n`

test.before.each(async () => {
  sockets = []
  nodes = await startTestNodes(['a'], { graceMs: 8000 })
  backend = await startBackend('s1', 'desk', (req, res) => { res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }).end('ok') })
  const routes = testConfig.routes.map(route => ({ ...route, timeoutMs }))
  nodes.platform.operator.append('config', { type: 'config', config: { ...testConfig, version: 2, routes, limits: { ...testConfig.limits, bodyBytes } } })
  nodes.platform.servers.append('s1', { type: 'server', server: backend.server, sequence: 1 })
  await untilServed(nodes, front => sendTestRequest(front, '/order/x', 'first'))
  const slow = Array.from({ length: holders }, (_, index) => send(head(`holder-${index}`, bodyBytes)))
  feeder = setInterval(() => { for (const socket of slow) socket.write(Buffer.alloc(20_000)) }, 100)
  await sleep(200)
  const client = send(head('refused', bodyBytes / 2))
  client.write(Buffer.alloc(bodyBytes / 2))
  client.write(`${head('behind', 2)}hi`)
  await sleep(refusedMs)
})
test.after.each(async () => {
  clearInterval(feeder)
  for (const socket of sockets) socket.destroy()
  backend.close()
  await nodes.stop()
})

// Guards against a request that runs although its client sees the connection close after the refusal of the one before.
test('a request behind a refused body does not reach a server', () => {
  assert.ok(nodes.lines.some(({ event, id }) => event === 'request-refused' && id === 'refused'), 'the body was refused')
  assert.equal(backend.requests.map(req => req.headers['x-id']).filter(id => id === 'behind'), [])
})

// Guards against a stop that waits for the whole grace period for a response that nobody can get.
test('a request behind a refused body does not delay a planned stop', async () => {
  clearInterval(feeder)
  for (const socket of sockets) socket.destroy()
  await sleep(500)
  const startedAt = performance.now()
  await nodes.gateways[0]!.stop()
  const afterMs = Math.round(performance.now() - startedAt)
  assert.ok(afterMs < stopMs, `stopped after ${afterMs} ms`)
})

test.run()
