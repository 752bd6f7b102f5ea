/** Selection of timeline events. */
import type { TimelineEvent } from '@yuccawharf/schema'

/** An event is selected when it has all the given ids. */
export type TimelineFilter = { request?: string, engine?: string, adapter?: string, order?: string }

export const filterNames = ['request', 'engine', 'adapter', 'order'] as const

export function matches (event: TimelineEvent, filter: TimelineFilter): boolean {
  return filterNames.every(name => filter[name] === undefined || event[name] === filter[name])
}
