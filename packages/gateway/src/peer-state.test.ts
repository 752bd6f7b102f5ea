import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { OperatorRecord } from './platform-interface'
import { createFeedCache } from './peer-state'
import { testConfig } from './testing'

const test = suite('peer state')

const config = (version: number): OperatorRecord => ({ type: 'config', config: { ...testConfig, version } })
const adapter = (version: number): OperatorRecord => ({ type: 'adapter-version', model: 'base', adapter: 'a1', version })

// Guards against a node that starts with the state of a peer, and with an earlier configuration than the peer uses itself.
test('records of a restored store do not replace newer versions', () => {
  const cache = createFeedCache()
  cache.replace('servers', [], 0)
  cache.replace('fleet', [], 0)
  cache.replace('operator', [{ key: 'config', offset: 3, value: config(7) }, { key: 'version/a1', offset: 4, value: adapter(2) }], 5)
  cache.replace('operator', [{ key: 'config', offset: 1, value: config(5) }], 2)
  assert.equal(cache.snapshot()?.operator.records.map(({ key, offset }) => [key, offset]), [['config', 3], ['version/a1', 4]])
  cache.update('operator', [{ key: 'config', offset: 2, value: config(9) }, { key: 'version/a1', offset: 3, value: adapter(1) }], 4)
  assert.equal(cache.snapshot()?.operator.records.map(({ offset }) => offset), [2, 4])
})

test.run()
