/**
 * Reducer of the `ownership` stream: which owner records are valid, which processes owned an
 * engine before, and which evictions were authorised and may still reach the engine.
 */
import type { LogEntry } from '@yuccawharf/clients'
import { validateRecords, type EvictRecord, type EvictedRecord, type OwnerRecord, type SnapshotRecord } from '@yuccawharf/schema'
import { createOwnershipSnapshotAssembler, type OwnershipEntry } from './ownership-snapshot'
import type { EvictionIntent, OwnerTerm, Predecessor, ProcessId } from './ownership-types'

export type OwnershipChange =
  | { type: 'owner', term: OwnerTerm, previous?: OwnerTerm }
  /** The owner has proof that no predecessor still uses the engine. */
  | { type: 'confirmed', term: OwnerTerm }
  | { type: 'invalid', record: OwnerRecord, offset: number }
  | { type: 'intent', intent: EvictionIntent, authorised: boolean }
  | { type: 'evicted', engine: string, handle: string }
  /** Retention dropped unread records; the state is unusable until a snapshot is read. */
  | { type: 'incomplete' }
  | { type: 'restored' }

export type OwnershipReducer = {
  /** Applies one record; offsets that were already applied are ignored. */
  apply (entry: LogEntry): OwnershipChange[]
  /** Starts a gap after retention dropped the records before `first`; a snapshot closes it. */
  skipTo (first: number): OwnershipChange[]
  owner (engine: string): OwnerTerm | undefined
  ownedBy (node: string): OwnerTerm[]
  /** Processes other than the owner's that owned the engine and are not known to have ended. */
  predecessors (engine: string): Predecessor[]
  unresolvedIntents (engine: string): EvictionIntent[]
  /** Content of a snapshot that covers all offsets below {@link OwnershipReducer.nextOffset}. */
  entries (): OwnershipEntry[]
  /** False while the state lacks records that retention dropped. */
  readonly complete: boolean
  /** Offset of the next record to apply. */
  readonly nextOffset: number
}

type EngineState = {
  owner: OwnerTerm | undefined
  predecessors: Predecessor[]
  intents: Map<string, EvictionIntent>
}

export const isSameProcess = (left: ProcessId, right: ProcessId): boolean =>
  left.node === right.node && left.incarnation === right.incarnation

const predecessorsOf = (state: EngineState, next: ProcessId): Predecessor[] => {
  const { owner } = state
  const earlier = owner === undefined
    ? state.predecessors
    : [...state.predecessors.filter(process => !isSameProcess(process, owner)), { node: owner.node, incarnation: owner.incarnation, term: owner.term }]
  return earlier.filter(process => !isSameProcess(process, next))
}

/** @returns an empty reducer that expects the stream from offset 0 */
export const createOwnershipReducer = (): OwnershipReducer => {
  const engines = new Map<string, EngineState>()
  const assembler = createOwnershipSnapshotAssembler()
  let nextOffset = 0
  let complete = true
  /** Records read since a gap, at offsets from `waitingFrom` to `waitingEnd` - 1. */
  let buffered: LogEntry[] = []
  let bufferStart = 0
  let bufferEnd = 0

  const getOrCreateState = (engine: string): EngineState => {
    const existing = engines.get(engine)
    if (existing !== undefined) {
      return existing
    }
    const created: EngineState = { owner: undefined, predecessors: [], intents: new Map() }
    engines.set(engine, created)
    return created
  }

  const applyOwner = (record: OwnerRecord, offset: number): OwnershipChange => {
    const state = getOrCreateState(record.engine)
    const { owner } = state
    if (record.after !== (owner?.latest ?? -1)) {
      return { type: 'invalid', record, offset }
    }
    if (owner !== undefined && isSameProcess(owner, record)) {
      state.owner = { ...owner, latest: offset }
      state.predecessors = []
      return { type: 'confirmed', term: state.owner }
    }
    const term: OwnerTerm = { engine: record.engine, node: record.node, incarnation: record.incarnation, term: offset, latest: offset }
    state.predecessors = predecessorsOf(state, record)
    state.owner = term
    return { type: 'owner', term, ...(owner === undefined ? {} : { previous: owner }) }
  }

  const applyIntent = (record: EvictRecord): OwnershipChange => {
    const state = getOrCreateState(record.engine)
    const intent: EvictionIntent = { engine: record.engine, term: record.term, handle: record.handle }
    const authorised = state.owner?.term === record.term
    if (authorised) {
      state.intents.set(record.handle, intent)
    }
    return { type: 'intent', intent, authorised }
  }

  const applyEvicted = (record: EvictedRecord): OwnershipChange => {
    getOrCreateState(record.engine).intents.delete(record.handle)
    return { type: 'evicted', engine: record.engine, handle: record.handle }
  }

  const restore = (entries: OwnershipEntry[], revision: number): void => {
    engines.clear()
    for (const entry of entries) {
      engines.set(entry.engine, {
        owner: entry.owner,
        predecessors: entry.predecessors,
        intents: new Map(entry.intents.map(intent => [intent.handle, intent]))
      })
    }
    nextOffset = Math.max(revision + 1, bufferStart)
    complete = true
  }

  const restoreFrom = (record: SnapshotRecord): OwnershipChange[] => {
    const entries = assembler.add(record)
    if (complete || entries === undefined || record.revision + 1 < bufferStart) {
      return []
    }
    const later = buffered.filter(entry => entry.offset > record.revision)
    buffered = []
    restore(entries, record.revision)
    return [{ type: 'restored' }, ...later.flatMap(apply)]
  }

  const applyRecord = (entry: LogEntry): OwnershipChange[] => {
    if (!validateRecords(entry.value)) {
      return []
    }
    const record = entry.value as OwnerRecord | EvictRecord | EvictedRecord | SnapshotRecord
    switch (record.type) {
      case 'owner': return [applyOwner(record, entry.offset)]
      case 'evict': return [applyIntent(record)]
      case 'evicted': return [applyEvicted(record)]
      case 'snapshot': return restoreFrom(record)
      default: return []
    }
  }

  const bufferDuringGap = (entry: LogEntry): OwnershipChange[] => {
    const record = entry.value as { type?: unknown } | null
    buffered.push(entry)
    bufferEnd = entry.offset + 1
    return record?.type === 'snapshot' && validateRecords(record) ? restoreFrom(record as SnapshotRecord) : []
  }

  const startGap = (first: number): OwnershipChange[] => {
    const expected = complete ? nextOffset : bufferEnd
    if (first <= expected) {
      return []
    }
    complete = false
    buffered = []
    bufferStart = first
    bufferEnd = first
    return [{ type: 'incomplete' }]
  }

  const apply = (entry: LogEntry): OwnershipChange[] => {
    if (!complete) {
      return entry.offset < bufferEnd ? [] : [...startGap(entry.offset), ...bufferDuringGap(entry)]
    }
    if (entry.offset < nextOffset) {
      return []
    }
    if (entry.offset > nextOffset) {
      return [...startGap(entry.offset), ...bufferDuringGap(entry)]
    }
    nextOffset = entry.offset + 1
    return applyRecord(entry)
  }

  const entryOf = ([engine, state]: [string, EngineState]): OwnershipEntry => ({
    engine,
    owner: state.owner,
    predecessors: state.predecessors,
    intents: [...state.intents.values()]
  })

  return {
    apply,
    skipTo: startGap,
    owner: engine => engines.get(engine)?.owner,
    ownedBy: node => [...engines.values()].flatMap(({ owner }) => owner?.node === node ? [owner] : []),
    predecessors: engine => engines.get(engine)?.predecessors ?? [],
    unresolvedIntents: engine => [...engines.get(engine)?.intents.values() ?? []],
    entries: () => [...engines].map(entryOf),
    get complete () {
      return complete
    },
    get nextOffset () {
      return complete ? nextOffset : bufferEnd
    }
  }
}
