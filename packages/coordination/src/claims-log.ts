/** Reducer of one claims stream: for each key the winning attempt and its outcome. */
import type { LogEntry } from '@yuccawharf/clients'
import { validateRecords, type AbandonRecord, type ClaimRecord, type OutcomeRecord } from '@yuccawharf/schema'
import { parseOrderKey } from './claims-key'

export type ClaimState = {
  /** The attempt that may send the order; undefined after it was abandoned. */
  winner: { attempt: string, node: string } | undefined
  outcome: OutcomeRecord | undefined
}

export type ClaimChange =
  | { type: 'won', key: string, attempt: string }
  | { type: 'lost', key: string, attempt: string }
  /** A claim whose key names a later offset: the key was not given out by an address response. */
  | { type: 'invalid', key: string, attempt: string }
  /** Retention may have dropped an earlier claim, so this one must not be taken for the first. */
  | { type: 'unproven', key: string, attempt: string }
  | { type: 'abandoned', key: string, attempt: string }
  | { type: 'outcome', key: string, attempt: string }

export type ClaimsLog = {
  /** Applies one record; offsets that were applied before are ignored. */
  apply (entry: LogEntry): ClaimChange[]
  /** Drops keys of which retention has dropped the claim. */
  retain (first: number): void
  state (key: string): ClaimState | undefined
  /** True when the absence of a claim up to {@link ClaimsLog.next} proves that there was none. */
  provesAbsence (offset: number): boolean
  /** Offset of the next record to apply. */
  readonly next: number
  readonly size: number
}

type KeyState = ClaimState & { claimedAt: number }

/**
 * @param from - first offset that will be applied
 */
export const createClaimsLog = (from = 0): ClaimsLog => {
  // In the order of the first claims, so that retention drops from the front.
  const keys = new Map<string, KeyState>()
  let next = from
  /** All records from here up to `next` were applied. */
  let since = from

  const applyClaim = (record: ClaimRecord, offset: number): ClaimChange => {
    const named = parseOrderKey(record.key)
    if (named === undefined || named.offset > offset) {
      return { type: 'invalid', key: record.key, attempt: record.attempt }
    }
    const state = keys.get(record.key)
    if (state?.winner !== undefined) {
      return { type: state.winner.attempt === record.attempt ? 'won' : 'lost', key: record.key, attempt: record.attempt }
    }
    if (state === undefined && named.offset < since) {
      return { type: 'unproven', key: record.key, attempt: record.attempt }
    }
    keys.delete(record.key)
    keys.set(record.key, { claimedAt: offset, winner: { attempt: record.attempt, node: record.node }, outcome: undefined })
    return { type: 'won', key: record.key, attempt: record.attempt }
  }

  const applyAbandon = (record: AbandonRecord): ClaimChange[] => {
    const state = keys.get(record.key)
    if (state?.winner?.attempt !== record.attempt || state.outcome !== undefined) {
      return []
    }
    state.winner = undefined
    return [{ type: 'abandoned', key: record.key, attempt: record.attempt }]
  }

  const applyOutcome = (record: OutcomeRecord): ClaimChange[] => {
    const state = keys.get(record.key)
    if (state?.winner?.attempt !== record.attempt || state.outcome !== undefined) {
      return []
    }
    state.outcome = record
    return [{ type: 'outcome', key: record.key, attempt: record.attempt }]
  }

  const applyRecord = (entry: LogEntry): ClaimChange[] => {
    if (!validateRecords(entry.value)) {
      return []
    }
    const record = entry.value as ClaimRecord | AbandonRecord | OutcomeRecord
    switch (record.type) {
      case 'claim': return [applyClaim(record, entry.offset)]
      case 'abandon': return applyAbandon(record)
      case 'outcome': return applyOutcome(record)
      default: return []
    }
  }

  return {
    apply (entry) {
      if (entry.offset < next) {
        return []
      }
      if (entry.offset > next) {
        since = entry.offset
      }
      next = entry.offset + 1
      return applyRecord(entry)
    },
    retain (first) {
      since = Math.max(since, first)
      next = Math.max(next, first)
      for (const [key, { claimedAt }] of keys) {
        if (claimedAt >= first) {
          return
        }
        keys.delete(key)
      }
    },
    state: key => keys.get(key),
    provesAbsence: offset => offset >= since,
    get next () {
      return next
    },
    get size () {
      return keys.size
    }
  }
}
