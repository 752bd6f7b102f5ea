/** Converts orders and their results to and from the forms sent between nodes and stored in the log. */
import { createHash } from 'node:crypto'
import type { OrderResponse, SendResult } from '@yuccawharf/coordination'
import type { ServiceResponse, ServiceResult } from '@yuccawharf/clients'
import type { Order, Refusal } from './core-events'
import type { OrderReply, OrderTransfer } from './peer-messages'

/** Larger bodies are recorded as a digest, to limit the size of log records. */
const maxRecordedBodyBytes = 16_384
const digestPrefix = 'sha256:'

const encode = (body: Uint8Array): string => Buffer.from(body).toString('base64')

const decode = (body: string): Uint8Array => new Uint8Array(Buffer.from(body, 'base64'))

export const toTransfer = (order: Order, now: number): OrderTransfer => ({
  orderId: order.orderId,
  group: order.group,
  key: order.key ?? '',
  method: order.req.method,
  path: order.req.path,
  headers: order.req.headers,
  body: encode(order.req.body),
  remainingMs: Math.max(0, order.deadline - now)
})

export const fromTransfer = (order: OrderTransfer, now: number): Order => ({
  orderId: order.orderId,
  group: order.group,
  key: order.key,
  req: { method: order.method, path: order.path, headers: order.headers, body: decode(order.body) },
  deadline: now + order.remainingMs
})

const recordedBody = (body: Uint8Array): string => body.length <= maxRecordedBodyBytes
  ? encode(body)
  : digestPrefix + createHash('sha256').update(body).digest('hex')

export const toSendResult = (result: ServiceResult): SendResult => result.type === 'ok'
  ? { type: 'ok', status: result.response.status, contentType: result.response.headers['content-type'] ?? '', body: recordedBody(result.response.body) }
  : result

export const toReply = (response: OrderResponse): OrderReply => {
  if (response.type === 'result') {
    return { type: 'ok', status: response.status, contentType: response.contentType, body: response.body }
  }
  const { outcome, reason, retryAfterMs } = response
  return { type: 'refused', refusal: { outcome, reason, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) } }
}

/** Returns the whole body to the caller whose call ran, even if only its digest is recorded. */
export const replyWithFullBody = (result: ServiceResult & { type: 'ok' }): OrderReply => ({
  type: 'ok',
  status: result.response.status,
  contentType: result.response.headers['content-type'] ?? '',
  body: encode(result.response.body)
})

export const fromReply = (reply: OrderReply): { type: 'ok', response: ServiceResponse } | { type: 'refused', refusal: Refusal } => {
  if (reply.type === 'refused') {
    return reply
  }
  const isDigest = reply.body.startsWith(digestPrefix)
  const headers: Record<string, string> = reply.contentType === '' ? {} : { 'content-type': reply.contentType }
  if (isDigest) {
    // The order ran, but its response body was too large to record for repeated calls.
    headers['x-body-digest'] = reply.body
  }
  return { type: 'ok', response: { status: reply.status, headers, body: isDigest ? new Uint8Array() : decode(reply.body) } }
}
