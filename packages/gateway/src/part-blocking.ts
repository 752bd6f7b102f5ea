/** Blocks prompt parts at all nodes: at once by message, and by a record in the fleet log for nodes that start later. */
import { createBlockedParts, type BlockedParts } from './blocked-parts'
import type { DecisionLog, LogFields } from './decision-log'
import type { GatewayMetrics } from './gateway-metrics'
import type { FeedRecord, FleetRecord, UnreadableRecord } from './platform-interface'

export type PartBlockingOptions = {
  now (): number
  /** Time of day, Unix ms. */
  wallClock (): number
  log: DecisionLog
  metrics: GatewayMetrics
  notifyPeers (part: string): void
  /** Appends a record to the fleet log, however long that takes. */
  record (key: string, value: FleetRecord): Promise<void>
}

export type PartBlocking = Pick<BlockedParts, 'find' | 'wasBlocked'> & {
  /** @param engines - the engines that the part crashed */
  block (part: string, engines: string[]): void
  /** Another node has blocked the part. */
  receive (from: string, part: string): void
  apply (records: readonly FeedRecord<FleetRecord | UnreadableRecord>[]): void
}

export function createPartBlocking (options: PartBlockingOptions): PartBlocking {
  const { now, wallClock } = options
  const parts = createBlockedParts()

  function add (part: string, ageMs: number, source: LogFields): void {
    if (parts.add(part, ageMs, now())) options.log.warn('prompt-part-blocked', { part, ...source })
    options.metrics.gauge('blocked_parts', parts.size(now()))
  }

  return {
    find: parts.find,
    wasBlocked: parts.wasBlocked,
    block (part, engines) {
      add(part, 0, { engines })
      options.notifyPeers(part)
      const key = `blocked-part/${part}`
      options.record(key, { type: 'blocked-part', part, at: wallClock() })
        .catch(err => { options.log.error('block-not-recorded', { key, reason: (err as Error).message }) })
    },
    receive: (from, part) => add(part, 0, { from }),
    apply (records) {
      for (const { offset, value } of records) {
        if (value?.type === 'blocked-part') add(value.part, wallClock() - value.at, { offset })
      }
    }
  }
}
