/** Selection of timeline events. */
import type { TimelineEvent } from '@yuccawharf/schema'

/** An event is selected when it has all the given ids; `adapter` may be a name, a name with version or a handle. */
export type TimelineFilter = { request?: string, engine?: string, adapter?: string, order?: string }

export const filterNames = ['request', 'engine', 'adapter', 'order'] as const

/** Events contain the handle ADAPTER@VERSION~TERM.COUNTER of one load. */
function matchesAdapter (recorded: string | undefined, wanted: string): boolean {
  if (recorded === undefined) return false
  return recorded === wanted || recorded.startsWith(`${wanted}@`) || recorded.startsWith(`${wanted}~`)
}

export function matches (event: TimelineEvent, filter: TimelineFilter): boolean {
  if (filter.adapter !== undefined && !matchesAdapter(event.adapter, filter.adapter)) return false
  return (['request', 'engine', 'order'] as const).every(name => filter[name] === undefined || event[name] === filter[name])
}
