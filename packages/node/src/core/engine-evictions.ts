/** Carries out the evictions of one term: commands to the engine and records in the log. */
import { createEvictionCoordinator, type EvictionAction, type EvictionIntent, type EvictionCoordinatorConfig } from '@yuccawharf/coordination'
import type { AppendResult, EngineCommand, EngineCommandResult, EngineReport } from '@yuccawharf/clients'
import type { EvictedRecord, EvictRecord } from '@yuccawharf/schema'
import type { CoreContext } from './core-context'

export type EngineEvictionsEnv = {
  append (values: unknown[], done: (result: AppendResult, now: number) => void): void
  command (value: EngineCommand, done: (result: EngineCommandResult, now: number) => void): void
  /** Checks that no request of the owner uses the handle. */
  checkUnused (handle: string): void
  /** The outcome of an eviction that was asked for. */
  result (handle: string, result: EngineCommandResult, now: number): void
  /** Called after each step: the engine may have become ready. */
  stepped (now: number): void
  termOver (now: number): void
}

export type EngineEvictions = {
  start (now: number): void
  evict (handle: string, now: number): void
  intentRead (intent: EvictionIntent, authorised: boolean, now: number): void
  report (report: EngineReport, now: number): void
  tick (now: number): void
  /** See {@link createEvictionCoordinator}. */
  isUsable (handle: string): boolean
  readonly ready: boolean
}

export const createEngineEvictions = (ctx: CoreContext, env: EngineEvictionsEnv, cfg: EvictionCoordinatorConfig): EngineEvictions => {
  const { engine } = cfg
  const evictions = createEvictionCoordinator(cfg)
  /** Finished evictions whose record may not be in the log, with the time of the next attempt. */
  const unrecorded = new Map<string, number>()

  const unload = (handle: string): void =>
    env.command({ type: 'unload', handle }, (result, at) => performAll(evictions.commandFinished(handle, result, at), at))

  const append = (record: EvictRecord | EvictedRecord): void => env.append([record], (result, at) => {
    if (record.type === 'evict') {
      performAll(evictions.appendFinished(record.handle, result, at), at)
    } else if (result.type !== 'ok') {
      unrecorded.set(record.handle, at + cfg.retryMs)
    }
  })

  /** Repeating an `evicted` record has no effect; without it the next owner would unload the handle again. */
  const repeatEvicted = (now: number): void => {
    const due = [...unrecorded].filter(([, retryAt]) => now >= retryAt)
    for (const [handle] of due) {
      unrecorded.delete(handle)
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
      case 'result': return env.result(action.handle, action.result, now)
      case 'term-over': return env.termOver(now)
    }
  }

  const performAll = (actions: EvictionAction[], now: number): void => {
    actions.forEach(action => perform(action, now))
    env.stepped(now)
  }

  return {
    start: now => performAll(evictions.start(now), now),
    evict (handle, now) {
      if (ctx.hooks.skipIntentReadBack === true) {
        env.command({ type: 'unload', handle }, (result, at) => env.result(handle, result, at))
        return
      }
      performAll(evictions.evict(handle, now), now)
    },
    intentRead: (intent, authorised, now) => performAll(evictions.intentRead(intent, authorised, now), now),
    report: (report, now) => performAll(evictions.applyReport(report, now), now),
    tick (now) {
      performAll(evictions.tick(now), now)
      repeatEvicted(now)
    },
    isUsable: evictions.isUsable,
    get ready () {
      return evictions.ready
    }
  }
}
