import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createReadShares, readSharesDefaults } from './read-shares'

const test = suite('read shares')
const readBytes = 64 * 1024

// Guards against a turn of the event loop in which every connection of a crowd is parsed.
test('of connections with much overhead one is read at a time, each in its turn', () => {
  const shares = createReadShares<string>()
  const names = ['a', 'b', 'c']
  for (const name of names) shares.opened(name)
  for (const name of names) for (let read = 0; read < 2; read++) shares.received(name, readBytes, 10_000, 0)
  const turns: string[] = []
  for (let turn = 0; turn < 6; turn++) {
    const released = shares.grant().filter(({ type }) => type === 'release').map(({ connection }) => connection)
    assert.is(released.length, 1)
    turns.push(...released)
    shares.received(released[0]!, readBytes, 10_000, 0)
  }
  assert.equal(turns, ['a', 'b', 'c', 'a', 'b', 'c'])
})

// Guards against connections that are slowed although they send bodies, or little.
test('bodies in large chunks and heads within the limits are never held', () => {
  const shares = createReadShares<string>()
  shares.opened('large')
  shares.opened('heads')
  for (let at = 0; at < 100; at++) assert.equal(shares.received('large', readBytes, readBytes - 200, 0), [])
  for (let at = 0; at < 100; at++) assert.equal(shares.received('heads', 16 * 1024, 0, at * 1000), [])
  assert.is(shares.waiting(), 0)
})

// Guards against a process that is slow for ever because a connection has left.
test('a connection that closes leaves its turn to others', () => {
  const shares = createReadShares<string>({ ...readSharesDefaults, overheadBytes: 1000 })
  for (const name of ['gone', 'next']) shares.opened(name)
  for (const name of ['gone', 'next']) shares.received(name, readBytes, 0, 0)
  shares.closed('gone')
  assert.equal(shares.grant(), [{ type: 'release', connection: 'next' }])
})

// Guards against a connection that is slowed for hours after a long series of requests without bodies.
test('what a connection has sent beyond its bytes is forgotten within seconds, however much it was', () => {
  const shares = createReadShares<string>()
  shares.opened('busy')
  for (let at = 0; at < 600_000; at += 100) shares.received('busy', 16 * 1024, 0, at)
  assert.is(shares.waiting(), 1)
  shares.grant()
  assert.equal(shares.received('busy', 1000, 0, 610_000), [])
})

test.run()
