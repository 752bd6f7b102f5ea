/** A request that crashes every server that runs it and comes again and again, sent to three nodes beside sound requests. */
import { request, type IncomingMessage, type ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { startBackend, startTestNodes, testConfig, type FakeBackend, type TestNodes } from './testing'

const test = suite('crashing requests')

/** Time after a fault in which a node need not have learned of it, in ms. */
const contactMs = 3000
/** Retries of the request that may reach servers after the third crash and that time. */
const maxLateRetries = 3
const restartMs = 700
const crashAfterMs = 60
const workMs = 20
const startMs = 8000

type Outcome = { sentAt: number, status: number, body: string }
type Sent = { method?: string, path: string, body?: string, caller?: string }

let nodes: TestNodes
let servers: FakeBackend[]
/** Times at which servers crashed, and at which crashing requests reached them. */
let crashes: number[]
let arrivals: number[]
let stopped: boolean
let serverCount: number

function answerEvents (req: IncomingMessage, res: ServerResponse): void {
  res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', 'content-type': 'text/event-stream' })
  res.write('id: 1\ndata: a\n\n')
  setTimeout(() => { if (!res.destroyed) res.end('id: 2\ndata: b\n\n') }, 400)
}

function answer (server: () => FakeBackend, service: string, req: IncomingMessage, res: ServerResponse): void {
  if (!(req.url ?? '').includes('crash')) {
    if (service === 'llm') return answerEvents(req, res)
    setTimeout(() => { if (!res.destroyed) res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }).end('ok') }, workMs)
    return
  }
  arrivals.push(performance.now())
  setTimeout(() => { crash(server(), service) }, crashAfterMs)
}

function crash (server: FakeBackend, service: string): void {
  if (!server.http.listening) return
  crashes.push(performance.now())
  server.close()
  setTimeout(() => {
    nodes.platform.servers.append(server.server.id, undefined)
    startServer(service).catch(err => { throw err })
  }, restartMs)
}

async function startServer (service: string): Promise<void> {
  const id = `s${++serverCount}`
  const server: FakeBackend = await startBackend(id, service, (req, res) => answer(() => server, service, req, res), service === 'llm' ? { models: [{ name: 'base', adapters: [] }] } : {})
  if (stopped) return server.close()
  servers.push(server)
  nodes.platform.servers.append(id, { type: 'server', server: server.server, sequence: 1 })
}

let sent = 0

function send ({ method = 'GET', path, body, caller }: Sent, front = sent % 3): Promise<Outcome> {
  const id = `r${++sent}`
  const sentAt = performance.now()
  const headers = { host: 'a.example', 'x-id': id, ...(path.startsWith('/draft') ? { 'x-parts': 'system,document,session' } : {}), ...(caller === undefined ? {} : { authorization: caller }) }
  return new Promise(resolve => {
    const req = request({ host: '127.0.0.1', port: nodes.fronts[front]!, path, method, agent: false, headers }, res => {
      let text = ''
      res.on('data', chunk => { text += String(chunk) })
      res.on('end', () => resolve({ sentAt, status: res.statusCode ?? 0, body: text }))
      res.on('error', () => resolve({ sentAt, status: 0, body: '' }))
    })
    req.on('error', () => resolve({ sentAt, status: 0, body: '' }))
    req.end(body)
  })
}

async function sendEvery (intervalMs: number, untilAt: number, next: () => Sent): Promise<Outcome[]> {
  const outcomes: Promise<Outcome>[] = []
  while (performance.now() < untilAt) {
    outcomes.push(send(next()))
    await sleep(intervalMs)
  }
  return await Promise.all(outcomes)
}

test.before.each(async () => {
  servers = []
  crashes = []
  arrivals = []
  stopped = false
  serverCount = 0
  nodes = await startTestNodes(['a', 'b', 'c'])
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  for (const service of ['desk', 'desk', 'desk', 'llm', 'llm', 'llm']) await startServer(service)
  const endAt = performance.now() + startMs
  for (const [front] of nodes.fronts.entries()) {
    for (const path of ['/read/start', '/draft/start']) {
      while ((await send({ path, method: path.startsWith('/draft') ? 'POST' : 'GET' }, front)).status !== 200) {
        if (performance.now() > endAt) throw new Error('the nodes do not serve')
        await sleep(50)
      }
    }
  }
})
test.after.each(async () => {
  stopped = true
  for (const server of servers) server.close()
  await nodes.stop()
})

const kinds: Record<string, { crashing: Sent, sound: (count: number) => Sent }> = {
  'an idempotent request': { crashing: { path: '/read/crash' }, sound: count => ({ path: `/read/${count}` }) },
  'a request that must not run twice': { crashing: { method: 'POST', path: '/order/crash', body: 'item=7' }, sound: count => ({ method: 'POST', path: '/order/x', body: `item=${count}` }) },
  'a request for an engine': { crashing: { method: 'POST', path: '/draft/crash', body: 'prompt' }, sound: count => ({ method: 'POST', path: '/draft/x', body: `prompt ${count}` }) }
}

for (const [name, { crashing, sound }] of Object.entries(kinds)) {
  // Guards against a request that takes down server after server as long as its client repeats it.
  test(`${name} that crashes servers stops reaching them, and sound ones are served`, async () => {
    const endAt = performance.now() + 10_000
    let count = 0
    const [refused, others] = await Promise.all([
      sendEvery(300, endAt, () => crashing),
      sendEvery(40, endAt, () => sound(count++))
    ])
    const thirdCrashAt = crashes[2]!
    const late = arrivals.filter(at => at > thirdCrashAt + contactMs)
    assert.ok(late.length <= maxLateRetries, `${late.length} retries reached servers later than ${contactMs} ms after the third of ${crashes.length} crashes`)
    const afterwards = others.filter(({ sentAt }) => sentAt > thirdCrashAt + contactMs)
    const served = afterwards.filter(({ status }) => status === 200)
    assert.ok(afterwards.length > 20 && served.length > 0.9 * afterwards.length, `${served.length} of ${afterwards.length} sound requests were served`)
    const last = refused.at(-1)!
    assert.is(last.status, 503)
    assert.is((JSON.parse(last.body) as { outcome: string }).outcome, 'not-run')
  })
}

test.run()
