import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { connectionLimits } from './connection-limits'

const test = suite('connection limits')

const sum = (limits: object): number => Object.values(limits).reduce((total: number, limit: number) => total + limit, 0)

// Guards against clients that take the descriptors of files and of connections to servers, peers and the store.
test('clients leave 200 descriptors for files, and one for a server beside each connection of a client', () => {
  for (const maxDescriptors of [1024, 4100, 65_536]) {
    const limits = connectionLimits(maxDescriptors)
    assert.ok(sum(limits) + limits.front <= maxDescriptors - 200, `${maxDescriptors}: ${JSON.stringify(limits)}`)
    assert.ok(limits.front > maxDescriptors / 4, `${maxDescriptors}: ${JSON.stringify(limits)}`)
  }
})

// Guards against a server that accepts no connection where descriptors are few.
test('each server has some connections at a low limit', () => {
  for (const maxDescriptors of [64, 128, 512]) {
    const limits = connectionLimits(maxDescriptors)
    assert.ok(Object.values(limits).every(limit => limit >= 4), `${maxDescriptors}: ${JSON.stringify(limits)}`)
    assert.ok(sum(limits) + limits.front <= maxDescriptors * 3 / 4, `${maxDescriptors}: ${JSON.stringify(limits)}`)
  }
})

// Guards against settings that allow more than the system does, and against a bound that nobody has stated.
test('the lowest known limit counts, and there is none if none is known', () => {
  assert.equal(connectionLimits(4100, 512), connectionLimits(512))
  assert.equal(connectionLimits(undefined, 512), connectionLimits(512))
  assert.is(connectionLimits(undefined, undefined).front, Infinity)
})

test.run()
