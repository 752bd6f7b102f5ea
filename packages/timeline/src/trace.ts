/** Converts events to the trace-event format of trace viewers. */
import type { TimelineEvent } from '@yuccawharf/schema'

/** One entry of the format; `ts` and `dur` are in µs. */
export type TraceEvent = {
  name: string
  cat: string
  ph: 'M' | 'i' | 'X' | 'b' | 'e'
  ts: number
  pid: number
  tid: number
  dur?: number
  id?: string
  s?: 't'
  args?: Record<string, unknown>
}

export type Trace = { displayTimeUnit: 'ms', traceEvents: TraceEvent[] }

type IdAllocator = { idOf: (name: string) => number, names: () => string[] }

function createIdAllocator (): IdAllocator {
  const ids = new Map<string, number>()
  return {
    idOf (name) {
      const existing = ids.get(name)
      if (existing !== undefined) return existing
      ids.set(name, ids.size + 1)
      return ids.size
    },
    names: () => [...ids.keys()]
  }
}

function trackOf (event: TimelineEvent): string {
  return event.engine ?? 'node'
}

// The counter is added as µs, so that events of the same ms keep their order in a viewer.
function microseconds (event: TimelineEvent): number {
  return event.time * 1000 + Math.min(event.counter, 999)
}

function argsOf (event: TimelineEvent): Record<string, unknown> {
  const { time, counter, process, kind, durationMs, ...rest } = event
  return rest
}

/** A span from the first to the last event of each request and order. */
function spans (events: TimelineEvent[], processIdOf: (process: string) => number): TraceEvent[] {
  const spansByKey = new Map<string, { cat: string, id: string, first: TimelineEvent, last: TimelineEvent }>()
  for (const event of events) {
    for (const cat of ['request', 'order'] as const) {
      const id = event[cat]
      if (id === undefined) continue
      const span = spansByKey.get(`${cat} ${id}`)
      if (span === undefined) spansByKey.set(`${cat} ${id}`, { cat, id, first: event, last: event })
      else span.last = event
    }
  }
  return [...spansByKey.values()].filter(span => span.first !== span.last).flatMap(({ cat, id, first, last }) => {
    const common = { name: `${cat} ${id}`, cat, id, pid: processIdOf(first.process), tid: 0 }
    return [{ ...common, ph: 'b' as const, ts: microseconds(first) }, { ...common, ph: 'e' as const, ts: microseconds(last) }]
  })
}

/**
 * Converts merged events. Each process of the timeline is a process of the trace with one track
 * per engine; an event with a duration becomes a span that ends at the event.
 */
export function createTrace (events: TimelineEvent[]): Trace {
  const processes = createIdAllocator()
  const tracks = createIdAllocator()
  const usedTracks = new Map<string, { pid: number, tid: number, track: string }>()
  const entries = events.map((event): TraceEvent => {
    const pid = processes.idOf(event.process)
    const tid = tracks.idOf(trackOf(event))
    usedTracks.set(`${pid} ${tid}`, { pid, tid, track: trackOf(event) })
    const common = { name: event.kind, cat: 'event', pid, tid, args: argsOf(event) }
    if (event.durationMs === undefined) return { ...common, ph: 'i', s: 't', ts: microseconds(event) }
    const dur = event.durationMs * 1000
    return { ...common, ph: 'X', ts: microseconds(event) - dur, dur }
  })
  const metadata = (name: string, pid: number, tid: number, value: string): TraceEvent => ({ name, cat: '__metadata', ph: 'M', ts: 0, pid, tid, args: { name: value } })
  const names = processes.names().map(name => metadata('process_name', processes.idOf(name), 0, name))
  const threads = [...usedTracks.values()].map(({ pid, tid, track }) => metadata('thread_name', pid, tid, track))
  return { displayTimeUnit: 'ms', traceEvents: [...names, ...threads, ...entries, ...spans(events, processes.idOf)] }
}
