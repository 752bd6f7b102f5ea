/** Readable lines of timeline events. */
import type { TimelineEvent } from '@yuccawharf/schema'
import { filterNames } from './filter'

/** Control characters would let recorded text forge lines or change the terminal. */
function printable (text: string): string {
  return text.replace(/[\p{Cc}\u2028\u2029]/gu, character => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`)
}

/** Milliseconds that a Date can express. */
const maxDateMs = 8.64e15

function formatTime (ms: number): string {
  return ms <= maxDateMs ? new Date(ms).toISOString() : String(ms)
}

/** @returns one line such as `2026-12-04T04:00:00.000Z+2 n1 dispatch request=r1 engine=e1 | 3 ms` */
export function formatEvent (event: TimelineEvent): string {
  const ids = filterNames.flatMap(name => event[name] === undefined ? [] : [`${name}=${event[name]}`])
  const counter = event.counter === 0 ? '' : `+${event.counter}`
  const duration = event.durationMs === undefined ? [] : [`${Math.round(event.durationMs * 10) / 10} ms`]
  const detail = event.detail === undefined ? [] : [event.detail]
  const notes = [...duration, ...detail]
  const parts = [`${formatTime(event.time)}${counter}`, event.process, event.kind, ...ids]
  return printable(notes.length === 0 ? parts.join(' ') : `${parts.join(' ')} | ${notes.join(', ')}`)
}
