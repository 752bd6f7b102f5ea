/** A short read of a log on request, whose result serves all who ask at about the same time. */
import type { Feed } from './platform-interface'

export type LogState =
  /** The log was read up to `next`, `ageMs` ago. */
  | { type: 'read', next: number, ageMs: number }
  | { type: 'unreachable' }

export type LogProbe = { read (): Promise<LogState> }

/** The store answers within tens of ms; a slow one is asked again. */
const readTimeoutMs = 400
/** Time for which a result is given to further askers, in ms. */
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
