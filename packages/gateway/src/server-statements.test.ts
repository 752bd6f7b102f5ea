import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createServerStatements, type StatingResponse } from './server-statements'

const test = suite('server statements')

const server = { id: 's1', bornAt: 1 }

function response (requestsPerSecond: number | undefined, overrides: Partial<StatingResponse> = {}): StatingResponse {
  return { status: 200, identified: true, sentAt: 0, statements: { ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }), unusable: [] }, ...overrides }
}

// Guards against a limit that outlives the server which stated it.
test('a limit is about one start of a server', () => {
  const statements = createServerStatements()
  statements.record(server, response(2), 0)
  assert.is(statements.limit({ ...server, bornAt: 2 }), undefined)
  statements.retain([{ ...server, bornAt: 2 }])
  assert.is(statements.limit(server), undefined)
})

// Guards against a limit that an older response, a late copy or an error page lifts.
test('only a success for a request that was sent after the last statement lifts a limit', () => {
  const statements = createServerStatements()
  statements.record(server, response(2), 100)
  const kept: Partial<StatingResponse>[] = [{ sentAt: 100 }, { sentAt: 150, identified: false }, { sentAt: 150, status: 503 }]
  for (const overrides of kept) {
    assert.is(statements.record(server, response(undefined, overrides), 200), undefined)
    assert.is(statements.limit(server), 2)
  }
  assert.equal(statements.record(server, response(undefined, { sentAt: 150 }), 200), { type: 'change', limit: server })
  assert.is(statements.limit(server), undefined)
})

test('what a server can bear is shared, and ends like a limit', () => {
  const statements = createServerStatements()
  const brittle: StatingResponse = { ...response(undefined), statements: { rejectionsPerSecond: 0, unusable: [] } }
  assert.equal(statements.record(server, brittle, 100), { type: 'change', limit: { ...server, rejectionsPerSecond: 0 } })
  assert.equal([statements.isBrittle(server), statements.limit(server)], [true, undefined])
  const other = createServerStatements()
  assert.is(other.learn({ ...server, rejectionsPerSecond: 0 }, 100), true)
  assert.is(other.learn({ ...server, rejectionsPerSecond: 0 }, 110), false)
  assert.is(other.isBrittle(server), true)
  assert.equal(statements.record(server, response(undefined, { sentAt: 150 }), 200), { type: 'change', limit: server })
  assert.is(statements.isBrittle(server), false)
})

// Guards against messages to all nodes for each response of a server that states another limit each time.
test('changes are shared a few times a second, and an unchanged limit is repeated once a second', () => {
  const statements = createServerStatements()
  const types: (string | undefined)[] = []
  for (let now = 0; now < 2000; now += 10) types.push(statements.record(server, response(2 + now % 7), now)?.type)
  assert.ok(types.filter(type => type === 'change').length <= 10)
  const repeats: (string | undefined)[] = []
  for (let now = 3000; now < 6000; now += 10) repeats.push(statements.record(server, response(2), now)?.type)
  assert.equal([repeats[0], repeats.filter(type => type === 'repeat').length], ['change', 2])
})

test('what another node knows is applied and not shared again', () => {
  const statements = createServerStatements()
  assert.is(statements.learn({ ...server, requestsPerSecond: 3 }, 0), true)
  assert.is(statements.record(server, response(3), 10), undefined)
  assert.is(statements.learn({ ...server, requestsPerSecond: 3 }, 20), false)
  assert.is(statements.learn(server, 30), true)
  assert.is(statements.limit(server), undefined)
})

// Guards against a wait that a later, shorter one ends, and against a server that is never used again.
test('a server is left out for the longest time that it has stated, and for an hour at most', () => {
  const statements = createServerStatements()
  assert.is(statements.recordWait(server, 2000, 0), true)
  assert.is(statements.recordWait(server, 500, 100), false)
  assert.equal([statements.waitMs(server, 100), statements.waitMs(server, 2000), statements.waitMs({ ...server, bornAt: 2 }, 100)], [1900, 0, 0])
  statements.recordWait(server, 1e9, 3000)
  assert.is(statements.waitMs(server, 3000), 3_600_000)
})

test.run()
