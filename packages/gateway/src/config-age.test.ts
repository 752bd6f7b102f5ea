import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createConfigAge, type ConfigAge, type ConfigPosition } from './config-age'

const test = suite('config age')

const revokeMs = 5000

function create (bound: number | undefined = revokeMs): { age: ConfigAge, own: ConfigPosition, suspendedUntil (at: number): void } {
  const own: ConfigPosition = { next: 7, version: 3 }
  let endedAt = -Infinity
  const age = createConfigAge({ revokeMs: () => bound, suspensions: { endedAt: () => endedAt }, own: () => own })
  return { age, own, suspendedUntil (at) { endedAt = at } }
}

// Guards against a removed key that a cut-off or newly started node goes on to accept.
test('keys are accepted only while the configuration is known to be younger than the bound', () => {
  const { age } = create()
  assert.not(age.isCurrent(0))
  age.read(1000)
  assert.ok(age.isCurrent(1000 + 0.9 * revokeMs))
  assert.not(age.isCurrent(1000 + 0.95 * revokeMs))
})

test('without a bound keys are accepted at any age, and nobody is asked', () => {
  const { age } = create(0 / 0)
  assert.is(createConfigAge({ revokeMs: () => undefined, suspensions: { endedAt: () => -Infinity }, own: () => ({ next: -1, version: -1 }) }).isCurrent(9e9), true)
  assert.not(age.needsRead(9e9))
})

// Guards against a node that was suspended, whose monotonic clock stood still meanwhile.
test('evidence from before a suspension does not count', () => {
  const { age, suspendedUntil } = create()
  age.read(1000)
  suspendedUntil(1200)
  assert.not(age.isCurrent(1300))
  age.read(1100)
  assert.not(age.isCurrent(1300))
  age.read(1250)
  assert.ok(age.isCurrent(1300))
})

// Guards against an old answer of a peer that was left in a socket and counts from its arrival.
test('a peer\'s evidence counts from its own time, and only if the peer knows no more', () => {
  const { age, own } = create()
  assert.not(age.peerRead(1000, { next: 7, version: 3 }))
  assert.is(age.ageMs(1500), 500)
  assert.ok(age.peerRead(2000, { next: 9, version: 3 }))
  assert.is(age.ageMs(2000), 1000)
  own.next = 9
  assert.not(age.peerRead(2000, { next: 7, version: 3 }))
  assert.is(age.ageMs(2000), 1000)
})

// Guards against a node that starts with the configuration of a restored store, which lacks the newest version.
test('a newer version at a peer makes earlier evidence worthless until it is in force', () => {
  const { age, own } = create()
  age.read(1000)
  assert.ok(age.peerRead(1100, { next: 7, version: 4 }))
  assert.not(age.isCurrent(1200))
  age.read(1250)
  assert.not(age.isCurrent(1300))
  own.version = 4
  assert.ok(age.isCurrent(1300))
})

// Guards against reads without a pause by a node that has read a restored store, in which it finds no newer version.
test('a newer version at a peer is no reason to read the store', () => {
  const { age } = create()
  age.read(1000)
  age.peerRead(1100, { next: 7, version: 4 })
  assert.not(age.needsRead(1200))
  assert.ok(age.needsRead(1000 + 0.45 * revokeMs))
})

// Guards against a flood of questions, and against a zone that depends on one node.
test('asks the reader first, then others, at intervals, until the evidence is young', () => {
  const { age } = create()
  age.read(0)
  assert.is(age.nextQuestion(1000), undefined)
  assert.equal([1250, 1300, 1550, 1850, 2150].map(at => age.nextQuestion(at)), ['reader', undefined, 'zone', 'fleet', 'fleet'])
  assert.not(age.needsRead(2200))
  assert.ok(age.needsRead(2250))
  age.peerRead(2200, { next: 7, version: 3 })
  assert.is(age.nextQuestion(2300), undefined)
  assert.is(age.nextQuestion(3500), 'reader')
})

test.run()
