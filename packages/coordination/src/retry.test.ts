import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCircuitBreaker, createRetryBudget, fullJitterDelayMs, isSafeToRetry, remainingMs, retryDelayMs } from './retry'

test('a budget of 10 % keeps retries from multiplying the load of a failing backend server', () => {
  const budget = createRetryBudget({ ratio: 0.1, burst: 5 })
  let retries = 0
  for (let request = 0; request < 1_000; request += 1) {
    budget.recordAttempt()
    retries += budget.tryTake() ? 1 : 0
  }
  assert.ok(retries >= 100 && retries <= 105, `${retries} retries of 1000 requests`)
})

test('a circuit opens after consecutive failures and then allows one probe', () => {
  const circuit = createCircuitBreaker({ failureThreshold: 3, openMs: 1_000 })
  circuit.recordFailure(0)
  circuit.recordFailure(0)
  circuit.recordSuccess()
  circuit.recordFailure(0)
  circuit.recordFailure(0)
  assert.ok(circuit.allowCall(0), 'a success in between resets the count')
  circuit.recordFailure(10)
  assert.not(circuit.allowCall(1_009))
  assert.ok(circuit.allowCall(1_010))
  assert.not(circuit.allowCall(1_010), 'a second probe would double the load on a recovering backend server')
  circuit.recordFailure(1_020)
  assert.is(circuit.state(2_019), 'open')
  assert.ok(circuit.allowCall(2_020))
  circuit.recordSuccess()
  assert.is(circuit.state(2_021), 'closed')
})

test('full jitter spreads delays over the whole range up to the limit', () => {
  assert.is(fullJitterDelayMs(0, 100, 5_000, 0), 0)
  assert.is(fullJitterDelayMs(3, 100, 5_000, 0.5), 400)
  assert.is(fullJitterDelayMs(30, 100, 5_000, 0.5), 2_500)
})

test('a call that must not run twice is never sent again once a byte may have left', () => {
  assert.not(isSafeToRetry(false, 'maybe-sent'))
  assert.not(isSafeToRetry(false, 'refused'))
  assert.ok(isSafeToRetry(false, 'not-sent'))
  assert.ok(isSafeToRetry(true, 'maybe-sent'))
})

const cfg = { baseMs: 100, maxMs: 1_000, maxRetries: 2 }
const req = { idempotent: true, progress: 'maybe-sent', attempt: 0, deadline: 1_000 } as const

test('no retry after the deadline, the last attempt or the end of the budget', () => {
  const budget = createRetryBudget({ ratio: 0.1, burst: 1 })
  assert.is(retryDelayMs(cfg, budget, { ...req, deadline: 40 }, 0.5, 0), undefined)
  assert.is(retryDelayMs(cfg, budget, { ...req, attempt: 2 }, 0.5, 0), undefined)
  assert.is(retryDelayMs(cfg, budget, req, 0.5, 0), 50)
  assert.is(retryDelayMs(cfg, budget, req, 0.5, 0), undefined)
})

test('a deadline is sent as remaining time, so that the clocks of processes need not agree', () => {
  assert.is(remainingMs(5_000, 4_000), 1_000)
  assert.is(remainingMs(5_000, 6_000), 0)
})

test.run()
