import type { EngineReport, LogEntry } from '@yuccawharf/clients'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEvictionCoordinator, createOwnershipReducer, createHandlePins, createTakeoverPolicy, splitOwnershipSnapshot, takeoverDefaults, type TakeoverInput, type EvictionCoordinatorConfig, type OwnershipReducer } from './ownership'

const engine = 'e1'
const ownerRecord = (node: string, after: number, incarnation = 1) => ({ type: 'owner', engine, node, incarnation, after })

const applyAll = (reducer: OwnershipReducer, values: unknown[], from = reducer.nextOffset) =>
  values.flatMap((value, index) => reducer.apply({ offset: from + index, time: 0, value }))

const reportAt = (takenAt: number, over: Partial<EngineReport> = {}): EngineReport =>
  ({ engine, incarnation: 1, baseModel: 'base', slots: 4, batchSize: 8, resident: [], running: [], queued: 0, takenAt, ...over })

test('when two successors append at the same time only the first becomes owner', () => {
  const reducer = createOwnershipReducer()
  const changes = applyAll(reducer, [ownerRecord('a', -1), ownerRecord('b', 0), ownerRecord('c', 0)])
  assert.equal(changes.map(({ type }) => type), ['owner', 'owner', 'invalid'])
  assert.equal(reducer.owner(engine), { engine, node: 'b', incarnation: 1, term: 1, latest: 1 })
  assert.equal(reducer.predecessors(engine), [{ node: 'a', incarnation: 1, term: 0 }])
})

test('an owner record that is appended late does not end the term of the successor', () => {
  const reducer = createOwnershipReducer()
  applyAll(reducer, [ownerRecord('a', -1), ownerRecord('b', 0)])
  assert.equal(applyAll(reducer, [ownerRecord('a', -1), ownerRecord('a', 0)]).map(({ type }) => type), ['invalid', 'invalid'])
  assert.is(reducer.owner(engine)?.node, 'b')
})

test('an intent appended by a stale owner is not authorised', () => {
  const reducer = createOwnershipReducer()
  const evict = (term: number) => ({ type: 'evict', engine, term, handle: 'x@1~0.1' })
  applyAll(reducer, [ownerRecord('a', -1), evict(0)])
  assert.is(reducer.unresolvedIntents(engine).length, 1)
  applyAll(reducer, [ownerRecord('b', 0), { type: 'evicted', engine, handle: 'x@1~0.1' }])
  assert.equal(applyAll(reducer, [evict(0)]), [{ type: 'intent', intent: { engine, term: 0, handle: 'x@1~0.1' }, authorised: false }])
  assert.is(reducer.unresolvedIntents(engine).length, 0)
})

test('a confirmation clears the predecessors and leaves the fencing token unchanged', () => {
  const reducer = createOwnershipReducer()
  applyAll(reducer, [ownerRecord('a', -1), ownerRecord('b', 0), ownerRecord('b', 1)])
  assert.equal(reducer.predecessors(engine), [])
  assert.equal(reducer.owner(engine), { engine, node: 'b', incarnation: 1, term: 1, latest: 2 })
})

test('a reader that missed records because of retention waits for a snapshot and then reaches the state of a reader of all records', () => {
  const full = createOwnershipReducer()
  const values: unknown[] = [ownerRecord('a', -1), ownerRecord('b', 0), { type: 'evict', engine, term: 1, handle: 'x@1~1.1' }]
  applyAll(full, values)
  const snapshot = splitOwnershipSnapshot(full.entries(), full.nextOffset - 1, 's1')
  const later: LogEntry[] = [...snapshot, ownerRecord('c', 1)].map((value, index) => ({ offset: 3 + index, time: 0, value: JSON.parse(JSON.stringify(value)) }))
  later.forEach(entry => full.apply(entry))
  const late = createOwnershipReducer()
  const changes = later.flatMap(entry => late.apply(entry))
  assert.equal(changes.map(({ type }) => type), ['incomplete', 'restored', 'owner'])
  assert.equal(late.entries(), full.entries())
  const incomplete = createOwnershipReducer()
  incomplete.apply({ offset: 5, time: 0, value: ownerRecord('d', 3) })
  assert.not(incomplete.complete, 'a record cannot be validated without the earlier records')
})

const inputOf = (over: Partial<TakeoverInput>): TakeoverInput => ({ engine, latest: 0, term: over.latest ?? 0, owner: 'down', rank: 0, ...over })
const takeoverOf = () => createTakeoverPolicy({ node: 'b', incarnation: 1, ...takeoverDefaults })

test('the n-th candidate waits for those before it', () => {
  const takeover = takeoverOf()
  assert.is(takeover.decide([inputOf({ rank: 1 })], 0).length, 0)
  assert.is(takeover.decide([inputOf({ rank: 1 })], 1_999).length, 0)
  assert.equal(takeover.decide([inputOf({ rank: 1 })], 2_000), [ownerRecord('b', 0)])
  assert.is(takeover.decide([inputOf({ rank: 1 })], 2_001).length, 0, 'the append of the record is pending')
})

test('an engine that got a new owner during the delay is not taken over with the old record', () => {
  const takeover = takeoverOf()
  takeover.decide([inputOf({ rank: 1 })], 0)
  assert.is(takeover.decide([inputOf({ rank: 1, latest: 7, owner: 'live' })], 2_000).length, 0)
  assert.is(takeover.decide([inputOf({ rank: 1, latest: 7 })], 3_000).length, 0, 'the delay starts again')
})

test('two nodes that consider each other dead wait longer before each takeover of the same engine', () => {
  const takeover = takeoverOf()
  const takenAt: number[] = []
  let latest = 0
  for (let now = 0; now < 60_000; now += 250) {
    if (takeover.decide([inputOf({ latest })], now).length > 0) {
      takenAt.push(now)
      latest += 2
    }
  }
  assert.ok(takenAt.length < 8, `${takenAt.length} takeovers in a minute`)
})

test('an owner record whose append has no known result is appended again unchanged', () => {
  const takeover = takeoverOf()
  const [record] = takeover.decide([inputOf({})], 0)
  takeover.appendFinished([engine], { type: 'unknown', reason: 'lost' }, 10)
  assert.is(takeover.decide([inputOf({})], 1_500).length, 0)
  assert.equal(takeover.decide([inputOf({})], 2_010), [record])
})

test('at most one engine per minute is taken over from live owners', () => {
  const takeover = takeoverOf()
  const engines = ['e1', 'e2', 'e3'].map(name => inputOf({ engine: name, owner: 'live' }))
  assert.is(takeover.decide(engines, 0).length, 0)
  assert.is(takeover.decide(engines, 60_000).length, 1)
  assert.is(takeover.decide(engines, 61_000).length, 0)
  assert.is(takeover.decide(engines, 120_000).length, 1)
})

const handle = 'x@1~0.1'
const resident = [{ handle, adapter: 'x', version: '1' }]
const pinsOf = () => createHandlePins({
  term: 5,
  reportLagMs: 100,
  predecessors: [{ node: 'a', incarnation: 1, term: 0 }],
  termOfHandle: name => Number(/~(\d+)\./.exec(name)?.[1])
})
const isNeverKnown = () => false

test('a paused predecessor keeps its handles pinned, however long it pauses', () => {
  const pins = pinsOf()
  for (let at = 0; at < 86_400_000; at += 3_600_000) {
    assert.equal(pins.applyReport(reportAt(at, { resident }), isNeverKnown, at), [])
  }
  assert.ok(pins.acknowledged({ node: 'a', incarnation: 1 }, 5, [], 86_400_000))
  pins.applyReport(reportAt(86_400_001, { resident }), isNeverKnown, 86_400_001)
  assert.equal(pins.applyReport(reportAt(86_400_202, { resident }), isNeverKnown, 86_400_202), [handle])
  assert.ok(pins.predecessorsReleased)
})

test('a report that may be older than the end of the predecessor makes no handle evictable', () => {
  const pins = pinsOf()
  pins.instanceRemoved('a', 1_000)
  assert.equal(pins.applyReport(reportAt(900, { resident }), isNeverKnown, 1_001), [])
  assert.equal(pins.applyReport(reportAt(1_100, { resident }), isNeverKnown, 1_150), [], 'a dispatch may still be in transit')
  assert.equal(pins.applyReport(reportAt(1_101, { resident }), isNeverKnown, 1_160), [handle])
})

test('a request that is unknown to the owner keeps its handle pinned', () => {
  const pins = pinsOf()
  pins.incarnationSeen({ node: 'a', incarnation: 2 }, 0)
  const running = [{ requestId: 'r1', handle, seq: 3 }]
  pins.applyReport(reportAt(0, { resident, running }), isNeverKnown, 0)
  assert.equal(pins.applyReport(reportAt(1_000, { resident, running }), isNeverKnown, 1_000), [])
  assert.equal(pins.applyReport(reportAt(2_000, { resident, running }), requestId => requestId === 'r1', 2_000), [handle])
})

test('a process that acknowledged the end of its term pins the handles of its running requests until it reports them ended', () => {
  const pins = pinsOf()
  pins.acknowledged({ node: 'a', incarnation: 1 }, 5, [{ requestId: 'r1', handle }], 0)
  pins.applyReport(reportAt(0, { resident }), isNeverKnown, 0)
  assert.equal(pins.applyReport(reportAt(1_000, { resident }), isNeverKnown, 1_000), [], 'its dispatch may still arrive')
  pins.acknowledged({ node: 'a', incarnation: 1 }, 5, [], 1_100)
  assert.equal(pins.applyReport(reportAt(1_101, { resident }), isNeverKnown, 1_101), [], 'the request may have failed at its sender and still reach the engine')
  assert.equal(pins.applyReport(reportAt(2_000, { resident }), isNeverKnown, 2_000), [handle])
})

test('an acknowledgement for an earlier successor that arrives late proves nothing', () => {
  const pins = pinsOf()
  assert.not(pins.acknowledged({ node: 'a', incarnation: 1 }, 3, [], 0))
  assert.not(pins.acknowledged({ node: 'a', incarnation: 2 }, 5, [], 0))
  pins.applyReport(reportAt(0, { resident }), isNeverKnown, 0)
  assert.equal(pins.applyReport(reportAt(10_000, { resident }), isNeverKnown, 10_000), [])
})

test('a predecessor cannot pin a handle that was loaded after its last term', () => {
  const pins = pinsOf()
  const own = [{ handle: 'x@1~5.1', adapter: 'x', version: '1' }]
  assert.equal(pins.applyReport(reportAt(0, { resident: own }), isNeverKnown, 0), ['x@1~5.1'])
})

const evictionsOf = (over: Partial<EvictionCoordinatorConfig>) =>
  createEvictionCoordinator({ engine, term: 5, checksFencing: false, inherited: [], reportLagMs: 100, retryMs: 1_000, ...over })
const intent = { engine, term: 5, handle }

test('an engine that ignores fencing tokens gets an eviction only after the intent was read back', () => {
  const evictions = evictionsOf({})
  assert.equal(evictions.start(0), [])
  assert.equal(evictions.evict(handle, 0), [{ type: 'append', record: { type: 'evict', ...intent } }])
  assert.not(evictions.isUsable(handle))
  assert.equal(evictions.appendFinished(handle, { type: 'ok', offsets: [9] }, 1), [])
  assert.equal(evictions.intentRead(intent, true, 2), [{ type: 'unload', handle }])
  assert.equal(evictions.commandFinished(handle, { type: 'ok' }, 3).map(({ type }) => type), ['result', 'append'])
})

test('an owner that pauses after its intent and resumes after a newer owner was appended sends nothing', () => {
  const evictions = evictionsOf({})
  evictions.evict(handle, 0)
  evictions.appendFinished(handle, { type: 'unknown', reason: 'lost' }, 1)
  assert.equal(evictions.intentRead(intent, false, 100_000), [{ type: 'term-over' }])
})

test('during a log outage an eviction appends its intent again once a second, not on every tick', () => {
  const evictions = evictionsOf({})
  evictions.evict(handle, 0)
  let appends = 0
  for (let now = 1; now < 60_000; now += 5) {
    const actions = [...evictions.tick(now), ...evictions.evict(handle, now)]
    assert.ok(actions.every(({ type }) => type === 'append'), 'nothing is sent to the engine before the read-back')
    appends += actions.length
    evictions.appendFinished(handle, { type: appends % 2 === 0 ? 'failed' : 'unknown', reason: '503' }, now)
    assert.not(evictions.isUsable(handle))
  }
  assert.ok(appends <= 60, `${appends} appends in a minute`)
})

test('an authorised eviction of a predecessor that may arrive late blocks its handle until the handle is absent', () => {
  const evictions = evictionsOf({ inherited: [{ engine, term: 0, handle }] })
  assert.equal(evictions.start(0), [{ type: 'unload', handle }])
  assert.not(evictions.isUsable(handle))
  evictions.commandFinished(handle, { type: 'unknown', reason: 'lost' }, 1)
  assert.equal(evictions.applyReport(reportAt(10), 10), [], 'a lagging report may predate the load')
  assert.not(evictions.isUsable(handle))
  assert.equal(evictions.applyReport(reportAt(111), 111), [{ type: 'append', record: { type: 'evicted', engine, handle } }])
})

test('an engine that checks fencing tokens must receive the new token before it gets work', () => {
  const evictions = evictionsOf({ checksFencing: true })
  assert.equal(evictions.start(0), [{ type: 'raise-fence', handle: 'fence~5.0' }])
  assert.not(evictions.ready)
  evictions.commandFinished('fence~5.0', { type: 'unknown', reason: 'lost' }, 1)
  assert.not(evictions.ready)
  assert.equal(evictions.tick(1_001), [{ type: 'raise-fence', handle: 'fence~5.0' }])
  evictions.commandFinished('fence~5.0', { type: 'ok' }, 1_002)
  assert.ok(evictions.ready)
  assert.equal(evictions.evict(handle, 1_003), [{ type: 'unload', handle }])
  assert.equal(evictions.commandFinished(handle, { type: 'stale-fence' }, 1_004), [{ type: 'term-over' }])
})

test('a cold start of the engine resets the fencing token, so it is raised again before work is sent', () => {
  const evictions = evictionsOf({ checksFencing: true })
  evictions.start(0)
  evictions.commandFinished('fence~5.0', { type: 'refused', reason: 'model_not_found' }, 1)
  assert.ok(evictions.ready)
  evictions.applyReport(reportAt(10), 10)
  assert.equal(evictions.applyReport(reportAt(20, { incarnation: 2 }), 20), [{ type: 'raise-fence', handle: 'fence~5.0' }])
  assert.not(evictions.ready)
})

test('an eviction is finished when the engine reports the handle as absent, and repeated after other refusals', () => {
  const evictions = evictionsOf({})
  evictions.evict(handle, 0)
  evictions.intentRead(intent, true, 1)
  assert.equal(evictions.commandFinished(handle, { type: 'refused', reason: 'overloaded' }, 2), [])
  assert.equal(evictions.tick(1_001), [{ type: 'unload', handle }])
  assert.equal(evictions.commandFinished(handle, { type: 'refused', reason: 'model_not_found' }, 1_002).map(({ type }) => type), ['result', 'append'])
})

test.run()
