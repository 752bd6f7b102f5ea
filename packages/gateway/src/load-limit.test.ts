import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLoadLimit, type LoadLimit } from './load-limit'

const test = suite('load limit')

const usualMs = 250

/**
 * Plays a store that serves `fullSpeed` loads at full speed and all of them slower in proportion beyond
 * that, for owners that always have more adapters to load than their limits allow.
 *
 * @returns mean number of concurrent loads over the second half of the time
 */
function playStore (fullSpeed: number, limits: LoadLimit[], seconds: number): number {
  const active: { owner: LoadLimit, startedAt: number, remainingMs: number }[] = []
  const stepMs = 5
  let sum = 0
  let samples = 0
  for (let now = 0; now < seconds * 1000; now += stepMs) {
    for (const owner of limits) {
      let count = active.filter(load => load.owner === owner).length
      for (; count < owner.value(); count++) active.push({ owner, startedAt: now, remainingMs: usualMs })
      owner.reached()
    }
    const progressMs = stepMs * Math.min(1, fullSpeed / active.length)
    for (const load of active) load.remainingMs -= progressMs
    for (const load of active.filter(({ remainingMs }) => remainingMs <= 0)) {
      active.splice(active.indexOf(load), 1)
      load.owner.loaded(now + stepMs - load.startedAt)
    }
    if (now < seconds * 500) continue
    sum += active.length
    samples += 1
  }
  return sum / samples
}

function createLimits (owners: number, enginesPerOwner: number): LoadLimit[] {
  return Array.from({ length: owners }, () => {
    const limit = createLoadLimit()
    limit.setEngines(enginesPerOwner)
    return limit
  })
}

// Guards against a limit that fits one deployment only: stores differ in the number of loads per engine that they serve at full speed.
for (const [owners, enginesPerOwner, fullSpeed] of [[3, 3, 8], [4, 2, 24], [4, 10, 104], [5, 11, 32]] as const) {
  test(`${owners} owners of ${enginesPerOwner} engines each use a store with ${fullSpeed} loads at full speed`, () => {
    const mean = playStore(fullSpeed, createLimits(owners, enginesPerOwner), 60)
    assert.ok(mean >= fullSpeed * 0.9, `only ${mean.toFixed(1)} concurrent loads`)
    assert.ok(mean <= fullSpeed * 1.5, `${mean.toFixed(1)} concurrent loads`)
  })
}

// Guards against an owner that keeps the limit of engines that it no longer has, beside the limit of their new owner.
test('the limit follows the number of engines', () => {
  const [limit] = createLimits(1, 10)
  playStore(40, [limit!], 30)
  const before = limit!.value()
  limit!.setEngines(5)
  assert.ok(Math.abs(limit!.value() - before / 2) <= 1)
})

// Guards against a limit that grows while nothing uses it, so that the first surge overloads the store.
test('a limit that delays no load does not grow', () => {
  const [limit] = createLimits(1, 4)
  const before = limit!.value()
  for (let index = 0; index < 1000; index++) limit!.loaded(usualMs)
  assert.is(limit!.value(), before)
})

// Guards against more loads than an engine accepts.
test('the limit never exceeds what the engines accept, and is never zero', () => {
  const [limit] = createLimits(1, 2)
  playStore(1000, [limit!], 30)
  assert.is(limit!.value(), 8)
  limit!.setEngines(1)
  for (let index = 0; index < 400; index++) limit!.loaded(usualMs * (index + 1))
  assert.is(limit!.value(), 1)
})

test.run()
