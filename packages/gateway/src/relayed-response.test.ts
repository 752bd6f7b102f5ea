/** What becomes of a response that another node relays when the server, or that node, ends or breaks off. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { runOutcomeOf, startAttempt, type AttemptResult } from './attempt'
import type { BackendServer } from './cluster-types'
import { createDecisionLog } from './decision-log'
import { createKeptBytes } from './kept-bytes'
import { createRelayConnector } from './relay-connector'
import { createRelayServer, type RelayServer } from './relay-server'
import { testCodec } from './testing'
import { createUpstream, type Upstream } from './upstream'

const test = suite('relayed responses')

const kinds = ['plain response', 'stream', 'resumed stream', 'response to an order'] as const
type Kind = typeof kinds[number]

/** Time between a part of a response and what follows, in ms. */
const pauseMs = 30
const event = (id: number): string => `id: ${id}\ndata: ${'x'.repeat(20)}\n\n`
/** Events that a resumed stream has had before. */
const lastEventId = 4

let relay: RelayServer
let server: Server
let upstream: Upstream
let backend: BackendServer
/** Connections of other nodes at the one that relays. */
let relayed: Socket[]

async function listen (listening: Pick<Server, 'listen' | 'address'>): Promise<string> {
  await new Promise<void>(resolve => listening.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(listening.address() as AddressInfo).port}`
}

/** @param isEarlierBuild - the node that relays doesn't know frames */
async function start (respond: (socket: Socket) => void, isEarlierBuild = false): Promise<void> {
  const log = createDecisionLog('n1', { write () {}, flush: async () => {}, dropped: () => 0 })
  relayed = []
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { respond(socket) })
  })
  backend = { id: 's1', bornAt: 1, service: 'svc', address: await listen(server), zone: 'a', state: 'ready', slots: 4, models: [] }
  relay = createRelayServer({ log, isPeer: () => true, leaving: () => false, isCut: () => false, server: () => backend, hasRoom: () => true })
  if (isEarlierBuild) relay.server.prependListener('connect', ({ headers }) => { delete headers['x-relayed-frames'] })
  relay.server.on('connection', socket => { relayed.push(socket) })
  const node = { name: 'n2', zone: 'a', address: await listen(relay.server) }
  upstream = createUpstream({
    now: () => performance.now(),
    connections: () => 4,
    detour: {
      links: { isCut: () => true, onCut () {}, notConnected: async () => true, sent: () => () => {}, received () {} },
      relays: createRelayConnector({ zone: 'a', now: () => performance.now(), random: Math.random, log, nodes: () => [node] })
    }
  })
}

test.after.each(() => {
  upstream.close()
  relay.close()
  relay.server.close()
  server.close()
})

function isStream (kind: Kind): boolean {
  return kind === 'stream' || kind === 'resumed stream'
}

async function run (kind: Kind): Promise<{ result: AttemptResult, received: string }> {
  let received = ''
  const result = await startAttempt({
    codec: testCodec,
    kept: createKeptBytes(),
    upstream,
    now: () => performance.now(),
    server: backend,
    requestId: 'r1',
    req: {
      method: kind === 'plain response' ? 'GET' : 'POST',
      path: '/x',
      headers: ['X-Id', 'r1', ...(kind === 'resumed stream' ? ['Last-Event-Id', String(lastEventId)] : [])],
      body: kind === 'plain response' ? null : Buffer.from('body'),
      repeatable: kind !== 'response to an order'
    },
    ...(isStream(kind)
      ? {
          stream: {
            head () {},
            events (bytes: Buffer) {
              received += String(bytes)
              return true
            }
          }
        }
      : {}),
    maxBodyBytes: 1e6,
    warn () {}
  }).result
  return { result, received: result.type === 'response' ? String(result.body) : received }
}

function head (kind: Kind, more = ''): string {
  return `HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n${isStream(kind) ? 'Content-Type: text/event-stream\r\n' : ''}Connection: close\r\n${more}\r\n`
}

/** A response in two parts; both end with a whole event, so that nothing but its connection says where it ends. */
function partsOf (kind: Kind): [string, string] {
  const first = kind === 'resumed stream' ? lastEventId + 1 : 1
  return isStream(kind) ? [event(first), event(first + 1)] : ['part', ', and the rest']
}

/** @param end - called after the first part has been written */
async function breakOff (kind: Kind, end: (socket: Socket) => void, isEarlierBuild = false): Promise<AttemptResult> {
  await start(socket => { socket.write(head(kind) + partsOf(kind)[0], () => { end(socket) }) }, isEarlierBuild)
  return (await run(kind)).result
}

const later = (callback: () => void): void => { setTimeout(callback, pauseMs) }

for (const kind of kinds) {
  // Guards against sound responses that fail, because their end isn't told.
  test(`a ${kind} without a length is complete when its server ends the connection`, async () => {
    const [first, second] = partsOf(kind)
    await start(socket => {
      socket.write(head(kind) + first)
      later(() => { socket.end(second) })
    })
    const { result, received } = await run(kind)
    assert.is(result.type, isStream(kind) ? 'streamed' : 'response')
    assert.is(received, first + second)
  })

  // Guards against a part of a response that comes to the client as a whole one.
  test(`a ${kind} without a length fails when its server resets the connection`, async () => {
    assert.is(runOutcomeOf(await breakOff(kind, socket => { later(() => { socket.resetAndDestroy() }) })), 'disconnected')
  })

  // Guards against the same when data and reset are read together.
  test(`a ${kind} without a length fails when its server resets the connection right behind its data`, async () => {
    assert.is(runOutcomeOf(await breakOff(kind, socket => { socket.resetAndDestroy() })), 'disconnected')
  })

  // Guards against a part that counts as whole, as the system closes the connections of a killed process regularly; and against a server that is blamed for it.
  test(`a ${kind} without a length fails at once when the node that relays it is killed, which says nothing about the server`, async () => {
    const result = await breakOff(kind, () => { later(() => { for (const socket of relayed) socket.destroy() }) })
    assert.is(result.type, 'failed')
    assert.is(runOutcomeOf(result), 'cancelled')
  })

  // Guards against the same at the end of a planned stop.
  test(`a ${kind} without a length fails at once when the node that relays it stops`, async () => {
    const result = await breakOff(kind, () => { later(() => { relay.close() }) })
    assert.is(result.type, 'failed')
    assert.is(runOutcomeOf(result), 'cancelled')
  })

  // Guards against a response that a node of an earlier build cannot prove to be complete.
  test(`a ${kind} without a length fails when a node of an earlier build relays it`, async () => {
    const result = await breakOff(kind, socket => { later(() => { socket.end() }) }, true)
    assert.is(result.type, 'failed')
    assert.is(runOutcomeOf(result), 'cancelled')
  })

  // Guards against a release during which cut nodes serve nothing.
  test(`a ${kind} with a length is complete when a node of an earlier build relays it`, async () => {
    const body = partsOf(kind).join('')
    await start(socket => { socket.end(head(kind, `Content-Length: ${body.length}\r\n`) + body) }, true)
    const { result, received } = await run(kind)
    assert.is(result.type, isStream(kind) ? 'streamed' : 'response')
    assert.is(received, body)
  })
}

// Guards against a request that waits until its deadline, because what its server did at once came with the confirmation.
test('a reset right behind the opening of the connection ends the request', async () => {
  await start(() => {})
  server.removeAllListeners('connection')
  server.on('connection', socket => { socket.resetAndDestroy() })
  assert.ok(['not-sent', 'failed'].includes((await run('plain response')).result.type))
})

test.run()
