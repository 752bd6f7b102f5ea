import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createEventLoopTurns } from './event-loop-turns'

const test = suite('event loop turns')

// Guards against a mark that a process makes right after a stop, before it has read what arrived meanwhile.
test('a mark counts once the sockets have been read after it', () => {
  let now = 0
  const callbacks: (() => void)[] = []
  const turns = createEventLoopTurns(() => now, callback => { callbacks.push(callback) })
  assert.is(turns.lastAt(), -Infinity)
  turns.mark()
  assert.is(turns.lastAt(), -Infinity)
  callbacks.shift()!()
  assert.is(turns.lastAt(), 0)
  now = 9000
  turns.mark()
  assert.is(turns.lastAt(), 0)
  callbacks.shift()!()
  assert.is(turns.lastAt(), 9000)
})

test.run()
