import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createConnectionRoom, headTimeMs } from './connection-room'

const test = suite('connection room')

// Guards against a new client that is refused while connections without a request hold all places.
test('the connection that has been idle for longest leaves', () => {
  const room = createConnectionRoom<string>(3, () => false, () => 0)
  for (const name of ['a', 'b', 'c']) assert.is(room.opened(name), undefined)
  room.busy('a')
  room.idle('a')
  assert.is(room.opened('d'), 'b')
  assert.is(room.opened('e'), 'c')
  assert.is(room.opened('f'), 'a')
  assert.is(room.size(), 3)
})

// Guards against a request in progress, or one that is arriving, whose connection is closed for a new one.
test('only the new connection leaves while the others have requests', () => {
  const receiving = new Set(['b'])
  const room = createConnectionRoom<string>(2, connection => receiving.has(connection), () => 0)
  room.opened('a')
  room.opened('b')
  room.busy('a')
  assert.is(room.opened('c'), 'c')
  receiving.clear()
  assert.is(room.opened('d'), 'd', 'its request has not been read yet')
  room.busy('b')
  room.idle('b')
  assert.is(room.opened('e'), 'b')
})

// Guards against places that are lost with each connection that ends.
test('a connection that was closed makes room', () => {
  const room = createConnectionRoom<string>(1, () => false, () => 0)
  room.opened('a')
  room.busy('a')
  room.closed('a')
  room.idle('a')
  assert.is(room.size(), 0)
  assert.is(room.opened('b'), undefined)
  assert.is(room.opened('c'), 'b')
  room.closed('b')
  assert.is(room.size(), 1)
})

// Guards against a node that runs out of descriptors because it relays requests of others.
test('places that are taken otherwise are not given to connections', () => {
  let reserved = 0
  const room = createConnectionRoom<string>(3, () => false, () => 0, () => reserved)
  for (const name of ['a', 'b']) assert.is(room.opened(name), undefined)
  reserved = 1
  assert.is(room.opened('c'), 'a')
  reserved = 3
  assert.is(room.opened('d'), 'b')
})

// Guards against clients that send parts of heads and so keep new connections away until the header timeout.
test('the connection with a part of a head for longest leaves after those that are idle, and before the new one', () => {
  let nowMs = 0
  const room = createConnectionRoom<string>(3, connection => connection.startsWith('part'), () => nowMs)
  for (const name of ['part-a', 'idle', 'part-b']) room.opened(name)
  assert.is(room.opened('c'), 'idle')
  assert.is(room.opened('d'), 'c')
  nowMs += headTimeMs
  assert.is(room.opened('e'), 'd')
  room.busy('e')
  assert.is(room.opened('f'), 'part-a')
  assert.is(room.opened('g'), 'part-b')
})

// Guards against a bound at which only connections are left whose next request may have arrived unread.
test('an eighth is free unless the others have requests or are new', () => {
  let nowMs = 0
  const room = createConnectionRoom<number>(8, () => false, () => nowMs)
  for (let connection = 0; connection < 8; connection++) assert.is(room.opened(connection), undefined)
  assert.is(room.excess(), undefined)
  nowMs += headTimeMs
  assert.is(room.excess(), 0)
  assert.is(room.excess(), undefined)
  for (let connection = 1; connection < 8; connection++) room.busy(connection)
  assert.is(room.opened(8), undefined)
  assert.is(room.excess(), undefined)
  assert.ok(room.isCrowded())
  assert.is(room.size(), 8)
})

test.run()
