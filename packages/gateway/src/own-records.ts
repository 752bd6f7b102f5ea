/** Records that this node appends to the fleet log, and appends again if the store comes back from a copy without them. */
import type { DecisionLog } from './decision-log'
import { eraOf } from './log-position'
import type { FeedRecord, FleetLog, FleetRecord, UnreadableRecord } from './platform-interface'

type NodeRecord = FleetRecord & { type: 'node' }

/**
 * Whether a record of this node is by a process that started after this one. Times of day may go back,
 * so the order of the records decides. No other process can listen on this one's address, and a store
 * that comes back from a copy gives its records new positions.
 *
 * @param ownPosition - position of this process' own record; undefined if it is not known
 */
export function isLaterProcess (own: NodeRecord, ownPosition: number | undefined, other: NodeRecord, position: number): boolean {
  return other.incarnation !== own.incarnation && other.address !== own.address &&
    ownPosition !== undefined && eraOf(position) === eraOf(ownPosition) && position > ownPosition
}

export type OwnRecordsOptions = {
  fleetLog: FleetLog
  log: DecisionLog
  random (): number
  /** Whether this node leaves the fleet and gives up on records that the store does not accept. */
  leaving (): boolean
}

export type OwnRecords = {
  /** Appends a record, again and again until the store accepts it or this node leaves. */
  append (key: string, value: FleetRecord, failureEvent: string): Promise<void>
  /** Forgets the records that operators have removed. */
  read (records: readonly FeedRecord<FleetRecord | UnreadableRecord>[]): void
  /** Appends the records that are missing among the newest of all keys. */
  appendMissing (newest: readonly FeedRecord<FleetRecord | UnreadableRecord>[]): Promise<void>
}

/** Pause before a record is appended again, in ms: from this time to twice as long. */
const retryPauseMs = 300
/** Longest pause before missing records are appended, in ms: all nodes notice at about the same time that the store has lost records. */
const missingPauseMs = 500
/** Number of records that are kept to be appended again; the oldest are dropped. */
const maxRecords = 256

type AcceptedRecord = { value: FleetRecord, position: number, failureEvent: string }

export function createOwnRecords ({ fleetLog, log, random, leaving }: OwnRecordsOptions): OwnRecords {
  /** A later process of this node has written its record. */
  function isSuperseded ({ value, position }: AcceptedRecord, newest: FeedRecord<FleetRecord | UnreadableRecord> | undefined): boolean {
    return value.type === 'node' && newest?.value?.type === 'node' && isLaterProcess(value, position, newest.value, newest.offset)
  }

  /** The records that the store has accepted. */
  const accepted = new Map<string, AcceptedRecord>()
  const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, retryPauseMs + retryPauseMs * random()))

  const append: OwnRecords['append'] = async (key, value, failureEvent) => {
    for (;;) {
      const result = await fleetLog.append([{ key, value }])
      if (result.ok) {
        accepted.delete(key)
        accepted.set(key, { value, position: result.val, failureEvent })
        if (accepted.size > maxRecords) accepted.delete(accepted.keys().next().value!)
      }
      if (result.ok || leaving()) return
      log.warn(failureEvent, { key, reason: result.val })
      await pause()
    }
  }

  return {
    append,
    read (records) {
      for (const { key, offset, value } of records) {
        if (value === undefined && offset > (accepted.get(key)?.position ?? Infinity)) accepted.delete(key)
      }
    },
    async appendMissing (newest) {
      const present = new Map(newest.map(record => [record.key, record]))
      const missing = [...accepted].filter(([key, own]) => JSON.stringify(present.get(key)?.value) !== JSON.stringify(own.value) && !isSuperseded(own, present.get(key)))
      if (missing.length === 0 || leaving()) return
      log.info('records-missing', { keys: missing.map(([key]) => key) })
      await new Promise(resolve => setTimeout(resolve, missingPauseMs * random()))
      for (const [key, { value, failureEvent }] of missing) await append(key, value, failureEvent)
    }
  }
}
