/** Performs the evictions of one term: sends commands to the engine and appends records to the log. */
import { createEvictionCoordinator, type EvictionAction, type EvictionIntent, type EvictionCoordinatorConfig } from '@yuccawharf/coordination'
import type { AppendResult, EngineCommand, EngineCommandResult, EngineReport } from '@yuccawharf/clients'
import type { EvictedRecord, EvictRecord } from '@yuccawharf/schema'
import type { CoreContext } from './core-context'

export type EngineEvictionsEnv = {
  append (values: unknown[], done: (result: AppendResult, now: number) => void): void
  command (value: EngineCommand, done: (result: EngineCommandResult, now: number) => void): void
  /** Asserts that no request of the owner uses the handle. */
  checkUnused (handle: string): void
  /** Called with the result of a requested eviction. */
  evictionFinished (handle: string, result: EngineCommandResult, now: number): void
  /** Called after each step: the engine may have become ready. */
  afterStep (now: number): void
  termEnded (now: number): void
}

export type EngineEvictions = {
  start (now: number): void
  evict (handle: string, now: number): void
  intentRead (intent: EvictionIntent, authorised: boolean, now: number): void
  applyReport (report: EngineReport, now: number): void
  tick (now: number): void
  /** See {@link createEvictionCoordinator}. */
  isUsable (handle: string): boolean
  readonly ready: boolean
}

export const createEngineEvictions = (ctx: CoreContext, env: EngineEvictionsEnv, cfg: EvictionCoordinatorConfig): EngineEvictions => {
  const { engine } = cfg
  const coordinator = createEvictionCoordinator(cfg)
  /** Finished evictions whose record may be missing in the log, with the time of the next append. */
  const unrecordedRetryAt = new Map<string, number>()

  const unload = (handle: string): void =>
    env.command({ type: 'unload', handle }, (result, finishedAt) => performAll(coordinator.commandFinished(handle, result, finishedAt), finishedAt))

  const append = (record: EvictRecord | EvictedRecord): void => env.append([record], (result, finishedAt) => {
    if (record.type === 'evict') {
      performAll(coordinator.appendFinished(record.handle, result, finishedAt), finishedAt)
    } else if (result.type !== 'ok') {
      unrecordedRetryAt.set(record.handle, finishedAt + cfg.retryMs)
    }
  })

  /** A duplicate `evicted` record has no effect; without the record the next owner would unload the handle again. */
  const retryEvictedRecords = (now: number): void => {
    const due = [...unrecordedRetryAt].filter(([, retryAt]) => now >= retryAt)
    for (const [handle] of due) {
      unrecordedRetryAt.delete(handle)
      append({ type: 'evicted', engine, handle })
    }
  }

  const perform = (action: EvictionAction, now: number): void => {
    switch (action.type) {
      case 'raise-fence': return unload(action.handle)
      case 'unload':
        env.checkUnused(action.handle)
        ctx.record('unload', { engine, adapter: action.handle })
        return unload(action.handle)
      case 'append': return append(action.record)
      case 'result': return env.evictionFinished(action.handle, action.result, now)
      case 'term-over': return env.termEnded(now)
    }
  }

  const performAll = (actions: EvictionAction[], now: number): void => {
    actions.forEach(action => perform(action, now))
    env.afterStep(now)
  }

  return {
    start: now => performAll(coordinator.start(now), now),
    evict (handle, now) {
      if (ctx.hooks.skipIntentReadBack === true) {
        env.command({ type: 'unload', handle }, (result, finishedAt) => env.evictionFinished(handle, result, finishedAt))
        return
      }
      performAll(coordinator.evict(handle, now), now)
    },
    intentRead: (intent, authorised, now) => performAll(coordinator.intentRead(intent, authorised, now), now),
    applyReport: (report, now) => performAll(coordinator.applyReport(report, now), now),
    tick (now) {
      performAll(coordinator.tick(now), now)
      retryEvictedRecords(now)
    },
    isUsable: coordinator.isUsable,
    get ready () {
      return coordinator.ready
    }
  }
}
