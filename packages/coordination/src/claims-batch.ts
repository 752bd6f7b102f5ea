/** Collects the records of many orders into few appends: at most one append is under way, and their rate is bounded. */
import type { AbandonRecord, ClaimRecord, OutcomeRecord } from '@yuccawharf/schema'

export type OrderRecord = ClaimRecord | OutcomeRecord | AbandonRecord

export type ClaimsBatchConfig = {
  maxRecords: number
  /** Shortest time between two appends, in ms. The first append after a pause leaves at once. */
  intervalMs: number
  /** An append without a result counts as unknown after this, in ms. */
  timeoutMs: number
}

export type PendingAppend = { token: number, records: OrderRecord[] }

export type ClaimsBatch = {
  add (record: OrderRecord): void
  /** Puts records back whose append failed. */
  restore (records: OrderRecord[]): void
  /** Withdraws a claim that has not been appended. @returns false when it was not waiting */
  withdraw (attempt: string): boolean
  /** @returns the append that is due */
  flush (now: number): PendingAppend | undefined
  /** @returns the records of the append, or undefined when its result was already taken for unknown */
  finish (token: number): OrderRecord[] | undefined
  /** @returns the append that got no result in time */
  takeTimedOut (now: number): PendingAppend | undefined
  /** Delays the next append, for example after a failure. */
  pauseUntil (time: number): void
  readonly waiting: number
}

/** @returns an empty batch; tokens count from 1 */
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
    get waiting () {
      return queue.length
    }
  }
}
