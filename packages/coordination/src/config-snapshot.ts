/**
 * Snapshots of the configuration in the log: splits a state into records, reassembles the records,
 * and schedules which live node appends the next snapshot and when.
 */
import type { SnapshotRecord } from '@yuccawharf/schema'
import type { ConfigState } from './config-types'
import { rankNodes, type RendezvousNode } from './rendezvous'

/** Ids of changes are stored as entries with this prefix, which operators' keys cannot have. */
const idPrefix = 'id/'

/** Entries per record: 200 adapters of about 150 bytes make a record of about 30 KB. */
const entriesPerPart = 200

/** Beyond this number of snapshots with missing parts the oldest is dropped. */
const maxIncompleteSnapshots = 8

type RecordEntry = SnapshotRecord['entries'][number]

/**
 * @param state - the state to write
 * @param id - unique to this attempt, so that parts of two attempts are never mixed
 * @returns the records to append, in any order
 */
export const splitConfigSnapshot = (state: ConfigState, id: string): SnapshotRecord[] => {
  const entries = [
    ...state.entries,
    ...state.ids.map(({ id, offset }) => ({ key: idPrefix + id, revision: offset, value: null }))
  ] as RecordEntry[]
  const parts = Math.max(1, Math.ceil(entries.length / entriesPerPart))
  return Array.from({ length: parts }, (_, part) => ({
    type: 'snapshot',
    id,
    revision: state.position - 1,
    part,
    parts,
    entries: entries.slice(part * entriesPerPart, (part + 1) * entriesPerPart)
  }))
}

const isSnapshot = (value: unknown): value is SnapshotRecord => {
  const record = value as Partial<SnapshotRecord> | null
  return typeof record === 'object' && record !== null && record.type === 'snapshot' &&
    typeof record.id === 'string' && Number.isInteger(record.revision) &&
    Number.isInteger(record.part) && Number.isInteger(record.parts) && Array.isArray(record.entries)
}

const stateOf = (revision: number, entries: readonly RecordEntry[]): ConfigState => ({
  position: revision + 1,
  entries: entries
    .filter(({ key }) => !key.startsWith(idPrefix))
    .map(({ key, revision, value }) => ({ key, revision, value })),
  ids: entries
    .filter(({ key }) => key.startsWith(idPrefix))
    .map(({ key, revision }) => ({ id: key.slice(idPrefix.length), offset: revision }))
})

export type ConfigSnapshotAssembler = {
  /** @returns the state when this record was the last missing part of a snapshot */
  add (value: unknown): ConfigState | undefined
  clear (): void
}

/** @returns an assembler that accepts parts of several snapshots in any order, including duplicates */
export const createConfigSnapshotAssembler = (): ConfigSnapshotAssembler => {
  const incomplete = new Map<string, Map<number, SnapshotRecord>>()

  const partsOf = (id: string): Map<number, SnapshotRecord> => {
    const existing = incomplete.get(id)
    if (existing !== undefined) {
      return existing
    }
    const [oldest] = incomplete.keys()
    if (oldest !== undefined && incomplete.size >= maxIncompleteSnapshots) {
      incomplete.delete(oldest)
    }
    const parts = new Map<number, SnapshotRecord>()
    incomplete.set(id, parts)
    return parts
  }

  return {
    add (value) {
      if (!isSnapshot(value)) {
        return undefined
      }
      const parts = partsOf(value.id)
      parts.set(value.part, value)
      if (parts.size < value.parts) {
        return undefined
      }
      incomplete.delete(value.id)
      const ordered = [...parts.values()].sort((left, right) => left.part - right.part)
      return stateOf(value.revision, ordered.flatMap(part => part.entries))
    },
    clear () {
      incomplete.clear()
    }
  }
}

export type SnapshotScheduleConfig = {
  self: string
  /** Retention time of the log, in ms. */
  retentionMs: number
  /** Number of records after the newest snapshot that makes the next one due; limits the replay at startup. */
  maxRecords: number
  /** Delay after which the next node in rank appends instead, in ms. */
  turnMs: number
}

export type SnapshotSchedule = {
  /** Records that a complete snapshot up to `revision` was read, or written by this node. */
  snapshotRead (revision: number, now: number): void
  /**
   * @param position - offset of the next record to reduce
   * @param live - all live nodes, this one included
   * @returns whether this node should append a snapshot now; a second one by another node is harmless
   */
  isDue (position: number, live: readonly RendezvousNode[], now: number): boolean
  /** Records that this node has started to append; it does not try again within `turnMs`. */
  appendStarted (now: number): void
}

/**
 * The interval is a third of the retention time, so that two consecutive snapshots can fail before
 * retention reaches the newest one. A node that has read no snapshot counts from its own start.
 *
 * @param cfg - retention of the log, limit of records and delay between nodes
 * @returns the schedule of one node
 */
export const createSnapshotSchedule = (cfg: SnapshotScheduleConfig): SnapshotSchedule => {
  let coveredRevision = -1
  let intervalStart: number | undefined
  let dueSince: number | undefined
  let nextAttemptAt = 0

  const intervalMs = cfg.retentionMs / 3

  const isSnapshotNeeded = (position: number, now: number): boolean => {
    const uncoveredRecords = position - 1 - coveredRevision
    const hasAged = intervalStart !== undefined && now - intervalStart >= intervalMs
    return uncoveredRecords >= cfg.maxRecords || (hasAged && position > 0)
  }

  const rankOfSelf = (live: readonly RendezvousNode[]): number => {
    const rank = rankNodes(`snapshot/${coveredRevision}`, live).findIndex(({ id }) => id === cfg.self)
    return rank < 0 ? live.length : rank
  }

  return {
    snapshotRead (revision, now) {
      if (revision < coveredRevision) {
        return
      }
      coveredRevision = revision
      intervalStart = now
      dueSince = undefined
    },
    isDue (position, live, now) {
      intervalStart ??= now
      if (!isSnapshotNeeded(position, now)) {
        dueSince = undefined
        return false
      }
      dueSince ??= now
      return now >= nextAttemptAt && now - dueSince >= rankOfSelf(live) * cfg.turnMs
    },
    appendStarted (now) {
      nextAttemptAt = now + cfg.turnMs
    }
  }
}
