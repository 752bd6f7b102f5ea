import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer, EngineSpec } from './cluster-types'
import { createEngineScheduler, type ScheduledRequest } from './engine-scheduler'
import { createEngineSpeed, maxSpeedAgeMs, type EngineSpeed } from './engine-speed'

const test = suite('engine speed')

/** Prompts of 100 ms at speed 1, one after the other. */
function prefill (speed: EngineSpeed, actual: number, from: number, until: number): void {
  for (let now = from + 100 / actual; now <= until; now += 100 / actual) speed.delivered(100, 100 / actual, now)
}

// Guards against engines of unequal speed that get the same work.
test('the estimates converge to the delivered speed', () => {
  for (const actual of [0.55, 1.2]) {
    const speed = createEngineSpeed()
    prefill(speed, actual, 0, 20_000)
    assert.ok(Math.abs(speed.longTerm(20_000) / actual - 1) < 0.1, `${speed.longTerm(20_000)}`)
    assert.is(speed.current(20_000), speed.longTerm(20_000))
  }
})

// Guards against a slow period of 0.6 s that is noticed when it is over, or that counts against the engine for long.
test('a slow period lowers the speed at once, and quick events or half a second end it', () => {
  const speed = createEngineSpeed()
  prefill(speed, 1.2, 0, 20_000)
  assert.ok(speed.current(20_300, { nominalMs: 100, elapsedMs: 300 }) < 0.72, 'a prompt that is overdue shows it')
  prefill(speed, 0.48, 20_000, 20_625)
  assert.ok(speed.current(20_625) < 0.72)
  assert.ok(speed.longTerm(20_625) > 1.1)
  assert.ok(speed.current(21_100) > 1.1)
  prefill(speed, 1.2, 20_625, 20_900)
  assert.ok(speed.current(20_900) > 1.1)
})

// Guards against a restarted engine that is judged by its former process, and against an old measurement that counts for ever.
test('a restart clears the estimates, and they age out', () => {
  const speed = createEngineSpeed()
  prefill(speed, 0.3, 0, 20_000)
  assert.ok(speed.longTerm(20_000 + 2 * maxSpeedAgeMs) > 0.95)
  assert.is(speed.shared(20_001 + maxSpeedAgeMs), undefined)
  speed.reset()
  assert.equal([speed.longTerm(20_000), speed.current(20_000), speed.shared(20_000)], [1, 1, undefined])
})

// Guards against a successor owner that starts from the nominal speed, passes on an estimate as fresh, or prefers it to its own.
test('a shared estimate is adopted with its age, unless it is stale or the engine was measured here', () => {
  const adopted = createEngineSpeed()
  adopted.adopt({ speed: 0.5, ageMs: 3000 }, 10_000)
  assert.ok(adopted.longTerm(10_000) < 0.62)
  assert.is(adopted.shared(10_000)?.ageMs, 3000)
  const stale = createEngineSpeed()
  stale.adopt({ speed: 0.5, ageMs: maxSpeedAgeMs + 1 }, 100_000)
  assert.is(stale.longTerm(100_000), 1)
  const measured = createEngineSpeed()
  prefill(measured, 1.2, 0, 10_000)
  const before = measured.longTerm(10_000)
  measured.adopt({ speed: 0.5, ageMs: 0 }, 10_000)
  assert.is(measured.longTerm(10_000), before)
})

// Guards against a successor owner that gives a slow engine as much work as others, and against a new start that is judged by the one before.
test('an owner places requests by the speeds that it adopts, and a new start of the engine clears them', () => {
  const spec: EngineSpec = { slots: 64, kvTokens: 232_000, weightsMb: 74_700, adapterSlots: 8, loadsPerSecond: 3, models: [{ name: 'base', weightsMb: 72_700, adapterMb: 66 }] }
  const servers = ['e1', 'e2'].map((id): BackendServer => ({ id, bornAt: 1, service: 'llm', address: `${id}:1`, zone: 'a', state: 'ready', slots: 64, models: [{ name: 'base', adapters: [] }] }))
  const req: ScheduledRequest = { id: 'r1', node: 'n1', service: 'llm', demand: { model: 'base', promptTokens: 3000, outputTokens: 50, parts: [] }, priority: 1, objectiveAt: 1000, startBy: 6000, deadlineAt: 6000, excluded: [] }
  const scheduler = createEngineScheduler({ versionMs: 5000, mayCommand: () => true })
  scheduler.setEngines(servers.map((server, index) => ({ server, spec, speed: { speed: index === 0 ? 0.5 : 1.2, ageMs: 0 } })), 0)
  assert.equal(scheduler.submit(req, 10).flatMap(action => action.type === 'grant' ? [action.engine] : []), ['e2'])
  assert.is(scheduler.status(10)[0]?.speed?.bornAt, 1)
  scheduler.setEngines(servers.map(server => ({ server: { ...server, bornAt: 2 }, spec })), 20)
  assert.equal(scheduler.status(20).map(({ speed }) => speed), [undefined, undefined])
})

// Guards against an engine that is taken for slow because its prompts are cached, so that the batch takes nearly all of the time to their events.
test('prompts that are shorter than a step of the batch say nothing about the speed', () => {
  const spec: EngineSpec = { slots: 64, kvTokens: 232_000, weightsMb: 74_700, adapterSlots: 8, loadsPerSecond: 3, models: [{ name: 'base', weightsMb: 72_700, adapterMb: 66 }] }
  const engine: BackendServer = { id: 'e1', bornAt: 1, service: 'llm', address: 'e1:1', zone: 'a', state: 'ready', slots: 64, models: [{ name: 'base', adapters: [] }] }
  const scheduler = createEngineScheduler({ versionMs: 5000, mayCommand: () => true })
  scheduler.setEngines([{ server: engine, spec }], 0)
  const play = (id: string, promptTokens: number, at: number, durationMs: number): void => {
    scheduler.submit({ id, node: 'n1', service: 'llm', demand: { model: 'base', promptTokens, outputTokens: 50, parts: [] }, priority: 1, objectiveAt: at + 1000, startBy: at + 6000, deadlineAt: at + 6000, excluded: [] }, at)
    scheduler.firstEvent(id, at + durationMs)
    scheduler.ended(id, 'ok', at + durationMs)
  }
  for (let index = 0; index < 200; index++) play(`short${index}`, 60, index * 50, 45)
  play('long', 3000, 10_000, 140)
  assert.ok((scheduler.status(10_140)[0]?.speed?.speed ?? 1) > 0.9, `${scheduler.status(10_140)[0]?.speed?.speed}`)
})

test.run()
