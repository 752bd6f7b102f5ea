import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createConnectionRoom } from './connection-room'

const test = suite('connection room')

// Guards against a new client that is refused while connections without a request hold all places.
test('the connection that has been idle for longest leaves', () => {
  const room = createConnectionRoom<string>(3, () => false)
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
  const room = createConnectionRoom<string>(2, connection => receiving.has(connection))
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
  const room = createConnectionRoom<string>(1, () => false)
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

test.run()
