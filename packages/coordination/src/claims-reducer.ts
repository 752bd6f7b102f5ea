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
  /** The key contains an offset beyond that of the claim, so no address response issued it. */
  | { type: 'invalid', key: string, attempt: string }
  /** Retention may have dropped an earlier claim, so this one cannot be accepted as the first. */
  | { type: 'unproven', key: string, attempt: string }
  | { type: 'abandoned', key: string, attempt: string }
  | { type: 'outcome', key: string, attempt: string }

export type ClaimsReducer = {
  /** Applies one record; offsets that were already applied are ignored. */
  apply (entry: LogEntry): ClaimChange[]
  /** Drops the keys whose claims lie before the first retained offset. */
  dropBefore (first: number): void
  state (key: string): ClaimState | undefined
  /** True when all records from `offset` up to {@link ClaimsReducer.nextOffset} were applied, so that a claim missing there does not exist. */
  provesAbsence (offset: number): boolean
  /** Offset of the next record to apply. */
  readonly nextOffset: number
  readonly size: number
}

type KeyState = ClaimState & { claimOffset: number }

/**
 * @param from - first offset that will be applied
 */
export const createClaimsReducer = (from = 0): ClaimsReducer => {
  // Ordered by claim offset, so that retention drops keys from the front.
  const keys = new Map<string, KeyState>()
  let nextOffset = from
  /** All records from here up to `nextOffset` have been applied. */
  let contiguousFrom = from

  const applyClaim = (record: ClaimRecord, offset: number): ClaimChange => {
    const orderKey = parseOrderKey(record.key)
    if (orderKey === undefined || orderKey.offset > offset) {
      return { type: 'invalid', key: record.key, attempt: record.attempt }
    }
    const state = keys.get(record.key)
    if (state?.winner !== undefined) {
      return { type: state.winner.attempt === record.attempt ? 'won' : 'lost', key: record.key, attempt: record.attempt }
    }
    if (state === undefined && orderKey.offset < contiguousFrom) {
      return { type: 'unproven', key: record.key, attempt: record.attempt }
    }
    keys.delete(record.key)
    keys.set(record.key, { claimOffset: offset, winner: { attempt: record.attempt, node: record.node }, outcome: undefined })
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
      if (entry.offset < nextOffset) {
        return []
      }
      if (entry.offset > nextOffset) {
        contiguousFrom = entry.offset
      }
      nextOffset = entry.offset + 1
      return applyRecord(entry)
    },
    dropBefore (first) {
      contiguousFrom = Math.max(contiguousFrom, first)
      nextOffset = Math.max(nextOffset, first)
      for (const [key, { claimOffset }] of keys) {
        if (claimOffset >= first) {
          return
        }
        keys.delete(key)
      }
    },
    state: key => keys.get(key),
    provesAbsence: offset => offset >= contiguousFrom,
    get nextOffset () {
      return nextOffset
    },
    get size () {
      return keys.size
    }
  }
}
