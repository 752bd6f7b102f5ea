/** The version that a request needs which takes up a stream, and what nodes record for it. */
import { Ok } from 'ts-results/result.js'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { createDecisionLog } from './decision-log'
import type { FeedRecord, FleetRecord, StreamsRecord } from './platform-interface'
import { createStreamVersions, type RequiredVersion, type StreamRequest, type StreamVersions } from './stream-versions'
import { createVirtualTime, type VirtualTime } from './testing/virtual-time'

const test = suite('taking up streams')

/** Time that a read of the servers' entries takes, in ms. */
const readMs = 10

type Bed = {
  node (name: string, incarnation?: number): StreamVersions
  /** Records of the fleet log and of streams. */
  fleet: FeedRecord<FleetRecord>[]
  streams: Map<string, StreamsRecord>
  lines: Record<string, unknown>[]
  /** `storeServers` is what a read of the servers' entries shows; undefined while the store cannot be read. */
  state: { fleetLogRead: boolean, lacksServers: boolean, entriesSeenAt: number, hearsOwners: boolean, storeServers?: BackendServer[] }
  pass: VirtualTime['pass']
}

function createBed (): Bed {
  const fleet: FeedRecord<FleetRecord>[] = []
  const streams = new Map<string, StreamsRecord>()
  const lines: Record<string, unknown>[] = []
  const time = createVirtualTime(1_000_000)
  const state: Bed['state'] = { fleetLogRead: true, lacksServers: false, entriesSeenAt: Infinity, hearsOwners: true }
  const log = createDecisionLog('n', { write: line => { lines.push(JSON.parse(line) as Record<string, unknown>) }, flush: async () => {}, dropped: () => 0 })
  return {
    fleet,
    streams,
    lines,
    state,
    node (name, incarnation = 1) {
      const node = createStreamVersions({
        self: { name, incarnation },
        fleetLog: {
          async append (records) {
            for (const { key, value } of records) fleet.push({ key, offset: fleet.length, value })
            return Ok(fleet.length)
          }
        },
        streamLog: {
          newest: async () => Ok({ records: [...streams].map(([key, value], offset) => ({ key, offset, value })), next: 0 }),
          async append (records) {
            for (const { key, value } of records) {
              if (value === undefined) streams.delete(key)
              else streams.set(key, value)
            }
            return Ok(0)
          }
        },
        log,
        metrics: { takeUp () {} },
        now: time.now,
        wallClock: time.now,
        nodes: () => ['n1', 'n2', 'n3'],
        fleetLogRead: () => state.fleetLogRead,
        lacksServers: () => state.lacksServers,
        entriesAgeMs: () => Math.max(0, time.now() - state.entriesSeenAt),
        readEntries () {
          const { storeServers } = state
          if (storeServers === undefined) return
          const sentAt = time.now()
          time.after(readMs, () => {
            node.observe(storeServers)
            state.entriesSeenAt = sentAt
          })
        },
        hearsOwners: () => state.hearsOwners,
        after: time.after
      })
      return node
    },
    pass: time.pass
  }
}

function server (id: string, version: string, service = 'llm'): BackendServer {
  return { id, bornAt: 1, service, address: '127.0.0.1:1', zone: 'a', state: 'ready', slots: 1, models: [], version }
}

const oldEngine = server('e1', 'v1')
const newEngine = server('e2', 'v2')

function request (id: string, { resumes, lastEventId = resumes === undefined ? undefined : '3', digest = 'd1', service = 'llm' }: { resumes?: string, lastEventId?: string | undefined, digest?: string, service?: string } = {}): StreamRequest {
  const metadata = { id, headers: [], ...(resumes === undefined ? {} : { resumes }), ...(lastEventId === undefined ? {} : { lastEventId }) }
  return { metadata, route: { kind: 'streaming', resumable: true }, service, digest }
}

/** Resolves as the request would, with time passing meanwhile. */
async function requiredAt (bed: Bed, node: StreamVersions, req: StreamRequest): Promise<RequiredVersion> {
  const required = node.required(req)
  await bed.pass(3000)
  return await required
}

async function versionAt (bed: Bed, node: StreamVersions, req: StreamRequest): Promise<string | undefined> {
  const required = await requiredAt(bed, node, req)
  return required.known ? required.version ?? 'any' : undefined
}

async function begin (bed: Bed, node: StreamVersions, id: string, engine: BackendServer): Promise<void> {
  node.progress(request(id)).began(engine)
  await bed.pass(100)
}

// Guards against a node that was cut off or stood still, and takes the version that it knew for the only one.
test('a stream is not taken for one of the only known version before the entries of servers are read again', async () => {
  const bed = createBed()
  const [other, late] = [bed.node('n1'), bed.node('n2')]
  late.observe([oldEngine])
  other.observe([oldEngine, newEngine])
  await begin(bed, other, 'r1', newEngine)
  Object.assign(bed.state, { entriesSeenAt: 0, storeServers: [oldEngine, newEngine] })
  assert.is(await versionAt(bed, late, request('r2', { resumes: 'r1' })), 'v2')
})

test('a node that reads the only version again lets its streams go on', async () => {
  const bed = createBed()
  const node = bed.node('n1')
  node.observe([oldEngine])
  Object.assign(bed.state, { entriesSeenAt: 0, storeServers: [oldEngine] })
  assert.is(await versionAt(bed, node, request('r2', { resumes: 'r1' })), 'v1')
})

// Guards against streams that do not go on in an outage of the store, in which no server of another version can join.
test('while the store cannot be read the statuses of owners show that no version was missed', async () => {
  const bed = createBed()
  const node = bed.node('n1')
  node.observe([oldEngine])
  bed.state.entriesSeenAt = 0
  assert.is(await versionAt(bed, node, request('r2', { resumes: 'r1' })), 'v1')
  bed.state.hearsOwners = false
  assert.equal(await requiredAt(bed, node, request('r3', { resumes: 'r1' })), { known: false, reason: 'the servers of the service are not known at present' })
})

test('a request without the id of an event may run at any version', async () => {
  const bed = createBed()
  const node = bed.node('n1')
  node.observe([oldEngine, newEngine])
  assert.is(await versionAt(bed, node, request('r1')), 'any')
  assert.is(await versionAt(bed, node, request('r2', { resumes: 'r1', lastEventId: '' })), 'any')
})

test('a node knows its own streams, also after clients have taken them up several times', async () => {
  const bed = createBed()
  const node = bed.node('n1')
  node.observe([oldEngine, newEngine])
  await begin(bed, node, 'r1', oldEngine)
  for (const id of ['r2', 'r3', 'r4']) {
    const req = request(id, { resumes: 'r1' })
    assert.is(await versionAt(bed, node, req), 'v1')
    const progress = node.progress(req)
    progress.began(oldEngine)
    progress.ended(false)
    await bed.pass(30_000)
  }
})

// Guards against streams that nobody knows after all nodes are lost at once.
test('a process that has just started finds a stream in the records', async () => {
  const bed = createBed()
  const node = bed.node('n1')
  node.observe([oldEngine, newEngine])
  await begin(bed, node, 'r1', oldEngine)
  const next = bed.node('n1', 2)
  next.observe([oldEngine, newEngine])
  assert.is(await versionAt(bed, next, request('r2', { resumes: 'r1' })), 'v1')
  assert.ok(bed.lines.some(({ event, source, version }) => event === 'stream-taken-up' && source === 'record' && version === 'v1'))
})

// Guards against a stream of the time with one version that goes on at the other after all nodes are lost.
test('streams in progress are recorded when a second version appears', async () => {
  const bed = createBed()
  const node = bed.node('n1')
  node.observe([oldEngine])
  await begin(bed, node, 'r1', oldEngine)
  assert.is(bed.streams.size, 0)
  node.observe([oldEngine, newEngine])
  await bed.pass(100)
  const next = bed.node('n2', 2)
  next.observe([oldEngine, newEngine])
  assert.is(await versionAt(bed, next, request('r2', { resumes: 'r1' })), 'v1')
})

test('nothing is recorded while there is one version', async () => {
  const bed = createBed()
  const node = bed.node('n1')
  node.observe([oldEngine])
  await begin(bed, node, 'r1', oldEngine)
  for (let tick = 0; tick < 100; tick++) {
    node.tick()
    await bed.pass(100)
  }
  assert.equal([bed.streams.size, bed.fleet.length], [0, 0])
  assert.is(await versionAt(bed, bed.node('n2'), request('r2', { resumes: 'r1' })), undefined, 'no server is known')
  assert.is(await versionAt(bed, node, request('r3', { resumes: 'other' })), 'v1')
})

test('a stream whose version is not known does not go on at a guess', async () => {
  const bed = createBed()
  const node = bed.node('n1')
  node.observe([oldEngine, newEngine])
  await begin(bed, node, 'r1', oldEngine)
  const other = bed.node('n2')
  other.observe([oldEngine, newEngine])
  const requests = {
    missing: request('r2', { lastEventId: '3' }),
    empty: request('r2', { resumes: '' }),
    unknown: request('r2', { resumes: 'nobody' }),
    long: request('r2', { resumes: 'x'.repeat(5000) }),
    'of another caller': request('r2', { resumes: 'r1', digest: 'd2' }),
    'of another service': request('r2', { resumes: 'r1', service: 'desk' })
  }
  other.observe([oldEngine, newEngine, server('p1', 'v1', 'desk'), server('p2', 'v2', 'desk')])
  for (const [name, req] of Object.entries(requests)) assert.is((await requiredAt(bed, other, req)).known, false, name)
})

// Guards against a node that takes the present version for the only one before it knows of those that have left.
test('a take-up waits until the fleet log has been read', async () => {
  const bed = createBed()
  bed.state.fleetLogRead = false
  const node = bed.node('n1')
  node.observe([newEngine])
  const required = node.required(request('r2', { resumes: 'r1' }))
  await bed.pass(200)
  node.apply([{ key: 'service-versions/llm', offset: 0, value: { type: 'service-versions', service: 'llm', versions: ['v1', 'v2'] } }])
  bed.state.fleetLogRead = true
  await bed.pass(3000)
  assert.is((await required).known, false)
})

// Guards against a node that is cut off from the store when a second version appears, and takes its own for the only one.
test('a version is not the only one while peers use servers that are not known here', async () => {
  const bed = createBed()
  const node = bed.node('n1')
  node.observe([oldEngine])
  bed.state.lacksServers = true
  assert.is((await requiredAt(bed, node, request('r2', { resumes: 'r1' }))).known, false)
  const other = bed.node('n2')
  other.observe([oldEngine, newEngine])
  await begin(bed, other, 'r1', newEngine)
  assert.is(await versionAt(bed, node, request('r3', { resumes: 'r1' })), 'v2')
})

test('the versions of a service are recorded by one node, and removed when one is left for long', async () => {
  const bed = createBed()
  const nodes = ['n1', 'n2', 'n3'].map(name => bed.node(name))
  let applied = 0
  const play = async (servers: BackendServer[], ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 100) {
      for (const node of nodes) node.observe(servers)
      const records = bed.fleet.slice(applied)
      applied = bed.fleet.length
      for (const node of nodes) node.apply(records)
      for (const node of nodes) node.tick()
      await bed.pass(100)
    }
  }
  await play([oldEngine, newEngine], 5000)
  assert.equal(bed.fleet.map(({ value }) => value), [{ type: 'service-versions', service: 'llm', versions: ['v1', 'v2'] }])
  await play([newEngine], 100_000)
  assert.is(bed.fleet.length, 1)
  await play([newEngine], 30_000)
  assert.equal(bed.fleet.map(({ value }) => value === undefined), [false, true])
})

// Guards against a record that loses a version whose last server has left, each time a process starts while two others serve.
test('a process that starts writes no record of versions before it has read the fleet log', async () => {
  const bed = createBed()
  bed.state.fleetLogRead = false
  const nodes = ['n1', 'n2', 'n3'].map(name => bed.node(name))
  const play = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 100) {
      for (const node of nodes) {
        node.observe([server('e2', 'v2'), server('e3', 'v3')])
        node.tick()
      }
      await bed.pass(100)
    }
  }
  await play(1000)
  assert.is(bed.fleet.length, 0)
  for (const node of nodes) node.apply([{ key: 'service-versions/llm', offset: 0, value: { type: 'service-versions', service: 'llm', versions: ['v1', 'v2', 'v3'] } }])
  bed.state.fleetLogRead = true
  await play(3000)
  assert.equal(bed.fleet, [])
})

test.run()
