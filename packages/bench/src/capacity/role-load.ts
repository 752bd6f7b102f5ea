/** Cost of the other roles of a node at one size each, measured on the production modules. */
import { createClaimCoordinator, claimCoordinatorDefaults, createConfigReducer, createOwnershipReducer, splitConfigSnapshot, validateConfig, type ConfigReducer } from '@yuccawharf/coordination'
import { createPermitIssuer, createRouter, createScheduler, type EngineLoadHint } from '@yuccawharf/serving'
import type { LogEntry } from '@yuccawharf/clients'
import { measureHeap, medianMicros } from './measure'

/** Cost at one size: processor time of one operation in microseconds, heap of the complete state in bytes. */
export type RoleCost = { size: number, micros: number, heapBytes: number, recordBytes?: number }

const measuredRounds = 200

const change = (offset: number, base: number, writes: Record<string, unknown>): LogEntry => ({
  offset,
  time: offset,
  value: { type: 'change', id: `change-${offset}`, base, writes, reads: Object.keys(writes), by: 'operator' }
})

function filledReducer (adapters: number): { reducer: ConfigReducer, offset: number } {
  const reducer = createConfigReducer({ validate: validateConfig })
  let offset = 0
  const apply = (writes: Record<string, unknown>): void => {
    reducer.apply(change(offset, reducer.revision, writes))
    offset += 1
  }
  apply({ 'model/base': { group: 'engines' }, 'class/short': { firstTokenMs: 1200, attainment: 0.95 } })
  const perChange = 100
  for (let first = 0; first < adapters; first += perChange) {
    const count = Math.min(perChange, adapters - first)
    apply(Object.fromEntries(Array.from({ length: count }, (_, index) => [`adapter/customer-${first + index}`, { model: 'base', versions: ['1', '2'], bytes: 52_428_800 }])))
  }
  return { reducer, offset }
}

/** Config reducer: one operation is one accepted change of one adapter. */
export function measureConfig (adapters: number): RoleCost & { snapshotBytes: number } {
  const { bytes, value: { reducer, offset } } = measureHeap(() => filledReducer(adapters))
  let next = offset
  const edit = (): LogEntry => change(next, reducer.revision, { 'adapter/customer-0': { model: 'base', versions: ['1', `${next}`] } })
  const recordBytes = Buffer.byteLength(JSON.stringify(edit()))
  const micros = medianMicros(measuredRounds, () => {
    const [reduced] = reducer.apply(edit())
    if (reduced?.type !== 'change' || reduced.outcome.type !== 'accepted') throw new Error(`the change was not accepted: ${JSON.stringify(reduced)}`)
    next += 1
  })
  const snapshotBytes = splitConfigSnapshot(reducer.state()!, 'capacity').reduce((sum, record) => sum + Buffer.byteLength(JSON.stringify(record)), 0)
  return { size: adapters, micros, heapBytes: bytes, recordBytes, snapshotBytes }
}

const ownerRecord = (engine: number, node: string, after: number) =>
  ({ type: 'owner', engine: `engine-${engine}`, node, incarnation: 1_700_000_000_000, after })

/** Ownership reducer: one operation is one owner record. */
export function measureOwnership (engines: number): RoleCost {
  const { bytes, value: log } = measureHeap(() => {
    const created = createOwnershipReducer()
    for (let engine = 0; engine < engines; engine++) created.apply({ offset: engine, time: 0, value: ownerRecord(engine, `node-${engine % 400}`, -1) })
    return created
  })
  const after = new Map<number, number>()
  const micros = medianMicros(measuredRounds, round => {
    const engine = (round + engines) % engines
    const offset = log.nextOffset
    const [result] = log.apply({ offset, time: 0, value: ownerRecord(engine, `other-${offset}`, after.get(engine) ?? engine) })
    if (result?.type !== 'owner') throw new Error(`the record was void: ${JSON.stringify(result)}`)
    after.set(engine, offset)
  })
  return { size: engines, micros, heapBytes: bytes, recordBytes: Buffer.byteLength(JSON.stringify(ownerRecord(0, 'node-399', 123_456))) }
}

const orderKey = (index: number): string => `0.0-order-${String(index).padStart(8, '0')}`

/** Claim shard: one operation is one order from its arrival to its recorded outcome. */
export function measureClaims (keys: number): RoleCost & { recordsPerAppend: number } {
  let appends = 0
  let records = 0
  let recordBytes = 0
  let stream: LogEntry[] = []
  let attempts = 0
  const attemptId = (): string => {
    attempts += 1
    return `node-0/1/${attempts}`
  }
  const coordinator = createClaimCoordinator({ ...claimCoordinatorDefaults, node: 'node-0', shard: 0, appendIntervalMs: 60, attemptId })
  let now = 0
  type Actions = ReturnType<typeof coordinator.tick>
  const handle = (actions: Actions): void => {
    for (const action of actions) {
      if (action.type === 'append') {
        appends += 1
        records += action.values.length
        recordBytes += Buffer.byteLength(JSON.stringify(action.values))
        const from = stream.length
        stream.push(...action.values.map((value, index) => ({ offset: from + index, time: now, value })))
        const offsets = action.values.map((_, index) => from + index)
        handle(coordinator.appendFinished(action.token, { type: 'ok', offsets }, now))
        handle(coordinator.receivePage({ first: 0, next: stream.length, records: stream.slice(from) }, now))
      } else if (action.type === 'send') {
        handle(coordinator.sendFinished(action.attempt, { type: 'ok', status: 200, contentType: 'application/json', body: '{"accepted":true}' }, now))
      }
    }
  }
  handle(coordinator.receivePage({ first: 0, next: 0, records: [] }, now))
  const perTick = 10
  const start = process.cpuUsage()
  const { bytes } = measureHeap(() => {
    for (let index = 0; index < keys; index++) {
      handle(coordinator.submit({ orderId: `caller-${index}`, key: orderKey(index), deadline: now + 10_000 }, now))
      if (index % perTick === perTick - 1) {
        now += claimCoordinatorDefaults.appendIntervalMs
        handle(coordinator.tick(now))
      }
    }
    now += 1000
    handle(coordinator.tick(now))
    const { user, system } = process.cpuUsage(start)
    stream = []
    return { micros: (user + system) / keys }
  })
  const { user, system } = process.cpuUsage(start)
  return { size: keys, micros: (user + system) / keys, heapBytes: bytes, recordBytes: recordBytes / records, recordsPerAppend: records / appends }
}

/** Permit issuer: one operation is one request with its grant and its release. */
export function measurePermits (engines: number): RoleCost {
  const limits = { inFlight: 8, perSecond: 1e6, expiryMs: 10_000 }
  const { bytes, value: issuer } = measureHeap(() => {
    const created = createPermitIssuer('issuer', limits)
    // The issuer starts with one token, so that one request is granted and all other engines wait.
    for (let engine = 0; engine < engines; engine++) created.step({ type: 'request', engine: `engine-${engine}`, urgency: engine + 1 }, 0)
    return created
  })
  let now = 0
  let permitIds = ['issuer/1']
  const micros = medianMicros(measuredRounds, round => {
    now += 1
    const grants = [...permitIds.map(permitId => issuer.step({ type: 'release', permitId }, now)), issuer.step({ type: 'request', engine: `engine-${(round + engines) % engines}`, urgency: 1 }, now)].flat()
    permitIds = grants.map(({ permitId }) => permitId)
  })
  return { size: engines, micros, heapBytes: bytes }
}

const createHint = (engine: number): EngineLoadHint =>
  ({ engine: `engine-${engine}`, waitMs: engine % 50, loadWaitMs: 250, queued: engine % 7, running: engine % 30, at: 0 })

/** Router and address response: one operation is the choice of an engine for a request of one of many adapters. */
export function measureRouter (engines: number, adapters: number): RoleCost {
  const { bytes, value: router } = measureHeap(() => {
    const created = createRouter({ loadMs: 250 })
    created.step({ type: 'engines', engines: Array.from({ length: engines }, (_, engine) => `engine-${engine}`) }, 0)
    for (let engine = 0; engine < engines; engine++) created.step({ type: 'hint', hint: createHint(engine) }, 0)
    for (let adapter = 0; adapter < adapters; adapter++) created.route({ adapter: `customer-${adapter}`, version: '1' }, 0)
    return created
  })
  const micros = medianMicros(measuredRounds, round => {
    if (router.route({ adapter: `customer-${(round * 7919 + adapters) % adapters}`, version: '1' }, 1).length === 0) throw new Error('no candidate')
  })
  return { size: engines, micros, heapBytes: bytes }
}

/** Engine owner: one operation is one request from its arrival to its end, on a resident adapter, with others waiting. */
export function measureScheduler (queued: number): RoleCost {
  const slots = 32
  const batchSize = 64
  const classes = { short: { firstTokenMs: 1_000_000, attainment: 0.95 } }
  const resident = Array.from({ length: slots }, (_, slot) => ({ handle: `customer-${slot}@1~1.${slot}`, adapter: `customer-${slot}`, version: '1' }))
  let now = 0
  let started: string[] = []
  const { bytes, value: scheduler } = measureHeap(() => {
    const created = createScheduler({ engine: 'engine-0', term: 1, slots, batchSize, queuedPerEngine: 100_000, queuedPerAdapter: 100_000, loadMs: 250, classes, seed: 1 })
    created.step({ type: 'adopt', resident, running: [] }, now)
    return created
  })
  let counter = 0
  const submit = (): void => {
    counter += 1
    const actions = scheduler.step({
      type: 'submit',
      request: { requestId: `request-${counter}`, adapter: `customer-${counter % slots}`, version: '1', class: 'short', promptTokens: 100, maxTokens: 100, arrivedAt: now, deadline: now + 1e9 }
    }, now)
    started.push(...actions.flatMap(action => action.type === 'dispatch' ? [action.requestId] : []))
    const refused = actions.find(action => action.type === 'refuse')
    if (refused?.type === 'refuse') throw new Error(`the request was refused: ${refused.reason}`)
  }
  for (let index = 0; index < queued + batchSize; index++) submit()
  const micros = medianMicros(measuredRounds, () => {
    now += 1
    const requestId = started.shift()
    if (requestId === undefined) throw new Error('no request is running')
    scheduler.step({ type: 'first-token', requestId }, now)
    const actions = scheduler.step({ type: 'ended', requestId, outcome: 'done', tokens: 100 }, now)
    started.push(...actions.flatMap(action => action.type === 'dispatch' ? [action.requestId] : []))
    submit()
  })
  started = []
  return { size: queued, micros, heapBytes: bytes }
}
