/** Blocks prompt parts at all nodes: at once by message, and by a record in the fleet log for nodes that start later. */
import { createBlockedParts, type BlockedPart, type BlockedParts } from './blocked-parts'
import type { DecisionLog, LogFields } from './decision-log'
import type { GatewayMetrics } from './gateway-metrics'
import type { FeedRecord, FleetRecord, UnreadableRecord } from './platform-interface'

export type PartBlockingOptions = {
  now (): number
  /** Time of day, Unix ms. */
  wallClock (): number
  log: DecisionLog
  metrics: GatewayMetrics
  notifyPeers (blocked: BlockedPart): void
  /** Appends a record to the fleet log, however long that takes. */
  record (key: string, value: FleetRecord): Promise<void>
}

export type PartBlocking = Pick<BlockedParts, 'find' | 'wasBlocked'> & {
  /** @param engines - the engines that the part crashed */
  block (blocked: BlockedPart, engines: string[]): void
  /** Another node has blocked the part. */
  receive (from: string, blocked: BlockedPart): void
  apply (records: readonly FeedRecord<FleetRecord | UnreadableRecord>[]): void
}

export function createPartBlocking (options: PartBlockingOptions): PartBlocking {
  const { now, wallClock } = options
  const parts = createBlockedParts()

  function add ({ service, part }: BlockedPart, ageMs: number, source: LogFields): void {
    if (parts.add({ service, part }, ageMs, now())) options.log.warn('prompt-part-blocked', { service, part, ...source })
    options.metrics.gauge('blocked_parts', parts.size(now()))
  }

  return {
    find: parts.find,
    wasBlocked: parts.wasBlocked,
    block (blocked, engines) {
      add(blocked, 0, { engines })
      options.notifyPeers(blocked)
      const key = `blocked-part/${blocked.service}/${blocked.part}`
      options.record(key, { type: 'blocked-part', ...blocked, at: wallClock() })
        .catch(err => { options.log.error('block-not-recorded', { key, reason: (err as Error).message }) })
    },
    receive: (from, blocked) => add(blocked, 0, { from }),
    apply (records) {
      for (const { offset, value } of records) {
        if (value?.type === 'blocked-part') add(value, wallClock() - value.at, { offset })
      }
    }
  }
}
