/** A node whose links to all backend servers are cut, while clients, the store and the other nodes reach it. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { EngineControl, Feed, FeedPage, Platform, ServerRecord } from './platform-interface'
import { countServed, sendEvery, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes, type TestOutcome } from './testing'

const test = suite('node without links to servers')

/** Time after which a cut node must serve again, in ms. */
const contactMs = 3000
const measuredMs = 2000
const intervalMs = 60
/** Share of the requests that must be served: a few may meet a server that has no room. */
const minServed = 0.95
const workMs = 30
const kinds = ['/read/x', '/order/x', '/draft/x'] as const

/** What becomes of open connections when links are cut; new ones are refused in each case. */
type Cut = 'hang' | 'reset' | 'live on'

/** The links of the first node to the servers. */
type Links = { portTo (port: number): Promise<number>, cut (kind: Cut): Promise<void>, heal (): Promise<void>, isCut (): boolean, close (): void }

function createLinks (): Links {
  const proxies: { server: Server, port: number, sockets: Set<Socket> }[] = []
  let isCut = false

  async function listen (server: Server, port: number): Promise<number> {
    await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
    return (server.address() as { port: number }).port
  }

  return {
    async portTo (target) {
      const sockets = new Set<Socket>()
      const server = createServer(client => {
        const upstream = connect(target, '127.0.0.1')
        client.pipe(upstream).pipe(client)
        for (const socket of [client, upstream]) {
          socket.on('error', () => {})
          socket.on('close', () => { (socket === client ? upstream : client).destroy() })
          sockets.add(socket)
        }
      })
      const port = await listen(server, 0)
      proxies.push({ server, port, sockets })
      return port
    },
    async cut (kind) {
      isCut = true
      for (const { server, sockets } of proxies) {
        server.close()
        for (const socket of sockets) {
          if (kind === 'reset') socket.resetAndDestroy()
          if (kind !== 'hang') continue
          socket.unpipe()
          socket.pause()
        }
      }
    },
    async heal () {
      isCut = false
      for (const { server, port, sockets } of proxies) {
        for (const socket of sockets) socket.destroy()
        sockets.clear()
        await listen(server, port)
      }
    },
    isCut: () => isCut,
    close () {
      for (const { server, sockets } of proxies) {
        for (const socket of sockets) socket.destroy()
        server.close()
      }
    }
  }
}

let nodes: TestNodes
let backends: FakeBackend[]
let links: Links
let ports: Map<string, number>
let sent: number

/** The feed as the first node reads it: each server's address leads through the node's link. */
function throughLinks (feed: Feed<ServerRecord>): Feed<ServerRecord> {
  const map = (page: FeedPage<ServerRecord>): FeedPage<ServerRecord> => ({
    ...page,
    records: page.records.map(record => record.value?.type === 'server' ? { ...record, value: { ...record.value, server: { ...record.value.server, address: `127.0.0.1:${ports.get(record.key)!}` } } } : record)
  })
  return {
    newest: async () => (await feed.newest()).map(map),
    read: async (from, waitMs, signal) => (await feed.read(from, waitMs, signal)).map(map)
  }
}

function engineThroughLinks (engines: EngineControl): EngineControl {
  return {
    command: async (server, command) => links.isCut() ? 'unknown' : await engines.command(server, command),
    report: async (server, dispatcher) => links.isCut() && dispatcher === undefined ? undefined : await engines.report(server)
  }
}

async function addBackend (id: string, service: string, zone: string, slots: number): Promise<void> {
  const backend = await startBackend(id, service, (req, res) => {
    const head = { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }
    if (service === 'desk') setTimeout(() => res.writeHead(200, head).end('ok'), workMs)
    else setTimeout(() => res.writeHead(200, { ...head, 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\n'), workMs)
  }, { zone, slots, ...(service === 'llm' ? { models: [{ name: 'base', adapters: [] }] } : {}) })
  backends.push(backend)
  ports.set(id, await links.portTo(Number(backend.server.address.split(':')[1])))
  nodes.platform.servers.append(id, { type: 'server', server: backend.server, sequence: 1 })
}

function send (node: number, path: string): Promise<TestOutcome> {
  const id = `r${++sent}`
  return sendTestRequest(nodes.fronts[node]!, path, id, { 'x-parts': id })
}

/** @returns the share of the requests of each kind that the node serves, each sent at an interval */
async function play (node: number, ms: number): Promise<number[]> {
  const outcomes = await Promise.all(kinds.map(path => sendEvery(intervalMs, ms, () => send(node, path))))
  return outcomes.map(results => countServed(results) / results.length)
}

test.before.each(async () => {
  sent = 0
  ports = new Map()
  backends = []
  links = createLinks()
  nodes = await startTestNodes(['a', 'b', 'c'], { graceMs: 1000 }, (platform, index): Partial<Platform> => index > 0 ? {} : { servers: throughLinks(platform.servers), engines: engineThroughLinks(platform.engines) })
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  for (const [id, zone] of [['s1', 'a'], ['s2', 'b']] as const) await addBackend(id, 'desk', zone, 8)
  // Its owner is the first node.
  await addBackend('e1', 'llm', 'a', 32)
  for (const path of kinds) await untilServed(nodes, front => sendTestRequest(front, path, `r${++sent}`, { 'x-parts': `r${sent}` }))
  await play(0, 500)
})
test.after.each(async () => {
  links.close()
  for (const backend of backends) backend.close()
  await nodes.stop()
})

const rounded = (shares: readonly number[]): number[] => shares.map(share => Math.round(share * 100) / 100)

for (const cut of ['hang', 'reset', 'live on'] as const) {
  // Guards against clients of a cut node that are refused, or wait, though other nodes reach the servers.
  test(`requests at a node whose connections to servers ${cut} while new ones are refused are served`, async () => {
    await links.cut(cut)
    await Promise.all([play(0, contactMs), play(1, contactMs)])
    const [own, others] = await Promise.all([play(0, measuredMs), play(1, measuredMs)])
    assert.ok(own.every(share => share >= minServed), `read, order, draft: ${rounded(own).join(', ')} at the cut node, ${rounded(others).join(', ')} at another`)
    assert.ok(others.every(share => share >= minServed), `read, order, draft: ${rounded(others).join(', ')} at a node that is not cut`)
    const orders = backends.flatMap(({ requests }) => requests.filter(({ url }) => url === '/order/x').map(({ headers }) => String(headers['x-id'])))
    assert.is(new Set(orders).size, orders.length, 'an order has run twice')
  })
}

test('a node whose links work again sends its requests itself', async () => {
  await links.cut('reset')
  await play(0, contactMs)
  await links.heal()
  await play(0, contactMs)
  const before = nodes.lines.filter(({ event }) => event === 'request-relayed').length
  const shares = await play(0, measuredMs)
  assert.ok(shares.every(share => share === 1), `read, order, draft: ${rounded(shares).join(', ')}`)
  assert.is(nodes.lines.filter(({ event }) => event === 'request-relayed').length, before)
})

test.run()
