/**
 * Checks on request whether a log can be read; requests at about the same time share one read. A reply
 * may wait in a socket for any time, for example while the node that asked is stopped. It therefore
 * returns the question, which states when it was asked, and counts from that time.
 */
import type { Feed } from './platform-interface'
import type { FactClock } from './suspension-detector'

/** Sent with a request and returned with the reply. */
export type LogQuestion = {
  /** Incarnation of the process that asks; another process has another clock. */
  incarnation: number
  /** Time on the clock of that process, in ms. */
  askedAt: number
  /** How far that process knows the log, if it only tells this and asks for no read. */
  logEnd?: number
}

/** `ageMs`: time since the start of the read; `waitedMs`: time since the request arrived. */
type ReplyTimes = { ageMs: number, waitedMs: number }

export type LogState = ReplyTimes & (
  /** The log was read up to `next`. */
  | { type: 'read', next: number }
  /** The read failed; `knownEnd` is the highest position that the node has read or that a peer has named, or -1. */
  | { type: 'unreachable', knownEnd: number }
  /** The store responded, but this node has to read the log anew first. */
  | { type: 'outdated' }
)

/** A node has noted how far the log goes; `knownEnd` as above. */
export type LogEndNoted = ReplyTimes & { type: 'noted', knownEnd: number }

/**
 * Earliest time at which the read of a reply can have begun, on the clock of the process that asked.
 *
 * @returns undefined if the reply is not to a question of this process
 */
export function replyAsOf (question: unknown, { ageMs, waitedMs }: Partial<ReplyTimes>, incarnation: number, now: number): number | undefined {
  const { askedAt, incarnation: asker } = (question ?? {}) as Partial<LogQuestion>
  if (asker !== incarnation || typeof askedAt !== 'number' || !(askedAt <= now)) return undefined
  if (typeof ageMs !== 'number' || typeof waitedMs !== 'number') return undefined
  return askedAt - Math.max(0, ageMs - waitedMs)
}

type ProbeResult = { at: number, next?: number, outdated?: true }

export type LogProbe = { read (): Promise<LogState> }

/** Timeout of one read in ms; the store normally responds within tens of ms, and a slow read is repeated with the next request. */
const readTimeoutMs = 400
/** Time for which a result is reused, in ms. */
const resultTtlMs = 250
/** Time from the start of a failed read for which its result is reused, in ms: shorter than the interval at which an owner asks all nodes. */
const failureTtlMs = 400

export type LogProbeOptions = {
  clock: Pick<FactClock, 'now' | 'endedAt'>
  feed: Feed<unknown>
  /** Position up to which this node has read the log; undefined before the first read. */
  position (): number | undefined
  /** Highest position that this node has read or that a peer has named; -1 if there is none. */
  knownEnd (): number
}

export function createLogProbe ({ clock, feed, position, knownEnd }: LogProbeOptions): LogProbe {
  const { now } = clock
  let current: { result: Promise<ProbeResult>, startedAt: number } | undefined

  async function probe (): Promise<ProbeResult> {
    const at = now()
    const from = position()
    if (from === undefined) return { at }
    const result = await feed.read(from, 0, AbortSignal.timeout(readTimeoutMs))
    if (result.ok) return { at, next: result.val.next }
    return result.val.type === 'expired' ? { at, outdated: true } : { at }
  }

  function startProbe (): NonNullable<typeof current> {
    const startedAt = now()
    let ttlMs = failureTtlMs
    const result = probe().then(result => {
      ttlMs = result.next === undefined ? failureTtlMs - (now() - startedAt) : resultTtlMs
      return result
    }).finally(() => {
      setTimeout(() => { if (current === started) current = undefined }, Math.max(0, ttlMs))
    })
    const started = { result, startedAt }
    return started
  }

  return {
    async read () {
      const arrivedAt = now()
      // The age of an earlier read does not include a suspension.
      if (current !== undefined && current.startedAt < clock.endedAt()) current = undefined
      current ??= startProbe()
      const { at, next, outdated } = await current.result
      const times: ReplyTimes = { ageMs: Math.round(now() - at), waitedMs: Math.round(now() - arrivedAt) }
      if (outdated === true) return { type: 'outdated', ...times }
      return next === undefined ? { type: 'unreachable', knownEnd: knownEnd(), ...times } : { type: 'read', next, ...times }
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
