/** The memory of a node while clients hold as many connections as an instance may have. */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countServed, forkNode, sendEvery, sendTestRequest, startBackend, testConfig, untilServed, type FakeBackend, type ForkedNode } from './testing'

const test = suite('memory under idle connections')

/** Memory of the smallest instances, in bytes. */
const memoryBytes = 350 * 1024 * 1024
/** Descriptors of the smallest instances that sockets may use. */
const connectionCount = 3900
const batch = 100
const smallIntervalMs = 50
const playMs = 3000

let node: ForkedNode
let backend: FakeBackend
let sockets: Socket[]

test.before.each(async () => {
  sockets = []
  node = await forkNode(['--max-old-space-size=160', '--max-semi-space-size=4'])
  backend = await startBackend('s1', 'desk', (req, res) => { res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }).end('ok') })
  node.command({ type: 'server', id: 's1', record: { type: 'server', server: backend.server, sequence: 1 } })
  node.command({ type: 'config', config: { ...testConfig, version: 2 } })
  await untilServed({ fronts: [node.front] }, () => sendTestRequest(node.front, '/order/x', 'first'))
})
test.after.each(async () => {
  for (const socket of sockets) socket.destroy()
  backend.close()
  await node.stop()
})

// Guards against a node that is killed for the memory of connections on which nothing happens, or that serves nobody beside them.
for (const [name, bytes] of [
  ['without a byte', () => ''],
  ['after one request', (index: number) => `GET /read/x HTTP/1.1\r\nhost: a.example\r\nx-id: idle-${index}\r\n\r\n`],
  ['with a part of a header', () => 'GET /read/x HTTP/1.1\r\nhost: a.exam']
] as const) {
  test(`${connectionCount} connections ${name} leave the node at work`, async () => {
    for (let index = 0; index < connectionCount; index++) {
      const socket = connect(node.front, '127.0.0.1')
      socket.on('error', () => {})
      socket.resume()
      socket.write(bytes(index))
      sockets.push(socket)
      if (index % batch === batch - 1) await sleep(20)
    }
    let small = 0
    const outcomes = await sendEvery(smallIntervalMs, playMs, async () => await sendTestRequest(node.front, '/order/x', `small-${++small}`))
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
