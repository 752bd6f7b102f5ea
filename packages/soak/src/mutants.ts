/**
 * Mutants, to test the checks themselves. Each breaks one rule of a guarantee without a change to the
 * code under test: by a hook that the daemon never sets, or by a wrapper around the node.
 */
import type { CoreAction, CoreEvent, Refusal } from '@yuccawharf/node'
import type { InvariantName, Violation } from './checker'
import type { Mutation } from './mutation'
import type { NodeUnderTest } from './sim-process'
import { runSoak, type ProfileName } from './run'

export type Mutant = Mutation & {
  profile: ProfileName
  /** Invariants that the broken rule protects. */
  breaks: InvariantName[]
}

/** Disables the assertions of the code under test, so that the checks of the soak must detect the fault. */
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

/** Drops all configuration events from 5 s after the start of the node. */
const ignoringChanges = (node: NodeUnderTest): NodeUnderTest => {
  let startedAt: number | undefined
  return {
    step (event, now) {
      startedAt ??= now
      return carriesConfig(event) && now - startedAt > 5000 ? [] : node.step(event, now)
    }
  }
}

/** Sends each order to the service twice, as a shell that does not track its calls would. */
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
  /** Number of seeds that ran; the last one detected the mutant, if any did. */
  seeds: number
  caught: Violation | undefined
}

/**
 * Runs a mutant with one seed after another until it violates an invariant that it is meant to break.
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
