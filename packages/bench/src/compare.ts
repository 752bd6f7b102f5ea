/** Runs the policies of the benchmark on one workload. */
import type { RunResult } from './metrics'
import { policies } from './policies'
import { runPolicy } from './runner'
import type { Workload } from './workload'

export type Comparison = { workload: string, seed: number, results: Record<string, RunResult> }

/** @param names policies to run; all by default */
export const compare = (workload: Workload, seed: number, names: string[] = Object.keys(policies)): Comparison => ({
  workload: workload.name,
  seed,
  results: Object.fromEntries(names.map((name) => [name, runPolicy(workload, policies[name]!, seed)]))
})

export const median = (values: number[]): number => [...values].sort((a, b) => a - b)[values.length >> 1]!

type AimResult = { aim: string, bound: number, measured: number, met: boolean }

/** Compares the medians over all seeds with the aims for the rainy workload. */
export const evaluateAims = (runs: Comparison[], className: string): AimResult[] => {
  const medianOf = (policy: string, value: (result: RunResult) => number): number => median(runs.map(({ results }) => value(results[policy]!)))
  const stall = (result: RunResult): number => result.classes[className]!.stallSeconds
  const p95 = (result: RunResult): number => result.classes[className]!.stallP95Ms
  const efficiency = (result: RunResult): number => result.batchEfficiency
  const atMost = (aim: string, bound: number, measured: number): AimResult => ({ aim, bound, measured, met: measured <= bound })
  const atLeast = (aim: string, bound: number, measured: number): AimResult => ({ aim, bound, measured, met: measured >= bound })
  const classes = Object.keys(runs[0]!.results.current!.classes)
  const baselines = ['fcfs-lru', 'affinity-lru']
  const attained = (policy: string, name: string): number => medianOf(policy, (result) => result.classes[name]!.attained)
  const ratio = (a: number, b: number): number => Math.round(1000 * a / b) / 1000
  return [
    atMost(`total ${className} stall / affinity-lru`, 0.5, ratio(medianOf('current', stall), medianOf('affinity-lru', stall))),
    atMost(`total ${className} stall / known-arrivals`, 1.3, ratio(medianOf('current', stall), medianOf('known-arrivals', stall))),
    atMost(`p95 ${className} stall / affinity-lru`, 0.5, ratio(medianOf('current', p95), medianOf('affinity-lru', p95))),
    atLeast('batch efficiency / fcfs-lru', 1.25, ratio(medianOf('current', efficiency), medianOf('fcfs-lru', efficiency))),
    ...classes.map((name) => atLeast(`attainment of ${name}, best baseline`, Math.max(...baselines.map((policy) => attained(policy, name))), attained('current', name)))
  ]
}
