/** Batches the records of many orders: at most one append is in flight, and the rate of appends is limited. */
import type { AbandonRecord, ClaimRecord, OutcomeRecord } from '@yuccawharf/schema'

export type OrderRecord = ClaimRecord | OutcomeRecord | AbandonRecord

export type ClaimsBatchConfig = {
  maxRecords: number
  /** Minimum time between two appends, in ms. The first append after an idle period is sent immediately. */
  intervalMs: number
  /** Time after which the result of an append counts as unknown, in ms. */
  timeoutMs: number
}

export type PendingAppend = { token: number, records: OrderRecord[] }

export type ClaimsBatch = {
  add (record: OrderRecord): void
  /** Requeues records whose append failed, ahead of the others. */
  restore (records: OrderRecord[]): void
  /** Removes a claim from the queue. @returns false when it was not queued */
  withdraw (attempt: string): boolean
  /** @returns the next append, or undefined when none is due */
  flush (now: number): PendingAppend | undefined
  /** @returns the records of the append, or undefined when it has already timed out */
  finish (token: number): OrderRecord[] | undefined
  /** @returns the append in flight if it has timed out */
  takeTimedOut (now: number): PendingAppend | undefined
  /** Delays the next append, for example after a failure. */
  pauseUntil (time: number): void
  readonly queuedCount: number
}

/** @returns an empty batch; tokens are numbered from 1 */
export const createClaimsBatch = (cfg: ClaimsBatchConfig): ClaimsBatch => {
  let queue: OrderRecord[] = []
  let appendInFlight: PendingAppend & { sentAt: number } | undefined
  let nextAppendAt = -Infinity
  let lastToken = 0

  return {
    add: record => queue.push(record),
    restore (records) {
      queue = [...records, ...queue]
    },
    withdraw (attempt) {
      const before = queue.length
      queue = queue.filter(record => record.type !== 'claim' || record.attempt !== attempt)
      return queue.length < before
    },
    flush (now) {
      if (appendInFlight !== undefined || queue.length === 0 || now < nextAppendAt) {
        return undefined
      }
      lastToken += 1
      nextAppendAt = now + cfg.intervalMs
      const records = queue.slice(0, cfg.maxRecords)
      queue = queue.slice(cfg.maxRecords)
      appendInFlight = { token: lastToken, records, sentAt: now }
      return { token: lastToken, records }
    },
    finish (token) {
      if (appendInFlight?.token !== token) {
        return undefined
      }
      const { records } = appendInFlight
      appendInFlight = undefined
      return records
    },
    takeTimedOut (now) {
      if (appendInFlight === undefined || now < appendInFlight.sentAt + cfg.timeoutMs) {
        return undefined
      }
      const { token, records } = appendInFlight
      appendInFlight = undefined
      return { token, records }
    },
    pauseUntil (time) {
      nextAppendAt = Math.max(nextAppendAt, time)
    },
    get queuedCount () {
      return queue.length
    }
  }
}
