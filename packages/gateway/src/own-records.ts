/** Records that this node appends to the fleet log, and appends again if the store comes back from a copy without them. */
import type { DecisionLog } from './decision-log'
import type { FeedRecord, FleetLog, FleetRecord, UnreadableRecord } from './platform-interface'

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
  /** Appends the records that are missing among the newest of all keys. */
  appendMissing (newest: readonly FeedRecord<FleetRecord | UnreadableRecord>[]): Promise<void>
}

/** Pause before a record is appended again, in ms: from this time to twice as long. */
const retryPauseMs = 300
/** Longest pause before missing records are appended, in ms: all nodes notice at about the same time that the store has lost records. */
const missingPauseMs = 500
/** Number of records that are kept to be appended again; the oldest are dropped. */
const maxRecords = 256

export function createOwnRecords ({ fleetLog, log, random, leaving }: OwnRecordsOptions): OwnRecords {
  /** A later process of this node has written its record. */
  function isSuperseded (value: FleetRecord, newest: FleetRecord | UnreadableRecord | undefined): boolean {
    return value.type === 'node' && newest?.type === 'node' && newest.incarnation > value.incarnation
  }

  /** The records that the store has accepted. */
  const accepted = new Map<string, { value: FleetRecord, failureEvent: string }>()
  const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, retryPauseMs + retryPauseMs * random()))

  const append: OwnRecords['append'] = async (key, value, failureEvent) => {
    for (;;) {
      const result = await fleetLog.append([{ key, value }])
      if (result.ok) {
        accepted.delete(key)
        accepted.set(key, { value, failureEvent })
        if (accepted.size > maxRecords) accepted.delete(accepted.keys().next().value!)
      }
      if (result.ok || leaving()) return
      log.warn(failureEvent, { key, reason: result.val })
      await pause()
    }
  }

  return {
    append,
    async appendMissing (newest) {
      const present = new Map(newest.map(({ key, value }) => [key, value]))
      const missing = [...accepted].filter(([key, { value }]) => JSON.stringify(present.get(key)) !== JSON.stringify(value) && !isSuperseded(value, present.get(key)))
      if (missing.length === 0 || leaving()) return
      log.info('records-missing', { keys: missing.map(([key]) => key) })
      await new Promise(resolve => setTimeout(resolve, missingPauseMs * random()))
      for (const [key, { value, failureEvent }] of missing) await append(key, value, failureEvent)
    }
  }
}
