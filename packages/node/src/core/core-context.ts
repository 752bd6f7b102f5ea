/** Context shared by the parts of a core: configuration, test hooks, pending actions and assertions. */
import { invariant } from '@yuccawharf/serving'
import { xoroshiro128plus, unsafeUniformIntDistribution, type RandomGenerator } from 'pure-rand'
import type { CoreHooks, EngineTraits, NodeCoreConfig } from './core-config'
import type { CoreAction } from './core-events'

type RecordIds = Extract<CoreAction, { type: 'record' }>['ids']

export type CoreContext = {
  readonly cfg: NodeCoreConfig
  readonly hooks: CoreHooks
  readonly random: RandomGenerator
  emit (action: CoreAction): void
  /** Adds an event to the timeline. */
  record (kind: string, ids: RecordIds, detail?: string): void
  /** @throws {InvariantError} when the condition is false */
  check (condition: boolean, message: string): void
  /** @returns the actions emitted since the last call */
  takeActions (): CoreAction[]
  traits (engine: string): EngineTraits
  /** @returns a random number, uniformly distributed in [0, 1) */
  uniform (): number
}

export const createCoreContext = (cfg: NodeCoreConfig, hooks: CoreHooks): CoreContext => {
  const random = xoroshiro128plus(cfg.seed)
  let actions: CoreAction[] = []
  return {
    cfg,
    hooks,
    random,
    emit: action => actions.push(action),
    record: (kind, ids, detail) => actions.push({ type: 'record', kind, ids, ...(detail === undefined ? {} : { detail }) }),
    check (condition, message) {
      if (hooks.skipAssertions !== true) {
        invariant(condition, message)
      }
    },
    takeActions () {
      const taken = actions
      actions = []
      return taken
    },
    traits: engine => ({ ...cfg.engineDefaults, ...cfg.engines[engine] }),
    uniform: () => unsafeUniformIntDistribution(0, 0x7fffffff, random) / 0x80000000
  }
}
