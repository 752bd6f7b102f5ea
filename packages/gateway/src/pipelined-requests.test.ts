/** Requests that a client sends on one connection before it has got the responses to earlier ones. */
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { maxUnanswered } from '@yuccawharf/clients'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createDirectoryServer } from './auxiliary-servers'
import { sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes } from './testing'

const test = suite('pipelined requests')

const requestCount = 5
/** Time in which the server answers, in ms. */
const serverMs = 1500
/** Time after which the requests of a client that has left must have ended, in ms. */
const endMs = 500
/** Longest time in which requests reach the server and are answered on a busy machine, in ms. */
const busyMs = 10_000
/** Time for which a leaving node still accepts requests, in ms, and a margin. */
const stopMs = 4000

let nodes: TestNodes
let backend: FakeBackend
let client: Socket
let answer: string
let endedAtServer: number

const begun = (): number => backend.requests.filter(req => String(req.headers['x-id']).startsWith('r')).length

async function until (isDone: () => boolean): Promise<void> {
  for (const startedAt = performance.now(); !isDone() && performance.now() - startedAt < busyMs;) await sleep(20)
}

test.before.each(async () => {
  answer = ''
  endedAtServer = 0
  nodes = await startTestNodes(['a'], { graceMs: 8000 })
  backend = await startBackend('s1', 'desk', (req, res) => {
    const id = String(req.headers['x-id'])
    res.on('close', () => { if (!res.writableFinished) endedAtServer += 1 })
    setTimeout(() => res.writeHead(200, { 'x-id': id, 'x-seal': 's' }).end(`to-${id}`), id === 'first' ? 0 : serverMs)
  }, { slots: 100 })
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  nodes.platform.servers.append('s1', { type: 'server', server: backend.server, sequence: 1 })
  await untilServed(nodes, front => sendTestRequest(front, '/order/x', 'first'))
  client = connect(nodes.fronts[0]!, '127.0.0.1')
  client.on('error', () => {})
  client.on('data', bytes => { answer += bytes.toString('latin1') })
  for (let index = 0; index < requestCount; index++) client.write(`GET /read/x HTTP/1.1\r\nhost: a.example\r\nx-id: r${index}\r\n\r\n`)
  await until(() => begun() === requestCount)
})
test.after.each(async () => {
  client.destroy()
  backend.close()
  await nodes.stop()
})

test('a few pipelined requests are all answered in their order', async () => {
  await until(() => answer.includes(`to-r${requestCount - 1}`))
  assert.equal([...answer.matchAll(/to-r(\d)/g)].map(([, index]) => Number(index)), [0, 1, 2, 3, 4])
})

// Guards against servers that stay at work on requests of a client that has left.
test('all pipelined requests of a client that leaves end at their servers', async () => {
  assert.is(begun(), requestCount)
  client.destroy()
  await sleep(endMs)
  assert.is(endedAtServer, requestCount)
})

// Guards against a stop that waits for the whole grace period for requests whose client has left.
test('pipelined requests of a client that has left do not delay a planned stop', async () => {
  client.destroy()
  await sleep(endMs)
  const startedAt = performance.now()
  await nodes.gateways[0]!.stop()
  const afterMs = Math.round(performance.now() - startedAt)
  assert.ok(afterMs < stopMs, `the stop took ${afterMs} ms`)
})

// Guards against a heap that is full of the responses of the other servers of a node, such as those to address queries.
test('an address server closes a connection with many requests whose responses are not read', async () => {
  let answered = 0
  const server = createDirectoryServer({ readyPath: '/', addressQuery: () => ({ host: 'a.example' }), addressResponse: () => { answered += 1; return 'x'.repeat(1000) } }, () => ({ addresses: ['a'], keepForMs: 1000 }))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const querying = connect((server.address() as AddressInfo).port, '127.0.0.1')
  querying.on('error', () => {})
  querying.pause()
  querying.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(2000))
  await sleep(endMs)
  querying.destroy()
  server.close()
  assert.ok(answered > 0 && answered < 100, `${answered} responses`)
})

// Guards against requests that are created from bytes that were read before their connection was closed.
test('no request is created after the one for which its connection is closed', async () => {
  let created = 0
  const server = createDirectoryServer({ readyPath: '/', addressQuery: () => ({ host: 'a.example' }), addressResponse: () => 'x' }, () => ({ addresses: ['a'], keepForMs: 1000 }))
  server.on('request', () => { created += 1 })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const flooding = connect((server.address() as AddressInfo).port, '127.0.0.1')
  flooding.on('error', () => {})
  flooding.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(1000))
  await sleep(endMs)
  flooding.destroy()
  server.close()
  assert.is(created, maxUnanswered + 1)
})

test.run()
