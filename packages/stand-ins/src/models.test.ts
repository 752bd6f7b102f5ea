import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { AppendResult, EngineCommandResult, ReadResult } from '@yuccawharf/clients'
import { createEngineModel, createInstanceListModel, createLogModel, createVirtualClock, createWeightStoreModel, expectedText, type EngineModelOptions, type StreamListener } from './index'

function createEngine (options: Partial<EngineModelOptions> = {}) {
  const clock = createVirtualClock()
  const weights = createWeightStoreModel({ clock })
  const engine = createEngineModel({ clock, weights, engine: 'e1', baseModel: 'base', slots: 2, batchSize: 2, stepBaseMs: 10, stepPerSequenceMs: 1, prefillMsPerToken: 0, ...options })
  const results: EngineCommandResult[] = []
  const load = (handle: string, fence = 1): void => engine.command({ type: 'load', handle, adapter: handle, version: '1' }, fence, result => results.push(result))
  return { clock, weights, engine, results, load }
}

function createListener (): StreamListener & { text: string, ended: string } {
  const listener = {
    text: '',
    ended: '',
    tokens (_first: number, texts: string[]) { listener.text += texts.join('') },
    end (count: number, reason: string) { listener.ended = `${reason} ${count}` },
    broken (reason: string) { listener.ended = reason }
  }
  return listener
}

const request = (requestId: string, handle: string, priority = 0) => ({ requestId, handle, prompt: 'p', maxTokens: 3, priority })

// Guards against policy results that rely on loads faster than the weight store allows.
test('weight store: up to 8 fetches take 250 ms, 16 take twice as long, and slowness multiplies', () => {
  const clock = createVirtualClock()
  const store = createWeightStoreModel({ clock })
  const times: number[] = []
  const fetch = (count: number): void => { for (let index = 0; index < count; index++) store.fetch('a', '1', () => times.push(clock.now())) }
  fetch(8)
  clock.advance(250)
  assert.equal(times, Array(8).fill(250))
  fetch(16)
  clock.advance(499)
  assert.is(times.length, 8)
  clock.advance(2)
  assert.is(times.length, 24)
  store.setSlowdown(3)
  fetch(1)
  clock.advance(749)
  assert.is(times.length, 24)
  clock.advance(2)
  assert.is(times.length, 25)
})

test('engine: refuses a load without a free slot and never evicts by itself', () => {
  const { clock, engine, results, load } = createEngine()
  for (const handle of ['a', 'b', 'c']) load(handle)
  clock.advance(300)
  assert.equal(results, [{ type: 'refused', reason: 'no_free_slot' }, { type: 'ok' }, { type: 'ok' }])
  assert.equal(engine.status()?.resident.map(adapter => adapter.handle), ['a', 'b'])
})

test('engine: old fencing tokens are refused by an engine that checks them and accepted by any other', () => {
  for (const checksFencing of [true, false]) {
    const { clock, results, load } = createEngine({ checksFencing })
    load('a', 5)
    load('b', 4)
    clock.advance(300)
    assert.equal(results.map(result => result.type).sort(), checksFencing ? ['ok', 'stale-fence'] : ['ok', 'ok'])
  }
})

test('engine: the token rate per sequence falls with the batch size, and low priority numbers run first', () => {
  const { clock, engine, load } = createEngine()
  load('a')
  clock.advance(300)
  const listeners = Array.from({ length: 4 }, createListener)
  engine.generate(request('r0', 'a'), listeners[0]!)
  clock.advance(33)
  assert.is(listeners[0]!.ended, 'length 3')
  assert.is(listeners[0]!.text, expectedText('r0', 'a', '1', 'p', 3))
  for (const index of [1, 2, 3]) engine.generate(request(`r${index}`, 'a', index === 3 ? 1 : 2), listeners[index]!)
  clock.advance(11 + 2 * 12 + 12)
  assert.equal(listeners.slice(1).map(listener => listener.ended), ['length 3', '', 'length 3'])
  clock.advance(60)
  assert.is(listeners[2]!.ended, 'length 3')
})

// Guards against checks of P2 that cannot detect an eviction during a running request.
test('engine: unloading an adapter in use aborts its requests and is counted', () => {
  const { clock, engine, load } = createEngine()
  load('a')
  clock.advance(300)
  const listener = createListener()
  engine.generate(request('r1', 'a'), listener)
  engine.command({ type: 'unload', handle: 'a' }, 1, () => {})
  assert.is(listener.ended, 'adapter was unloaded')
  assert.is(engine.stats().evictedInUse, 1)
})

// Guards against requests that continue after a listener removed them within the same step.
test('engine: listeners may cancel, unload and resume from within their callbacks', () => {
  const { clock, engine, load } = createEngine({ batchSize: 4 })
  for (const handle of ['a', 'b']) load(handle)
  clock.advance(300)
  const acting = { ...createListener(), tokens: () => { engine.cancel('r2'); engine.command({ type: 'unload', handle: 'b' }, 1, () => {}) } }
  const cancelled = createListener()
  const unloaded = createListener()
  engine.generate(request('r1', 'a'), acting)
  engine.generate(request('r2', 'a'), cancelled)
  engine.generate(request('r3', 'b'), unloaded)
  clock.advance(100)
  assert.equal([cancelled.ended, unloaded.ended, cancelled.text], ['cancelled 0', 'adapter was unloaded', ''])
  assert.equal([engine.stats().completed, engine.stats().tokens], [1, 3])
  const again = createListener()
  engine.generate(request('r4', 'a'), { ...createListener(), broken: () => { engine.resume('r4', 0, again) } })
  engine.disconnectStreams()
  clock.advance(100)
  assert.equal([again.ended, again.text], ['length 3', expectedText('r4', 'a', '1', 'p', 3)])
})

test('engine: a restart is cold, starts a new incarnation and drops all requests', () => {
  const { clock, engine, results, load } = createEngine({ reportLagMs: 1000 })
  load('a')
  clock.advance(300)
  const listener = createListener()
  engine.generate(request('r1', 'a'), listener)
  load('b')
  engine.restart(50)
  assert.is(engine.status(), undefined)
  assert.is(listener.ended, 'engine restarted')
  assert.is(results.at(-1)?.type, 'unknown')
  clock.advance(1000)
  assert.is(engine.status()?.incarnation, 2)
  assert.equal(engine.status()?.resident, [])
  assert.equal(engine.resume('r1', 0, listener), { type: 'refused', code: 'response_not_found' })
  assert.is(engine.stats().steps, 0)
})

test('engine: reports lag, a cancelled stream ends, and cache events are delayed and have gaps', () => {
  const { clock, engine, load } = createEngine({ reportLagMs: 1000, cacheLagMs: 400, cacheBlocks: 200 })
  assert.is(engine.status()?.takenAt, 0)
  load('a')
  clock.advance(999)
  assert.equal(engine.status()?.resident, [])
  clock.advance(1)
  assert.is(engine.status()?.resident.length, 1)
  const listener = createListener()
  engine.generate({ ...request('r1', 'a'), prompt: Array.from({ length: 3200 }, (_, index) => String(index % 89)).join('') }, listener)
  engine.cancel('r1')
  assert.is(listener.ended, 'cancelled 0')
  assert.equal(engine.cacheEvents(0), [])
  clock.advance(400)
  const seqs = engine.cacheEvents(0).map(event => event.seq)
  const gaps = seqs.filter((seq, index) => index > 0 && seq !== seqs[index - 1]! + 1).length
  assert.ok(seqs.length > 50 && gaps > 0, `${seqs.length} events, ${gaps} gaps`)
})

test('log: several hundred appends per second, lost responses, late effects, retention', () => {
  const clock = createVirtualClock()
  const log = createLogModel({ clock, appendsPerSecond: 400, retainRecords: 100, retainMs: 5000 })
  const results: AppendResult[] = []
  const append = (value: number): void => log.append('s', [value], result => results.push(result))
  for (let index = 0; index < 1000; index++) append(index)
  clock.advance(1001)
  assert.is(results.length, 400)
  clock.advance(2000)
  assert.is(log.peek('s').next, 1000)
  assert.ok(log.peek('s').records.length <= 125)
  log.delayNextAppend(700)
  append(-1)
  clock.advance(10)
  assert.is(results.at(-1)?.type, 'unknown')
  assert.is(log.peek('s').next, 1000)
  clock.advance(700)
  assert.is(log.peek('s').records.at(-1)?.value, -1)
  clock.advance(6000)
  const reads: ReadResult[] = []
  log.read('s', 1000, 10, 0, result => reads.push(result))
  clock.advance(1)
  assert.equal(reads, [{ type: 'expired', first: 1001, next: 1001 }])
})

test('log: equal seeds lose the same responses', () => {
  const run = (seed: number): string => {
    const clock = createVirtualClock()
    const log = createLogModel({ clock, seed, lostFraction: 0.3 })
    let results = ''
    for (let index = 0; index < 60; index++) log.append('s', [index], result => { results += result.type[0] })
    clock.advance(1000)
    return results
  }
  assert.is(run(1), run(1))
  assert.is.not(run(1), run(2))
  assert.match(run(1), /u/)
})

test('instance list: a change becomes visible only after the lag', () => {
  const clock = createVirtualClock(10_000)
  const list = createInstanceListModel({ clock, lagMs: 2000 })
  list.put({ id: 'e1', kind: 'engine', address: 'x', zone: 'a', region: 'r', group: 'g', state: 'live' })
  clock.advance(1000)
  list.leave('e1')
  assert.equal(list.fetch(), { asOf: 9000, instances: [] })
  clock.advance(1000)
  assert.is(list.fetch()?.instances[0]?.state, 'live')
  clock.advance(1000)
  assert.is(list.fetch()?.instances[0]?.state, 'leaving')
})

test.run()
