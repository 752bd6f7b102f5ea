import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { eraOf, logPosition, offsetOf } from './log-position'

const test = suite('log position')

test('positions keep era and offset, and grow from each era to the next', () => {
  for (const [era, offset] of [[0, 0], [0, 7], [3, 0], [131_071, 2 ** 36 - 1]] as const) {
    const position = logPosition(era, offset)
    assert.ok(Number.isSafeInteger(position))
    assert.equal([eraOf(position), offsetOf(position)], [era, offset])
  }
  assert.ok(logPosition(1, 0) > logPosition(0, 1e9))
})

test.run()
