import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createAdapterVersions } from './adapter-versions'
import { cacheScope } from './prompt-cache'

const test = suite('adapter versions')

// Guards against requests that run on an earlier version, because a restored store still has it.
test('an earlier version does not replace a newer one', () => {
  const versions = createAdapterVersions()
  const adapter = { model: 'base', adapter: 'a1' }
  assert.equal([2, 5, 3, 5].map(version => versions.add({ ...adapter, version })), [true, true, false, false])
  assert.is(versions.newest(cacheScope(adapter)), 5)
  assert.is(versions.newest(cacheScope({ model: 'base', adapter: 'a2' })), undefined)
})

test.run()
