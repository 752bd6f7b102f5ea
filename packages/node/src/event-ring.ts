/** Keeps the newest events of this process for the timeline. */
import type { TimelineEvent } from '@yuccawharf/schema'

export type RecordedEvent = { kind: string, request?: string, engine?: string, adapter?: string, order?: string, detail?: string }

export type EventRing = {
  record (event: RecordedEvent, now: number): void
  /** Body of `GET /admin/timeline`: the events whose members equal those of the filter, oldest first. */
  read (filter: Record<string, string>): { process: string, dropped: number, events: TimelineEvent[] }
}

/** @param capacity events kept */
export function createEventRing (process: string, capacity: number): EventRing {
  const events: TimelineEvent[] = []
  let recorded = 0
  let time = 0
  let counter = 0

  function stamp (now: number): void {
    const next = Math.floor(now)
    counter = next > time ? 0 : counter + 1
    time = Math.max(time, next)
  }

  function matches (event: TimelineEvent, filter: Record<string, string>): boolean {
    return Object.entries(filter).every(([name, value]) => event[name as keyof TimelineEvent] === value)
  }

  return {
    record (event, now) {
      stamp(now)
      events[recorded % capacity] = { time, counter, process, ...event }
      recorded++
    },
    read (filter) {
      const oldest = recorded > capacity ? recorded % capacity : 0
      const ordered = [...events.slice(oldest), ...events.slice(0, oldest)]
      return { process, dropped: Math.max(0, recorded - capacity), events: ordered.filter(event => matches(event, filter)) }
    }
  }
}
