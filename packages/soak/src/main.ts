/** Command line of the soak: `npx tsx packages/soak/src/main.ts --seed N --steps M [--seeds K] [--profile NAME]`. */
import meow from 'meow'
import { mutantNames, searchMutant } from './mutants'
import { profiles, runSoak, type ProfileName, type SoakResult } from './run'

const cli = meow(`
  Usage: npx tsx packages/soak/src/main.ts [--seed N] [--seeds K] [--steps M] [--profile NAME]

  --seed     first seed (1)
  --seeds    number of seeds (1)
  --steps    steps per seed (5000)
  --mutants  run each mutant, which breaks one rule, and report whether the checks notice
  --profile  ${Object.keys(profiles).join(', ')} (default)
`, {
  importMeta: import.meta,
  flags: {
    seed: { type: 'number', default: 1 },
    seeds: { type: 'number', default: 1 },
    steps: { type: 'number', default: 5000 },
    mutants: { type: 'boolean', default: false },
    profile: { type: 'string', default: 'default', choices: Object.keys(profiles) }
  }
})

const addCounts = (sums: Record<string, number>, values: Readonly<Record<string, number>>): void => {
  for (const [name, value] of Object.entries(values)) {
    sums[name] = (sums[name] ?? 0) + value
  }
}

const formatCounts = (values: Record<string, number>): string => Object.entries(values).sort().map(([name, value]) => `${name} ${value}`).join(', ')

const printViolation = (result: SoakResult): void => {
  result.events.forEach(event => console.log(event))
  for (const { invariant, at, detail } of result.violations) {
    console.log(`violation of ${invariant} at ${at.toFixed(1)} with seed ${result.seed}: ${detail}`)
  }
}

const maxSeedsPerMutant = 50

const runMutants = (): void => {
  let survivors = 0
  for (const name of mutantNames) {
    const { seeds, caught } = searchMutant(name, maxSeedsPerMutant, cli.flags.steps)
    survivors += Number(caught === undefined)
    console.log(caught === undefined
      ? `${name}: not noticed in ${seeds} seeds`
      : `${name}: ${caught.invariant} noticed with seed ${seeds}: ${caught.detail.split('\n')[0]}`)
  }
  process.exitCode = survivors === 0 ? 0 : 1
}

const runSeeds = (): void => {
  const { seed, seeds, steps, profile } = cli.flags
  const faults: Record<string, number> = {}
  const checks: Record<string, number> = {}
  const totals: Record<string, number> = {}
  let stepCount = 0
  let elapsedMs = 0
  let virtualMs = 0
  const failedSeeds: number[] = []
  for (let currentSeed = seed; currentSeed < seed + seeds; currentSeed++) {
    const result = runSoak({ seed: currentSeed, steps, profile: profile as ProfileName })
    stepCount += result.steps
    elapsedMs += result.elapsedMs
    virtualMs += result.virtualMs
    addCounts(faults, result.faults)
    addCounts(checks, result.checks)
    addCounts(totals, result.totals)
    if (result.violations.length > 0) {
      failedSeeds.push(currentSeed)
      printViolation(runSoak({ seed: currentSeed, steps, profile: profile as ProfileName, trace: true }))
    }
  }
  console.log(`profile ${profile}: ${stepCount} steps of ${seeds} seeds, ${Math.round(virtualMs / 1000)} s of virtual time, ${Math.round(stepCount / elapsedMs * 1000)} steps/s`)
  console.log(`work: ${formatCounts(totals)}`)
  console.log(`faults: ${formatCounts(faults)}`)
  console.log(`checks: ${formatCounts(checks)}`)
  console.log(`violations: ${failedSeeds.length === 0 ? 'none' : `${failedSeeds.length} seeds: ${failedSeeds.join(', ')}`}`)
  process.exitCode = failedSeeds.length === 0 ? 0 : 1
}

if (cli.flags.mutants) {
  runMutants()
} else {
  runSeeds()
}
