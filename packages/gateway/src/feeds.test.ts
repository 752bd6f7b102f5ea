import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { DecisionLog } from './decision-log'
import type { FleetMember } from './engine-ownership'
import { createFeeds, type Feeds } from './feeds'
import { createGatewayMetrics } from './gateway-metrics'
import { createFeedCache } from './peer-state'
import type { FeedRecord, NodeSettings, Platform, ServerRecord } from './platform-interface'
import { createFakePlatform } from './testing'

const test = suite('feeds')

const drainMs = 500
/** Age up to which a record counts as just written, in ms. */
const recentMs = 500
const log = { info () {}, warn () {}, error () {} } as unknown as DecisionLog

type Node = { name: string, feeds: Feeds, states: Map<string, string>, reads: () => number, recoveries: number[], storeUnreachable: boolean, dropsUpdates: boolean, pausedMs: number, suspensionEndedAt: number, stoppedSince: number | undefined, ownsEngines: boolean, recent: boolean[], writtenAfter: number }

const shared = createFakePlatform({ name: 'any', zone: 'a', bounds: { drainMs } } as unknown as NodeSettings)
let nodes: Node[] = []

function startNode (name: string): Node {
  let reads = 0
  const node: Node = { name, states: new Map(), reads: () => reads, recoveries: [], storeUnreachable: false, dropsUpdates: false, pausedMs: 0, suspensionEndedAt: -Infinity, ownsEngines: false, recent: [] } as unknown as Node
  const servers: Platform['servers'] = {
    newest: () => shared.servers.newest(),
    read: (from, waitMs, signal) => {
      reads += 1
      return node.storeUnreachable ? Promise.resolve(shared.servers.read(from, waitMs, AbortSignal.abort())) : shared.servers.read(from, waitMs, signal)
    }
  }
  const recordStates = (records: FeedRecord<ServerRecord>[]): void => {
    for (const { key, value } of records) node.states.set(key, value?.type === 'server' ? value.server.state : 'removed')
  }
  node.feeds = createFeeds({
    platform: { ...shared, servers, settings: { ...shared.settings, name } },
    log,
    metrics: createGatewayMetrics(),
    cache: createFeedCache(),
    now: () => performance.now() + node.pausedMs,
    suspensions: { endedAt: () => node.suspensionEndedAt },
    lastTurn: () => node.stoppedSince ?? performance.now() + node.pausedMs,
    random: () => 0.5,
    ownsEngines: () => node.ownsEngines,
    revokeMs: () => undefined,
    needsOperatorRead: () => false,
    operatorRead () {},
    members: () => nodes.filter(other => other !== node).map((other): FleetMember => ({ name: other.name, zone: 'a', incarnation: 1, capacity: 1, state: 'alive' })),
    sendToZone: update => { for (const other of nodes) if (other !== node && !other.dropsUpdates) other.feeds.receiveServerUpdate(JSON.parse(JSON.stringify(update))) },
    operator (records, writtenAfter) {
      if (records.length === 0) return
      node.writtenAfter = writtenAfter
      node.recent.push(performance.now() + node.pausedMs - writtenAfter < recentMs)
    },
    servers: recordStates,
    serversReplaced: recordStates,
    serversLoaded () {},
    fleet () {},
    fleetReplaced () {},
    fleetRead () {},
    storeRecovered: agoMs => { node.recoveries.push(agoMs) }
  })
  return node
}

function write (id: string, state: 'ready' | 'draining', sequence: number): void {
  shared.servers.append(id, { type: 'server', sequence, server: { id, bornAt: 1, service: 'desk', address: `${id}:1`, zone: 'a', state, slots: 4, models: [] } })
}

test.before.each(async () => {
  write('s1', 'ready', 1)
  nodes = []
  nodes = ['n1', 'n2'].map(startNode)
  for (const { feeds } of nodes) feeds.start()
  await sleep(drainMs)
  // What the first read has found.
  for (const node of nodes) node.recent.length = 0
})
test.after.each(() => { for (const { feeds } of nodes) feeds.stop() })

function readerAndOther (): [Node, Node] {
  const [first, second] = nodes as [Node, Node]
  return first.reads() > second.reads() ? [first, second] : [second, first]
}

// Guards against calls to the store that grow with the number of nodes, and against nodes that miss changes that the reader has seen.
test('one node reads for both, and both learn of a draining server in time', async () => {
  await sleep(2 * drainMs)
  const [reader, other] = readerAndOther()
  const before = [reader.reads(), other.reads()] as const
  for (let sequence = 2; sequence < 18; sequence++) {
    write('s1', 'ready', sequence)
    await sleep(drainMs / 4)
  }
  assert.ok(reader.reads() - before[0] >= 4)
  assert.ok(other.reads() - before[1] <= (reader.reads() - before[0]) / 3, `${other.reads() - before[1]} reads`)
  write('s1', 'draining', 18)
  await sleep(drainMs)
  assert.equal(nodes.map(({ states }) => states.get('s1')), ['draining', 'draining'])
})

// Guards against a zone that gets no changes because its reader has failed or its messages are lost.
test('a node that receives nothing from the reader reads by itself in time', async () => {
  const [, other] = readerAndOther()
  other.dropsUpdates = true
  await sleep(drainMs)
  write('s1', 'draining', 2)
  await sleep(drainMs)
  assert.is(other.states.get('s1'), 'draining')
})

// Guards against removing servers whose entries expired during an outage of the store that only the reader noticed.
test('informs the zone of an outage of the store', async () => {
  const [reader, other] = readerAndOther()
  reader.storeUnreachable = true
  await sleep(4 * drainMs)
  reader.storeUnreachable = false
  await sleep(4 * drainMs)
  assert.ok(reader.recoveries.length > 0)
  assert.ok(other.recoveries.length > 0)
})

// Guards against a version that was announced before or during a pause of the process and counts as new when it is read.
test('an operator\'s record that was read across a pause may have been in force for a while', async () => {
  const [node] = nodes as [Node]
  const announce = async (version: number): Promise<void> => {
    shared.operator.append('a1', { type: 'adapter-version', model: 'base', adapter: 'a1', version })
    await sleep(20)
  }
  await announce(1)
  assert.equal(node.recent, [true])
  node.stoppedSince = performance.now()
  node.suspensionEndedAt = performance.now()
  await announce(2)
  node.stoppedSince = undefined
  await announce(3)
  assert.equal(node.recent, [true, false, true])
  node.pausedMs = 30_000
  await announce(4)
  await announce(5)
  assert.equal(node.recent, [true, false, true, false, true])
})

// Guards against an older version that is used for seconds longer, because the process was stopped when its successor was announced.
test('an operator\'s record counts from the last turn before a stop of the process', async () => {
  const [node] = nodes as [Node]
  await sleep(20)
  const stoppedAt = performance.now()
  node.stoppedSince = stoppedAt
  node.pausedMs = 3000
  shared.operator.append('a1', { type: 'adapter-version', model: 'base', adapter: 'a1', version: 1 })
  await sleep(20)
  assert.equal(node.recent, [false])
  assert.is(node.writtenAfter, stoppedAt)
  node.stoppedSince = undefined
  await sleep(20)
  shared.operator.append('a1', { type: 'adapter-version', model: 'base', adapter: 'a1', version: 2 })
  await sleep(20)
  assert.equal(node.recent, [false, true])
})

// Guards against an older version that is used for seconds longer, because the read that was to find its successor had stalled.
test('an operator\'s record that is found by the read after an aborted one counts from before that', async () => {
  const [node] = nodes as [Node]
  await sleep(20)
  const readAt = performance.now()
  const { read } = shared.operator
  let stalled = true
  shared.operator.read = async (from, waitMs, signal) => {
    if (!stalled) return await read(from, waitMs, signal)
    return await new Promise(resolve => signal?.addEventListener('abort', () => resolve(read(from, 0, signal))))
  }
  shared.operator.append('a1', { type: 'adapter-version', model: 'base', adapter: 'a1', version: 1 })
  await sleep(50)
  assert.equal(node.recent, [true])
  shared.operator.append('a1', { type: 'adapter-version', model: 'base', adapter: 'a1', version: 2 })
  await sleep(600)
  stalled = false
  node.feeds.peerOperatorNext((await shared.operator.newest()).unwrap().next)
  await sleep(400)
  shared.operator.read = read
  assert.equal(node.recent, [true, false])
  assert.ok(node.writtenAfter >= readAt && node.writtenAfter < readAt + 100, `${node.writtenAfter - readAt} ms`)
})

// Guards against calls to the store without a pause if the settings state no drain time.
test('reads of the servers pause also without a drain time', async () => {
  const stated = shared.settings.bounds
  shared.settings.bounds = { ...stated, drainMs: 0 }
  for (const { feeds } of nodes) feeds.stop()
  nodes = []
  nodes = [startNode('n1')]
  nodes[0]!.feeds.start()
  await sleep(1000)
  shared.settings.bounds = stated
  assert.ok(nodes[0]!.reads() > 0 && nodes[0]!.reads() <= 20, `${nodes[0]!.reads()} reads`)
})

// Guards against an owner that refuses the version before a new one at once, because it began its read before it had engines.
test('an operator\'s record is new in a long read that began before the node owned engines', async () => {
  const [node] = nodes as [Node]
  await sleep(20)
  node.recent.length = 0
  node.ownsEngines = true
  node.pausedMs = 20_000
  shared.operator.append('a2', { type: 'adapter-version', model: 'base', adapter: 'a2', version: 1 })
  await sleep(20)
  assert.equal(node.recent, [true])
})

// Guards against requests to a server that leaves, because a peer of another version tells of it in a form that this node cannot use.
test('a node reads by itself what it cannot use in a peer\'s update', async () => {
  const [, other] = readerAndOther()
  other.dropsUpdates = true
  await sleep(2 * drainMs)
  write('s1', 'draining', 2)
  const next = (await shared.servers.newest()).unwrap().next
  for (let update = 0; update < 16; update++) {
    other.feeds.receiveServerUpdate({ from: next - 1, next, records: [{ key: 's1', offset: next - 1, value: { type: 'server', sequence: 2, server: { id: 's1', state: 'closing' } } }] })
    await sleep(drainMs / 8)
  }
  assert.is(other.states.get('s1'), 'draining')
})

test.run()
