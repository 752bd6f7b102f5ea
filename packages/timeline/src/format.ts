/** Formats timeline events as lines of text. */
import type { TimelineEvent } from '@yuccawharf/schema'
import { filterNames } from './filter'

/** Escapes control characters, with which recorded text could forge lines or control the terminal. */
function printable (text: string): string {
  return text.replace(/[\p{Cc}\u2028\u2029]/gu, character => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`)
}

/** Latest time that a Date can represent, in ms since 1970. */
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
