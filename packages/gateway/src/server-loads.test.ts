import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { createServerLoads, type ServerLoads } from './server-loads'
import { createServicePool } from './service-pool'
import { cases, earlierChoice } from './testing/plain-load-cases'
import { meanOfPlays } from './testing/plain-load-model'

const test = suite('server loads')

const server = (id: string, slots = 6): BackendServer => ({ id, bornAt: 1, service: 'svc', address: id, zone: 'a', state: 'ready', slots, models: [] })
const servers = [server('first'), server('second'), server('third')]

/** Sends requests one after another, 100 ms apart. */
function countChosen (loads: ServerLoads, candidates: readonly BackendServer[], count: number, durationMs: (id: string) => number, from = 0): Record<string, number> {
  const chosen: Record<string, number> = {}
  for (let index = 0; index < count; index++) {
    const now = from + index * 100
    const { id } = loads.choose(candidates, 'a', (index % 10) / 10, now)!
    loads.started(id)
    loads.ended(id)
    loads.measured(id, durationMs(id), now)
    chosen[id] = (chosen[id] ?? 0) + 1
  }
  return chosen
}

// Guards against differences between servers that add up over time.
test('gives equal servers the same number of requests', () => {
  const chosen = countChosen(createServerLoads(), servers, 300, () => 50)
  for (const { id } of servers) assert.ok(Math.abs(chosen[id]! - 100) <= 4, JSON.stringify(chosen))
})

// Guards against shares that ignore how many requests a server can run at once, or how fast.
test('follows slots and speed', () => {
  const bySlots = countChosen(createServerLoads(), [server('first', 2), server('second', 6)], 400, () => 50)
  assert.ok(Math.abs(bySlots['second']! - 300) <= 10, JSON.stringify(bySlots))
  const bySpeed = countChosen(createServerLoads(), [server('first'), server('second')], 400, id => id === 'first' ? 150 : 50)
  assert.ok(Math.abs(bySpeed['second']! - 300) <= 15, JSON.stringify(bySpeed))
})

// Guards against nodes that all send their next requests to a server that was added or left out for a while.
test('does not make up for the time in which a server was left out', () => {
  const loads = createServerLoads()
  countChosen(loads, servers.slice(0, 2), 200, () => 50)
  const chosen = countChosen(loads, servers, 30, () => 50, 20_000)
  assert.ok(chosen['third']! >= 6 && chosen['third']! <= 14, JSON.stringify(chosen))
})

// Guards against a queue that keeps growing, and against a share that stays small after the queue has gone.
test('reduces the share of a server while its requests wait', () => {
  const loads = createServerLoads()
  countChosen(loads, servers, 60, () => 50)
  const waiting = countChosen(loads, servers, 60, id => id === 'first' ? 250 : 50, 6000)
  assert.ok(waiting['first']! <= 14, JSON.stringify(waiting))
  countChosen(loads, servers, 30, () => 50, 12_000)
  const after = countChosen(loads, servers, 60, () => 50, 15_000)
  assert.ok(after['first']! >= 17, JSON.stringify(after))
})

for (const [name, before] of Object.entries(earlierChoice)) {
  // Guards against servers that are overloaded in turns while others of the service are idle.
  test(`spreads the load more evenly than the own zone's server: ${name}`, () => {
    const result = meanOfPlays(cases[name as keyof typeof cases], createServicePool, 6)
    const figures = JSON.stringify({ name, result, before })
    assert.ok(result.largestOverMean < before.largestOverMean, figures)
    assert.ok(result.needlessRefusals < 0.01 && result.needlessRefusals <= before.needlessRefusals / 5, figures)
    assert.ok(result.needlessWaits < before.needlessWaits, figures)
    assert.ok(result.served >= before.served - 0.001, figures)
    assert.ok(result.firstTry >= before.firstTry, figures)
    assert.ok(result.sendings <= before.sendings + 0.002, figures)
    // Beyond the capacity of all servers, where every request waits, the way to another zone makes some of them late.
    assert.ok(result.onTime >= before.onTime - (before.served < 0.99 ? 0.02 : 0), figures)
  })
}

// Guards against a server that gets no requests for thousands of choices because its first one met a cold start.
test('a server whose first response was slow is measured again soon', () => {
  const loads = createServerLoads()
  countChosen(loads, servers, 30, id => id === 'first' ? 10_000 : 10)
  assert.ok((countChosen(loads, servers, 300, () => 10, 3000)['first'] ?? 0) > 0)
})

test.run()
