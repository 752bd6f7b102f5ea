/** Backend servers that refuse requests and state how long they want none from the node. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countServed, sendEvery, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes, type TestOutcome } from './testing'

const test = suite('servers that want no requests for a while')

const waitMs = 2000
/** Requests that cross the statement may still arrive for this long. */
const crossingMs = 500
const maxDuringWait = 2

let nodes: TestNodes
let backends: FakeBackend[]
/** Servers that refuse all requests. */
let refusing: Set<string>
/** Requests that each server got, with the node that sent them, and whether they were refused. */
let arrivals: Map<string, { at: number, node: string, refused: boolean }[]>

async function startServer (id: string, service: string, zone: string): Promise<void> {
  const backend = await startBackend(id, service, (req, res) => answer(id, service, req, res), { zone, ...(service === 'llm' ? { models: [{ name: 'base', adapters: [] }] } : {}) })
  arrivals.set(id, [])
  backends.push(backend)
  nodes.platform.servers.append(id, { type: 'server', server: backend.server, sequence: 1 })
}

function answer (id: string, service: string, req: IncomingMessage, res: ServerResponse): void {
  const refused = refusing.has(id)
  arrivals.get(id)!.push({ at: performance.now(), node: String(req.headers['x-node']), refused })
  const headers = { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }
  if (refused) res.writeHead(503, { ...headers, 'x-not-run': '1', 'retry-after': String(waitMs / 1000) }).end()
  else if (service === 'desk') setTimeout(() => res.writeHead(200, headers).end('ok'), 20)
  else {
    res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    res.write('id: 1\ndata: a\n\n')
    setTimeout(() => { if (!res.destroyed) res.end('id: 2\ndata: b\n\n') }, 100)
  }
}

let sent = 0

function send (path: string): Promise<TestOutcome> {
  const id = `r${++sent}`
  const node = sent % nodes.fronts.length
  return sendTestRequest(nodes.fronts[node]!, path, id, { 'x-node': String(node), ...(path.startsWith('/draft/') ? { 'x-parts': id } : {}) })
}

const sendMany = (intervalMs: number, ms: number, path: string): Promise<TestOutcome[]> => sendEvery(intervalMs, ms, () => send(path))

async function untilAllServe (path: string): Promise<void> {
  await untilServed(nodes, () => send(path))
}

function assertWaited (id: string): void {
  const all = arrivals.get(id)!
  const refusals = all.filter(({ refused }) => refused)
  assert.ok(refusals.length > 0, `${id} refused no request`)
  for (const { at, node } of refusals) {
    const during = all.filter(other => other.node === node && other.at > at + crossingMs && other.at < at + waitMs)
    assert.ok(during.length <= maxDuringWait, `${during.length} requests from node ${node} reached ${id} while it wanted none`)
  }
}

test.before.each(async () => {
  backends = []
  refusing = new Set()
  arrivals = new Map()
  nodes = await startTestNodes(['a', 'b', 'c'])
  nodes.platform.operator.append('config', { type: 'config', config: { ...testConfig, routes: testConfig.routes.map(route => ({ ...route, attempts: 2 })) } })
})
test.after.each(async () => {
  for (const backend of backends) backend.close()
  await nodes.stop()
})

// Guards against a server in trouble that is asked again every few ms.
test('a plain server that wants no requests gets none for that time, and is used again after it', async () => {
  for (const id of ['s1', 's2', 's3']) await startServer(id, 'desk', 'a')
  await untilAllServe('/order/x')
  refusing.add('s1')
  const outcomes = await sendMany(20, 3 * waitMs, '/order/x')
  assertWaited('s1')
  assert.ok(countServed(outcomes) > 0.95 * outcomes.length, `${countServed(outcomes)} of ${outcomes.length} were served`)
  refusing.clear()
  await sleep(waitMs)
  // A server that was slow in the beginning is used only when the others are taken.
  for (const id of ['s2', 's3']) refusing.add(id)
  await sendMany(20, 400, '/order/x')
  const outcomesAfter = await sendMany(20, 500, '/order/x')
  assert.ok(countServed(outcomesAfter) > 0.95 * outcomesAfter.length, `${countServed(outcomesAfter)} of ${outcomesAfter.length} were served by s1 alone`)
})

// Guards against trying a server against its word because no other is left, and against requests that wait for it in vain.
test('if all plain servers want no requests, they are refused at once with the time until one may be asked', async () => {
  for (const id of ['s1', 's2']) await startServer(id, 'desk', 'a')
  await untilAllServe('/order/x')
  for (const id of ['s1', 's2']) refusing.add(id)
  await sendMany(20, 300, '/order/x')
  const outcomes = await sendMany(20, waitMs - 500, '/order/x')
  for (const id of ['s1', 's2']) assertWaited(id)
  for (const { status, afterMs, retryAfter, body } of outcomes) {
    assert.equal([status, (JSON.parse(body) as { outcome: string }).outcome], [503, 'not-run'])
    assert.ok(afterMs < 100, `refused after ${afterMs} ms`)
    assert.ok(Number(retryAfter) <= waitMs / 1000)
  }
  const longest = Math.max(...outcomes.map(({ retryAfter }) => Number(retryAfter)))
  assert.ok(longest > 1, `the longest Retry-After is ${longest} s`)
})

// Guards against owners that grant an engine to a node which it wants no requests from.
test('an engine that wants no requests gets none for that time, and the others take its share', async () => {
  for (const zone of ['a', 'b', 'c']) await startServer(`e-${zone}`, 'llm', zone)
  await untilAllServe('/draft/x')
  refusing.add('e-a')
  const outcomes = await sendMany(30, 3 * waitMs, '/draft/x')
  assertWaited('e-a')
  assert.ok(countServed(outcomes) > 0.95 * outcomes.length, `${countServed(outcomes)} of ${outcomes.length} were served`)
})

// Guards against requests that go round all owners until their deadline because every engine wants none.
test('if all engines want no requests, they are refused at once with the time until one may be asked', async () => {
  for (const zone of ['a', 'b', 'c']) await startServer(`e-${zone}`, 'llm', zone)
  await untilAllServe('/draft/x')
  for (const zone of ['a', 'b', 'c']) refusing.add(`e-${zone}`)
  await sendMany(20, 400, '/draft/x')
  const outcomes = await sendMany(20, waitMs - 600, '/draft/x')
  for (const zone of ['a', 'b', 'c']) assertWaited(`e-${zone}`)
  for (const { status, afterMs } of outcomes) {
    assert.is(status, 503)
    assert.ok(afterMs < 200, `refused after ${afterMs} ms`)
  }
  const longest = Math.max(...outcomes.map(({ retryAfter }) => Number(retryAfter)))
  assert.ok(longest > 1 && longest <= waitMs / 1000, `the longest Retry-After is ${longest} s`)
})

test.run()
