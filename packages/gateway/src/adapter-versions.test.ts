import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createAdapterVersions } from './adapter-versions'
import { cacheScope } from './prompt-cache'

const test = suite('adapter versions')

// Guards against requests that run on an earlier version, because a restored store still has it.
test('an earlier version does not replace a newer one', () => {
  const versions = createAdapterVersions(5000)
  const adapter = { model: 'base', adapter: 'a1' }
  assert.equal([2, 5, 3, 5].map(version => versions.add({ ...adapter, version }, 0, 0)), [true, true, false, false])
  assert.is(versions.newest(cacheScope(adapter)), 5)
  assert.is(versions.newest(cacheScope({ model: 'base', adapter: 'a2' })), undefined)
})

// Guards against requests that run on an older version after its time, because the owner of the engine has not heard of the new one.
test('a request names the newest version once the engine may have one that is no longer to be used', () => {
  const versions = createAdapterVersions(5000)
  const adapter = { model: 'base', adapter: 'a1' }
  const named = (granted: number | undefined, now: number): number | undefined => versions.versionToName(cacheScope(adapter), granted, now)
  assert.equal([undefined, 3].map(granted => named(granted, 0)), [undefined, 3])
  versions.add({ ...adapter, version: 2 }, 100, 100)
  versions.add({ ...adapter, version: 3 }, 2100, 2100)
  assert.equal([undefined, 1, 2, 3].map(granted => named(granted, 4099)), [undefined, 1, 2, 3], 'all may still be in use')
  assert.equal([undefined, 1, 2, 3, 4].map(granted => named(granted, 4100)), [3, 3, 2, 3, 4], 'version 2 must be in use')
  assert.equal([undefined, 1, 2, 3, 4].map(granted => named(granted, 6100)), [3, 3, 3, 3, 4], 'version 3 must be in use')
  versions.add({ ...adapter, version: 5 }, -Infinity, 6200)
  assert.equal([undefined, 4, 5].map(granted => named(granted, 6200)), [5, 5, 5], 'it may have been announced long ago')
})

test.run()
