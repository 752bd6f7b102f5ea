import { Err, Ok } from 'ts-results/result.js'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { StreamLog, StreamsRecord } from './platform-interface'
import type { RecordedStream } from './stream-origins'
import { createStreamRecords, type StreamRecords } from './stream-records'
import { createVirtualTime, type VirtualTime } from './testing/virtual-time'

const test = suite('stream records')

const stream = (id: string): RecordedStream => ({ id, service: 'llm', version: 'v1', digest: 'd1' })

type Bed = {
  records: Map<string, StreamsRecord>
  calls: string[]
  streams: RecordedStream[]
  state: { down: boolean }
  node (key: string): StreamRecords
  pass: VirtualTime['pass']
}

function createBed (): Bed {
  const records = new Map<string, StreamsRecord>()
  const calls: string[] = []
  const streams: RecordedStream[] = []
  const time = createVirtualTime(1_000_000)
  const state = { down: false }
  const streamLog: StreamLog = {
    async newest () {
      calls.push('read')
      return state.down ? Err({ type: 'unavailable', reason: 'down' }) : Ok({ records: [...records].map(([key, value], offset) => ({ key, offset, value })), next: records.size })
    },
    async append (appended) {
      calls.push('append')
      if (state.down) return Err('rejected')
      for (const { key, value } of appended) {
        if (value === undefined) records.delete(key)
        else records.set(key, value)
      }
      return Ok(0)
    }
  }
  return {
    records,
    calls,
    streams,
    state,
    node: key => createStreamRecords({ key, streamLog, log: { info () {}, warn () {} }, now: time.now, wallClock: time.now, fleetSize: () => 9, streams: () => [...streams], after: time.after }),
    pass: time.pass
  }
}

// Guards against a stream that nobody knows when all nodes are lost right after its first event.
test('a stream is recorded at once, and those that follow together', async () => {
  const bed = createBed()
  const node = bed.node('n1/1')
  bed.streams.push(stream('r1'))
  node.changed()
  await bed.pass(0)
  assert.equal(bed.records.get('n1/1')?.streams.map(({ id }) => id), ['r1'])
  for (let number = 2; number <= 20; number++) {
    bed.streams.push(stream(`r${number}`))
    node.changed()
    await bed.pass(1)
  }
  await bed.pass(100)
  assert.is(bed.records.get('n1/1')?.streams.length, 20)
  assert.equal(bed.calls, ['append', 'append'])
})

test('a write that the store refuses is repeated', async () => {
  const bed = createBed()
  const node = bed.node('n1/1')
  bed.streams.push(stream('r1'))
  bed.state.down = true
  node.changed()
  await bed.pass(1000)
  bed.state.down = false
  await bed.pass(1000)
  assert.is(bed.records.get('n1/1')?.streams.length, 1)
})

test('a stream of another node is found with the age of its record', async () => {
  const bed = createBed()
  bed.streams.push(stream('r1'))
  bed.node('n1/1').changed()
  await bed.pass(500)
  const found = bed.node('n2/1').find('r1')
  await bed.pass(1000)
  assert.equal(await found, { type: 'found', origin: { service: 'llm', version: 'v1', digest: 'd1' }, ageMs: 500 })
})

// Guards against take-ups that are refused because they are faster than the record of their stream.
test('a record that is just being written is waited for', async () => {
  const bed = createBed()
  const found = bed.node('n2/1').find('r1')
  await bed.pass(20)
  bed.streams.push(stream('r1'))
  bed.node('n1/1').changed()
  await bed.pass(1000)
  const result = await found
  assert.is(result.type === 'found' ? result.origin.version : result.type, 'v1')
})

// Guards against calls to the store that grow with the clients that come back at the same time.
test('lookups at the same time share reads', async () => {
  const bed = createBed()
  const node = bed.node('n2/1')
  const found = Array.from({ length: 50 }, (_, number) => node.find(`r${number}`))
  await bed.pass(1000)
  assert.ok((await Promise.all(found)).every(({ type }) => type === 'absent'))
  assert.ok(bed.calls.length <= 4, `${bed.calls.length} reads`)
})

// Guards against a store that cannot be read and looks like a stream that nobody has recorded.
test('a stream is unread, not absent, while the store cannot be read', async () => {
  const bed = createBed()
  bed.state.down = true
  const found = bed.node('n2/1').find('r1')
  await bed.pass(1000)
  assert.equal(await found, { type: 'unread' })
})

// Guards against records of processes that are gone, which would fill the store.
test('records that nobody can need any more are removed', async () => {
  const bed = createBed()
  bed.streams.push(stream('r1'))
  bed.node('n1/1').changed()
  await bed.pass(400_000)
  bed.node('n1/2').changed()
  await bed.pass(1000)
  const found = bed.node('n2/1').find('other')
  await bed.pass(1000)
  await found
  assert.equal([...bed.records.keys()], ['n1/2'])
})

test.run()
