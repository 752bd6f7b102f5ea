/** Follows a feed: reads the newest records first, then each change; starts over if the store has dropped the changes in between. */
import { eraOf } from './log-position'
import type { Feed, FeedFailure, FeedRecord } from './platform-interface'

/** `behind-peer`: a peer has read later records; `other-feed`: another feed of the store has stalled, was regained or restored; `too-old`: the last read is too old. */
export type AbortCause = 'behind-peer' | 'other-feed' | 'too-old'

export type FollowerEvents<Value> = {
  /** Receives the newest record of each key; they replace all earlier records. */
  replaced (records: FeedRecord<Value>[], next: number): void
  /**
   * Receives new records in order; empty if a read found none.
   *
   * @param writtenAfter - time after which the records were written, in ms
   */
  changed (records: FeedRecord<Value>[], next: number, writtenAfter: number): void
  /**
   * A call succeeded; its result is at least as recent as `asOf`.
   *
   * @param provenAsOf - the same if the store may have ended a wait early and the process been stopped since:
   * no later than the last turn of the event loop in which the read still waited
   */
  succeeded (asOf: number, next: number, provenAsOf: number): void
  /** The feed became unreachable, or reachable again. */
  lost (reason: string): void
  regained (lostForMs: number): void
  /** The store has come back from a copy; the records that follow replace what was read before. */
  restored (era: number): void
  /**
   * @param failures - consecutive failures, from 1
   * @param afterMs - time since the call was sent
   */
  failed (reason: string, failures: number, afterMs: number): void
  /** A read was aborted `afterMs` after it was sent, to be sent again. */
  aborted (cause: AbortCause, afterMs: number): void
  /** A read has probably waited on a stalled connection; others may be stalled as well. */
  stalled (): void
  call (result: 'ok' | 'unavailable' | 'expired'): void
}

export type FollowerOptions = {
  now (): number
  /** Time of the newest turn of the event loop that has read the sockets, in ms. */
  lastTurn (): number
  /** How long the store may delay a read until a record arrives, in ms. */
  waitMs (): number
  /** Pause after a read, or after an update from a peer in place of a read, in ms. */
  pauseMs (): number
  /**
   * Pause after a failed call, in ms.
   *
   * @param failures - consecutive failures, from 1
   */
  retryPauseMs (failures: number): number
}

/** Time for the current read to catch up with a peer before it is aborted, in ms. It doubles with each abort until a read succeeds, as the store may be slow. */
const behindGraceMs = 250
const behindGraceMaxMs = 2000
/** Consecutive failed calls after which the feed counts as lost. */
const failuresUntilLost = 2
/** Time beyond the wait of a read after which its response has probably been held up, in ms, so that its records may have been written long before. */
const heldUpMs = 1000

export type Follower = {
  stop (): void
  /** Position up to which records have been read; undefined before the first read. */
  position (): number | undefined
  /** Ends the current pause, for example after an append of this process. */
  wake (): void
  /** Reads the newest records of all keys next, in place of the changes; ends the current pause. */
  readNewest (): void
  /** Aborts the current read or pause and reads again, because another feed of the store has stalled, was regained or restored. */
  restart (): void
  /** Aborts a long poll and reads at once, because the last read is too old. */
  refresh (): void
  /**
   * Advances the position with changes that a peer has read, in place of a read by this process.
   *
   * @returns whether the changes continue from the current position; if some are missing, they are read at once
   */
  advance (from: number, next: number): boolean
  /** A peer has read up to `next`: aborts a read that does not catch up, as its connection may be stalled. */
  behind (next: number): void
}

export function followFeed<Value> (feed: Feed<Value>, events: FollowerEvents<Value>, options: FollowerOptions): Follower {
  let stopped = false
  let position: number | undefined
  let era: number | undefined
  let failures = 0
  let lostAt: number | undefined
  let wake: (() => void) | undefined
  let pauseUntil = -Infinity
  let newestWanted = false
  let reading: { abort: AbortController, sentAt: number, waitMs: number } | undefined
  let graceMs = behindGraceMs
  let behindTimer: NodeJS.Timeout | undefined
  /** Latest time at which the store is known to have had no record beyond the position. */
  let endKnownAt = -Infinity
  /** Whether a read failed or was aborted since then, so that it may have missed records for a while. */
  let interrupted = false
  /** When a peer was first known to have read beyond the position. */
  let peerAheadAt = Infinity

  const pause = (ms: number): Promise<void> => new Promise(resolve => {
    let timer: NodeJS.Timeout | undefined
    const end = (): void => {
      clearTimeout(timer)
      wake = undefined
      resolve()
    }
    const check = (): void => {
      const leftMs = pauseUntil - options.now()
      if (leftMs <= 0) return end()
      timer = setTimeout(check, Math.ceil(leftMs))
    }
    pauseUntil = options.now() + ms
    wake = end
    check()
  })

  /** Called before the records are passed on, as they may mean something else after an outage or a restoration. */
  function responded (next: number): void {
    if (lostAt !== undefined) {
      events.regained(options.now() - lostAt)
      lostAt = undefined
    }
    failures = 0
    graceMs = behindGraceMs
    events.call('ok')
    if (era !== undefined && eraOf(next) !== era) events.restored(eraOf(next))
    era = eraOf(next)
  }

  function succeeded (asOf: number, next: number, provenAsOf = asOf): void {
    position = next
    interrupted = false
    peerAheadAt = Infinity
    events.succeeded(asOf, next, provenAsOf)
  }

  async function failed (failure: FeedFailure, sentAt: number): Promise<void> {
    const reason = failure.type === 'unavailable' ? failure.reason : 'history was dropped'
    events.call('unavailable')
    interrupted = true
    failures += 1
    events.failed(reason, failures, options.now() - sentAt)
    // Later ones time out on new connections, so the store itself is silent.
    if (failures === 1 && failure.type === 'unavailable' && failure.noResponse === true) events.stalled()
    if (failures === failuresUntilLost) {
      lostAt = options.now()
      events.lost(reason)
    }
    await pause(options.retryPauseMs(failures))
  }

  async function readNewest (): Promise<void> {
    const sentAt = options.now()
    newestWanted = false
    const result = await feed.newest()
    if (stopped) return
    if (result.err) return await failed(result.val, sentAt)
    responded(result.val.next)
    events.replaced(result.val.records, result.val.next)
    endKnownAt = sentAt
    succeeded(sentAt, result.val.next)
  }

  async function readChanges (from: number): Promise<void> {
    const sentAt = options.now()
    const abort = new AbortController()
    // During an outage a read without a wait detects the store's recovery; a long poll would block until its timeout.
    const waitMs = failures > 0 ? 0 : options.waitMs()
    reading = { abort, sentAt, waitMs }
    const result = await feed.read(from, waitMs, abort.signal)
    const aborted = abort.signal.aborted
    interrupted ||= aborted
    reading = undefined
    if (stopped || (aborted && result.err)) return
    if (result.err && result.val.type === 'expired') {
      events.call('expired')
      position = undefined
      return
    }
    if (result.err) return await failed(result.val, sentAt)
    responded(result.val.next)
    const waitedUntil = !interrupted && options.now() - sentAt <= waitMs + heldUpMs ? Math.min(options.lastTurn(), peerAheadAt) : -Infinity
    // A read that still waited in that turn had found nothing. One that has just been sent may find what was written before it.
    const writtenAfter = waitedUntil > sentAt ? waitedUntil : endKnownAt
    events.changed(result.val.records, result.val.next, writtenAfter)
    endKnownAt = Math.max(sentAt, writtenAfter)
    // A read without records returned when its wait ended, so its result is as recent as the end of the wait.
    const waited = result.val.records.length === 0 && options.now() - sentAt >= waitMs
    const asOf = result.val.more === true ? -Infinity : waited ? sentAt + waitMs : sentAt
    succeeded(asOf, result.val.next, Math.min(asOf, Math.max(sentAt, options.lastTurn())))
    await pause(options.pauseMs())
  }

  function abortRead (cause: AbortCause): void {
    if (reading === undefined || reading.abort.signal.aborted) return
    events.aborted(cause, options.now() - reading.sentAt)
    reading.abort.abort()
    if (cause === 'behind-peer') events.stalled()
  }

  const isStopped = (): boolean => stopped

  async function run (): Promise<void> {
    for (;;) {
      if (isStopped()) return
      if (position === undefined || newestWanted) await readNewest()
      else await readChanges(position)
    }
  }

  run().catch(err => { throw err })
  return {
    stop () {
      stopped = true
      reading?.abort.abort()
      wake?.()
    },
    position: () => position,
    advance (from, next) {
      // A read in progress returns the same changes.
      if (position === undefined || failures > 0 || wake === undefined || next < position) return false
      if (from > position) {
        wake()
        return false
      }
      position = next
      pauseUntil = options.now() + options.pauseMs()
      return true
    },
    wake: () => wake?.(),
    readNewest () {
      newestWanted = true
      wake?.()
    },
    restart () {
      abortRead('other-feed')
      wake?.()
    },
    refresh () {
      if (reading !== undefined && reading.waitMs > 0) abortRead('too-old')
    },
    behind (next) {
      if (position === undefined || next <= position) return
      peerAheadAt = Math.min(peerAheadAt, options.now())
      if (behindTimer !== undefined) return
      behindTimer = setTimeout(() => {
        behindTimer = undefined
        if (position === undefined || next <= position) return
        graceMs = Math.min(behindGraceMaxMs, 2 * graceMs)
        abortRead('behind-peer')
      }, graceMs)
    }
  }
}
