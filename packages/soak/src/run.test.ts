import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runSoak } from './run'

const steps = 3000

test('the same seed gives the same run with and without a trace, so that violations can be reproduced', () => {
  const first = runSoak({ seed: 5, steps, profile: 'default' })
  const second = runSoak({ seed: 5, steps, profile: 'default', trace: true })
  assert.is(first.digest, second.digest)
  assert.equal(first.violations, second.violations)
})

test('different seeds give different runs', () => {
  const first = runSoak({ seed: 5, steps, profile: 'default' })
  const second = runSoak({ seed: 6, steps, profile: 'default' })
  assert.is.not(first.digest, second.digest)
})

test.run()
