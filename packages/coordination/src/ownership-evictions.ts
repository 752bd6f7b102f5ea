/**
 * Decides when an eviction may be sent to an engine.
 *
 * An engine that checks fencing tokens gets the eviction at once, but not before it has received
 * the term's token: until then it would still carry out a late command of the previous owner.
 * For an engine that ignores the token, the intent is appended to the log first, and the eviction
 * is sent only after the intent was read back without a newer owner record before it.
 */
import type { AppendResult, EngineCommandResult, EngineReport } from '@yuccawharf/clients'
import type { EvictRecord, EvictedRecord } from '@yuccawharf/schema'
import type { EvictionIntent } from './ownership-types'

export type EvictionCoordinatorConfig = {
  engine: string
  term: number
  checksFencing: boolean
  /** Authorised intents of earlier terms that may still reach the engine. */
  inherited: EvictionIntent[]
  /** Maximum age of a report, in ms. */
  reportLagMs: number
  /** Delay of the next attempt after an unknown result, in ms. */
  retryMs: number
}

export type EvictionAction =
  /** Unloads a handle that never existed, which has no effect except that the engine receives the fencing token. */
  | { type: 'raise-fence', handle: string }
  | { type: 'append', record: EvictRecord | EvictedRecord }
  | { type: 'unload', handle: string }
  | { type: 'result', handle: string, result: EngineCommandResult }
  | { type: 'term-over' }

export type EvictionCoordinator = {
  /** @returns the first commands of a new term */
  start (now: number): EvictionAction[]
  evict (handle: string, now: number): EvictionAction[]
  /** Whatever the result, the append is repeated until the intent is read back. */
  appendFinished (handle: string, result: AppendResult, now: number): EvictionAction[]
  intentRead (intent: EvictionIntent, authorised: boolean, now: number): EvictionAction[]
  commandFinished (handle: string, result: EngineCommandResult, now: number): EvictionAction[]
  /** Finishes evictions that the report proves: the handle is absent, or the engine has restarted. */
  applyReport (report: EngineReport, now: number): EvictionAction[]
  tick (now: number): EvictionAction[]
  /** False for handles whose eviction may still arrive; no request may be sent to them. */
  isUsable (handle: string): boolean
  /** True when no earlier owner's command can take effect any more, apart from the handles that are not usable. */
  readonly ready: boolean
}

type EvictionState = {
  /** `authorised` and `sent` remain until the handle is absent. */
  step: 'intent' | 'authorised' | 'sent'
  inherited: boolean
  retryAt: number
  /** `takenAt` of the first report after sending. Reports up to `reportLagMs` later may predate the load. */
  firstReport?: number
}

/** The engine checked the fencing token, then looked up the handle and does not have it. */
const provesAbsence = (result: EngineCommandResult): boolean =>
  result.type === 'refused' && result.reason.includes('model_not_found')

/** @returns the eviction coordinator of one term */
export const createEvictionCoordinator = (cfg: EvictionCoordinatorConfig): EvictionCoordinator => {
  const states = new Map<string, EvictionState>()
  const fenceHandle = `fence~${cfg.term}.0`
  let fenceRaised = !cfg.checksFencing
  let fenceRetryAt = Infinity
  let incarnation: number | undefined

  const unload = (handle: string, state: EvictionState, now: number): EvictionAction[] => {
    state.step = 'sent'
    state.retryAt = now + cfg.retryMs
    return [{ type: 'unload', handle }]
  }

  const append = (handle: string, state: EvictionState, now: number): EvictionAction[] => {
    state.retryAt = now + cfg.retryMs
    return [{ type: 'append', record: { type: 'evict', engine: cfg.engine, term: cfg.term, handle } }]
  }

  const raiseFence = (now: number): EvictionAction[] => {
    fenceRetryAt = now + cfg.retryMs
    return [{ type: 'raise-fence', handle: fenceHandle }]
  }

  /** A cold start resets the engine's fencing token, so a late command of an earlier owner would be accepted again. */
  const resetFence = (now: number): EvictionAction[] => {
    fenceRaised = false
    return raiseFence(now)
  }

  const fenceFinished = (result: EngineCommandResult, now: number): EvictionAction[] => {
    if (result.type === 'stale-fence') {
      return [{ type: 'term-over' }]
    }
    // Any other refusal may come from an engine that did not check the token.
    fenceRaised ||= result.type === 'ok' || provesAbsence(result)
    fenceRetryAt = fenceRaised ? Infinity : now + cfg.retryMs
    return []
  }

  const finish = (handle: string, state: EvictionState): EvictionAction[] => {
    states.delete(handle)
    const result: EvictionAction[] = state.inherited ? [] : [{ type: 'result', handle, result: { type: 'ok' } }]
    return cfg.checksFencing && !state.inherited
      ? result
      : [...result, { type: 'append', record: { type: 'evicted', engine: cfg.engine, handle } }]
  }

  const reportFailure = (handle: string, state: EvictionState, result: EngineCommandResult): EvictionAction[] => {
    // An authorised intent cannot be withdrawn, so the eviction is repeated until the handle is absent.
    if (!cfg.checksFencing || state.inherited) {
      return []
    }
    states.delete(handle)
    return [{ type: 'result', handle, result }]
  }

  const isProvedGone = (state: EvictionState, report: EngineReport, restarted: boolean): boolean => {
    if (state.step !== 'sent') {
      return false
    }
    state.firstReport ??= report.takenAt
    return restarted || report.takenAt > state.firstReport + cfg.reportLagMs
  }

  const resend = (handle: string, state: EvictionState, now: number): EvictionAction[] =>
    state.step === 'intent' ? append(handle, state, now) : unload(handle, state, now)

  return {
    start (now) {
      for (const { handle } of cfg.inherited) {
        states.set(handle, { step: 'authorised', inherited: true, retryAt: Infinity })
      }
      const repeated = [...states].flatMap(([handle, state]) => unload(handle, state, now))
      return fenceRaised ? repeated : [...raiseFence(now), ...repeated]
    },
    evict (handle, now) {
      if (states.has(handle)) {
        return []
      }
      const state: EvictionState = { step: cfg.checksFencing ? 'authorised' : 'intent', inherited: false, retryAt: Infinity }
      states.set(handle, state)
      return resend(handle, state, now)
    },
    appendFinished (handle, _result, now) {
      const state = states.get(handle)
      if (state?.step !== 'intent') {
        return []
      }
      // Also after a proved failure: with the handle released, the scheduler would evict it again at once, on each pass during an outage.
      state.retryAt = now + cfg.retryMs
      return []
    },
    intentRead (intent, authorised, now) {
      const state = states.get(intent.handle)
      if (intent.term !== cfg.term || state?.step !== 'intent') {
        return []
      }
      return authorised ? unload(intent.handle, state, now) : [{ type: 'term-over' }]
    },
    commandFinished (handle, result, now) {
      if (handle === fenceHandle) {
        return fenceFinished(result, now)
      }
      const state = states.get(handle)
      if (state === undefined) {
        return []
      }
      if (result.type === 'ok' || provesAbsence(result)) {
        return finish(handle, state)
      }
      if (result.type === 'stale-fence') {
        return [{ type: 'term-over' }]
      }
      return result.type === 'refused' ? reportFailure(handle, state, result) : []
    },
    applyReport (report, now) {
      const restarted = incarnation !== undefined && incarnation !== report.incarnation
      incarnation = report.incarnation
      const fence = restarted && cfg.checksFencing ? resetFence(now) : []
      const resident = new Set(report.resident.map(({ handle }) => handle))
      const absent = [...states].filter(([handle, state]) => !resident.has(handle) && isProvedGone(state, report, restarted))
      return [...fence, ...absent.flatMap(([handle, state]) => finish(handle, state))]
    },
    tick (now) {
      const fence = now >= fenceRetryAt ? raiseFence(now) : []
      const due = [...states].filter(([, state]) => now >= state.retryAt)
      return [...fence, ...due.flatMap(([handle, state]) => resend(handle, state, now))]
    },
    isUsable: handle => !states.has(handle),
    get ready () {
      return fenceRaised
    }
  }
}
