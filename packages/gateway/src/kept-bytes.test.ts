import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createKeptBytes } from './kept-bytes'

const test = suite('kept bytes')

// Guards against giving up sound responses beside one without end.
test('gives up the incomplete response with the most bytes', () => {
  const kept = createKeptBytes(100)
  const givenUp: string[] = []
  const [small, endless] = ['small', 'endless'].map(name => kept.open(() => { givenUp.push(name) }))
  small!.set(30)
  endless!.set(60)
  assert.equal(givenUp, [])
  small!.set(45)
  assert.equal(givenUp, ['endless'])
  assert.is(kept.total(), 45)
  endless!.set(90)
  assert.is(kept.total(), 45, 'a response that was given up no longer counts')
})

// Guards against cutting responses that are ready, and against an account that is never closed.
test('complete responses count until they are released, and are not given up', () => {
  const kept = createKeptBytes(100)
  const givenUp: string[] = []
  const incomplete = kept.open(() => { givenUp.push('incomplete') })
  incomplete.set(10)
  const release = kept.hold(95)
  assert.equal(givenUp, ['incomplete'])
  const releaseOther = kept.hold(50)
  assert.is(kept.total(), 145)
  release()
  release()
  releaseOther()
  incomplete.close()
  assert.is(kept.total(), 0)
})

// Guards against responses that nobody reads and that keep out all others for good.
test('complete responses that are not read for a while yield to others, the oldest first', () => {
  let now = 0
  const kept = createKeptBytes(100, () => now)
  const givenUp: string[] = []
  const hold = (name: string, bytes: number): (() => void) => kept.hold(bytes, () => { givenUp.push(name) })
  hold('oldest', 40)
  hold('old', 40)
  now = 3900
  const incomplete = kept.open(() => { givenUp.push('incomplete') })
  incomplete.set(30)
  assert.equal(givenUp, ['incomplete'], 'clients have had too little time to read')
  now = 4100
  kept.open(() => { givenUp.push('other') }).set(30)
  assert.equal(givenUp, ['incomplete', 'oldest'])
  assert.is(kept.total(), 70)
})

test.run()
