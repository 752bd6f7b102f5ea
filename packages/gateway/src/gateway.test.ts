/** Tests complete nodes on the loopback interface with an in-memory platform. */
import { Agent, request, type IncomingHttpHeaders, type IncomingMessage, type ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createDecisionLog } from './decision-log'
import { createGateway, type Gateway } from './gateway'
import { createGatewayMetrics } from './gateway-metrics'
import { createFakePlatform, freePorts, startBackend, testConfig, testNodeSettings, type FakeBackend, type FakePlatform } from './testing'

const test = suite('gateway node')

type TestResponse = { status: number, headers: IncomingHttpHeaders, body: string, truncated: boolean }

let platform: FakePlatform
let gateway: Gateway
let backends: FakeBackend[]
let lines: { event: string, [field: string]: unknown }[]

async function start (): Promise<void> {
  const ports = await freePorts(6)
  const settings = testNodeSettings('n1', 'a', ports, { graceMs: 4000 })
  lines = []
  backends = []
  platform = createFakePlatform(settings)
  const log = createDecisionLog('n1', { write: line => { lines.push(JSON.parse(line) as typeof lines[number]) }, flush: async () => {}, dropped: () => 0 })
  gateway = createGateway({ platform, log, metrics: createGatewayMetrics(), metricsAddress: { port: ports[4]!, path: '/metrics' }, now: () => performance.now(), random: Math.random })
  await gateway.start()
}

async function backend (id: string, service: string, handle: (req: IncomingMessage, res: ServerResponse) => void): Promise<FakeBackend> {
  const started = await startBackend(id, service, handle, service === 'llm' ? { models: [{ name: 'base', adapters: [] }] } : {})
  backends.push(started)
  platform.servers.append(id, { type: 'server', server: started.server, sequence: 1 })
  return started
}

function configure (): void {
  platform.operator.append('config', { type: 'config', config: testConfig })
}

async function until (condition: () => boolean | Promise<boolean>, ms = 4000): Promise<void> {
  const end = performance.now() + ms
  while (!await condition()) {
    if (performance.now() > end) throw new Error('condition not met in time')
    await sleep(20)
  }
}

function sendRequest (port: number, path: string, headers: Record<string, string> = {}, method = 'GET', disconnectAfterMs?: number): Promise<TestResponse> {
  return new Promise((resolve, reject) => {
    const req = request({ host: '127.0.0.1', port, path, method, headers: { host: 'a.example', ...headers }, agent: false }, res => {
      const chunks: Buffer[] = []
      const done = (truncated: boolean): void => resolve({ status: res.statusCode ?? 0, headers: res.headers, body: Buffer.concat(chunks).toString(), truncated })
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('end', () => done(false))
      res.on('error', () => done(true))
    })
    req.on('error', reject)
    if (disconnectAfterMs !== undefined) setTimeout(() => req.destroy(), disconnectAfterMs)
    req.end()
  })
}

const sendToFront = (path: string, id: string, more: Record<string, string> = {}, method?: string, disconnectAfterMs?: number): Promise<TestResponse> =>
  sendRequest(platform.settings.front.port, path, { 'x-id': id, ...more }, method, disconnectAfterMs)

/** Whether the node is ready and has all started backend servers in its registry. */
const isServing = async (): Promise<boolean> => backends.every(({ server }) => lines.some(line => line.event === 'server-changed' && line.server === server.id)) && await isReady()

const isReady = async (): Promise<boolean> => (await sendRequest(platform.settings.ready.port, '/ready')).status === 200

/** Sends a signed response with the request's id. */
function respond (req: IncomingMessage, res: ServerResponse, status: number, body: string): void {
  res.writeHead(status, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', 'content-length': body.length }).end(body)
}

test.before.each(start)
test.after.each(async () => {
  if (!lines.some(({ event }) => event === 'stopped')) await gateway.stop()
  for (const started of backends) started.close()
})

// Guards against responding with 404 to requests that a configuration not read yet may allow.
test('responds with 503 and not-run until a configuration is read, then with 404 to requests without a route', async () => {
  const early = await sendToFront('/read/x', 'r1')
  assert.equal([early.status, (JSON.parse(early.body) as { outcome: string }).outcome, early.headers['retry-after'] !== undefined], [503, 'not-run', true])
  assert.is(await isReady(), false)
  configure()
  await backend('s1', 'desk', (req, res) => respond(req, res, 200, 'ok'))
  await until(isServing)
  assert.is((await sendToFront('/other/x', 'r2')).status, 404)
  const served = await sendToFront('/read/x', 'r3')
  assert.equal([served.status, served.body], [200, 'ok'])
})

// Guards against a non-idempotent request that runs twice or is reported as not run after its response was lost.
test('retries only idempotent requests when a response is lost', async () => {
  configure()
  await backend('s1', 'desk', req => { req.socket.destroy() })
  await backend('s2', 'desk', req => { req.socket.destroy() })
  await until(isServing)
  const order = await sendToFront('/order/x', 'r1', {}, 'POST')
  assert.is(order.status, 502)
  assert.is(backends[0]!.requests.length + backends[1]!.requests.length, 1)
  await sendToFront('/read/x', 'r2')
  assert.is(backends[0]!.requests.length + backends[1]!.requests.length, 3)
})

// Guards against servers that continue to work for clients that have disconnected.
test('closes the connection to the server when the client disconnects', async () => {
  let closed = false
  configure()
  await backend('s1', 'desk', req => { req.socket.on('close', () => { closed = true }) })
  await until(isServing)
  await sendToFront('/order/x', 'r1', {}, 'POST', 100).catch(() => {})
  await until(() => closed, 600)
})

// Guards against a response after the route's timeout, and against reporting a request as not run that may be running.
test('responds with 504 at the route timeout if the server does not respond', async () => {
  configure()
  await backend('s1', 'desk', () => {})
  await until(isServing)
  const startedAt = performance.now()
  const { status } = await sendToFront('/order/x', 'r1', {}, 'POST')
  assert.is(status, 504)
  assert.ok(performance.now() - startedAt < 2400)
})

test('claims an engine, loads the adapter that a request names, and streams its events', async () => {
  configure()
  await backend('e1', 'llm', (req, res) => {
    if (!platform.engines.adapters.has(String(req.headers['x-adapter']))) return respond(req, res, 421, '')
    res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', 'content-type': 'text/event-stream' })
    res.write('id: 1\ndata: a\n\n')
    setTimeout(() => res.end('id: 2\ndata: b\n\n'), 30)
  })
  await until(() => lines.some(({ event }) => event === 'engine-report'))
  await until(isServing)
  const { status, body } = await sendToFront('/draft/x', 'r1', { 'x-adapter': 'a7' }, 'POST')
  assert.equal([status, body], [200, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'])
  assert.equal(platform.engines.commands, ['load a7'])
})

// Guards against a truncated stream that looks complete to the client.
test('aborts the client connection when a stream breaks that must not continue on another engine', async () => {
  configure()
  await backend('e1', 'llm', (req, res) => {
    res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', 'content-type': 'text/event-stream' })
    res.write('id: 1\ndata: a\n\n')
    setTimeout(() => req.socket.destroy(), 50)
  })
  await until(() => lines.some(({ event }) => event === 'engine-report'))
  const { truncated, body } = await sendToFront('/draft/x', 'r1', { 'x-adapter': 'a7' }, 'POST')
  assert.equal([truncated, body], [true, 'id: 1\ndata: a\n\n'])
})

// Guards against losing requests at a planned stop, and against new requests to a node that is stopping.
test('a stopping node finishes running requests and is no longer ready', async () => {
  configure()
  await backend('s1', 'desk', (req, res) => { setTimeout(() => respond(req, res, 200, 'late'), 500) })
  await until(isServing)
  const running = sendToFront('/order/x', 'r1', {}, 'POST')
  await sleep(100)
  const stopped = gateway.stop()
  await sleep(50)
  assert.is(await isReady(), false)
  assert.equal([(await running).body, (await running).headers.connection], ['late', 'close'])
  await stopped
})

// Guards against requests that are cut off without a response because they were accepted just before or during a planned stop.
test('every request during a planned stop gets a whole response', async () => {
  configure()
  await backend('s1', 'desk', (req, res) => { setTimeout(() => respond(req, res, 200, 'done'), 80) })
  await until(isServing)
  const agent = new Agent({ keepAlive: true, maxSockets: 10 })
  const outcomes = new Map<string, number>()
  const count = (outcome: string): void => { outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1) }
  const state = { stopped: false }
  let sent = 0
  const isRead = (id: string): boolean => lines.some(line => line.id === id)
  const send = (client: Agent | false): Promise<void> => new Promise(resolve => {
    const id = `r${++sent}`
    const req = request({ host: '127.0.0.1', port: platform.settings.front.port, path: '/order/x', method: 'POST', agent: client, headers: { host: 'a.example', 'x-id': id } }, res => {
      res.resume()
      res.on('end', () => { count(String(res.statusCode)); resolve() })
      res.on('error', () => { count('truncated'); resolve() })
    })
    // A closing port resets connections that the node has not accepted. A request that it has not read may be repeated.
    req.on('error', (err: NodeJS.ErrnoException) => { count(isRead(id) ? `lost ${err.code ?? ''}` : 'not read'); resolve() })
    req.end('order')
  })
  const client = async (kept: boolean): Promise<void> => {
    while (!state.stopped) {
      await send(kept ? agent : false)
      await sleep(5)
    }
  }
  const clients = Array.from({ length: 20 }, (_, index) => client(index % 2 === 0))
  await sleep(300)
  await gateway.stop()
  state.stopped = true
  await Promise.all(clients)
  agent.destroy()
  assert.equal([...outcomes.keys()].filter(outcome => outcome.startsWith('lost') || outcome === 'truncated'), [])
  assert.ok(outcomes.get('200')! > 100, JSON.stringify([...outcomes]))
})

// Guards against a node that refuses all requests because the store is unavailable.
test('continues with its cached state while the store is down', async () => {
  configure()
  await backend('s1', 'desk', (req, res) => respond(req, res, 200, 'ok'))
  await until(isServing)
  platform.operator.setDown(true)
  platform.servers.setDown(true)
  await sleep(1500)
  assert.is((await sendToFront('/read/x', 'r1')).status, 200)
  assert.is(await isReady(), true)
})

test('serves the addresses that clients should use', async () => {
  configure()
  await backend('s1', 'desk', (req, res) => respond(req, res, 200, 'ok'))
  await until(isServing)
  const { body } = await sendRequest(platform.settings.directory.port, '/addresses')
  assert.equal(JSON.parse(body), { addresses: [`127.0.0.1:${platform.settings.front.port}`], keepForMs: 2000 })
})

test.run()
