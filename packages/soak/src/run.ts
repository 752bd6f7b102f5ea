/** Runs one seeded simulation with faults until it reaches its number of steps or violates an invariant. */
import type { InvariantName, Violation } from './checker'
import { createCluster, type Cluster } from './cluster'
import { createFaults, type FaultName } from './faults'
import type { Mutation } from './mutation'
import { createSimEnvironment, type SimEnvironment } from './sim-environment'
import { createWorkload, type Workload, type WorkloadRates } from './workload'

export type ProfileName = 'default' | 'unfenced' | 'log-outage' | 'orders'

export type Profile = {
  engines: number
  /** Number of engines that check fencing tokens. */
  fencedEngines: number
  rates: WorkloadRates
  meanFaultIntervalMs: number
  faultWeights: Partial<Record<FaultName, number>>
}

const defaultRates: WorkloadRates = { completionIntervalMs: 150, orderIntervalMs: 500, changeIntervalMs: 2000 }

export const profiles: Record<ProfileName, Profile> = {
  default: { engines: 3, fencedEngines: 2, rates: defaultRates, meanFaultIntervalMs: 1200, faultWeights: {} },
  unfenced: {
    engines: 3,
    fencedEngines: 0,
    rates: { ...defaultRates, orderIntervalMs: 3000 },
    meanFaultIntervalMs: 1200,
    faultWeights: { pause: 4, 'pause-before-step': 4, 'pause-after-step': 6, crash: 2, 'late-command': 4, 'late-append': 2 }
  },
  'log-outage': {
    engines: 3,
    fencedEngines: 2,
    rates: { ...defaultRates, changeIntervalMs: 500 },
    meanFaultIntervalMs: 1500,
    faultWeights: { 'log-outage': 10, 'late-duplicates': 4, 'cut-log': 4, crash: 2, 'lost-append-answer': 3, 'late-append': 3, 'lost-read': 3, 'record-expiry': 3 }
  },
  orders: {
    engines: 2,
    fencedEngines: 2,
    rates: { completionIntervalMs: 2000, orderIntervalMs: 60, changeIntervalMs: 5000 },
    meanFaultIntervalMs: 800,
    faultWeights: { 'lost-append-answer': 4, 'lost-append': 4, 'late-append': 6, 'pause-after-step': 4, 'pause-before-step': 4, 'lost-order-answer': 3, 'late-order': 3, 'record-expiry': 2 }
  }
}

export type SoakOptions = {
  seed: number
  steps: number
  profile: ProfileName
  /** Breaks a rule, to test that the checks detect it. */
  mutation?: Mutation
  nodes?: number
  /** Records events for a report. A run without them is faster and otherwise identical. */
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
  /** Two runs with the same digest had the same steps, time, faults, checks and totals. */
  digest: string
}

const nodeCount = 4
const oracleSyncIntervalMs = 500
const maxEventLines = 80

type Simulation = { sim: SimEnvironment, cluster: Cluster, workload: Workload, faults: ReturnType<typeof createFaults> }

const createSimulation = (options: SoakOptions): Simulation => {
  const profile = profiles[options.profile]
  const sim = createSimEnvironment({ seed: options.seed, engines: profile.engines, fencedEngines: profile.fencedEngines, services: 2, trace: options.trace === true })
  const workload: Workload = createWorkload(sim, () => cluster, profile.rates)
  const cluster = createCluster(sim, { mutation: options.mutation ?? { hooks: {} }, finished: workload.finished, orderFinished: workload.orderFinished })
  const faults = createFaults(sim, cluster, { meanIntervalMs: profile.meanFaultIntervalMs, weights: profile.faultWeights })
  for (let index = 0; index < (options.nodes ?? nodeCount); index++) {
    cluster.start()
  }
  return { sim, cluster, workload, faults }
}

const scheduleOracleSync = (sim: SimEnvironment): void => {
  sim.clock.after(oracleSyncIntervalMs, () => {
    sim.syncOracle()
    scheduleOracleSync(sim)
  })
}

const advanceClock = (sim: SimEnvironment, steps: number): void => {
  const { clock, checker } = sim
  for (let due = clock.next(); due !== undefined && sim.steps < steps && !checker.stopped; due = clock.next()) {
    clock.advance(due - clock.now())
  }
}

/**
 * @param options - the seed determines the run
 * @returns the counters and violations; any violation except a storm ends the run
 */
export const runSoak = (options: SoakOptions): SoakResult => {
  const realStartMs = performance.now()
  const { sim, workload, faults } = createSimulation(options)
  const virtualStartMs = sim.clock.now()
  scheduleOracleSync(sim)
  workload.start()
  faults.start()
  advanceClock(sim, options.steps)
  const { checker, trace, clock } = sim
  const first = checker.violations.find(({ invariant }) => invariant !== 'storm') ?? checker.violations[0]
  return {
    seed: options.seed,
    steps: sim.steps,
    virtualMs: clock.now() - virtualStartMs,
    elapsedMs: performance.now() - realStartMs,
    faults: faults.counts,
    checks: checker.counts,
    totals: workload.totals,
    violations: checker.violations,
    events: first === undefined ? [] : trace.relevantLines(first.ids, maxEventLines),
    digest: JSON.stringify([sim.steps, clock.now(), faults.counts, checker.counts, workload.totals])
  }
}
