/** Backend servers that state how many requests a second they accept from all nodes together, behind three nodes. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countServed, recordStalls, sendEvery, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type Stalls, type TestNodes, type TestOutcome } from './testing'

const test = suite('stated request limits')

/** Time after which all nodes must know what a server has stated, in ms. */
const contactMs = 3000
const windowMs = 4000
const loadMs = 10_000
/** Sends that cross each other may exceed the limit by half and five requests in a window. */
const allowedIn = (requestsPerSecond: number, ms: number): number => 1.5 * requestsPerSecond * ms / 1000 + 5

let nodes: TestNodes
let backends: FakeBackend[]
/** Limits that servers state, in requests a second, by server. */
let limits: Map<string, number>
/** Times of the requests that each server got. */
let arrivals: Map<string, number[]>
/** Time at which each server first stated a limit. */
let statedAt: Map<string, number>
let stalls: Stalls

async function startServer (id: string, service: string, zone = 'a'): Promise<void> {
  const backend = await startBackend(id, service, (req, res) => answer(id, service, req, res), { zone, ...(service === 'llm' ? { models: [{ name: 'base', adapters: [] }] } : {}) })
  arrivals.set(id, [])
  backends.push(backend)
  nodes.platform.servers.append(id, { type: 'server', server: backend.server, sequence: 1 })
}

function answer (id: string, service: string, req: IncomingMessage, res: ServerResponse): void {
  arrivals.get(id)!.push(performance.now())
  const limit = limits.get(id)
  if (limit !== undefined && !statedAt.has(id)) statedAt.set(id, performance.now())
  const headers = { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', ...(limit === undefined ? {} : { 'x-limit': String(limit) }) }
  if (service === 'desk') {
    setTimeout(() => res.writeHead(200, headers).end('ok'), 20)
    return
  }
  res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
  res.write('id: 1\ndata: a\n\n')
  setTimeout(() => { if (!res.destroyed) res.end('id: 2\ndata: b\n\n') }, 150)
}

let sent = 0

function send (path: string): Promise<TestOutcome> {
  const id = `r${++sent}`
  return sendTestRequest(nodes.fronts[sent % nodes.fronts.length]!, path, id, path.startsWith('/draft/') ? { 'x-parts': id } : {})
}

const sendMany = (intervalMs: number, ms: number, path: string): Promise<TestOutcome[]> => sendEvery(intervalMs, ms, () => send(path))

async function untilAllServe (path: string): Promise<void> {
  await untilServed(nodes, () => send(path))
}

/** Largest number of requests that the server got in one window, from `contactMs` after it first stated its limit. */
function mostInWindow (id: string): number {
  const times = arrivals.get(id)!.filter(at => at >= statedAt.get(id)! + contactMs)
  return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + windowMs).length))
}

function assertLimitHeld (id: string): void {
  const limit = limits.get(id)!
  const most = mostInWindow(id)
  assert.ok(most <= allowedIn(limit, windowMs), `${id} stated ${limit} a second and got ${most} requests in ${windowMs} ms, ${allowedIn(limit, windowMs)} allowed`)
}

/** @returns the time that nodes, servers and client, which share one process, took for the refusal while they could run */
function refusalMs ({ sentAt, afterMs }: TestOutcome): number {
  return afterMs - stalls.within(sentAt, sentAt + afterMs)
}

test.before.each(async () => {
  stalls = recordStalls()
  backends = []
  limits = new Map()
  arrivals = new Map()
  statedAt = new Map()
  nodes = await startTestNodes(['a', 'b', 'c'])
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
})
test.after.each(async () => {
  stalls.stop()
  for (const backend of backends) backend.close()
  await nodes.stop()
})

// Guards against an engine that gets far more requests than it has stated.
test('an engine gets no more requests than it states, and the others take its share', async () => {
  for (const zone of ['a', 'b', 'c']) await startServer(`e-${zone}`, 'llm', zone)
  await untilAllServe('/draft/x')
  limits.set('e-a', 1)
  const outcomes = await sendMany(40, loadMs, '/draft/x')
  assertLimitHeld('e-a')
  assert.ok(countServed(outcomes) > 0.95 * outcomes.length, `${countServed(outcomes)} of ${outcomes.length} were served`)
})

// Guards against engines that get more than they state because no other can take the rest, and against requests that wait in vain.
test('engines that all state a limit get what they state, and the rest is refused at once', async () => {
  for (const zone of ['a', 'b', 'c']) await startServer(`e-${zone}`, 'llm', zone)
  await untilAllServe('/draft/x')
  for (const zone of ['a', 'b', 'c']) limits.set(`e-${zone}`, 3)
  const outcomes = await sendMany(40, loadMs, '/draft/x')
  for (const zone of ['a', 'b', 'c']) assertLimitHeld(`e-${zone}`)
  const late = outcomes.filter(({ sentAt }) => sentAt > Math.max(...statedAt.values()) + contactMs)
  const seconds = (loadMs - contactMs) / 1000
  assert.ok(countServed(late) > 0.7 * 9 * (seconds - 1), `${countServed(late)} were served in ${seconds} s at a limit of 9 a second`)
  const refused = late.filter(({ status }) => status === 503)
  assert.is(refused.length + countServed(late), late.length)
  for (const outcome of refused) assert.ok(refusalMs(outcome) < 1000 && outcome.retryAfter !== undefined, `refused after ${outcome.afterMs} ms, ${refusalMs(outcome)} without stalls, with Retry-After ${outcome.retryAfter}`)
})

// Guards against nodes that each keep to the limit of a plain server for themselves, so that all of them together exceed it.
test('a plain server gets no more requests than it states, and the others take its share', async () => {
  for (const id of ['s1', 's2', 's3']) await startServer(id, 'desk')
  await untilAllServe('/order/x')
  limits.set('s1', 2)
  const outcomes = await sendMany(30, loadMs, '/order/x')
  assertLimitHeld('s1')
  assert.ok(countServed(outcomes) > 0.95 * outcomes.length, `${countServed(outcomes)} of ${outcomes.length} were served`)
})

// Guards against a last server that is used although it has got what it states, and against requests that wait in vain.
test('if all plain servers state a limit, they get what they state and the rest is refused at once', async () => {
  for (const id of ['s1', 's2']) await startServer(id, 'desk')
  await untilAllServe('/order/x')
  for (const id of ['s1', 's2']) limits.set(id, 4)
  const outcomes = await sendMany(30, loadMs, '/order/x')
  for (const id of ['s1', 's2']) assertLimitHeld(id)
  const late = outcomes.filter(({ sentAt }) => sentAt > Math.max(...statedAt.values()) + contactMs)
  const seconds = (loadMs - contactMs) / 1000
  assert.ok(countServed(late) > 0.7 * 8 * (seconds - 1), `${countServed(late)} were served in ${seconds} s at a limit of 8 a second`)
  const refused = late.filter(({ status }) => status === 503)
  assert.is(refused.length + countServed(late), late.length)
  for (const outcome of refused) {
    assert.is((JSON.parse(outcome.body) as { outcome: string }).outcome, 'not-run')
    assert.ok(refusalMs(outcome) < 300 && outcome.retryAfter !== undefined, `refused after ${outcome.afterMs} ms, ${refusalMs(outcome)} without stalls, with Retry-After ${outcome.retryAfter}`)
  }
})

// Guards against a limit that outlasts the server's need.
test('a server that no longer states a limit is used as before', async () => {
  for (const id of ['s1', 's2']) await startServer(id, 'desk')
  await untilAllServe('/order/x')
  for (const id of ['s1', 's2']) limits.set(id, 4)
  await sendMany(30, 3000, '/order/x')
  limits.clear()
  await sendMany(30, 2000, '/order/x')
  const outcomes = await sendMany(30, 2000, '/order/x')
  assert.ok(countServed(outcomes) > 0.95 * outcomes.length, `${countServed(outcomes)} of ${outcomes.length} were served`)
})

test.run()
