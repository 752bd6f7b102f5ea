/** Checks on request whether a log can be read; requests at about the same time share one read. */
import type { Feed } from './platform-interface'

export type LogState =
  /** The log was read up to `next`, `ageMs` ago. */
  | { type: 'read', next: number, ageMs: number }
  /** A read failed `ageMs` ago; `knownEnd` is the highest position that the node has read or that a peer has named, or -1. */
  | { type: 'unreachable', ageMs: number, knownEnd: number }
  /** The store responded, but this node has to read the log anew first. */
  | { type: 'outdated', ageMs: number }

type ProbeResult = { at: number, next?: number, outdated?: true }

export type LogProbe = { read (): Promise<LogState> }

/** Timeout of one read in ms; the store normally responds within tens of ms, and a slow read is repeated with the next request. */
const readTimeoutMs = 400
/** Time for which a result is reused, in ms. */
const resultTtlMs = 250
/** Time from the start of a failed read for which its result is reused, in ms: shorter than the interval at which an owner asks all nodes. */
const failureTtlMs = 400

export type LogProbeOptions = {
  now (): number
  feed: Feed<unknown>
  /** Position up to which this node has read the log; undefined before the first read. */
  position (): number | undefined
  /** Highest position that this node has read or that a peer has named; -1 if there is none. */
  knownEnd (): number
}

export function createLogProbe ({ now, feed, position, knownEnd }: LogProbeOptions): LogProbe {
  let current: Promise<ProbeResult> | undefined

  async function probe (): Promise<ProbeResult> {
    const at = now()
    const from = position()
    if (from === undefined) return { at }
    const result = await feed.read(from, 0, AbortSignal.timeout(readTimeoutMs))
    if (result.ok) return { at, next: result.val.next }
    return result.val.type === 'expired' ? { at, outdated: true } : { at }
  }

  function startProbe (): Promise<ProbeResult> {
    const startedAt = now()
    let ttlMs = failureTtlMs
    return probe().then(result => {
      ttlMs = result.next === undefined ? failureTtlMs - (now() - startedAt) : resultTtlMs
      return result
    }).finally(() => { setTimeout(() => { current = undefined }, Math.max(0, ttlMs)) })
  }

  return {
    async read () {
      current ??= startProbe()
      const { at, next, outdated } = await current
      const ageMs = Math.round(now() - at)
      if (outdated === true) return { type: 'outdated', ageMs }
      return next === undefined ? { type: 'unreachable', ageMs, knownEnd: knownEnd() } : { type: 'read', next, ageMs }
    }
  }
}

/** Age of an owner's last read of the log from which it asks a few nodes, in ms: an owner's reads end every 800 ms. */
const askSomeAgeMs = 900
/** Age from which it asks all nodes, in ms. Only an outage for most nodes needs all; otherwise one of a few usually reads the log. */
const askAllAgeMs = 1050
const askSomeIntervalMs = 350
/** Interval between questions to all nodes, in ms: each of them calls the store, and a failed read counts for 1000 ms. */
const askAllIntervalMs = 500

export type LogProbeSchedule = {
  /** @param ageMs - age of the last read of the log that this owner knows of */
  nodesToAsk (ageMs: number, now: number): 'none' | 'some' | 'all'
}

export function createLogProbeSchedule (): LogProbeSchedule {
  let nextSomeAt = -Infinity
  let nextAllAt = -Infinity
  return {
    nodesToAsk (ageMs, now) {
      if (ageMs >= askAllAgeMs && now >= nextAllAt) {
        nextAllAt = now + askAllIntervalMs
        return 'all'
      }
      if (ageMs < askSomeAgeMs || ageMs >= askAllAgeMs || now < nextSomeAt) return 'none'
      nextSomeAt = now + askSomeIntervalMs
      return 'some'
    }
  }
}
