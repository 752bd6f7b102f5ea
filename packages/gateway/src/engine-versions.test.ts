/** Requests of streams that may go on at engines of one software version only. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer, EngineSpec, LoadedModel } from './cluster-types'
import { createEngineScheduler, type EngineScheduler, type ScheduledRequest, type SchedulerAction } from './engine-scheduler'

const test = suite('engines of several software versions')

const spec: EngineSpec = { slots: 64, kvTokens: 232_000, weightsMb: 74_700, adapterSlots: 8, loadsPerSecond: 3, models: [{ name: 'base', weightsMb: 72_700, adapterMb: 66 }] }

function engine (id: string, adapters: string[], version?: string): BackendServer {
  const models: LoadedModel[] = [{ name: 'base', adapters: adapters.map(name => ({ name, version: 1 })) }]
  return { id, bornAt: 1, service: 'llm', address: `${id}:1`, zone: 'a', state: 'ready', slots: 64, models, ...(version === undefined ? {} : { version }) }
}

function request (id: string, softwareVersion?: string): ScheduledRequest {
  const demand = { model: 'base', adapter: 'a1', promptTokens: 3000, outputTokens: 50, parts: [{ id: `own-${id}`, tokens: 3000 }] }
  return { id, node: 'n1', service: 'llm', demand, priority: 1, objectiveAt: 1000, startBy: 6000, deadlineAt: 6000, excluded: [], ...(softwareVersion === undefined ? {} : { softwareVersion }) }
}

function createScheduler (...servers: BackendServer[]): EngineScheduler {
  const scheduler = createEngineScheduler({ versionMs: 5000, mayCommand: () => true })
  scheduler.setEngines(servers.map(server => ({ server, spec })), 0)
  for (const { id, models } of servers) scheduler.applyReport(id, { bornAt: 1, commandCount: 0, models, loading: [], busy: false, queued: 0, active: 0 }, 0)
  return scheduler
}

const summary = (actions: SchedulerAction[]): string[] => actions.filter(({ type }) => type !== 'report').map(action => action.type === 'refuse' ? `refuse ${action.reason}` : `${action.type} ${'engine' in action ? action.engine : ''}`)

test('a stream is granted only an engine of its version, although another one has the adapter and is idle', () => {
  const scheduler = createScheduler(engine('e1', ['a1'], 'v1'), engine('e2', ['a1'], 'v2'))
  const granted = Array.from({ length: 10 }, (_, number) => [...summary(scheduler.submit(request(`r${number}`, 'v2'), 10 + number * 90)), ...summary(scheduler.firstEvent(`r${number}`, 95 + number * 90))]).flat()
  assert.equal(granted, Array.from({ length: 10 }, () => 'grant e2'))
})

// Guards against a stream that waits until its deadline because its adapter is loaded at another version.
test('the adapter of a stream is loaded at an engine of its version', () => {
  const scheduler = createScheduler(engine('e1', ['a1'], 'v1'), engine('e2', [], 'v2'))
  assert.equal(summary(scheduler.submit(request('r1', 'v2'), 10)), ['command e2'])
  scheduler.commandFinished('e2', 'accepted', 15)
  const granted = Array.from({ length: 40 }, (_, index) => summary(scheduler.tick(20 + index * 20))).flat()
  assert.equal(granted, ['grant e2'])
})

test('a load of the adapter at another version does not stand for one at the version of the stream', () => {
  const scheduler = createScheduler(engine('e1', [], 'v1'), engine('e2', [], 'v2'))
  assert.equal(summary(scheduler.submit(request('r1', 'v1'), 10)), ['command e1'])
  scheduler.commandFinished('e1', 'accepted', 15)
  assert.equal(summary(scheduler.submit(request('r2', 'v2'), 20)), ['command e2'])
})

test('a stream whose version has no engine is refused at once', () => {
  const scheduler = createScheduler(engine('e1', ['a1'], 'v1'))
  assert.equal(summary(scheduler.submit(request('r1', 'v2'), 10)), ['refuse no-engine'])
})

test('engines that state no version count as one version', () => {
  const scheduler = createScheduler(engine('e1', ['a1']), engine('e2', ['a1'], 'v2'))
  assert.equal(summary(scheduler.submit(request('r1', ''), 10)), ['grant e1'])
})

test('a request that begins a stream may run at any version', () => {
  const scheduler = createScheduler(engine('e1', [], 'v1'), engine('e2', ['a1'], 'v2'))
  assert.equal(summary(scheduler.submit(request('r1'), 10)), ['grant e2'])
})

test.run()
