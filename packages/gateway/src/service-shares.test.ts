import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createServiceShares } from './service-shares'

const test = suite('service shares')

function countRetries (tryTake: () => boolean): number {
  let count = 0
  while (tryTake()) count++
  return count
}

// Guards against nodes that each keep the retries of a small fleet, or of none, that they knew when they first needed a budget.
test('retries follow the size of the fleet as it is known now', () => {
  let nodes = 1
  const shares = createServiceShares({ bounds: { retryRatio: 0.1, retrySlack: 20 }, fleetSize: () => nodes, maxConnections: () => 8 })
  const budget = shares.retryBudget('llm')
  nodes = 8
  assert.is(countRetries(budget.tryTake), 2)
  nodes = 1
  assert.is(countRetries(budget.tryTake), 0, 'a smaller fleet gives no retries at once')
  for (let request = 0; request < 100; request++) budget.recordAttempt()
  assert.is(countRetries(budget.tryTake), 8)
})

// Guards against retries beyond what operators allow now.
test('retries follow the settings as they are now', () => {
  const bounds = { retryRatio: 0.1, retrySlack: 20 }
  const budget = createServiceShares({ bounds, fleetSize: () => 1, maxConnections: () => 8 }).retryBudget('llm')
  bounds.retrySlack = 5
  assert.is(countRetries(budget.tryTake), 4)
  bounds.retryRatio = 0
  for (let request = 0; request < 100; request++) budget.recordAttempt()
  assert.is(countRetries(budget.tryTake), 0)
})

test.run()
