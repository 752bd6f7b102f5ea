/** Checks on request whether a log can be read; requests at about the same time share one read. */
import type { Feed } from './platform-interface'

export type LogState =
  /** The log was read up to `next`, `ageMs` ago. */
  | { type: 'read', next: number, ageMs: number }
  | { type: 'unreachable' }

export type LogProbe = { read (): Promise<LogState> }

/** Timeout of one read in ms; the store normally responds within tens of ms, and a slow read is repeated with the next request. */
const readTimeoutMs = 400
/** Time for which a result is reused, in ms. */
const resultTtlMs = 250

export function createLogProbe ({ now, feed, position }: { now (): number, feed: Feed<unknown>, position (): number | undefined }): LogProbe {
  let current: Promise<{ at: number, next?: number }> | undefined

  async function probe (): Promise<{ at: number, next?: number }> {
    const at = now()
    const from = position()
    if (from === undefined) return { at }
    const result = await feed.read(from, 0, AbortSignal.timeout(readTimeoutMs))
    return result.ok ? { at, next: result.val.next } : { at }
  }

  return {
    async read () {
      current ??= probe().finally(() => { setTimeout(() => { current = undefined }, resultTtlMs) })
      const { at, next } = await current
      return next === undefined ? { type: 'unreachable' } : { type: 'read', next, ageMs: Math.round(now() - at) }
    }
  }
}
