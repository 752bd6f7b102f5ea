import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { AccountQuota } from './cluster-types'
import { simulateQuota, type QuotaFaults, type QuotaSimulation, type QuotaSimulationResult } from './testing/quota-simulation'

const test = suite('quotas over many nodes')

const large: AccountQuota = { unit: 'tokens', ratePerSecond: 403_596, burst: 403_596, plainTokens: 200 }
const small: AccountQuota = { ...large, ratePerSecond: 52_000, burst: 52_000 }
const tolerance = { windowMs: 8000, overshoot: 0.1, slack: 110_000 }
const cost = 4000
const seed = Number(process.env['QUOTA_SEED'] ?? 1)
/** Use of an account whose limit is 1.8 times its usual use. */
const usualShare = 1 / 1.8

const between = (from: number, to: number, begin: (faults: QuotaFaults) => void, end: (faults: QuotaFaults) => void): QuotaSimulation['faults'] => [{ at: from, apply: begin }, { at: to, apply: end }]
const killOwner = (at: number, rank = 0): QuotaSimulation['faults'] => between(at, at + 4, faults => faults.kill(faults.owner(rank)), faults => faults.start(faults.owner(rank)))

async function simulate (name: string, quota: AccountQuota, share: number, overrides: Partial<QuotaSimulation>): Promise<QuotaSimulationResult> {
  const load: QuotaSimulation = { seed, nodes: 6, seconds: 60, quota, tolerance, perSecond: share * quota.ratePerSecond / cost, cost, faults: [], ...overrides }
  const result = await simulateQuota(load)
  const { requests, refused, unavailable, windowShare, bytesPerSecond, admittedPerSecond } = result
  console.log(JSON.stringify({ name, seed, nodes: load.nodes, rate: quota.ratePerSecond, share: Number(share.toFixed(2)), requests, refusedShare: Number((refused / requests).toFixed(4)), unavailableShare: Number((unavailable / requests).toFixed(4)), windowShare: Number(windowShare.toFixed(3)), bytesPerSecond: Math.round(bytesPerSecond), admittedOverRate: Number((admittedPerSecond / quota.ratePerSecond).toFixed(3)) }))
  return result
}

function hardFaults (nodes: number): QuotaSimulation['faults'] {
  const all = [...Array(nodes).keys()]
  const third = all.filter(index => index % 3 === 0)
  return [
    ...killOwner(10),
    ...between(18, 24, faults => faults.cut(faults.owner()), faults => faults.heal()),
    ...between(28, 36, faults => faults.cut(...third, faults.owner()), faults => faults.heal()),
    ...between(40, 43, faults => faults.suspend(faults.owner()), faults => faults.resume(faults.owner())),
    ...killOwner(48), ...killOwner(50, 1),
    ...between(58, 59, faults => faults.kill(...all), faults => faults.start(...all)),
    ...between(62, 72, faults => faults.suspend(faults.owner()), faults => faults.resume(faults.owner())),
    ...between(80, 92, faults => faults.cutLink(faults.owner(), faults.owner(1)), faults => faults.heal()),
    ...between(96, 100, faults => faults.stop(faults.owner()), faults => faults.resume(faults.owner()))
  ]
}

for (const nodes of [6, 74]) {
  // Guards against two owners, new owners and isolated nodes that together give more than the limit.
  test(`an account far above its limit stays within it while ${nodes} nodes fail`, async () => {
    for (const quota of [large, small]) {
      const result = await simulate('flood', quota, 4, { nodes, seconds: 108, faults: hardFaults(nodes) })
      assert.ok(result.windowShare <= 1, `${result.windowShare} of what is allowed`)
    }
  })

  // Guards against refusals of what is within the limit.
  test(`an account below its limit gets everything from ${nodes} calm nodes, and nearly all while some are lost`, async () => {
    for (const quota of [large, small]) {
      const calm = await simulate('calm', quota, usualShare, { nodes })
      assert.is(calm.refused + calm.unavailable, 0)
      // The owner is killed once, others are killed and cut off.
      const faults = [...killOwner(20), ...killOwner(50, 2), ...between(80, 84, faults => faults.cut(faults.owner(3)), faults => faults.heal()), ...killOwner(110, 1)]
      const lossy = await simulate('nodes lost', quota, usualShare, { nodes, seconds: 150, faults })
      assert.ok(lossy.refused + lossy.unavailable < 0.01 * lossy.requests, `${lossy.refused} and ${lossy.unavailable} of ${lossy.requests} refused`)
    }
  })
}

// Guards against a limit that is split over nodes, and against lent amounts that expire unused.
test('an account whose requests all come at one node gets its whole rate', async () => {
  const result = await simulate('one node', large, 2, { clients: [0] })
  assert.ok(result.bytesPerSecond > 0, 'the node is not the owner')
  assert.ok(result.admittedPerSecond > 0.97 * large.ratePerSecond, `${result.admittedPerSecond}`)
})

test.run()
