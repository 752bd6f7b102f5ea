/** Encoding of datagrams between nodes: an envelope with a membership message, as compact JSON. */
import { packMembership, unpackMembership } from '@yuccawharf/coordination'
import type { Envelope } from './core/core-events'
import type { CoreMessage } from './core/peer-messages'

/**
 * @param envelope - must have a membership message; other messages aren't sent as datagrams
 * @returns the datagram
 */
export function encodeDatagram ({ from, to, incarnation, revision, stamp, message }: Envelope): string {
  const { type, datagram } = message as CoreMessage & { type: 'membership' }
  if (type !== 'membership') throw new Error(`message ${String(type)} cannot be sent as a datagram`)
  return JSON.stringify([from, to, incarnation, revision, packMembership(datagram), stamp])
}

/** @returns the envelope, or undefined if any part of the datagram is malformed */
export function decodeDatagram (bytes: Buffer): Envelope | undefined {
  let value: unknown
  try {
    value = JSON.parse(bytes.toString('utf8'))
  } catch {
    return undefined
  }
  if (!Array.isArray(value)) return undefined
  const [from, to, incarnation, revision, packed, stamp] = value as unknown[]
  const datagram = unpackMembership(packed)
  const valid = typeof from === 'string' && typeof to === 'string' && Number.isSafeInteger(incarnation) && Number.isSafeInteger(revision)
  if (!valid || datagram === undefined) return undefined
  const message: CoreMessage = { type: 'membership', datagram }
  return { from, to, incarnation: incarnation as number, revision: revision as number, message, ...(typeof stamp === 'string' ? { stamp } : {}) }
}
