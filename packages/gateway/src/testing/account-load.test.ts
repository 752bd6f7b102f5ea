import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { simulateAccounts, type LoadSummary } from './account-load'

const test = suite('accounts under load')

const flooded = { account: 2, factor: 7.5 }
const busy = 1.5
const summaries = new Map<string, LoadSummary>()

function summary (name: string, simulate: () => LoadSummary): LoadSummary {
  const known = summaries.get(name) ?? simulate()
  summaries.set(name, known)
  return known
}

const withFlood = (): LoadSummary => summary('flood', () => simulateAccounts(busy, flooded))
const surge = (): LoadSummary => summary('surge', () => simulateAccounts(3))

// Guards against refusals of accounts while there is room for all.
test('nothing is refused while there is room', () => {
  assert.is(simulateAccounts(1).servedShare, 1)
})

// Guards against an account that floods at the expense of others.
test('the others lose less than five points when one account sends 7.5 times its usual rate', () => {
  const usual = simulateAccounts(busy)
  assert.ok(withFlood().othersShare(flooded.account) > usual.othersShare(flooded.account) - 0.05)
})

// Guards against an account that gets almost nothing because it is large or floods.
test('no account is served less than a quarter as often as all together', () => {
  for (const { servedShares, servedShare } of [withFlood(), surge()]) assert.ok(Math.min(...servedShares) >= servedShare / 4)
})

// Guards against a Retry-After at which callers are refused again.
test('most callers that come back after Retry-After get in', () => {
  for (const { retries } of [withFlood(), surge()]) assert.ok(retries.granted > 0.8 * retries.sent, `${retries.granted} of ${retries.sent}`)
})

// Guards against urgent requests that lose to less urgent ones.
test('a more urgent priority is not served less often than a less urgent one by more than five points', () => {
  const { classShares } = withFlood()
  const [query, review, draft] = [classShares['query']!, classShares['review']!, classShares['draft']!]
  assert.ok(query >= review - 0.05 && query >= draft - 0.05 && review >= draft - 0.05, JSON.stringify(classShares))
})

test.run()
