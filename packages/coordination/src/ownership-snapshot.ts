/**
 * Snapshots of the `ownership` stream. Owner records are never renewed, so without snapshots
 * retention would drop the records of long-standing owners.
 */
import type { SnapshotRecord } from '@yuccawharf/schema'
import type { EvictionIntent, OwnerTerm, Predecessor } from './ownership-types'

export type OwnershipEntry = {
  engine: string
  owner: OwnerTerm | undefined
  predecessors: Predecessor[]
  intents: EvictionIntent[]
}

/** Engines per snapshot record, which makes a record of about 16 KiB. */
const enginesPerPart = 64

/**
 * Splits a state into records.
 *
 * @param entries - the whole state
 * @param revision - last offset that the state covers
 * @param id - unique to this snapshot
 */
export const splitOwnershipSnapshot = (entries: OwnershipEntry[], revision: number, id: string): SnapshotRecord[] => {
  const parts = Math.max(1, Math.ceil(entries.length / enginesPerPart))
  return Array.from({ length: parts }, (_, part) => ({
    type: 'snapshot',
    id,
    revision,
    part,
    parts,
    entries: entries.slice(part * enginesPerPart, (part + 1) * enginesPerPart).map(entry => ({
      key: entry.engine,
      revision: entry.owner?.term ?? -1,
      value: { owner: entry.owner ?? null, predecessors: entry.predecessors, intents: entry.intents }
    }))
  }))
}

type StoredValue = { owner: OwnerTerm | null, predecessors: Predecessor[], intents: EvictionIntent[] }

const entriesOf = (record: SnapshotRecord): OwnershipEntry[] => record.entries.map(({ key, value }) => {
  const stored = value as StoredValue
  return { engine: key, owner: stored.owner ?? undefined, predecessors: stored.predecessors, intents: stored.intents }
})

export type OwnershipSnapshotAssembler = {
  /** @returns the whole state when this record was the last missing part of a snapshot */
  add (record: SnapshotRecord): OwnershipEntry[] | undefined
}

/** @returns an assembler that stores only the parts of the snapshot read last */
export const createOwnershipSnapshotAssembler = (): OwnershipSnapshotAssembler => {
  let id: string | undefined
  let received = new Map<number, OwnershipEntry[]>()
  return {
    add (record) {
      if (record.id !== id) {
        id = record.id
        received = new Map()
      }
      received.set(record.part, entriesOf(record))
      return received.size === record.parts ? [...received.values()].flat() : undefined
    }
  }
}
