/** Events of one process in a bounded ring buffer. */
import type { TimelineEvent, TimelineReply } from '@yuccawharf/schema'
import { matches, type TimelineFilter } from './filter'
import type { HybridClock } from './hybrid-clock'

/** Ids of the objects that an event refers to. */
export type TimelineIds = { request?: string, engine?: string, adapter?: string, order?: string }

export type TimelineRecorder = {
  /**
   * @param now - wall-clock time in ms
   * @param durationMs - length of an activity that ends with the event
   */
  record (now: number, kind: string, ids?: TimelineIds, detail?: string, durationMs?: number): void
  /** Retained events, oldest first. */
  list (filter?: TimelineFilter): TimelineReply
}

/** Longer details are truncated to bound the memory of the buffer. */
const maxDetailCharacters = 500

/**
 * @param options.process - name of this process in merged timelines
 * @param options.capacity - maximum number of events; the oldest are dropped
 */
export function createTimelineRecorder (options: { process: string, capacity: number, clock: HybridClock }): TimelineRecorder {
  const { process, capacity, clock } = options
  const ring: TimelineEvent[] = []
  let recordedCount = 0

  const oldestFirst = (): TimelineEvent[] => {
    const oldest = recordedCount % capacity
    return recordedCount <= capacity ? ring : [...ring.slice(oldest), ...ring.slice(0, oldest)]
  }

  return {
    record (now, kind, ids = {}, detail, durationMs) {
      const event: TimelineEvent = { ...clock.tick(now), process, kind, ...ids }
      if (detail !== undefined) event.detail = detail.slice(0, maxDetailCharacters)
      if (durationMs !== undefined) event.durationMs = durationMs
      ring[recordedCount % capacity] = event
      recordedCount++
    },
    list: (filter = {}) => ({ process, dropped: Math.max(0, recordedCount - capacity), events: oldestFirst().filter(event => matches(event, filter)) })
  }
}
