import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EngineReport } from '@yuccawharf/clients'
import { createScheduler } from './scheduler'
import type { EngineScheduler, SchedulerAction, SchedulerConfig, SchedulerEvent, ServingRequest } from './messages'

const classes = {
  short: { firstTokenMs: 2_000, finishWithinMs: 60_000, attainment: 0.95 },
  long: { finishWithinMs: 3_600_000, attainment: 0.99 }
}

const config: SchedulerConfig = { engine: 'e1', term: 7, slots: 2, batchSize: 4, queuedPerEngine: 40, queuedPerAdapter: 20, loadMs: 250, classes, seed: 1 }

const request = (requestId: string, adapter: string, overrides: Partial<ServingRequest> = {}): ServingRequest =>
  ({ requestId, adapter, version: 'v1', class: 'short', promptTokens: 100, maxTokens: 50, arrivedAt: 0, deadline: 60_000, ...overrides })

const ofType = <T extends SchedulerAction['type']>(actions: SchedulerAction[], type: T): Extract<SchedulerAction, { type: T }>[] =>
  actions.filter((action): action is Extract<SchedulerAction, { type: T }> => action.type === type)

const report = (overrides: Partial<EngineReport>): SchedulerEvent =>
  ({ type: 'report', report: { engine: 'e1', incarnation: 1, baseModel: 'm', slots: 2, batchSize: 4, resident: [], running: [], queued: 0, takenAt: 0, ...overrides } })

/** Submits the request, grants a permit and returns the handle of the load. */
const startLoad = (scheduler: EngineScheduler, req: ServingRequest, now: number, permitId = `p-${req.requestId}`): string => {
  scheduler.step({ type: 'submit', request: req }, now)
  const [load] = ofType(scheduler.step({ type: 'permit', permitId, expiresAt: now + 10_000 }, now), 'load')
  assert.is(load?.adapter, req.adapter)
  return load!.handle
}

const loadAndRun = (scheduler: EngineScheduler, req: ServingRequest, now: number): string => {
  const handle = startLoad(scheduler, req, now)
  const actions = scheduler.step({ type: 'load-result', handle, result: { type: 'ok' } }, now)
  assert.equal(ofType(actions, 'dispatch').map(({ requestId }) => requestId), [req.requestId])
  return handle
}

test('loads, dispatches and releases the permit (guards against requests that wait for an adapter forever)', () => {
  const scheduler = createScheduler(config)
  assert.is(ofType(scheduler.step({ type: 'submit', request: request('r1', 'a') }, 0), 'request-permit').length, 1)
  const [load] = ofType(scheduler.step({ type: 'permit', permitId: 'p1', expiresAt: 9_000 }, 10), 'load')
  assert.is(load?.handle, 'a@v1~7.1')
  const actions = scheduler.step({ type: 'load-result', handle: 'a@v1~7.1', result: { type: 'ok' } }, 260)
  assert.equal(ofType(actions, 'release-permit'), [{ type: 'release-permit', permitId: 'p1' }])
  assert.equal(ofType(actions, 'dispatch'), [{ type: 'dispatch', requestId: 'r1', handle: 'a@v1~7.1', priority: 0 }])
})

test('a failed load is retried with a new handle (guards against reuse of handles)', () => {
  const scheduler = createScheduler(config)
  const handle = startLoad(scheduler, request('r1', 'a'), 0)
  const failed = scheduler.step({ type: 'load-result', handle, result: { type: 'refused', reason: 'weight store failed' } }, 300)
  assert.is(ofType(failed, 'release-permit').length, 1)
  assert.is(ofType(failed, 'request-permit').length, 0, 'backs off')
  assert.is(ofType(scheduler.step({ type: 'tick' }, 2_000), 'request-permit').length, 1)
  const [again] = ofType(scheduler.step({ type: 'permit', permitId: 'p2', expiresAt: 9_000 }, 2_000), 'load')
  assert.is(again?.handle, 'a@v1~7.2')
})

test('a load that succeeded although its result was lost is found by a report (guards against a leaked slot)', () => {
  const scheduler = createScheduler(config)
  const handle = startLoad(scheduler, request('r1', 'a'), 0)
  const lost = scheduler.step({ type: 'load-result', handle, result: { type: 'unknown', reason: 'timeout' } }, 300)
  assert.is(ofType(lost, 'dispatch').length, 0)
  const actions = scheduler.step(report({ resident: [{ handle, adapter: 'a', version: 'v1' }], takenAt: 400 }), 500)
  assert.equal(ofType(actions, 'dispatch').map((action) => action.handle), [handle])
})

test('a load without a result occupies its slot and returns its permit (guards against leaked permits and too many loads on an engine)', () => {
  const scheduler = createScheduler(config)
  const handle = startLoad(scheduler, request('r1', 'a'), 0)
  const expired = scheduler.step({ type: 'tick' }, 5_000)
  assert.equal(ofType(expired, 'release-permit').map(({ permitId }) => permitId), ['p-r1'])
  scheduler.step({ type: 'tick' }, 7_000)
  const [second] = ofType(scheduler.step({ type: 'permit', permitId: 'p2', expiresAt: 19_000 }, 7_000), 'load')
  assert.is.not(second?.handle, handle)
  scheduler.step({ type: 'submit', request: request('r2', 'b', { arrivedAt: 7_000, deadline: 90_000 }) }, 7_000)
  const third = scheduler.step({ type: 'permit', permitId: 'p3', expiresAt: 19_000 }, 7_100)
  assert.is(ofType(third, 'load').length, 0, 'both slots are occupied')
  scheduler.step(report({ takenAt: 36_000 }), 36_000)
  scheduler.step(report({ takenAt: 37_500 }), 37_500)
  const after = scheduler.step({ type: 'permit', permitId: 'p4', expiresAt: 60_000 }, 37_600)
  assert.equal(ofType(after, 'load').map(({ adapter }) => adapter), ['b'], 'two reports free the slot')
})

test('a cold restart requeues requests without a token and invalidates all handles (guards against lost requests)', () => {
  const scheduler = createScheduler(config)
  scheduler.step(report({ takenAt: -5 }), 0)
  const handle = loadAndRun(scheduler, request('r1', 'a'), 0)
  scheduler.step({ type: 'submit', request: request('r2', 'a', { arrivedAt: 4_910 }) }, 4_910)
  scheduler.step({ type: 'first-token', requestId: 'r1' }, 4_920)
  scheduler.step({ type: 'submit', request: request('r3', 'b', { arrivedAt: 4_930 }) }, 4_930)
  const actions = scheduler.step(report({ incarnation: 2, takenAt: 5_000 }), 5_000)
  assert.equal(ofType(actions, 'requeued').map(({ requestId }) => requestId), ['r2'])
  assert.is(ofType(actions, 'dispatch').length, 0)
  assert.equal(scheduler.step({ type: 'ended', requestId: 'r2', outcome: 'broken', tokens: 0, handle }, 5_010), [], 'late event of the old dispatch')
  scheduler.step({ type: 'ended', requestId: 'r1', outcome: 'broken', tokens: 3, handle }, 5_020)
  const [load] = ofType(scheduler.step({ type: 'permit', permitId: 'p9', expiresAt: 15_000 }, 5_030), 'load')
  const done = scheduler.step({ type: 'load-result', handle: load!.handle, result: { type: 'ok' } }, 5_300)
  assert.is(ofType(done, 'dispatch').length, 1)
  assert.is.not(load!.handle, handle)
})

test('a load that reached the engine after its restart remains in use (guards against evicting a running request, P2)', () => {
  const scheduler = createScheduler(config)
  scheduler.step(report({ takenAt: 9_000 }), 9_500)
  const handle = loadAndRun(scheduler, request('r1', 'a', { arrivedAt: 10_000 }), 10_000)
  const early = scheduler.step(report({ incarnation: 2, takenAt: 9_990 }), 10_490)
  assert.is(ofType(early, 'requeued').length, 0, 'the request may be running on the new incarnation')
  const shown = { resident: [{ handle, adapter: 'a', version: 'v1' }], running: [{ requestId: 'r1', handle, seq: 1 }] }
  scheduler.step(report({ incarnation: 2, takenAt: 11_000, ...shown }), 11_500)
  scheduler.step({ type: 'submit', request: request('r2', 'b', { arrivedAt: 11_600, deadline: 90_000 }) }, 11_600)
  scheduler.step({ type: 'submit', request: request('r3', 'c', { arrivedAt: 11_600, deadline: 90_000 }) }, 11_600)
  const actions = ['p2', 'p3', 'p4'].flatMap((permitId) => scheduler.step({ type: 'permit', permitId, expiresAt: 20_000 }, 11_700))
  assert.is(ofType(actions, 'load').length, 1)
  assert.is(ofType(actions, 'unload').length, 0)
})

test('a handle that runs an earlier dispatch of a known request is pinned (guards against P2)', () => {
  const scheduler = createScheduler({ ...config, slots: 1 })
  scheduler.step(report({ takenAt: 0 }), 0)
  const handle = loadAndRun(scheduler, request('r1', 'a'), 0)
  scheduler.step({ type: 'ended', requestId: 'r1', outcome: 'broken', tokens: 0, handle }, 100)
  scheduler.step({ type: 'cancel', requestId: 'r1' }, 110)
  scheduler.step({ type: 'ended', requestId: 'r1', outcome: 'cancelled', tokens: 0, handle }, 120)
  scheduler.step(report({ takenAt: 3_000, resident: [{ handle, adapter: 'a', version: 'v1' }], running: [{ requestId: 'r1', handle, seq: 2 }] }), 3_500)
  scheduler.step({ type: 'submit', request: request('r2', 'b', { arrivedAt: 3_600 }) }, 3_600)
  assert.is(ofType(scheduler.step({ type: 'permit', permitId: 'p2', expiresAt: 9_000 }, 3_600), 'unload').length, 0)
  scheduler.step(report({ takenAt: 4_000, resident: [{ handle, adapter: 'a', version: 'v1' }] }), 4_500)
  assert.is(ofType(scheduler.step({ type: 'permit', permitId: 'p3', expiresAt: 9_000 }, 4_500), 'unload').length, 1)
})

test('no pinned handle is evicted when every slot is pinned (guards against P2)', () => {
  const scheduler = createScheduler(config)
  loadAndRun(scheduler, request('r1', 'a'), 0)
  loadAndRun(scheduler, request('r2', 'b'), 0)
  const actions = scheduler.step({ type: 'submit', request: request('r3', 'c') }, 10)
  assert.is(ofType(actions, 'request-permit').length, 0)
  const granted = scheduler.step({ type: 'permit', permitId: 'p3', expiresAt: 9_000 }, 20)
  assert.is(ofType(granted, 'unload').length, 0)
  assert.equal(ofType(granted, 'release-permit'), [{ type: 'release-permit', permitId: 'p3', unused: true }])
  scheduler.step({ type: 'ended', requestId: 'r1', outcome: 'done', tokens: 50 }, 1_000)
  const freed = scheduler.step({ type: 'permit', permitId: 'p4', expiresAt: 9_000 }, 1_010)
  assert.equal(ofType(freed, 'unload').map(({ handle }) => handle), ['a@v1~7.1'])
  const unloaded = scheduler.step({ type: 'unload-result', handle: 'a@v1~7.1', result: { type: 'ok' } }, 1_020)
  assert.equal(ofType(unloaded, 'load').map(({ adapter }) => adapter), ['c'])
})

test('adopted handles are used but not evicted until they are evictable (guards against evicting adapters that the previous owner still uses)', () => {
  const scheduler = createScheduler(config)
  const resident = ['a', 'b'].map((adapter) => ({ handle: `${adapter}@v1~3.1`, adapter, version: 'v1' }))
  scheduler.step({ type: 'adopt', resident, running: [{ requestId: 'old', handle: 'b@v1~3.1' }] }, 0)
  const used = scheduler.step({ type: 'submit', request: request('r1', 'a') }, 0)
  assert.equal(ofType(used, 'dispatch').map(({ handle }) => handle), ['a@v1~3.1'])
  scheduler.step({ type: 'ended', requestId: 'r1', outcome: 'done', tokens: 50 }, 100)
  scheduler.step({ type: 'submit', request: request('r2', 'c') }, 200)
  assert.is(ofType(scheduler.step({ type: 'permit', permitId: 'p1', expiresAt: 9_000 }, 200), 'unload').length, 0)
  scheduler.step({ type: 'evictable', handles: ['a@v1~3.1', 'b@v1~3.1'] }, 300)
  const actions = scheduler.step({ type: 'permit', permitId: 'p2', expiresAt: 9_000 }, 300)
  assert.equal(ofType(actions, 'unload').map(({ handle }) => handle), ['a@v1~3.1'], 'the other one still runs a request of another owner')
})

test('requests run on the requested version (guards against P1 during a version change)', () => {
  const scheduler = createScheduler(config)
  loadAndRun(scheduler, request('r1', 'a'), 0)
  const next = scheduler.step({ type: 'submit', request: request('r2', 'a', { version: 'v2' }) }, 10)
  assert.is(ofType(next, 'dispatch').length, 0)
  const [load] = ofType(scheduler.step({ type: 'permit', permitId: 'p2', expiresAt: 9_000 }, 20), 'load')
  assert.is(load?.version, 'v2')
  const old = scheduler.step({ type: 'submit', request: request('r3', 'a') }, 30)
  assert.equal(ofType(old, 'dispatch').map(({ handle }) => handle), ['a@v1~7.1'])
  const ready = scheduler.step({ type: 'load-result', handle: load!.handle, result: { type: 'ok' } }, 300)
  assert.equal(ofType(ready, 'dispatch').map(({ handle }) => handle), ['a@v2~7.2'])
})

test('a burst of requests for one adapter is bounded and does not starve another (guards against unfair queues)', () => {
  const scheduler = createScheduler(config)
  loadAndRun(scheduler, request('f0', 'a'), 0)
  loadAndRun(scheduler, request('b0', 'b'), 0)
  const refused = Array.from({ length: 60 }, (_, index) =>
    ofType(scheduler.step({ type: 'submit', request: request(`f${index + 1}`, 'a', { arrivedAt: 10 }) }, 10), 'refuse').length)
  assert.ok(refused.reduce((sum, count) => sum + count, 0) >= 60 - 20 - 4)
  const other = scheduler.step({ type: 'submit', request: request('b1', 'b', { arrivedAt: 20 }) }, 20)
  assert.is(ofType(other, 'refuse').length, 0, 'the burst does not count against other adapters')
  const order: string[] = []
  const running = ['f0', 'b0', 'f1', 'f2', 'f3']
  while (!order.includes('b1') && running.length > 0) {
    const actions = scheduler.step({ type: 'ended', requestId: running.shift()!, outcome: 'done', tokens: 50 }, 30)
    order.push(...ofType(actions, 'dispatch').map(({ requestId }) => requestId))
    running.push(...ofType(actions, 'dispatch').map(({ requestId }) => requestId))
  }
  assert.ok(order.indexOf('b1') >= 0 && order.indexOf('b1') <= 6, `order ${order.join()}`)
})

test('cancel ends a request once in each phase (guards against requests that never end or end twice)', () => {
  const scheduler = createScheduler(config)
  scheduler.step({ type: 'submit', request: request('queued', 'a') }, 0)
  const queued = scheduler.step({ type: 'cancel', requestId: 'queued' }, 5)
  assert.equal(ofType(queued, 'refuse').map(({ requestId, reason, mayHaveRun }) => ({ requestId, reason, mayHaveRun })), [{ requestId: 'queued', reason: 'cancelled', mayHaveRun: undefined }])
  assert.is(ofType(scheduler.step({ type: 'cancel', requestId: 'queued' }, 6), 'refuse').length, 0)

  const handle = startLoad(scheduler, request('loading', 'b'), 10)
  assert.is(ofType(scheduler.step({ type: 'cancel', requestId: 'loading' }, 20), 'refuse').length, 1)
  const loaded = scheduler.step({ type: 'load-result', handle, result: { type: 'ok' } }, 260)
  assert.is(ofType(loaded, 'dispatch').length, 0)

  scheduler.step({ type: 'submit', request: request('running', 'b') }, 300)
  assert.is(ofType(scheduler.step({ type: 'cancel', requestId: 'running' }, 310), 'cancel-dispatch').length, 1)
  assert.is(ofType(scheduler.step({ type: 'cancel', requestId: 'running' }, 320), 'cancel-dispatch').length, 0)
  const ended = scheduler.step({ type: 'ended', requestId: 'running', outcome: 'cancelled', tokens: 4 }, 340)
  assert.is(ofType(ended, 'refuse').length + ofType(ended, 'requeued').length, 0)

  const third = loadAndRun(scheduler, request('late', 'd', { arrivedAt: 350 }), 350)
  scheduler.step({ type: 'cancel', requestId: 'late' }, 360)
  const notRun = scheduler.step({ type: 'ended', requestId: 'late', outcome: 'not-run', tokens: 0, handle: third }, 370)
  assert.equal(ofType(notRun, 'refuse').map(({ requestId, reason }) => `${requestId} ${reason}`), ['late cancelled'])
})

test('one late or contradictory report does not remove a handle (guards against removing handles in use)', () => {
  const scheduler = createScheduler(config)
  const handle = loadAndRun(scheduler, request('r1', 'a', { arrivedAt: 10_000 }), 10_000)
  scheduler.step(report({ takenAt: 9_000 }), 10_100)
  scheduler.step(report({ takenAt: 13_000 }), 13_100)
  scheduler.step(report({ takenAt: 12_000 }), 13_200)
  scheduler.step({ type: 'ended', requestId: 'r1', outcome: 'done', tokens: 50 }, 13_300)
  scheduler.step(report({ takenAt: 14_000 }), 14_100)
  scheduler.step(report({ takenAt: 15_000, resident: [{ handle, adapter: 'a', version: 'v1' }] }), 15_100)
  scheduler.step(report({ takenAt: 16_000 }), 16_100)
  const still = scheduler.step({ type: 'submit', request: request('r2', 'a', { arrivedAt: 16_200, deadline: 70_000 }) }, 16_200)
  assert.equal(ofType(still, 'dispatch').map((action) => action.handle), [handle])
})

test('a request lost at the engine is never refused as not run (guards against P4)', () => {
  const scheduler = createScheduler(config)
  loadAndRun(scheduler, request('r1', 'a', { deadline: 2_000 }), 0)
  const actions = scheduler.step({ type: 'ended', requestId: 'r1', outcome: 'broken', tokens: 0 }, 2_500)
  assert.equal(ofType(actions, 'refuse').map(({ mayHaveRun }) => mayHaveRun), [true])
})

test('drain refuses waiting requests and lets running ones finish (guards against P7)', () => {
  const scheduler = createScheduler(config)
  loadAndRun(scheduler, request('r1', 'a'), 0)
  scheduler.step({ type: 'submit', request: request('r2', 'b') }, 10)
  const actions = scheduler.step({ type: 'drain' }, 20)
  assert.equal(ofType(actions, 'refuse').map(({ requestId }) => requestId), ['r2'])
  assert.is(ofType(actions, 'cancel-dispatch').length, 0)
  assert.is(ofType(scheduler.step({ type: 'submit', request: request('r3', 'a') }, 30), 'refuse').length, 1)
})

test.run()
