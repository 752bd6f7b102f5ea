import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { rankOwners } from '../engine-choice'
import { limitWindowMs, simulateLoad, type SimulatedLoad, type SimulationResult } from './load-simulation'

const test = suite('gateway under load')

/** Drafts with long prompts and questions with long responses, for far more adapters than adapter slots. */
const officeLoad: SimulatedLoad = {
  seed: 1,
  seconds: 20,
  zones: ['a', 'b', 'c'],
  enginesPerZone: 3,
  ownersPerZone: 1,
  adapterSlots: 8,
  adapters: 3000,
  skew: 1.2,
  fullSpeedColdLoads: 8,
  coldLoadMs: 250,
  statusIntervalMs: 250,
  sendsPauseLimit: true,
  classes: [
    { name: 'draft', perSecond: 15, sharedParts: [{ tokens: 2520, texts: 3 }, { tokens: 3780, texts: 57 }], ownTokens: 2890, outputTokens: 50, priority: 2, objectiveMs: 1000, deadlineMs: 6000, worth: 2, lateWorth: 0.6 },
    { name: 'question', perSecond: 15, sharedParts: [{ tokens: 200, texts: 30 }], ownTokens: 630, outputTokens: 290, priority: 0, objectiveMs: 800, deadlineMs: 15_000, worth: 1, lateWorth: 0.3 }
  ]
}

const unevenSpeeds = { speeds: [0.55, 1.2, 1.2, 1.2], slowPeriods: { factor: 2.5, share: 0.15, periodMs: 600 } }

const seeds = [1, 2, 3]

function simulateSeeds (overrides: Partial<SimulatedLoad>): SimulationResult[] {
  return seeds.map(seed => simulateLoad({ ...officeLoad, ...overrides, seed }))
}

function total (results: SimulationResult[], value: (result: SimulationResult) => number): number {
  return results.reduce((sum, result) => sum + value(result), 0)
}

// Guards against streams that pause while an engine prefills one prompt after the other.
test('streams pause less and clients get more when prefill has breaks', () => {
  const paused = (result: SimulationResult): number => result.classes['question']!.paused
  const [limited, unlimited] = [simulateSeeds({}), simulateSeeds({ sendsPauseLimit: false })]
  assert.ok(total(limited, paused) < total(unlimited, paused) / 2, `${total(limited, paused)} against ${total(unlimited, paused)} paused`)
  assert.ok(total(limited, ({ worthShare }) => worthShare) > total(unlimited, ({ worthShare }) => worthShare))
})

// Guards against a replica and a load from the weight store in each zone for adapters that are rarely used.
test('rare adapters are loaded less often when all nodes prefer the same owner', () => {
  const [preferred, nearest] = [simulateSeeds({}), simulateSeeds({ rank: (engines, demand, zone) => rankOwners(engines, demand, zone, Infinity) })]
  assert.ok(total(preferred, ({ coldLoads }) => coldLoads) < total(nearest, ({ coldLoads }) => coldLoads))
  assert.ok(total(preferred, ({ worthShare }) => worthShare) >= total(nearest, ({ worthShare }) => worthShare) - 0.01 * seeds.length)
})

// Guards against refusals while engines have capacity, and against lost requests.
test('a light load is served without refusals, and every request has a result', () => {
  for (const result of simulateSeeds({ classes: officeLoad.classes.map(cls => ({ ...cls, perSecond: cls.perSecond / 5 })) })) {
    for (const { submitted, onTime, late, refused, failed } of Object.values(result.classes)) {
      assert.is(onTime + late + refused + failed, submitted)
      assert.is(refused + failed, 0)
    }
  }
})

// Guards against engines that get more than they state, and against leaving them unused.
test('engines get no more than the limit that they state, and clients get more than without these engines', () => {
  const limit = { enginesPerZone: 1, requestsPerSecond: 1, from: 5000, until: 15_000 }
  const allowed = 1.5 * limit.requestsPerSecond * limitWindowMs / 1000 + 5
  const [limited, unused] = [simulateSeeds({ limit }), simulateSeeds({ limit: { ...limit, requestsPerSecond: 0.001 } })]
  for (const { mostUnderLimit } of limited) assert.ok(mostUnderLimit <= allowed, `${mostUnderLimit} requests in ${limitWindowMs} ms, ${allowed} allowed`)
  assert.ok(total(limited, ({ worthShare }) => worthShare) > total(unused, ({ worthShare }) => worthShare))
})

// Guards against engines of unequal speed, slow in periods of 0.6 s, that get the same work, and against requests that are late for it.
test('work follows the speed of the engines', () => {
  const results = simulateSeeds({ adapterSlots: 7, enginesPerZone: 4, classes: officeLoad.classes.map(cls => ({ ...cls, perSecond: cls.perSecond * 1.2 })), speeds: unevenSpeeds })
  const workOf = (index: number): number => total(results, ({ engines }) => Object.entries(engines).filter(([id]) => id.endsWith(`-e${index}`)).reduce((sum, [, { workMs }]) => sum + workMs, 0))
  const share = workOf(0) / ((workOf(1) + workOf(2) + workOf(3)) / 3) / (unevenSpeeds.speeds[0]! / unevenSpeeds.speeds[1]!)
  assert.ok(share > 0.9 && share < 1.1, `${share} of the work that its speed allows`)
})

// Guards against new work for an engine that has become slow, and against one that stays without work after it has recovered.
test('an engine that turns slow sheds new work within a second and gets it back', () => {
  // Which engine has the popular adapters differs with the seed, so the shares are means over several seeds, against an even share.
  const results = [1, 2, 3, 4, 5, 6].map(seed => simulateLoad({ ...officeLoad, seed, seconds: 30, speeds: { speeds: [1], change: { factor: 2.5, from: 10_000, until: 16_000 } } }))
  const relativeShare = (from: number, until: number): number => {
    const count = (suffix: string): number => total(results, ({ engines }) => Object.entries(engines).filter(([id]) => id.endsWith(suffix)).reduce((sum, [, { arrivals }]) => sum + arrivals.filter(at => at >= from && at < until).length, 0))
    return count('-e0') / count('') * officeLoad.enginesPerZone
  }
  const [before, slow, after] = [relativeShare(3000, 10_000), relativeShare(11_000, 13_000), relativeShare(21_000, 30_000)]
  assert.ok(before > 0.85, `${before} before`)
  assert.ok(slow < before * 0.8, `${slow} while slow, ${before} before`)
  assert.ok(after > 0.85, `${after} after`)
})

test.run()
