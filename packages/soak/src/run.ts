/** One run: a seeded world with faults, until the steps are done or an invariant is violated. */
import type { InvariantName, Violation } from './checker'
import { createCluster, type Cluster } from './cluster'
import { createFaults, type FaultName } from './faults'
import type { Mutation } from './mutants'
import { createWorkload, type Workload, type WorkloadRates } from './workload'
import { createWorld, type World } from './world'

export type ProfileName = 'default' | 'unfenced' | 'log-outage' | 'orders'

export type Profile = {
  engines: number
  fencedEngines: number
  rates: WorkloadRates
  faultMeanMs: number
  weights: Partial<Record<FaultName, number>>
}

const usualRates: WorkloadRates = { completionMs: 150, orderMs: 500, changeMs: 2000 }

export const profiles: Record<ProfileName, Profile> = {
  default: { engines: 3, fencedEngines: 2, rates: usualRates, faultMeanMs: 1200, weights: {} },
  unfenced: {
    engines: 3,
    fencedEngines: 0,
    rates: { ...usualRates, orderMs: 3000 },
    faultMeanMs: 1200,
    weights: { pause: 4, 'pause-before-step': 4, 'pause-after-step': 6, crash: 2, 'late-command': 4, 'late-append': 2 }
  },
  'log-outage': {
    engines: 3,
    fencedEngines: 2,
    rates: { ...usualRates, changeMs: 500 },
    faultMeanMs: 1500,
    weights: { 'log-outage': 10, 'late-duplicates': 4, 'cut-log': 4, crash: 2, 'lost-append-answer': 3, 'late-append': 3, 'lost-read': 3, 'record-expiry': 3 }
  },
  orders: {
    engines: 2,
    fencedEngines: 2,
    rates: { completionMs: 2000, orderMs: 60, changeMs: 5000 },
    faultMeanMs: 800,
    weights: { 'lost-append-answer': 4, 'lost-append': 4, 'late-append': 6, 'pause-after-step': 4, 'pause-before-step': 4, 'lost-order-answer': 3, 'late-order': 3, 'record-expiry': 2 }
  }
}

export type SoakOptions = {
  seed: number
  steps: number
  profile: ProfileName
  /** Breaks a rule, to show that the checks notice. */
  mutation?: Mutation
  nodes?: number
  /** Keeps the events; a run without them is faster and otherwise the same. */
  trace?: boolean
}

export type SoakResult = {
  seed: number
  steps: number
  virtualMs: number
  elapsedMs: number
  faults: Record<string, number>
  checks: Readonly<Record<InvariantName, number>>
  totals: Record<string, number>
  violations: readonly Violation[]
  /** Faults and events related to the first violation. */
  events: string[]
  /** Equal for two runs exactly when they were the same. */
  digest: string
}

const nodeCount = 4
const syncEveryMs = 500
const eventLines = 80

type Parts = { world: World, cluster: Cluster, workload: Workload, faults: ReturnType<typeof createFaults> }

const build = (options: SoakOptions): Parts => {
  const profile = profiles[options.profile]
  const world = createWorld({ seed: options.seed, engines: profile.engines, fencedEngines: profile.fencedEngines, services: 2, trace: options.trace === true })
  const workload: Workload = createWorkload(world, () => cluster, profile.rates)
  const cluster = createCluster(world, { mutation: options.mutation ?? { hooks: {} }, finished: workload.finished, orderFinished: workload.orderFinished })
  const faults = createFaults(world, cluster, { meanMs: profile.faultMeanMs, weights: profile.weights })
  for (let index = 0; index < (options.nodes ?? nodeCount); index++) {
    cluster.start()
  }
  return { world, cluster, workload, faults }
}

const keepOracleInStep = (world: World): void => {
  world.clock.after(syncEveryMs, () => {
    world.syncOracle()
    keepOracleInStep(world)
  })
}

const advance = (world: World, steps: number): void => {
  const { clock, checker } = world
  for (let due = clock.next(); due !== undefined && world.steps < steps && !checker.stopped; due = clock.next()) {
    clock.advance(due - clock.now())
  }
}

/**
 * @param options - the seed determines the run
 * @returns what happened; a violation ends the run
 */
export const runSoak = (options: SoakOptions): SoakResult => {
  const started = performance.now()
  const { world, workload, faults } = build(options)
  const startedAt = world.clock.now()
  keepOracleInStep(world)
  workload.start()
  faults.start()
  advance(world, options.steps)
  const { checker, trace, clock } = world
  const first = checker.violations.find(({ invariant }) => invariant !== 'storm') ?? checker.violations[0]
  return {
    seed: options.seed,
    steps: world.steps,
    virtualMs: clock.now() - startedAt,
    elapsedMs: performance.now() - started,
    faults: faults.counts,
    checks: checker.counts,
    totals: workload.totals,
    violations: checker.violations,
    events: first === undefined ? [] : trace.shortened(first.ids, eventLines),
    digest: JSON.stringify([world.steps, clock.now(), faults.counts, checker.counts, workload.totals])
  }
}
