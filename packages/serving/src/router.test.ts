import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRouter } from './router'

const engines = ['e1', 'e2', 'e3', 'e4']

const hint = (engine: string, waitMs: number, queued: number, at: number) =>
  ({ type: 'hint' as const, hint: { engine, waitMs, loadWaitMs: 300, queued, running: 0, at } })

const request = (adapter: string) => ({ adapter, version: 'v1' })

test('requests for one adapter go to the same engine (guards against needless loads)', () => {
  const router = createRouter({ loadMs: 250 })
  router.step({ type: 'engines', engines }, 0)
  const engineByAdapter = new Map<string, string>()
  for (let round = 0; round < 3; round += 1) {
    for (let index = 0; index < 200; index += 1) {
      const [engine] = router.route(request(`a${index}`), round)
      assert.is(engineByAdapter.get(`a${index}`) ?? engine, engine)
      engineByAdapter.set(`a${index}`, engine!)
    }
    for (const engine of engines) {
      router.step(hint(engine, 0, 0, round), round)
    }
  }
  for (const engine of engines) {
    const share = [...engineByAdapter.values()].filter((chosen) => chosen === engine).length
    assert.ok(share > 25 && share < 75, `${engine} has ${share} of 200`)
  }
})

test('a hot adapter is replicated (guards against one engine that serves half of the requests)', () => {
  const router = createRouter({ loadMs: 250 })
  router.step({ type: 'engines', engines }, 0)
  const used = new Set<string>()
  for (let index = 0; index < 400; index += 1) {
    used.add(router.route(request(index % 2 === 0 ? 'hot' : `a${index}`), index)[0]!)
  }
  const hot = new Set(Array.from({ length: 20 }, () => router.route(request('hot'), 500)[0]!))
  assert.ok(hot.size >= 2, `${hot.size} engines`)
})

test('spills to the second candidate when it is faster by more than a load (guards against waiting behind a surge)', () => {
  const router = createRouter({ loadMs: 250 })
  router.step({ type: 'engines', engines }, 0)
  const [first, second] = router.route(request('a'), 0)
  router.step(hint(first!, 200, 2, 1), 1)
  router.step(hint(second!, 0, 0, 1), 1)
  assert.is(router.route(request('a'), 2)[0], first)
  router.step(hint(first!, 5_000, 6, 3), 3)
  assert.is(router.route(request('a'), 4)[0], second)
})

test('refusing engines are avoided but never all of them (guards against a request without a candidate)', () => {
  const router = createRouter({ loadMs: 250 })
  router.step({ type: 'engines', engines }, 0)
  const [first] = router.route(request('a'), 0)
  router.step({ type: 'refused', engine: first!, retryAfterMs: 1_000 }, 0)
  assert.is.not(router.route(request('a'), 10)[0], first)
  for (const engine of engines) {
    router.step({ type: 'refused', engine, retryAfterMs: 1_000 }, 20)
  }
  assert.ok(router.route(request('a'), 30).length > 0)
  assert.is(router.route(request('a'), 2_000)[0], first)
})

test.run()
