/** Messages between cores. All values can be encoded as JSON. */
import type { ConfigState, MembershipMessage, RunningRequest } from '@yuccawharf/coordination'
import type { Refusal } from './core-events'

/** An order as sent to the owner of its shard; `body` is base64. */
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

/** `body` is base64, or a digest if the body exceeds the size limit. */
export type OrderReply =
  | { type: 'ok', status: number, contentType: string, body: string }
  | { type: 'refused', refusal: Refusal }

export type CoreMessage =
  | { type: 'membership', datagram: MembershipMessage }
  /** The sender's term has ended. `term` is that of its successor; `number` increases with each change of `running`. */
  | { type: 'term-ended', engine: string, term: number, number: number, running: RunningRequest[] }
  | { type: 'term-ended-ack', engine: string, term: number, number: number }
  | { type: 'permit-ask', engine: string, urgency: number }
  | { type: 'permit-grant', engine: string, permitId: string, remainingMs: number }
  | { type: 'permit-return', permitId: string, unused?: true }
  | { type: 'config-request' }
  | { type: 'config-state', state: ConfigState }
  /** An instance is leaving. `asOf` is the time of the instance list that shows it, or -1 when the instance reported it itself. */
  | { type: 'leaving', instance: string, asOf: number }
  | { type: 'claim-heads', heads: { shard: number, offset: number }[] }
  | { type: 'order', order: OrderTransfer }
  /** The shard's owner asks whether the caller is still waiting before it sends the order, which may have been delayed in transit. */
  | { type: 'order-confirm', orderId: string }
  | { type: 'order-confirmed', orderId: string, wanted: boolean }
  /** Asks whether the receiver has handled an order with the key, while the log is not available. */
  | { type: 'key-query', orderId: string, key: string }
  | { type: 'key-answer', orderId: string, seen: boolean }
  | { type: 'order-reply', orderId: string, reply: OrderReply }
