import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { formatLoadHints, parseLoadHints } from './load-hints'

const hint = { engine: 'engine-1', waitMs: 12, loadWaitMs: 300, queued: 4, running: 20, ageMs: 5 }

test('parses the hints that it formatted', () => {
  assert.equal(parseLoadHints(formatLoadHints([hint, { ...hint, engine: 'engine-2' }])), [hint, { ...hint, engine: 'engine-2' }])
})

// Guards against a malformed header crashing the node or putting NaN into the choice of an engine.
test('drops malformed hints and returns the others', () => {
  assert.equal(parseLoadHints('not json'), [])
  assert.equal(parseLoadHints('{}'), [])
  assert.equal(parseLoadHints('[["engine-1",12,300,4,20,5],["engine-2",null,1,1,1,1],[1,2],["engine-3",-1,1,1,1,1]]'), [hint])
})

test.run()
