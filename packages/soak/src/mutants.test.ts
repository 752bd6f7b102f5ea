import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { searchMutant, type MutantName } from './mutants'

/** The other mutants need more seeds than a test has time for; `npm run soak -- --mutants` runs all of them. */
const quickMutants: MutantName[] = [
  'dispatch-to-wrong-handle', 'skip-sequence-check', 'refuse-unknown-as-not-run', 'skip-claim-read-back', 'send-orders-twice', 'exit-at-once', 'ignore-changes'
]

for (const name of quickMutants) {
  test(`the checks detect the mutant ${name}`, () => {
    const { caught, seeds } = searchMutant(name, 10, 5000)
    assert.ok(caught !== undefined, `not noticed in ${seeds} seeds`)
  })
}

test.run()
