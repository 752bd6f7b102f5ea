/** Records that this node appends to the fleet log. */
import type { DecisionLog } from './decision-log'
import type { FleetLog, FleetRecord } from './platform-interface'

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
}

/** Pause before a record is appended again, in ms: from this time to twice as long. */
const retryPauseMs = 300

export function createOwnRecords ({ fleetLog, log, random, leaving }: OwnRecordsOptions): OwnRecords {
  const pause = (): Promise<void> => new Promise(resolve => setTimeout(resolve, retryPauseMs + retryPauseMs * random()))

  return {
    async append (key, value, failureEvent) {
      for (;;) {
        const result = await fleetLog.append([{ key, value }])
        if (result.ok || leaving()) return
        log.warn(failureEvent, { key, reason: result.val })
        await pause()
      }
    }
  }
}
