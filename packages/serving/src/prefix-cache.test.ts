import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPrefixCache } from './prefix-cache'

test('a gap in the events lowers the likelihood of older entries only (guards against routing by an outdated cache state)', () => {
  const cache = createPrefixCache()
  cache.apply(1, [{ seq: 1, type: 'stored', prefix: 'old' }], 0)
  cache.apply(1, [{ seq: 5, type: 'stored', prefix: 'new' }], 0)
  assert.is(cache.likelihood('new', 0), 1)
  assert.is(cache.likelihood('old', 0), 0.5)
})

test('late and repeated events do not bring back removed prefixes (guards against events out of order)', () => {
  const cache = createPrefixCache()
  cache.apply(1, [{ seq: 1, type: 'stored', prefix: 'p' }, { seq: 2, type: 'removed', prefix: 'p' }], 0)
  cache.apply(1, [{ seq: 1, type: 'stored', prefix: 'p' }], 10)
  assert.is(cache.likelihood('p', 10), 0)
})

test('a restart of the engine empties the table (guards against affinity to a cold engine)', () => {
  const cache = createPrefixCache()
  cache.apply(1, [{ seq: 9, type: 'stored', prefix: 'p' }], 0)
  cache.apply(2, [{ seq: 1, type: 'stored', prefix: 'q' }], 10)
  cache.apply(1, [{ seq: 10, type: 'stored', prefix: 'p' }], 20)
  assert.is(cache.likelihood('p', 20), 0)
  assert.is(cache.likelihood('q', 10), 1)
})

test('the likelihood decays without events (guards against affinity for a prefix whose eviction was missed)', () => {
  const cache = createPrefixCache()
  cache.recordUse('p', 0)
  assert.ok(cache.likelihood('p', 120_000) < 0.25)
})

test.run()
