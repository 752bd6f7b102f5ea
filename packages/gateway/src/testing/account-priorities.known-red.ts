import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { simulateAccounts } from './account-load'

const test = suite('priorities of accounts under load')

// Guards against urgent requests that lose to less urgent ones with a later objective.
test('reviews are not served less often than drafts by more than five points', () => {
  for (const { classShares } of [simulateAccounts(3), simulateAccounts(1, { account: 0, factor: 7.5 })]) {
    assert.ok(classShares['review']! >= classShares['draft']! - 0.05, JSON.stringify(classShares))
  }
})

test.run()
