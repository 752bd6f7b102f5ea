/**
 * Reduces the configuration stream to the current configuration. The result depends only on the
 * records, so every node that has read the same records has the same state and outcomes.
 */
import type { LogEntry } from '@yuccawharf/clients'
import { PerKeyReadSetControl, type ConcurrencyControl, type RevisionView } from './config-concurrency'
import { createConfigSnapshotAssembler, type ConfigSnapshotAssembler } from './config-snapshot'
import type { ConfigChange, ChangeOutcome, ConfigEntry, ConfigFinding, ConfigState, ConfigValidator, ConfigView } from './config-types'

/**
 * Ids of changes are remembered for this many offsets, and a change with an older base is invalid.
 * A duplicate record has the same base as the first one, so it is invalid once its id is forgotten.
 */
export const changeIdWindowRecords = 4096

export type ConfigReducerConfig = {
  /** Validation rules of the configuration. */
  validate: ConfigValidator
  /** {@link PerKeyReadSetControl} by default. */
  control?: ConcurrencyControl
}

/** Effect of one record. */
export type ReducedRecord =
  | { type: 'change', id: string, outcome: ChangeOutcome }
  /** The last part of a snapshot was read; `adopted` if it replaced the state after a gap. */
  | { type: 'snapshot', revision: number, adopted: boolean }

export type ConfigReducer = {
  /**
   * Reduces the next record. Records at older offsets are ignored; a record beyond the next offset
   * starts a gap.
   *
   * @returns the effects, more than one when a snapshot closes a gap
   */
  apply (entry: LogEntry): ReducedRecord[]
  /** Starts a gap after retention dropped the records before `first`; a snapshot or a peer's state closes it. */
  skipTo (first: number): void
  /** Replaces the state with a peer's if that is newer. @returns whether it was replaced */
  adopt (state: ConfigState): boolean
  /** @returns the state as plain data; undefined while there is a gap */
  state (): ConfigState | undefined
  /** @returns undefined for an id that is unknown or older than the window */
  outcome (id: string): ChangeOutcome | undefined
  /** @returns the outcome that the change would have now; does not apply it */
  preview (change: ConfigChange): ChangeOutcome
  readonly view: ConfigView
  entry (key: string): ConfigEntry | undefined
  /** Offset of the newest accepted change; -1 before the first. Never decreases. */
  readonly revision: number
  /** Offset of the next record to reduce. */
  readonly nextOffset: number
  /** False from the start of a gap until a state closes it. */
  readonly complete: boolean
}

type ReducerState = {
  entries: Map<string, ConfigEntry>
  /** Ordered by offset, so that the oldest id comes first. */
  ids: Map<string, { offset: number, outcome: ChangeOutcome | undefined }>
  revision: number
  position: number
  complete: boolean
  /** Changes read since the gap, at offsets from `waitingFrom` to `waitingEnd` - 1. */
  buffered: LogEntry[]
  bufferStart: number
  bufferEnd: number
  assembler: ConfigSnapshotAssembler
}

const isChange = (value: unknown): value is ConfigChange => {
  const change = value as Partial<ConfigChange> | null
  return typeof change === 'object' && change !== null && change.type === 'change' &&
    typeof change.id === 'string' && Number.isInteger(change.base) &&
    typeof change.writes === 'object' && change.writes !== null && Array.isArray(change.reads)
}

const viewWith = (entries: ReadonlyMap<string, ConfigEntry>, writes: Readonly<Record<string, unknown>>): ConfigView => {
  const written = new Map(Object.entries(writes))
  const get = (key: string): unknown => (written.has(key) ? written.get(key) : entries.get(key)?.value) ?? undefined
  const keys = function * (): Iterable<string> {
    for (const key of new Set([...entries.keys(), ...written.keys()])) {
      if (get(key) !== undefined) {
        yield key
      }
    }
  }
  return { get, keys }
}

const existingKeys = function * (state: ReducerState): Iterable<string> {
  for (const [key, { value }] of state.entries) {
    if (value !== null) {
      yield key
    }
  }
}

const structuralFindings = (change: ConfigChange, offset: number): ConfigFinding[] => {
  if (Object.keys(change.writes).length === 0) {
    return [{ key: '', detail: 'the change writes no key' }]
  }
  if (change.base >= offset) {
    return [{ key: '', detail: `base ${change.base} is not older than the change at ${offset}` }]
  }
  if (offset - change.base > changeIdWindowRecords) {
    return [{ key: '', detail: `base ${change.base} is more than ${changeIdWindowRecords} records old; read the configuration again` }]
  }
  return []
}

const evaluateChange = (change: ConfigChange, offset: number, state: ReducerState, cfg: Required<ConfigReducerConfig>): ChangeOutcome => {
  const view: RevisionView = { revision: state.revision, entry: key => state.entries.get(key) }
  const key = cfg.control.conflictingKey(change, view)
  if (key !== undefined) {
    const theirs = state.entries.get(key)
    return { type: 'conflict', key, yours: change.writes[key], theirs: theirs?.value, revision: theirs?.revision ?? state.revision }
  }
  const next = viewWith(state.entries, change.writes)
  const findings = cfg.control.validatesResult ? cfg.validate(next, Object.keys(change.writes)) : []
  return findings.length > 0 ? { type: 'invalid', findings } : { type: 'accepted', revision: offset }
}

const outcomeAt = (change: ConfigChange, offset: number, state: ReducerState, cfg: Required<ConfigReducerConfig>): ChangeOutcome => {
  const earlier = state.ids.get(change.id)
  if (earlier !== undefined) {
    return { type: 'duplicate', first: earlier.offset }
  }
  const findings = structuralFindings(change, offset)
  return findings.length > 0 ? { type: 'invalid', findings } : evaluateChange(change, offset, state, cfg)
}

const dropExpiredIds = (state: ReducerState): void => {
  for (const [id, { offset }] of state.ids) {
    if (state.position - offset <= changeIdWindowRecords) {
      return
    }
    state.ids.delete(id)
  }
}

const applyWrites = (change: ConfigChange, offset: number, state: ReducerState): void => {
  for (const [key, value] of Object.entries(change.writes)) {
    state.entries.set(key, { revision: offset, value })
  }
  state.revision = offset
}

const reduceChange = (change: ConfigChange, offset: number, state: ReducerState, cfg: Required<ConfigReducerConfig>): ReducedRecord => {
  const outcome = outcomeAt(change, offset, state, cfg)
  if (outcome.type === 'accepted') {
    applyWrites(change, offset, state)
  }
  if (outcome.type !== 'duplicate') {
    state.ids.set(change.id, { offset, outcome })
  }
  return { type: 'change', id: change.id, outcome }
}

const replaceState = (next: ConfigState, state: ReducerState): void => {
  const outcomes = state.ids
  state.entries = new Map(next.entries.map(({ key, revision, value }) => [key, { revision, value }]))
  state.ids = new Map(next.ids.map(({ id, offset }) => [id, { offset, outcome: outcomes.get(id)?.outcome }]))
  state.revision = next.entries.reduce((newest, { revision }) => Math.max(newest, revision), -1)
  state.position = next.position
  state.complete = true
}

/** Reduces one record of the contiguous part of the stream. */
const reduceNext = (entry: LogEntry, state: ReducerState, cfg: Required<ConfigReducerConfig>): ReducedRecord[] => {
  state.position = entry.offset + 1
  dropExpiredIds(state)
  if (isChange(entry.value)) {
    return [reduceChange(entry.value, entry.offset, state, cfg)]
  }
  const snapshot = state.assembler.add(entry.value)
  return snapshot === undefined ? [] : [{ type: 'snapshot', revision: snapshot.position - 1, adopted: false }]
}

/** Applies the changes that were read since a gap to a state that covers the gap. */
const applyBuffered = (state: ReducerState, cfg: Required<ConfigReducerConfig>): ReducedRecord[] => {
  const entries = state.buffered.filter(entry => entry.offset >= state.position)
  state.buffered = []
  const reduced = entries.flatMap(entry => reduceNext(entry, state, cfg))
  state.position = Math.max(state.position, state.bufferEnd)
  return reduced
}

const bufferDuringGap = (entry: LogEntry, state: ReducerState, cfg: Required<ConfigReducerConfig>): ReducedRecord[] => {
  state.bufferEnd = entry.offset + 1
  if (isChange(entry.value)) {
    state.buffered.push(entry)
  }
  const snapshot = state.assembler.add(entry.value)
  if (snapshot === undefined || snapshot.position < Math.max(state.bufferStart, state.position)) {
    return []
  }
  replaceState(snapshot, state)
  return [{ type: 'snapshot', revision: snapshot.position - 1, adopted: true }, ...applyBuffered(state, cfg)]
}

/**
 * @param config - validation rules and concurrency control
 * @returns a reducer with an empty configuration at offset 0
 */
export const createConfigReducer = (config: ConfigReducerConfig): ConfigReducer => {
  const cfg = { control: new PerKeyReadSetControl(), ...config }
  const state: ReducerState = {
    entries: new Map(),
    ids: new Map(),
    revision: -1,
    position: 0,
    complete: true,
    buffered: [],
    bufferStart: 0,
    bufferEnd: 0,
    assembler: createConfigSnapshotAssembler()
  }

  const startGap = (first: number): void => {
    state.complete = false
    state.buffered = []
    state.bufferStart = first
    state.bufferEnd = first
    state.assembler.clear()
  }
  const nextOffset = (): number => state.complete ? state.position : state.bufferEnd

  return {
    apply (entry) {
      if (entry.offset < nextOffset()) {
        return []
      }
      if (entry.offset > nextOffset()) {
        startGap(entry.offset)
      }
      return state.complete ? reduceNext(entry, state, cfg) : bufferDuringGap(entry, state, cfg)
    },
    skipTo (first) {
      if (first > nextOffset()) {
        startGap(first)
      }
    },
    adopt (next) {
      const requiredPosition = state.complete ? state.position : Math.max(state.bufferStart, state.position)
      if (next.position <= state.position || next.position < requiredPosition) {
        return false
      }
      replaceState(next, state)
      applyBuffered(state, cfg)
      return true
    },
    state () {
      return state.complete
        ? {
            position: state.position,
            entries: [...state.entries].map(([key, { revision, value }]) => ({ key, revision, value })),
            ids: [...state.ids].map(([id, { offset }]) => ({ id, offset }))
          }
        : undefined
    },
    outcome: id => state.ids.get(id)?.outcome,
    preview: change => outcomeAt(change, Math.max(state.position, change.base + 1), state, cfg),
    view: {
      get: key => state.entries.get(key)?.value ?? undefined,
      keys: () => existingKeys(state)
    },
    entry: key => state.entries.get(key),
    get revision () { return state.revision },
    get nextOffset () { return nextOffset() },
    get complete () { return state.complete }
  }
}
