/**
 * Compares methods of concurrency control for configuration changes under random concurrent
 * operators: `npx tsx packages/bench/src/config-concurrency.ts --seed N`.
 */
import { isDeepStrictEqual } from 'node:util'
import meow from 'meow'
import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand'
import { createConfigReducer, PerKeyControl, PerKeyReadSetControl, validateConfig, WholeDocumentControl, type ConfigChange, type ConcurrencyControl, type ConfigReducer, type ConfigView, type RevisionView } from '@yuccawharf/coordination'

/** Baseline without concurrency control: shows that the workload loses updates when nothing prevents it. */
class LastWriterWins implements ConcurrencyControl {
  readonly name = 'none (last writer wins)'
  readonly validatesResult = false

  conflictingKey (): undefined {
    return undefined
  }
}

/** Separates the effect of the read set from that of full validation. */
class PerKeyValidatedControl implements ConcurrencyControl {
  readonly name = 'per key with full validation'
  readonly validatesResult = true
  private readonly perKey = new PerKeyControl()

  conflictingKey (change: ConfigChange, view: RevisionView): string | undefined {
    return this.perKey.conflictingKey(change, view)
  }
}

type Counts = {
  accepted: number
  rejected: number
  /** Accepted writes over a newer value that the operator had not seen. */
  lostUpdates: number
  /** Accepted changes after which an adapter lacks its model. */
  brokenReferences: number
  /** Accepted changes whose premise no longer held: the other class of a pair, the model or the copied target. */
  brokenPremises: number
  /** Rejected changes that would have lost no update and broken neither a reference nor their premise. */
  needless: number
}

const modelCount = 12
const adapterCount = 120
const pairCount = 12
const classCount = 24

const randomClass = (random: RandomGenerator): unknown => ({ firstTokenMs: pick(random, 5000) + 1, attainment: 0.95 })
const pick = (random: RandomGenerator, size: number): number => unsafeUniformIntDistribution(0, size - 1, random)

/** Skewed: half of the picks are limited to the first eighth of the names. */
const pickSkewed = (random: RandomGenerator, size: number): number =>
  pick(random, 2) === 0 ? pick(random, Math.ceil(size / 8)) : pick(random, size)

type Draft = {
  writes: Record<string, unknown>
  reads: string[]
  /** Whether the operator would still make the change; always if absent. */
  premise?: (view: ConfigView) => boolean
}
type Submission = { change: ConfigChange, premise: (view: ConfigView) => boolean }
type Operation = (view: ConfigView, random: RandomGenerator) => Draft | undefined

const retargetClass: Operation = (_view, random) => {
  const key = `class/work-${pickSkewed(random, classCount)}`
  return { writes: { [key]: randomClass(random) }, reads: [key] }
}

/** Copies the target of another class. */
const copyClass: Operation = (view, random) => {
  const source = `class/work-${pickSkewed(random, classCount)}`
  const target = `class/work-${pick(random, classCount)}`
  const value = view.get(source)
  return value === undefined || source === target ? undefined : { writes: { [target]: value }, reads: [source], premise: current => isDeepStrictEqual(current.get(source), value) }
}

const publishAdapter: Operation = (view, random) => {
  const key = `adapter/a-${pickSkewed(random, adapterCount)}`
  const model = `m-${pick(random, modelCount)}`
  return view.get(`model/${model}`) === undefined
    ? undefined
    : {
        writes: { [key]: { model, versions: [String(pick(random, 1000))] } },
        reads: [`model/${model}`],
        premise: current => current.get(`model/${model}`) !== undefined
      }
}

const removeAdapter: Operation = (view, random) => {
  const key = `adapter/a-${pick(random, adapterCount)}`
  return view.get(key) === undefined ? undefined : { writes: { [key]: null }, reads: [] }
}

const adaptersOf = (view: ConfigView, model: string): string[] =>
  [...view.keys()].filter(key => key.startsWith('adapter/') && (view.get(key) as { model: string }).model === model)

/** Removes a model together with the adapters that the operator sees. */
const removeModel: Operation = (view, random) => {
  const model = `m-${pick(random, modelCount)}`
  if (view.get(`model/${model}`) === undefined) {
    return undefined
  }
  const keys = [`model/${model}`, ...adaptersOf(view, model)]
  return { writes: Object.fromEntries(keys.map(key => [key, null])), reads: [] }
}

const addModel: Operation = (view, random) => {
  const key = `model/m-${pick(random, modelCount)}`
  return view.get(key) === undefined ? { writes: { [key]: { group: 'g' } }, reads: [] } : undefined
}

/** Removes one class of a pair when the other exists, or restores a missing one. */
const changePair: Operation = (view, random) => {
  const pair = pick(random, pairCount)
  const [own, other] = pick(random, 2) === 0 ? ['a', 'b'] : ['b', 'a']
  const ownKey = `class/pair-${pair}-${own}`
  const otherKey = `class/pair-${pair}-${other}`
  if (view.get(ownKey) === undefined) {
    return { writes: { [ownKey]: randomClass(random) }, reads: [] }
  }
  return view.get(otherKey) === undefined
    ? undefined
    : { writes: { [ownKey]: null }, reads: [otherKey], premise: current => current.get(otherKey) !== undefined }
}

const operations: [number, Operation][] = [
  [30, retargetClass], [10, copyClass], [34, publishAdapter], [6, removeAdapter], [2, removeModel], [6, addModel], [12, changePair]
]

const draftChange = (view: ConfigView, random: RandomGenerator): Draft => {
  for (;;) {
    let remaining = pick(random, 100)
    const [, operation] = operations.find(([weight]) => (remaining -= weight) < 0) as [number, Operation]
    const draft = operation(view, random)
    if (draft !== undefined) {
      return draft
    }
  }
}

const adaptersWithoutModel = (view: ConfigView): Set<string> => new Set([...view.keys()].filter(key =>
  key.startsWith('adapter/') && view.get(`model/${(view.get(key) as { model: string }).model}`) === undefined))

const hasNew = (after: Set<string>, before: Set<string>): boolean => [...after].some(key => !before.has(key))

const initialWrites = (random: RandomGenerator): Record<string, unknown> => Object.fromEntries([
  ...Array.from({ length: modelCount }, (_, index) => [`model/m-${index}`, { group: 'g' }]),
  ...Array.from({ length: pairCount * 2 }, (_, index) => [`class/pair-${index >> 1}-${index % 2 === 0 ? 'a' : 'b'}`, randomClass(random)])
])

const overwritesUnseen = (reducer: ConfigReducer, change: ConfigChange): boolean =>
  Object.keys(change.writes).some(key => (reducer.entry(key)?.revision ?? -1) > change.base)

const isValidNow = (reducer: ConfigReducer, change: ConfigChange): boolean => {
  const next: ConfigView = {
    get: key => (key in change.writes ? change.writes[key] : reducer.view.get(key)) ?? undefined,
    keys: () => new Set([...reducer.view.keys(), ...Object.keys(change.writes)])
  }
  return validateConfig(next, Object.keys(change.writes)).length === 0
}

const applySubmission = (reducer: ConfigReducer, { change, premise }: Submission, counts: Counts): void => {
  const overwrites = overwritesUnseen(reducer, change)
  const premiseHolds = premise(reducer.view)
  const harmless = !overwrites && premiseHolds && isValidNow(reducer, change)
  const before = adaptersWithoutModel(reducer.view)
  const [reduced] = reducer.apply({ offset: reducer.nextOffset, time: 0, value: change })
  if (reduced?.type !== 'change' || reduced.outcome.type !== 'accepted') {
    counts.rejected += 1
    counts.needless += Number(harmless)
    return
  }
  counts.accepted += 1
  counts.lostUpdates += Number(overwrites)
  counts.brokenReferences += Number(hasNew(adaptersWithoutModel(reducer.view), before))
  counts.brokenPremises += Number(!premiseHolds)
}

const createSubmission = (id: string, reducer: ConfigReducer, random: RandomGenerator): Submission => {
  const { writes, reads, premise = () => true } = draftChange(reducer.view, random)
  return { change: { type: 'change', id, base: reducer.nextOffset - 1, writes, reads, by: 'operator' }, premise }
}

/**
 * Operators draft changes against the configuration that they see; each draft is applied after
 * others that were drafted at the same time.
 *
 * @param control - method under test
 * @param changes - number of changes that are applied
 * @param inFlight - number of concurrent drafts
 * @param seed - same seed, same workload
 */
export const measureControl = (control: ConcurrencyControl, changes: number, inFlight: number, seed: number): Counts => {
  const random = xoroshiro128plus(seed)
  const reducer = createConfigReducer({ validate: validateConfig, control })
  reducer.apply({ offset: 0, time: 0, value: { type: 'change', id: 'start', base: -1, writes: initialWrites(random), reads: [], by: 'bench' } })
  const counts: Counts = { accepted: 0, rejected: 0, lostUpdates: 0, brokenReferences: 0, brokenPremises: 0, needless: 0 }
  const drafts: Submission[] = []
  for (let applied = 0; applied < changes; applied++) {
    while (drafts.length < inFlight) {
      drafts.push(createSubmission(`${applied}-${drafts.length}`, reducer, random))
    }
    const [submission] = drafts.splice(pick(random, drafts.length), 1)
    applySubmission(reducer, submission as Submission, counts)
  }
  return counts
}

/** @returns the methods to compare, the baseline first */
export const comparedControls = (): ConcurrencyControl[] =>
  [new LastWriterWins(), new WholeDocumentControl(), new PerKeyControl(), new PerKeyValidatedControl(), new PerKeyReadSetControl()]

const row = (cells: (string | number)[]): string => `| ${cells.join(' | ')} |`

const percent = (part: number, total: number): string => `${(100 * part / total).toFixed(1)} %`

const main = (): void => {
  const cli = meow(`
    Usage: npx tsx packages/bench/src/config-concurrency.ts [--seed N] [--changes N] [--in-flight N,N]
  `, {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      changes: { type: 'number', default: 10_000 },
      inFlight: { type: 'string', default: '2,8,32' }
    }
  })
  console.log(row(['concurrent changes', 'method', 'lost updates', 'broken references', 'broken premises', 'rejected', 'needlessly rejected']))
  console.log(row(Array.from({ length: 7 }, () => '---')))
  for (const inFlight of cli.flags.inFlight.split(',').map(Number)) {
    for (const control of comparedControls()) {
      const counts = measureControl(control, cli.flags.changes, inFlight, cli.flags.seed)
      console.log(row([
        inFlight, control.name, counts.lostUpdates, counts.brokenReferences, counts.brokenPremises,
        percent(counts.rejected, cli.flags.changes), percent(counts.needless, cli.flags.changes)
      ]))
    }
  }
}

if (process.argv[1]?.endsWith('config-concurrency.ts')) {
  main()
}
