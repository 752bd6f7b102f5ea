/** Load hints in the headers of responses to forwarded requests: they reach exactly the nodes that send work, without extra messages. */
import type { AgedLoadHint } from './core/core-events'

export const loadHintHeader = 'x-engine-load'

/** Nodes own about two engines each, so a header with more hints than this doesn't come from a node of the system. */
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

/** @returns the well-formed hints; a hint affects only latency, so malformed ones are dropped */
export function parseLoadHints (text: string): AgedLoadHint[] {
  try {
    const value = JSON.parse(text) as unknown
    return Array.isArray(value) ? value.slice(0, maxHints).flatMap(parseHint) : []
  } catch {
    return []
  }
}
