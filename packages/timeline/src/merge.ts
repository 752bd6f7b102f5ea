/** Merges the timelines of several processes into one order. */
import type { TimelineEvent, TimelineReply } from '@yuccawharf/schema'
import { compareStamps } from './hybrid-clock'

/** Compares events by stamp. The process name decides between equal stamps, which imply no order of the events. */
export function compareEvents (left: TimelineEvent, right: TimelineEvent): number {
  const order = compareStamps(left, right)
  if (order !== 0 || left.process === right.process) return order
  return left.process < right.process ? -1 : 1
}

/**
 * Merges timelines. An event that occurs in several of them, for example in a file and live from
 * the same node, appears once.
 */
export function mergeTimelines (timelines: TimelineReply[]): TimelineEvent[] {
  const events = timelines.flatMap(timeline => timeline.events).sort(compareEvents)
  return events.filter((event, index) => index === 0 || compareEvents(events[index - 1]!, event) !== 0)
}
