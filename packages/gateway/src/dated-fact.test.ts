import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createDatedFact } from './dated-fact'
import { createFactClock } from './suspension-detector'

const test = suite('dated fact')

// Guards against a fact that is used after its evidence has become too old.
test('a fact counts up to its greatest age', () => {
  const fact = createDatedFact<string>(1000, { endedAt: () => -Infinity })
  assert.is(fact.read(0), undefined)
  fact.record('a', 100)
  assert.equal(fact.read(1100), { value: 'a', ageMs: 1000 })
  assert.is(fact.read(1101), undefined)
})

// Guards against a message that was on its way for long and replaces a later one.
test('earlier evidence does not replace a later fact', () => {
  const fact = createDatedFact<string>(1000, { endedAt: () => -Infinity })
  fact.record('late', 500)
  fact.record('early', 400)
  assert.equal(fact.read(600), { value: 'late', ageMs: 100 })
})

// Guards against evidence from before a suspension, which seems as young as it was when the process was suspended.
test('evidence from before a suspension counts for nothing, whenever it arrives', () => {
  let endedAt = -Infinity
  const fact = createDatedFact<string>(1000, { endedAt: () => endedAt })
  fact.record('a', 100)
  endedAt = 200
  assert.is(fact.read(200), undefined)
  fact.record('b', 150)
  assert.is(fact.read(200), undefined)
  fact.record('c', 200)
  assert.equal(fact.read(300), { value: 'c', ageMs: 100 })
})

// Guards against code that runs between the end of a suspension and the next tick and takes earlier evidence for new.
test('a suspension is known to whoever reads the time after it', () => {
  let monotonic = 100
  let wallClock = 5000
  const told: number[] = []
  const clock = createFactClock({ now: () => monotonic, wallClock: () => wallClock })
  clock.onSuspension(gapMs => told.push(gapMs))
  const fact = createDatedFact<string>(1000, clock)
  fact.record('a', clock.now())
  monotonic += 1
  wallClock += 8000
  assert.is(fact.read(clock.now()), undefined)
  assert.equal(told, [7999])
  assert.is(clock.endedAt(), 101)
  monotonic += 1000
  wallClock += 1000 + 200
  clock.now()
  assert.is(told.length, 1, 'clocks that run at different rates are no suspension')
})

test.run()
