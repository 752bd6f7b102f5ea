/** Requests of clients at a node without links to the servers, when the node that relays them is lost. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClusterConfig } from './cluster-types'
import type { Feed, FeedPage, Platform, ServerRecord } from './platform-interface'
import { sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes, type TestOutcome } from './testing'

const test = suite('lost relays')

/** Nothing listens at this port, as it belongs to no service. */
const unreachable = '127.0.0.1:1'
/** Time for a response, in ms: much less than the deadlines of the routes. */
const workMs = 500
/** Time after which the loss must show, in ms: it is known at once. */
const lossMs = 400
const untilRelayedMs = 5000
/** Requests that are sent until a certain node relays one. */
const maxRequests = 40
const lastNode = 3

const paths = { read: '/read/x', order: '/order/x', draft: '/draft/x', resumed: '/resumable/x' } as const
type Kind = keyof typeof paths

const draft = testConfig.routes.find(({ name }) => name === 'draft')!
const config: ClusterConfig = {
  ...testConfig,
  // Responses take their time, and are not retried for that.
  routes: [...testConfig.routes.map(route => ({ ...route, objectiveMs: 2000 })), { ...draft, name: 'resumable', pathPrefix: '/resumable/', resumable: true, attempts: 2 }]
}

let nodes: TestNodes
let backends: FakeBackend[]
/** Ids of requests whose responses have begun. */
let begun: Set<string>
let sent: number
/** Whether responses end with their first part. */
let isCalm: boolean

/** The feed as the first node reads it: no server can be reached. */
function withoutLinks (feed: Feed<ServerRecord>): Feed<ServerRecord> {
  const map = (page: FeedPage<ServerRecord>): FeedPage<ServerRecord> => ({
    ...page,
    records: page.records.map(record => record.value?.type === 'server' ? { ...record, value: { ...record.value, server: { ...record.value.server, address: unreachable } } } : record)
  })
  return {
    newest: async () => (await feed.newest()).map(map),
    read: async (from, waitMs, signal) => (await feed.read(from, waitMs, signal)).map(map)
  }
}

/** A response with neither a length nor chunks, in two parts, of which a resumed stream has had `lastEventId`. */
function respond (service: string, id: string, lastEventId: number, res: ServerResponse): void {
  const all = service === 'desk' ? ['part', ', and the rest'] : ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n']
  const parts = all.slice(lastEventId)
  res.useChunkedEncodingByDefault = false
  res.writeHead(200, { 'x-id': id, 'x-seal': 's', connection: 'close', ...(service === 'desk' ? {} : { 'content-type': 'text/event-stream' }) })
  if (!isCalm) {
    res.write(parts.shift()!)
    begun.add(id)
  }
  setTimeout(() => { res.end(parts.join('')) }, isCalm ? 0 : workMs)
}

async function addBackend (id: string, service: string, zone: string): Promise<void> {
  const backend = await startBackend(id, service, (req, res) => respond(service, String(req.headers['x-id']), Number(req.headers['x-last'] ?? 0), res), { zone, ...(service === 'llm' ? { models: [{ name: 'base', adapters: [] }] } : {}) })
  backends.push(backend)
  nodes.platform.servers.append(id, { type: 'server', server: backend.server, sequence: 1 })
}

function send (kind: Kind): { id: string, outcome: Promise<TestOutcome> } {
  const id = `r${++sent}`
  return { id, outcome: sendTestRequest(nodes.fronts[0]!, paths[kind], id, { 'x-parts': id }) }
}

async function untilBegun (id: string): Promise<void> {
  for (const end = performance.now() + untilRelayedMs; !begun.has(id); await sleep(5)) assert.ok(performance.now() < end, 'the request does not reach a server')
}

/**
 * Sends requests to the node without links until the last node relays one, and ends that node while the response is under
 * way. It has no server in its zone, so the engines belong to the others.
 */
async function loseRelay (kind: Kind): Promise<{ id: string, outcome: TestOutcome, lostAt: number }> {
  isCalm = false
  for (let count = 0; count < maxRequests; count++) {
    const before = nodes.lines.length
    const { id, outcome } = send(kind)
    await untilBegun(id)
    const relayed = nodes.lines.slice(before).find(({ event }) => event === 'request-relayed')
    if (relayed?.through === nodes.settings[lastNode]!.name) {
      const lostAt = performance.now()
      nodes.kill(lastNode)
      return { id, outcome: await outcome, lostAt }
    }
    await outcome
  }
  throw new Error('the last node relays no request')
}

const runsOf = (id: string): number => backends.flatMap(({ requests }) => requests).filter(({ headers }) => headers['x-id'] === id).length

test.before.each(async () => {
  sent = 0
  backends = []
  begun = new Set()
  isCalm = true
  nodes = await startTestNodes(['a', 'b', 'c', 'd'], {}, (platform, index): Partial<Platform> => index > 0 ? {} : { servers: withoutLinks(platform.servers) })
  nodes.platform.operator.append('config', { type: 'config', config })
  for (const [id, service, zone] of [['s1', 'desk', 'b'], ['s2', 'desk', 'c'], ['e1', 'llm', 'b'], ['e2', 'llm', 'c']] as const) await addBackend(id, service, zone)
  for (const path of Object.values(paths)) await untilServed(nodes, front => sendTestRequest(front, path, `r${++sent}`, { 'x-parts': `r${sent}` }))
})
test.after.each(async () => {
  for (const backend of backends) backend.close()
  await nodes.stop()
})

test('an order whose relay is lost is answered at once as one that may have run, and runs once', async () => {
  const { id, outcome, lostAt } = await loseRelay('order')
  assert.is(outcome.status, 502)
  assert.ok(outcome.sentAt + outcome.afterMs - lostAt < lossMs)
  assert.is(runsOf(id), 1)
})

// Guards against a first part that comes to the client as the whole.
test('a read whose relay is lost is served by another attempt', async () => {
  const { id, outcome } = await loseRelay('read')
  assert.equal([outcome.status, outcome.complete, outcome.body], [200, true, 'part, and the rest'])
  assert.is(runsOf(id), 2)
})

// Guards against a stream that ends as complete before its last event.
test('a stream whose relay is lost is broken off at once', async () => {
  const { id, outcome, lostAt } = await loseRelay('draft')
  assert.is(outcome.complete, false)
  assert.ok(outcome.sentAt + outcome.afterMs - lostAt < lossMs)
  assert.is(runsOf(id), 1)
})

// Guards against the same, and against events that come twice.
test('a stream that may be resumed goes on at another engine when its relay is lost', async () => {
  const { outcome } = await loseRelay('resumed')
  assert.equal([outcome.complete, outcome.body], [true, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'])
})

test.run()
