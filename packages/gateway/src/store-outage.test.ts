import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createStoreOutage } from './store-outage'

const test = suite('store outage')

const feeds = ['operator', 'servers', 'fleet']
const failuresUntilLost = 2

/** @returns number of calls that one node makes while the store refuses every call */
function callsDuring (outageMs: number): number {
  const outage = createStoreOutage()
  const states = feeds.map(feed => ({ feed, failures: 0, nextAt: 0 }))
  let calls = 0
  for (let now = 0; now < outageMs; now++) {
    for (const state of states) {
      if (state.nextAt > now) continue
      calls += 1
      state.failures += 1
      if (state.failures === failuresUntilLost) outage.lost(state.feed)
      state.nextAt = now + Math.ceil(outage.failed(state.feed, state.failures, 0.5))
    }
  }
  return calls
}

// Guards against a large fleet that spends its calls on a store that refuses them. Each call counts, refused ones too.
test('a node makes at most three calls a second to a store that refuses them', () => {
  const calls = callsDuring(9000)
  assert.ok(calls <= 27, `${calls} calls in 9 s`)
})

// Guards against a node that notices the end of an outage late: it must apply a new configuration within 2 s.
test('the store is tested at least once a second', () => {
  const outage = createStoreOutage()
  outage.lost('servers')
  for (let failures = 1; failures < 100; failures++) assert.ok(outage.failed('servers', failures, 1) <= 1000)
})

// Guards against feeds that all wait for each other.
test('another feed tests the store once the first has reached it', () => {
  const outage = createStoreOutage()
  outage.lost('servers')
  outage.lost('fleet')
  assert.ok(outage.failed('fleet', 2, 1) > 1000)
  outage.succeeded('servers')
  assert.not(outage.active())
  outage.lost('fleet')
  assert.ok(outage.failed('fleet', 3, 1) <= 1000)
})

test.run()
