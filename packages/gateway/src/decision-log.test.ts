/** The log of a node whose standard output is read slowly, or not at all. */
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLineWriter } from './decision-log'

const test = suite('decision log')

/** More than the time for which the end of a process waits for its log, in ms. */
const endMs = 2000
/** Longer than the interval at which lines are written, in ms. */
const intervalMs = 400

let output: string
/** Bytes that standard output takes at a time. */
let room: number

const writer = (): ReturnType<typeof createLineWriter> => createLineWriter(async bytes => {
  const taken = Math.min(room, bytes.length)
  output += bytes.subarray(0, taken).toString()
  return taken
})

test.before.each(() => {
  output = ''
  room = Infinity
})

// Guards against lines that are lost, unreported, because standard output has no room for a while.
test('lines that wait for a slow reader are written when it reads on', async () => {
  const lines = writer()
  room = 3
  lines.write('first\n')
  await sleep(0)
  room = 0
  lines.write('second\n')
  await sleep(intervalMs)
  lines.write('third\n')
  room = 3
  await sleep(2 * intervalMs)
  assert.is(output, 'first\nsecond\nthird\n')
  assert.is(lines.dropped(), 0)
})

// Guards against a process that does not end because nobody reads its log.
test('the end of a process does not wait for a reader that never comes', async () => {
  const lines = writer()
  room = 0
  lines.write('first\n')
  assert.ok(await Promise.race([lines.flush().then(() => true), sleep(endMs, false)]), `not ended after ${endMs} ms`)
})

// Guards against a process that does not end because a write to its log blocks.
test('the end of a process does not wait for a write that never ends', async () => {
  const lines = createLineWriter(() => new Promise(() => {}))
  lines.write('first\n')
  assert.ok(await Promise.race([lines.flush().then(() => true), sleep(endMs, false)]), `not ended after ${endMs} ms`)
})

// Guards against lost lines that no count shows.
test('lines that standard output does not take because of an error are counted', async () => {
  const lines = createLineWriter(async () => { throw new Error('EPIPE') })
  lines.write('first\n')
  lines.write('second\n')
  await lines.flush()
  assert.is(lines.dropped(), 2)
})

test.run()
