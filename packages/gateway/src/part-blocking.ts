/** Blocks prompt parts and whole requests at all nodes: at once by message, and by a record in the fleet log for nodes that start later. */
import { createBlockedParts, type BlockedParts } from './blocked-parts'
import type { DecisionLog, LogFields } from './decision-log'
import type { GatewayMetrics } from './gateway-metrics'
import type { FeedRecord, FleetRecord, UnreadableRecord } from './platform-interface'
import { isRequestKey } from './request-digest'

export type PartBlockingOptions = {
  now (): number
  /** Time of day, Unix ms. */
  wallClock (): number
  log: DecisionLog
  metrics: GatewayMetrics
  notifyPeers (part: string): void
  /** Tells the other nodes that the part is held for a time, in ms. */
  notifyHold (part: string, forMs: number): void
  /** Appends a record to the fleet log, however long that takes. */
  record (key: string, value: FleetRecord): Promise<void>
}

export type PartBlocking = Pick<BlockedParts, 'find' | 'wasBlocked'> & {
  /** @param engines - the engines that the part crashed */
  block (part: string, engines: string[]): void
  /**
   * Refuses a part for a short time at all nodes.
   *
   * @param engines - the engines that it probably crashed
   */
  hold (part: string, engines: string[], forMs: number): void
  receiveHold (from: string, part: string, forMs: number): void
  /** Another node has blocked the part. */
  receive (from: string, part: string): void
  apply (records: readonly FeedRecord<FleetRecord | UnreadableRecord>[]): void
}

const recordPrefix = 'blocked-part/'

/** @returns the key of the record of a blocked part; operators remove the record to lift the block */
export function blockedPartKey (part: string): string {
  return `${recordPrefix}${part}`
}

export function createPartBlocking (options: PartBlockingOptions): PartBlocking {
  const { now, wallClock } = options
  const parts = createBlockedParts()

  function add (part: string, ageMs: number, source: LogFields): void {
    if (parts.add(part, ageMs, now())) options.log.warn(isRequestKey(part) ? 'request-blocked' : 'prompt-part-blocked', { part, ...source })
    options.metrics.gauge('blocked_parts', parts.size(now()))
  }

  function lift (part: string, offset: number): void {
    if (parts.remove(part, now())) options.log.warn('block-lifted', { part, offset })
    options.metrics.gauge('blocked_parts', parts.size(now()))
  }

  function addHold (part: string, forMs: number, source: LogFields): void {
    parts.hold(part, forMs, now())
    options.log.warn('request-held', { part, forMs, ...source })
  }

  return {
    find: parts.find,
    wasBlocked: parts.wasBlocked,
    block (part, engines) {
      add(part, 0, { engines })
      options.notifyPeers(part)
      const key = blockedPartKey(part)
      options.record(key, { type: 'blocked-part', part, at: wallClock() })
        .catch(err => { options.log.error('block-not-recorded', { key, reason: (err as Error).message }) })
    },
    hold (part, engines, forMs) {
      addHold(part, forMs, { engines })
      options.notifyHold(part, forMs)
    },
    receiveHold: (from, part, forMs) => addHold(part, forMs, { from }),
    receive: (from, part) => add(part, 0, { from }),
    apply (records) {
      for (const { key, offset, value } of records) {
        if (value?.type === 'blocked-part') add(value.part, wallClock() - value.at, { offset })
        else if (value === undefined && key.startsWith(recordPrefix)) lift(key.slice(recordPrefix.length), offset)
      }
    }
  }
}
