/** Requests that a client sends on one connection of a leaving node before it has got the responses to earlier ones. */
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes } from './testing'

const test = suite('pipelined requests of a planned stop')

const requestCount = 3
/** Time in which the server answers, in ms. */
const serverMs = 300
/** Time in which all requests of a test are answered, in ms. */
const answeredMs = 2000
/** Time after which a leaving node refuses requests, in ms; one that was accepted before keeps it. */
const leavingMs = 2550

let nodes: TestNodes
let backend: FakeBackend
let client: Socket
let received: string
let stopped: Promise<void>

const requestText = (index: number, path = '/order/x'): string => `POST ${path} HTTP/1.1\r\nhost: a.example\r\nx-id: r${index}\r\ncontent-length: 2\r\n\r\nhi`
const ran = (): string[] => backend.requests.map(req => String(req.headers['x-id'])).filter(id => id.startsWith('r'))
const answered = (): string[] => [...received.matchAll(/to-(r\d)/g)].map(([, id]) => id!)

test.before.each(async () => {
  received = ''
  nodes = await startTestNodes(['a'], { graceMs: 8000 })
  backend = await startBackend('s1', 'desk', (req, res) => {
    const id = String(req.headers['x-id'])
    setTimeout(() => res.writeHead(200, { 'x-id': id, 'x-seal': 's' }).end(`to-${id}`), serverMs)
  })
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  nodes.platform.servers.append('s1', { type: 'server', server: backend.server, sequence: 1 })
  await untilServed(nodes, front => sendTestRequest(front, '/order/x', 'first'))
  client = connect({ port: nodes.fronts[0]!, host: '127.0.0.1', allowHalfOpen: true })
  client.on('error', () => {})
  client.on('data', bytes => { received += bytes.toString('latin1') })
})
test.after.each(async () => {
  await stopped
  client.destroy()
  backend.close()
})

for (const stopsFirst of [false, true]) {
  // Guards against requests that run and whose connection ends with the response to an earlier one.
  test(`requests behind others are answered if a planned stop begins ${stopsFirst ? 'before' : 'after'} them`, async () => {
    if (stopsFirst) stopped = nodes.stop()
    for (let index = 0; index < requestCount; index++) client.write(requestText(index))
    if (!stopsFirst) {
      await sleep(serverMs / 3)
      stopped = nodes.stop()
    }
    await sleep(answeredMs)
    assert.equal(ran().sort(), ['r0', 'r1', 'r2'])
    assert.equal(answered(), ['r0', 'r1', 'r2'])
    assert.match(received.slice(received.lastIndexOf('HTTP/1.1')), /connection: close/i)
    assert.is([...received.matchAll(/connection: close/gi)].length, 1)
  })
}

// Guards against a request that runs although the response before it has announced the end of its connection.
test('a request behind a response that closes its connection does not run', async () => {
  stopped = nodes.stop()
  client.write(requestText(0))
  for (const end = performance.now() + answeredMs; performance.now() < end && !answered().includes('r0');) await sleep(1)
  client.write(requestText(1))
  await sleep(serverMs)
  assert.match(received, /connection: close/i)
  assert.equal(ran(), ['r0'])
})

// Guards against requests that arrive together, of which only the first is answered because its refusal closes their connection.
for (const [when, path, status] of [['accepts requests', '/unknown/x', 404], ['no longer accepts requests', '/order/x', 503]] as const) {
  test(`requests that are read together are all refused by a leaving node that ${when}`, async () => {
    stopped = nodes.stop()
    if (status === 503) {
      await sleep(leavingMs - serverMs / 2)
      const other = sendTestRequest(nodes.fronts[0]!, '/order/x', 'other')
      await sleep(serverMs / 2)
      stopped = Promise.all([stopped, other]).then(() => {})
    }
    client.write([0, 1, 2].map(index => requestText(index, path)).join(''))
    await sleep(serverMs)
    assert.equal([...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, text]) => Number(text)), [status, status, status])
    assert.is([...received.matchAll(/connection: close/gi)].length, 1)
    assert.match(received.slice(received.lastIndexOf('HTTP/1.1')), /connection: close/i)
    assert.equal(ran(), [])
  })
}

test.run()
