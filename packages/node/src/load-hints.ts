/** Load hints in the responses to forwarded requests: they reach only nodes that send work, at no extra message. */
import type { AgedLoadHint } from './core/core-events'

export const loadHintHeader = 'x-engine-load'

/** Owners hold about two engines; a header with more hints than this is not from a node of ours. */
const maxHints = 64

type Packed = [engine: string, waitMs: number, loadWaitMs: number, queued: number, running: number, ageMs: number]

/** @returns the value of the header */
export function formatLoadHints (hints: AgedLoadHint[]): string {
  const packed = hints.slice(0, maxHints).map(({ engine, waitMs, loadWaitMs, queued, running, ageMs }): Packed =>
    [engine, Math.round(waitMs), Math.round(loadWaitMs), queued, running, Math.round(ageMs)])
  return JSON.stringify(packed)
}

function parseHint (value: unknown): AgedLoadHint[] {
  if (!Array.isArray(value) || value.length !== 6) return []
  const [engine, ...numbers] = value as [unknown, ...unknown[]]
  if (typeof engine !== 'string' || !numbers.every(number => typeof number === 'number' && number >= 0)) return []
  const [waitMs = 0, loadWaitMs = 0, queued = 0, running = 0, ageMs = 0] = numbers as number[]
  return [{ engine, waitMs, loadWaitMs, queued, running, ageMs }]
}

/** @returns the hints that are well formed; a hint only affects speed, so damaged ones are dropped */
export function parseLoadHints (text: string): AgedLoadHint[] {
  try {
    const value = JSON.parse(text) as unknown
    return Array.isArray(value) ? value.slice(0, maxHints).flatMap(parseHint) : []
  } catch {
    return []
  }
}
