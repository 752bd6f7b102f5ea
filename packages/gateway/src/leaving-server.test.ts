/** Backend servers that state in their responses that they are leaving, while their entries in the store still say otherwise. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sendEvery, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes, type TestOutcome } from './testing'

const test = suite('leaving servers')

/** Time for which a leaving server still accepts requests, in ms. */
const drainMs = 2000

let nodes: TestNodes
let backends: FakeBackend[]
let leaving: Set<string>
/** Times of the requests that each server got, and of its first statement. */
let arrivals: Map<string, number[]>
let statedAt: Map<string, number>

async function startServer (id: string, service: string, zone: string, bornAt = 1): Promise<void> {
  const backend = await startBackend(id, service, (req, res) => answer(`${id}#${bornAt}`, service, req, res), { zone, bornAt, ...(service === 'llm' ? { models: [{ name: 'base', adapters: [] }] } : {}) })
  arrivals.set(`${id}#${bornAt}`, [])
  backends.push(backend)
  nodes.platform.servers.append(id, { type: 'server', server: backend.server, sequence: 1 })
}

function answer (start: string, service: string, req: IncomingMessage, res: ServerResponse): void {
  arrivals.get(start)!.push(performance.now())
  if (leaving.has(start) && !statedAt.has(start)) statedAt.set(start, performance.now())
  const headers = { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', ...(leaving.has(start) ? { 'x-leaving': '1' } : {}) }
  if (service === 'desk') {
    setTimeout(() => res.writeHead(200, headers).end('ok'), 20)
    return
  }
  const streamMs = req.headers['x-long'] === undefined ? 100 : drainMs + 1000
  res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
  res.write('id: 1\ndata: a\n\n')
  setTimeout(() => { if (!res.destroyed) res.end('id: 2\ndata: b\n\n') }, streamMs)
}

let sent = 0

function send (path: string, headers: Record<string, string> = {}): Promise<TestOutcome> {
  const id = `r${++sent}`
  return sendTestRequest(nodes.fronts[sent % nodes.fronts.length]!, path, id, { ...(path.startsWith('/draft/') ? { 'x-parts': id } : {}), ...headers })
}

const sendMany = (intervalMs: number, ms: number, path: string): Promise<TestOutcome[]> => sendEvery(intervalMs, ms, () => send(path))

async function untilAllServe (path: string): Promise<void> {
  await untilServed(nodes, () => send(path))
}

function assertLeft (start: string): void {
  const since = statedAt.get(start)
  assert.ok(since !== undefined, `${start} got no request`)
  const late = arrivals.get(start)!.filter(at => at > since + drainMs)
  assert.is(late.length, 0, `${late.length} requests reached ${start} later than ${drainMs} ms after it had stated that it is leaving`)
}

function assertServed (outcomes: TestOutcome[]): void {
  assert.equal(outcomes.filter(({ status, complete }) => status !== 200 || !complete), [])
}

test.before.each(async () => {
  backends = []
  leaving = new Set()
  arrivals = new Map()
  statedAt = new Map()
  nodes = await startTestNodes(['a', 'b', 'c'])
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
})
test.after.each(async () => {
  for (const backend of backends) backend.close()
  await nodes.stop()
})

for (const storeDown of [false, true]) {
  // Guards against requests to a server that is gone soon, because only its entry in the store counts.
  test(`a plain server that states that it is leaving gets no further requests${storeDown ? ' while the store is down' : ''}`, async () => {
    for (const id of ['s1', 's2']) await startServer(id, 'desk', 'a')
    await untilAllServe('/order/x')
    nodes.platform.servers.setDown(storeDown)
    leaving.add('s1#1')
    const outcomes = await sendMany(20, drainMs + 1500, '/order/x')
    assertLeft('s1#1')
    assertServed(outcomes)
  })
}

// Guards against a statement in the head of a long stream that counts only at its end, and against cutting the stream.
test('an engine that states that it is leaving finishes its streams and gets no further requests', async () => {
  for (const zone of ['a', 'b', 'c']) await startServer(`e-${zone}`, 'llm', zone)
  await untilAllServe('/draft/x')
  leaving.add('e-a#1')
  const long = await Promise.all([sendEvery(100, 400, () => send('/draft/x', { 'x-long': '1' })), sendMany(40, drainMs + 1500, '/draft/x')])
  assertLeft('e-a#1')
  assertServed(long.flat())
})

// Guards against an older entry, or one that says ready, that brings back a server which is leaving, and against a new start that is never used.
test('only a new start of the server is used again', async () => {
  for (const id of ['s1', 's2']) await startServer(id, 'desk', 'a')
  await untilAllServe('/order/x')
  leaving.add('s1#1')
  await sendMany(20, 500, '/order/x')
  const { server } = backends[0]!
  nodes.platform.servers.append('s1', { type: 'server', server: { ...server, slots: 7 }, sequence: 2 })
  await sendMany(20, 200, '/order/x')
  nodes.platform.servers.append('s1', undefined)
  await sendMany(20, 200, '/order/x')
  nodes.platform.servers.append('s1', { type: 'server', server, sequence: 3 })
  await sendMany(20, drainMs, '/order/x')
  assertLeft('s1#1')
  await startServer('s1', 'desk', 'a', 2)
  await sendMany(20, 1000, '/order/x')
  assert.ok(arrivals.get('s1#2')!.length > 5, `${arrivals.get('s1#2')!.length} requests reached the new start`)
})

test.run()
