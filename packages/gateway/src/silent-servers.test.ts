/** Open connections to backend servers that become silent for good without a reset, while new ones work. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countServed, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes, type TestOutcome } from './testing'

const test = suite('silent connections to servers')

/** Requests at a time, each of which opens a connection. */
const parallel = 12
const workMs = 40

let nodes: TestNodes
let backends: FakeBackend[]
let proxies: { server: Server, sockets: Set<Socket> }[]
let sent = 0

/** Forwards connections to a backend, until they are silenced. */
async function startProxy (target: number): Promise<number> {
  const sockets = new Set<Socket>()
  const server = createServer(client => {
    const upstream = connect(target, '127.0.0.1')
    client.pipe(upstream).pipe(client)
    for (const socket of [client, upstream]) {
      socket.on('error', () => {})
      sockets.add(socket)
    }
  })
  proxies.push({ server, sockets })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return (server.address() as { port: number }).port
}

/** @returns number of connections that are silent from now on */
function silence (): number {
  let count = 0
  for (const { sockets } of proxies) {
    for (const socket of sockets) {
      if (!socket.destroyed) count += 1
      socket.unpipe()
      socket.pause()
    }
    sockets.clear()
  }
  return count / 2
}

async function sendMany (path: string, count: number): Promise<TestOutcome[]> {
  return await Promise.all(Array.from({ length: count }, async () => await sendTestRequest(nodes.fronts[0]!, path, `r${++sent}`)))
}

test.before.each(async () => {
  proxies = []
  backends = []
  nodes = await startTestNodes(['a'])
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  for (const id of ['s1', 's2']) {
    const backend = await startBackend(id, 'desk', (req, res) => {
      setTimeout(() => res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }).end('ok'), workMs)
    })
    backends.push(backend)
    const port = await startProxy(Number(backend.server.address.split(':')[1]))
    nodes.platform.servers.append(id, { type: 'server', server: { ...backend.server, address: `127.0.0.1:${port}` }, sequence: 1 })
  }
  await untilServed(nodes, front => sendTestRequest(front, '/read/x', `r${++sent}`))
  await sendMany('/read/x', parallel)
})
test.after.each(async () => {
  silence()
  for (const { server } of proxies) server.close()
  for (const backend of backends) backend.close()
  await nodes.stop()
})

// Guards against requests that wait for their deadline on a silent connection though they may be sent again.
test('requests that may run twice are served, on other connections', async () => {
  assert.ok(silence() > 1)
  const outcomes: TestOutcome[] = []
  for (let round = 0; round < 10; round++) {
    outcomes.push(...await sendMany('/read/x', 4))
    await sleep(50)
  }
  assert.is(countServed(outcomes), outcomes.length)
})

// Guards against one silent connection that fails request after request.
test('each silent connection fails one request at most that may run only once, with a true outcome', async () => {
  const silent = silence()
  const outcomes: TestOutcome[] = []
  for (let round = 0; round < 6; round++) outcomes.push(...await sendMany('/order/x', 8))
  const failed = outcomes.filter(({ status }) => status !== 200)
  assert.ok(failed.length <= silent, `${failed.length} requests failed, ${silent} connections were silent`)
  assert.equal([...new Set(failed.map(({ status }) => status))].filter(status => status !== 504), [], 'they may have run')
  assert.is(countServed(await sendMany('/order/x', 8)), 8)
})

test.run()
