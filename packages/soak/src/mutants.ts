/**
 * Mutants: each breaks one rule of a guarantee from outside the product, by a hook that the daemon
 * never sets or by a wrapper, so that a run can show that the checks notice.
 */
import type { CoreAction, CoreEvent, CoreHooks, Refusal } from '@yuccawharf/node'
import type { InvariantName, Violation } from './checker'
import type { NodeUnderTest } from './sim-process'
import { runSoak, type ProfileName } from './run'

export type Mutation = {
  hooks: CoreHooks
  /** Replaces the node that the shells drive. */
  wrap?: (node: NodeUnderTest) => NodeUnderTest
  /** The shells take the pieces of a response as they arrive, without the relay's check of their sequence. */
  skipSequenceCheck?: boolean
}

export type Mutant = Mutation & {
  profile: ProfileName
  /** Invariants that the missing rule protects. */
  breaks: InvariantName[]
}

/** Detection is left to the checks of the soak, not to the assertions of the product. */
const withoutAssertions = { skipAssertions: true }

const asNotRun = (refusal: Refusal): Refusal => refusal.outcome === 'unknown' ? { ...refusal, outcome: 'not-run' } : refusal

const withNotRunOutcome = (action: CoreAction): CoreAction => {
  if (action.type === 'refuse') {
    return { ...action, refusal: asNotRun(action.refusal) }
  }
  if (action.type === 'order-result' && action.result.type === 'refused') {
    return { ...action, result: { type: 'refused', refusal: asNotRun(action.result.refusal) } }
  }
  return action
}

const refusingUnknownAsNotRun = (node: NodeUnderTest): NodeUnderTest =>
  ({ step: (event, now) => node.step(event, now).map(withNotRunOutcome) })

const exitingAtOnce = (node: NodeUnderTest): NodeUnderTest => ({
  step (event, now) {
    const actions = node.step(event, now)
    return event.type === 'drain' ? [...actions, { type: 'ready-to-exit' }] : actions
  }
})

const carriesConfig = (event: CoreEvent): boolean =>
  (event.type === 'log-page' && event.stream === 'config') ||
  (event.type === 'message' && event.envelope.message.type === 'config-state')

/** A node that never learns of changes after its start. */
const ignoringChanges = (node: NodeUnderTest): NodeUnderTest => {
  let startedAt: number | undefined
  return {
    step (event, now) {
      startedAt ??= now
      return carriesConfig(event) && now - startedAt > 5000 ? [] : node.step(event, now)
    }
  }
}

/** Passes the first call of each order on twice, as a shell without a memory of its calls would. */
const sendingOrdersTwice = (node: NodeUnderTest): NodeUnderTest => ({
  step: (event, now) => node.step(event, now).flatMap((action): CoreAction[] => action.type === 'send-order' ? [action, action] : [action])
})

export const mutants = {
  'dispatch-to-wrong-handle': { profile: 'default', breaks: ['P1'], hooks: { ...withoutAssertions, dispatchToWrongHandle: true } },
  'evict-pinned': { profile: 'unfenced', breaks: ['P2'], hooks: { ...withoutAssertions, evictPinned: true } },
  'skip-intent-read-back': { profile: 'unfenced', breaks: ['P2'], hooks: { ...withoutAssertions, skipIntentReadBack: true } },
  'skip-sequence-check': { profile: 'default', breaks: ['P3'], hooks: withoutAssertions, skipSequenceCheck: true },
  'refuse-unknown-as-not-run': { profile: 'default', breaks: ['P4'], hooks: withoutAssertions, wrap: refusingUnknownAsNotRun },
  'skip-claim-read-back': { profile: 'orders', breaks: ['P5'], hooks: { ...withoutAssertions, skipClaimReadBack: true } },
  'send-after-give-up': { profile: 'orders', breaks: ['P4', 'P5'], hooks: { ...withoutAssertions, sendAfterGiveUp: true } },
  'send-orders-twice': { profile: 'orders', breaks: ['P5'], hooks: withoutAssertions, wrap: sendingOrdersTwice },
  'ignore-leaving': { profile: 'default', breaks: ['P6'], hooks: { ...withoutAssertions, ignoreLeaving: true } },
  'exit-at-once': { profile: 'default', breaks: ['P7'], hooks: withoutAssertions, wrap: exitingAtOnce },
  'accept-older-config': { profile: 'log-outage', breaks: ['P8'], hooks: { ...withoutAssertions, acceptOlderConfig: true } },
  'ignore-changes': { profile: 'default', breaks: ['P8'], hooks: withoutAssertions, wrap: ignoringChanges }
} as const satisfies Record<string, Mutant>

export type MutantName = keyof typeof mutants
export const mutantNames = Object.keys(mutants) as MutantName[]

export type MutantSearch = {
  name: MutantName
  /** Seeds that ran. */
  seeds: number
  caught: Violation | undefined
}

/**
 * Runs a mutant until a check of an invariant that it breaks fails.
 *
 * @param name - the mutant
 * @param maxSeeds - seeds to try, from 1
 * @param steps - steps per seed
 */
export const searchMutant = (name: MutantName, maxSeeds: number, steps: number): MutantSearch => {
  const mutant: Mutant = mutants[name]
  for (let seed = 1; seed <= maxSeeds; seed++) {
    const { violations } = runSoak({ seed, steps, profile: mutant.profile, mutation: mutant })
    const caught = violations.find(({ invariant }) => mutant.breaks.includes(invariant))
    if (caught !== undefined) {
      return { name, seeds: seed, caught }
    }
  }
  return { name, seeds: maxSeeds, caught: undefined }
}
