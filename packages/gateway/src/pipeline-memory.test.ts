/** The memory of a node while clients send many requests on one connection and read no response. */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countServed, forkNode, sendEvery, sendTestRequest, startBackend, testConfig, untilServed, type FakeBackend, type ForkedNode } from './testing'

const test = suite('memory under pipelined requests')

/** Memory of the smallest instances, in bytes. */
const memoryBytes = 350 * 1024 * 1024
/** Time in which the server answers a pipelined request, in ms: longer than all need to arrive. */
const serverMs = 6000
const timeoutMs = 8000
const smallIntervalMs = 50
const playMs = 4000
/** Connections that are opened between two pauses, and their length in ms. */
const batch = 10
const batchMs = 20

let node: ForkedNode
let backend: FakeBackend
let other: FakeBackend
let sockets: Socket[]

/** Sends the same request again and again, as fast as the node reads, and reads nothing. */
function startClient (name: string, path: string, count: number): void {
  const socket = connect(node.front, '127.0.0.1')
  sockets.push(socket)
  socket.on('error', () => {})
  socket.pause()
  let sent = 0
  const fill = (): void => {
    while (!socket.destroyed && sent < count) {
      let requests = ''
      for (let index = 0; index < Math.min(500, count); index++) requests += `GET ${path} HTTP/1.1\r\nhost: a.example\r\nx-id: ${name}-${sent++}\r\n\r\n`
      if (!socket.write(requests)) {
        socket.once('drain', fill)
        return
      }
    }
  }
  fill()
}

test.before.each(async () => {
  sockets = []
  node = await forkNode(['--max-old-space-size=160', '--max-semi-space-size=4'])
  backend = await startBackend('s1', 'desk', (req, res) => {
    const id = String(req.headers['x-id'])
    setTimeout(() => res.writeHead(200, { 'x-id': id, 'x-seal': 's' }).end('ok'), serverMs)
  }, { slots: 500 })
  other = await startBackend('s2', 'other', (req, res) => { res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }).end('ok') })
  for (const { server } of [backend, other]) node.command({ type: 'server', id: server.id, record: { type: 'server', server, sequence: 1 } })
  const routes = testConfig.routes.map(route => route.name === 'read' ? { ...route, timeoutMs } : { ...route, targets: [{ service: 'other', weight: 1 }] })
  const services = [...testConfig.services.map(service => ({ ...service, maxConnections: 400 })), { name: 'other', maxConnections: 50 }]
  node.command({ type: 'config', config: { ...testConfig, version: 2, routes, services } })
  await untilServed({ fronts: [node.front] }, () => sendTestRequest(node.front, '/order/x', 'first'))
})
test.after.each(async () => {
  for (const socket of sockets) socket.destroy()
  backend.close()
  other.close()
  await node.stop()
})

// Guards against a heap that is full of the requests of clients that wait for no response.
for (const [name, clients, path, count] of [
  ['one connection with 50000 requests in progress', 1, '/read/x', 50_000],
  ['200 connections with 1000 requests in progress each', 200, '/read/x', 1000],
  ['1000 connections with 32 requests in progress each', 1000, '/read/x', 32],
  ['500 connections with 1000 requests without a route each', 500, '/none/x', 1000]
] as const) {
  test(`${name} does not fill the memory`, async () => {
    for (let index = 0; index < clients; index++) {
      startClient(`p-${index}`, path, count)
      if (index % batch === batch - 1) await sleep(batchMs)
    }
    let small = 0
    const outcomes = await sendEvery(smallIntervalMs, playMs, async () => await sendTestRequest(node.front, '/order/x', `small-${++small}`))
    await sleep(500)
    const memory = node.replied('memory')
    node.command({ type: 'memory' })
    const { peakBytes } = await memory
    const summary = `${Math.round(peakBytes / 2 ** 20)} MB, ${countServed(outcomes)} of ${outcomes.length} small requests served`
    if (process.env.SHOW_FIGURES !== undefined) console.log(summary)
    assert.ok(peakBytes < memoryBytes, summary)
    assert.is(countServed(outcomes), outcomes.length, summary)
  })
}

test.run()
