/**
 * An owner of an engine that has missed a takeover, as after a freeze, and cannot read the fleet log.
 * In place of a freeze the log answers all nodes but the owner while another node is recorded.
 */
import { createSocket } from 'node:dgram'
import { setTimeout as sleep } from 'node:timers/promises'
import { Err } from 'ts-results/result.js'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { EngineCommand } from './cluster-types'
import { logFreshMs } from './log-freshness'
import { sendEvery, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes } from './testing'

const test = suite('frozen owner')

let nodes: TestNodes
let backend: FakeBackend
let orders: { holder: string, at: number }[]
/** Whether the store answers reads of the fleet log, by node. */
let refused: Set<string>
let sent: number

async function requestAdapters (ms: number): Promise<void> {
  await sendEvery(50, ms, async () => {
    const id = `r${++sent}`
    return await sendTestRequest(nodes.fronts[sent % nodes.fronts.length]!, '/draft/x', id, { 'x-adapter': `a${sent}` })
  })
}

const ordersSince = (at: number): string[] => orders.filter(order => order.at > at).map(({ holder }) => holder)

/** @returns the name of the node that owns the engine */
function currentOwner (): string {
  assert.ok(orders.length > 0, 'no command was given')
  return orders.at(-1)!.holder
}

async function recordTakeover (owner: string): Promise<void> {
  refused.add(owner)
  // A node that is not there, so that no other node gives commands.
  await nodes.platform.fleet.append([{ key: 'owner/e1', value: { type: 'owner', engine: 'e1', node: 'successor', incarnation: 1, after: owner } }], undefined)
  // The others read the record, and what the owner read before is no longer recent.
  await sleep(logFreshMs + 200)
}

test.before.each(async () => {
  orders = []
  refused = new Set()
  sent = 0
  nodes = await startTestNodes(['a', 'a', 'a'], {}, (platform, index) => {
    const name = `node-${index + 1}`
    const unavailable = Err({ type: 'unavailable' as const, reason: 'turned away' })
    return {
      fleet: {
        ...platform.fleet,
        newest: async () => refused.has(name) ? unavailable : await platform.fleet.newest(),
        async read (from, waitMs, signal) {
          const result = refused.has(name) ? unavailable : await platform.fleet.read(from, waitMs, signal)
          return refused.has(name) ? unavailable : result
        }
      },
      engines: {
        ...platform.engines,
        async command (server, command: EngineCommand) {
          orders.push({ holder: command.holder, at: performance.now() })
          return await platform.engines.command(server, command)
        }
      }
    }
  })
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  backend = await startBackend('e1', 'llm', (req, res) => {
    res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\n')
  }, { models: [{ name: 'base', adapters: [] }] })
  nodes.platform.servers.append('e1', { type: 'server', server: backend.server, sequence: 1 })
  await untilServed(nodes, front => {
    const id = `r${++sent}`
    return sendTestRequest(front, '/draft/x', id, { 'x-adapter': `a${sent}` })
  })
})
test.after.each(async () => {
  backend.close()
  await nodes.stop()
})

// Guards against two nodes that give commands in an outage of the store, because most nodes cannot read the log but have read of the takeover.
test('an owner that has missed a takeover gives no commands while no node can read the log', async () => {
  const owner = currentOwner()
  await recordTakeover(owner)
  for (const { name } of nodes.settings) refused.add(name)
  await sleep(1000)
  const outageAt = performance.now()
  await requestAdapters(3000)
  assert.equal(ordersSince(outageAt), [])
})

// Guards against adapters that are not loaded in an outage of the store, although no other owner can have been recorded.
test('an owner that has read the whole log gives commands while no node can read it', async () => {
  const owner = currentOwner()
  for (const { name } of nodes.settings) refused.add(name)
  await sleep(logFreshMs + 1000)
  const outageAt = performance.now()
  await requestAdapters(2000)
  assert.ok(ordersSince(outageAt).length > 5, `${ordersSince(outageAt).length} commands`)
  assert.equal([...new Set(ordersSince(outageAt))], [owner])
})

// Guards against a stopped process that wakes, reads messages from before the takeover and takes them for recent ones.
test('an owner that has missed a takeover gives no commands on the strength of messages from before it', async () => {
  const owner = currentOwner()
  const page = await nodes.platform.fleet.newest()
  const fleetNext = page.ok ? page.val.next : 0
  await recordTakeover(owner)
  const wokenAt = performance.now()
  const peer = nodes.settings.find(({ name }) => name !== owner)!.name
  const delayed = [
    ['status', { engines: [], fleetNext, fleetAgeMs: 0, operatorNext: 0 }],
    ['log-state', { type: 'read', next: fleetNext, ageMs: 0, waitedMs: 0 }],
    ['log-state', { type: 'read', next: fleetNext, ageMs: 0, waitedMs: 0, question: { incarnation: 1, askedAt: 0 } }]
  ]
  const socket = createSocket('udp4')
  const port = nodes.settings.find(({ name }) => name === owner)!.peerPorts[0]
  const timer = setInterval(() => {
    for (const [kind, payload] of delayed) socket.send(JSON.stringify([peer, 1, 0, kind, payload, 0]), port, '127.0.0.1')
  }, 50)
  await requestAdapters(2000)
  clearInterval(timer)
  socket.close()
  assert.equal(ordersSince(wokenAt), [])
})

test.run()
