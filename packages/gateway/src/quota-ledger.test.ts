import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { AccountQuota } from './cluster-types'
import { createQuotaClient } from './quota-client'
import { createQuotaLedger, lentValidMs, type QuotaLedger } from './quota-ledger'
import { createQuotaOwners } from './quota-owners'

const test = suite('quota decisions')

const quota: AccountQuota = { unit: 'tokens', ratePerSecond: 1000, burst: 1000, plainTokens: 200 }
const tolerance = { windowMs: 8000, overshoot: 0.1, slack: 100 }
const allowed = 0.1 * 9000 + 100

function drain (ledger: QuotaLedger, cost: number, from: number, until: number): number {
  let sum = 0
  for (let now = from; now < until; now += 5) {
    for (let decision = ledger.ask(cost, cost, 0, now); decision.type === 'lent'; decision = ledger.ask(cost, cost, 0, now)) sum += decision.tokens
  }
  return sum
}

// Guards against a new owner that gives again what its predecessor gave.
test('a new ledger holds a quarter of the tolerance, and gives rate and burst from then on', () => {
  const ledger = createQuotaLedger(quota, tolerance, { type: 'full' }, 0)
  assert.is(ledger.level(0), allowed / 4)
  assert.is(ledger.level(10_000), 1000)
  assert.ok(drain(ledger, 10, 10_000, 18_000) <= 9000)
})

// Guards against nodes that believe to be the owner for long and together exceed the limit.
test('in part mode a ledger gives no more than its share of the tolerance in any window', () => {
  for (const share of [1, 0.25]) {
    const ledger = createQuotaLedger(quota, tolerance, { type: 'part', share }, 0)
    for (const from of [0, 8000, 20_000]) assert.ok(drain(ledger, 1, from, from + 8000) <= share * (allowed - lentValidMs) + 1)
  }
})

test('a ledger that leaves full mode gives up what the tolerance does not cover', () => {
  const ledger = createQuotaLedger(quota, tolerance, { type: 'full' }, 0)
  ledger.setMode({ type: 'part', share: 1 }, 10_000)
  assert.is(ledger.level(10_000), allowed / 4)
})

// Guards against a lowered limit of which the previous burst is still given.
test('a lowered limit applies at once', () => {
  const ledger = createQuotaLedger(quota, tolerance, { type: 'full' }, 0)
  assert.is(ledger.level(5000), 1000)
  ledger.setQuota({ ...quota, ratePerSecond: 100, burst: 50 }, 5000)
  assert.ok(drain(ledger, 10, 5000, 13_000) <= 850)
})

// Guards against refusals without end, and delays after which the request is refused again.
test('a refused request is admitted after the stated time, also one above the burst', () => {
  for (const cost of [400, 5000]) {
    const ledger = createQuotaLedger(quota, tolerance, { type: 'full' }, 0)
    drain(ledger, 10, 10_000, 10_005)
    const decision = ledger.ask(cost, cost, 0, 10_005)
    assert.is(decision.type, 'over-limit')
    if (decision.type === 'over-limit') assert.equal(ledger.ask(cost, cost, 0, 10_005 + decision.retryAfterMs), { type: 'lent', tokens: cost })
  }
})

test('what is returned is lent again, up to the burst', () => {
  const ledger = createQuotaLedger(quota, tolerance, { type: 'full' }, 0)
  assert.equal(ledger.ask(900, 900, 0, 10_000), { type: 'lent', tokens: 900 })
  assert.equal(ledger.ask(500, 500, 400, 10_000), { type: 'lent', tokens: 500 })
  ledger.ask(0, 0, 1e9, 10_000)
  assert.is(ledger.level(10_000), 1000)
})

// Guards against a lent amount that is used after its time, or after the process stood still while the owner lent it again.
test('a lent amount counts until its validity ends, dated by the question, and not after a suspension', () => {
  let endedAt = -Infinity
  const client = createQuotaClient({ endedAt: () => endedAt })
  client.lent(100, lentValidMs, 1000)
  assert.ok(client.take(10, 1000 + lentValidMs - 1))
  assert.not(client.take(10, 1000 + lentValidMs))
  client.lent(100, 1e9, 2000)
  assert.not(client.take(10, 2000 + lentValidMs), 'a longer validity than that of this build')
  client.lent(100, lentValidMs, 3000)
  endedAt = 3001
  assert.not(client.take(10, 3001))
  client.lent(100, lentValidMs, 3000)
  assert.not(client.take(10, 3002), 'a reply that waited in the socket')
})

// Guards against amounts that are lent to nodes with rare requests and expire, and against a question for each request.
test('steady traffic asks in advance, a rare request for itself', () => {
  const client = createQuotaClient({ endedAt: () => -Infinity })
  client.expect(10, 0)
  assert.equal(client.question([10], 0), { needed: 10, wanted: 10, returned: 0 })
  for (let now = 5000; now < 8000; now += 10) client.expect(10, now)
  const { wanted } = client.question([10], 8000)
  assert.ok(wanted > 200 && wanted < 300, String(wanted))
})

// Guards against refunds of what did not run long ago, which would add to the present window, and against returns that count twice.
test('a recent refund returns with the next question, once', () => {
  const client = createQuotaClient({ endedAt: () => -Infinity })
  client.refund(50, 0, 100)
  client.refund(70, 0, 5000)
  assert.is(client.question([10], 101).returned, 50)
  assert.is(client.question([10], 102).returned, 0)
})

// Guards against an isolated owner that gives the whole rate while the others have replaced it.
test('an owner without contact gives a part, and the whole rate again in contact', () => {
  const names = ['b', 'c', 'd', 'e', 'f']
  const owners = createQuotaOwners('a', 0)
  owners.view(names.map(name => ({ name, zone: 'z', incarnation: 1, capacity: 1, state: 'alive' })), false, 0)
  const account = Array.from({ length: 100 }, (_, index) => `x${index}`).find(name => owners.order(name)[0] === 'a')!
  const hearAll = (now: number): void => { for (const name of names) owners.heard(name, now) }
  assert.equal(owners.mode(account, -Infinity, 1), { type: 'part', share: 1 / 6 })
  hearAll(1000)
  assert.equal(owners.mode(account, -Infinity, 1001), { type: 'full' })
  assert.is(owners.mode(account, 1001, 1002).type, 'part', 'after a suspension')
  assert.is(owners.mode(account, -Infinity, 9000).type, 'part')
  hearAll(9000)
  assert.is(owners.mode(account, -Infinity, 9001).type, 'full')
})

// Guards against a minority that takes the nodes it no longer sees for gone.
test('a minority gives a part even if it hears all that it sees', () => {
  const owners = createQuotaOwners('a', 0)
  const view = (alive: string[]) => ['b', 'c', 'd', 'e', 'f'].map(name => ({ name, zone: 'z', incarnation: 1, capacity: 1, state: alive.includes(name) ? 'alive' as const : 'dead' as const }))
  owners.view(view(['b', 'c', 'd', 'e', 'f']), false, 0)
  owners.view(view(['b']), false, 1000)
  owners.heard('b', 60_000)
  assert.is(owners.mode('x', -Infinity, 60_001).type, 'part')
})

test.run()
