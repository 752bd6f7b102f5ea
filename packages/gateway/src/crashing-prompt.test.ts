/** A prompt part that crashes every engine that answers it, sent to two nodes whose zones have engines of their own. */
import { request, type IncomingMessage, type ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createDecisionLog } from './decision-log'
import { createGateway, type Gateway } from './gateway'
import { createGatewayMetrics } from './gateway-metrics'
import { createFakePlatform, freePorts, startBackend, testConfig, testNodeSettings, type FakeBackend, type FakePlatform } from './testing'

const test = suite('crashing prompts')

const zones = ['a', 'b']
/** Time after a fault in which a node need not have learned of it, in ms. */
const contactMs = 3000
/** Requests that may reach engines after the fifth crash and that time. */
const maxLateRequests = 3
const restartMs = 400
const crashAfterMs = 30

type Outcome = { sentAt: number, status: number, complete: boolean, body: string }

let platform: FakePlatform
let gateways: Gateway[]
let fronts: number[]
let engines: FakeBackend[]
let lines: { event: string, [field: string]: unknown }[]
/** Times at which engines crashed, and at which requests that crash engines reached them. */
let crashes: number[]
let arrivals: number[]
let stopped: boolean

async function startEngine (id: string, zone: string): Promise<void> {
  const engine = await startBackend(id, 'llm', (req, res) => answer(id, zone, engine, req, res), { zone, models: [{ name: 'base', adapters: [] }] })
  if (stopped) return engine.close()
  engines.push(engine)
  platform.servers.append(id, { type: 'server', server: engine.server, sequence: 1 })
}

function answer (id: string, zone: string, engine: FakeBackend, req: IncomingMessage, res: ServerResponse): void {
  if (!String(req.headers['x-parts']).includes('crash')) {
    res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', 'content-type': 'text/event-stream' })
    res.write('id: 1\ndata: a\n\n')
    setTimeout(() => { if (!res.destroyed) res.end('id: 2\ndata: b\n\n') }, 400)
    return
  }
  arrivals.push(performance.now())
  setTimeout(() => {
    if (!engine.http.listening) return
    crashes.push(performance.now())
    engine.close()
    setTimeout(() => {
      platform.servers.append(id, undefined)
      startEngine(`${id}+`, zone).catch(err => { throw err })
    }, restartMs)
  }, crashAfterMs)
}

let sent = 0

function send (parts: string): Promise<Outcome> {
  const port = fronts[sent % fronts.length]!
  const id = `r${++sent}`
  const sentAt = performance.now()
  return new Promise(resolve => {
    const req = request({ host: '127.0.0.1', port, path: '/draft/x', method: 'POST', agent: false, headers: { host: 'a.example', 'x-id': id, 'x-parts': `system,${parts},${id}` } }, res => {
      let body = ''
      const done = (complete: boolean): void => resolve({ sentAt, status: res.statusCode ?? 0, complete, body })
      res.on('data', chunk => { body += String(chunk) })
      res.on('end', () => done(true))
      res.on('error', () => done(false))
    })
    req.on('error', () => resolve({ sentAt, status: 0, complete: false, body: '' }))
    req.end()
  })
}

async function sendEvery (intervalMs: number, untilAt: number, parts: () => string): Promise<Outcome[]> {
  const outcomes: Promise<Outcome>[] = []
  while (performance.now() < untilAt) {
    outcomes.push(send(parts()))
    await sleep(intervalMs)
  }
  return await Promise.all(outcomes)
}

test.before.each(async () => {
  lines = []
  engines = []
  crashes = []
  arrivals = []
  stopped = false
  gateways = []
  fronts = []
  const log = createDecisionLog('nodes', { write: line => { lines.push(JSON.parse(line) as typeof lines[number]) }, flush: async () => {}, dropped: () => 0 })
  const shared = createFakePlatform(testNodeSettings('node-a', 'a', await freePorts(6)))
  platform = shared
  for (const zone of zones) {
    const ports = await freePorts(6)
    const settings = testNodeSettings(`node-${zone}`, zone, ports)
    fronts.push(settings.front.port)
    const gateway = createGateway({ platform: { ...shared, settings }, log, metrics: createGatewayMetrics(), metricsAddress: { port: ports[4]!, path: '/metrics' }, now: () => performance.now(), random: Math.random })
    gateways.push(gateway)
    await gateway.start()
  }
  platform.operator.append('config', { type: 'config', config: testConfig })
  for (const zone of zones) {
    for (const number of [1, 2, 3]) await startEngine(`${zone}${number}`, zone)
  }
  const servedBy = async (): Promise<number> => (await Promise.all(fronts.map(async () => await send('start')))).filter(({ status }) => status === 200).length
  const end = performance.now() + 8000
  while (await servedBy() < fronts.length) {
    if (performance.now() > end) throw new Error('the nodes do not serve')
    await sleep(50)
  }
})
test.after.each(async () => {
  stopped = true
  for (const engine of engines) engine.close()
  await Promise.all(gateways.map(gateway => gateway.stop()))
})

// Guards against a prompt part that takes down engine after engine, and against refusing sound requests with it.
test('requests with a part that crashes engines stop reaching them, and sound ones that share their other parts are served', async () => {
  const endAt = performance.now() + 12_000
  let count = 0
  const [refused, sound] = await Promise.all([
    sendEvery(150, endAt, () => 'crash'),
    sendEvery(40, endAt, () => `document-${count++ % 7}`)
  ])
  const fifthCrashAt = crashes[4] ?? crashes.at(-1)!
  const late = arrivals.filter(at => at > fifthCrashAt + contactMs)
  assert.ok(late.length <= maxLateRequests, `${late.length} requests reached engines later than ${contactMs} ms after the fifth of ${crashes.length} crashes`)
  const afterwards = sound.filter(({ sentAt }) => sentAt > fifthCrashAt + 2 * contactMs)
  const served = afterwards.filter(({ status, complete }) => status === 200 && complete)
  assert.ok(afterwards.length > 20 && served.length > afterwards.length / 2, `${served.length} of ${afterwards.length} sound requests were served`)
  const last = refused.at(-1)!
  assert.is(last.status, 503)
  assert.is((JSON.parse(last.body) as { outcome: string }).outcome, 'not-run')
})

// Guards against nodes that start after the crashes, or that were cut off from the node that found the part.
test('a part that is recorded as blocked reaches no engine', async () => {
  await platform.fleet.append([{ key: 'blocked-part/crash', value: { type: 'blocked-part', part: 'crash', at: Date.now() } }])
  while (lines.filter(({ event }) => event === 'prompt-part-blocked').length < fronts.length) await sleep(10)
  const outcomes = await Promise.all([send('crash'), send('crash'), send('document')])
  assert.equal(outcomes.map(({ status }) => status), [503, 503, 200])
  assert.equal(arrivals, [])
})

test.run()
