/** Messages between cores. All values survive JSON. */
import type { ConfigState, MembershipMessage, RunningRequest } from '@yuccawharf/coordination'
import type { Refusal } from './core-events'

/** An order on its way to the owner of its shard; the body is base64. */
export type OrderTransfer = {
  orderId: string
  group: string
  key: string
  method: string
  path: string
  headers: Record<string, string>
  body: string
  remainingMs: number
}

/** `body` is base64, or the digest of a body beyond the size bound. */
export type OrderReply =
  | { type: 'ok', status: number, contentType: string, body: string }
  | { type: 'refused', refusal: Refusal }

export type CoreMessage =
  | { type: 'membership', datagram: MembershipMessage }
  /** The sender's term has ended; `term` is the successor's, `number` counts the versions of `running`. */
  | { type: 'term-ended', engine: string, term: number, number: number, running: RunningRequest[] }
  | { type: 'term-ended-ack', engine: string, term: number, number: number }
  | { type: 'permit-ask', engine: string, urgency: number }
  | { type: 'permit-grant', engine: string, permitId: string, remainingMs: number }
  | { type: 'permit-return', permitId: string, unused?: true }
  | { type: 'config-request' }
  | { type: 'config-state', state: ConfigState }
  /** An instance was seen leaving; `asOf` is the list's time, or -1 when the instance itself said so. */
  | { type: 'leaving', instance: string, asOf: number }
  | { type: 'claim-heads', heads: { shard: number, offset: number }[] }
  | { type: 'order', order: OrderTransfer }
  /** Before it sends, the shard's owner asks whether the caller still waits: the order may have been long under way. */
  | { type: 'order-confirm', orderId: string }
  | { type: 'order-confirmed', orderId: string, wanted: boolean }
  /** Whether the receiver has handled an order with the key; asked while the log cannot tell. */
  | { type: 'key-query', orderId: string, key: string }
  | { type: 'key-answer', orderId: string, seen: boolean }
  | { type: 'order-reply', orderId: string, reply: OrderReply }
