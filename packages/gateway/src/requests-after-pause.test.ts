/** Requests that are read only after the header timeout or the idle time, because the process or the client paused. */
import { connect, type AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFrontServer, type FrontServer } from './front-server'
import { createKeptBytes } from './kept-bytes'
import type { DecisionLog } from './decision-log'
import { createRouteTable } from './route-table'
import { testConfig } from './testing'
import { testCodec } from './testing/test-codec'

const test = suite('requests after a pause')

const log = { info () {}, warn () {}, error () {} } as unknown as DecisionLog
/** Longer than the header timeout or the idle time with its margin and the interval of its check, in ms. */
const pauseMs = 3500

/** Opens a connection, and sends a request on it while the thread of the node cannot run. */
const waitingClient = `
  const { connect } = require('node:net')
  const { parentPort, workerData: { port } } = require('node:worker_threads')
  let received = ''
  const socket = connect(port, '127.0.0.1', () => parentPort.postMessage('connected'))
  socket.on('data', chunk => { received += chunk.toString('latin1') })
  socket.on('error', () => {})
  parentPort.on('message', message => {
    if (message !== 'received') socket.write('POST /order/x HTTP/1.1\\r\\nhost: a.example\\r\\nx-id: ' + message + '\\r\\ncontent-length: 2\\r\\n\\r\\nhi')
    else parentPort.postMessage(received)
  })
`

let front: FrontServer
let port: number
let ran: string[]

test.before.each(async () => {
  ran = []
  const table = createRouteTable({ ...testConfig, limits: { ...testConfig.limits, headerTimeoutMs: 100, idleTimeoutMs: 100 } })
  front = createFrontServer({
    now: () => performance.now(),
    codec: testCodec,
    kept: createKeptBytes(),
    log,
    routes: () => table,
    closing: () => false,
    closed: () => false,
    respondsUntil: () => Infinity,
    async forward (exchange) {
      ran.push(exchange.metadata.id)
      exchange.respond(200, ['x-id', exchange.metadata.id], Buffer.from('done'))
    },
    ended () {}
  })
  front.configure()
  await new Promise<void>(resolve => front.server.listen(0, '127.0.0.1', resolve))
  port = (front.server.address() as AddressInfo).port
})
test.after.each(() => {
  front.server.closeAllConnections()
  front.server.close()
})

// Guards against requests that are reset, or run although they were refused as not run, because the time of their connection ended in a pause.
for (const earlier of [[], ['r0']]) {
  test(`a request that waited through a pause of the process on a connection with ${earlier.length} earlier ones is run and answered`, async () => {
    const client = new Worker(waitingClient, { eval: true, workerData: { port } })
    await new Promise(resolve => client.once('message', resolve))
    for (const id of earlier) client.postMessage(id)
    await sleep(200)
    client.postMessage('r1')
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs)
    await sleep(500)
    client.postMessage('received')
    const received = await new Promise<string>(resolve => client.once('message', resolve))
    await client.terminate()
    assert.equal(ran, [...earlier, 'r1'])
    assert.equal([...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status), [...earlier, 'r1'].map(() => '200'))
  })
}

// Guards against connections that stay open for ever.
test('a connection that is idle for too long is closed', async () => {
  const socket = connect(port, '127.0.0.1')
  const closed = new Promise(resolve => { socket.on('close', resolve) })
  socket.resume()
  socket.write('GET /read/x HTTP/1.1\r\nhost: a.example\r\nx-id: r1\r\n\r\n')
  await Promise.race([closed, sleep(2 * pauseMs)])
  assert.ok(socket.destroyed)
})

// Guards against a slow client whose request runs after its refusal as not run.
test('a request whose head is completed after its refusal does not run', async () => {
  const received: string[] = []
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  socket.on('data', chunk => { received.push(chunk.toString('latin1')) })
  socket.on('error', () => {})
  socket.write('GET /read/x HTTP/1.1\r\nhost: a.exa')
  for (const end = performance.now() + 2 * pauseMs; received.length === 0 && performance.now() < end;) await sleep(20)
  socket.write('mple\r\nx-id: r1\r\n\r\n')
  await sleep(500)
  socket.destroy()
  assert.match(received.join(''), /^HTTP\/1\.1 408 /)
  assert.equal(ran, [])
})

test.run()
