import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { profiles, runSoak, type ProfileName } from './run'

const seeds = [1, 2, 3]
/** Regression seeds, each of which once exposed a fault: see docs/decisions/soak-findings.md. */
const foundSeeds: Partial<Record<ProfileName, number[]>> = { default: [24], unfenced: [113], 'log-outage': [27], orders: [43] }
const steps = 5000

for (const profile of Object.keys(profiles) as ProfileName[]) {
  test(`no invariant is violated under the faults of the profile ${profile}`, () => {
    for (const seed of [...seeds, ...foundSeeds[profile] ?? []]) {
      const { violations } = runSoak({ seed, steps, profile })
      assert.equal(violations.map(({ invariant, detail }) => `seed ${seed}: ${invariant}: ${detail}`), [])
    }
  })
}

test.run()
