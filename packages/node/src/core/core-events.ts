/**
 * Events and actions of the node core. The daemon's shells and the soak's simulator translate
 * between these values and I/O; the core itself performs no I/O.
 */
import type { EngineLoadHint } from '@yuccawharf/serving'
import type { AppendResult, EngineCommand, EngineCommandResult, EngineReport, InstanceSnapshot, LogPage, ServiceRequest, ServiceResponse, ServiceResult } from '@yuccawharf/clients'

/** A completion request, as submitted to the owner of an engine. */
export type Completion = {
  requestId: string
  model: string
  adapter: string
  version: string
  class: string
  prompt: string
  maxTokens: number
  /** Time after which the completion is of no use, in ms of the core's clock. */
  deadline: number
}

/** Reason why a request or an order was refused. Only with outcome `unknown` may it have run. */
export type Refusal = {
  outcome: 'not-run' | 'unknown' | 'invalid'
  reason: string
  retryAfterMs?: number
  /** This node owns no engine for the forwarded request; the entry node should route it again. */
  misdirected?: true
}

/** An order for a plain service; `key` is absent for idempotent calls. */
export type Order = {
  orderId: string
  group: string
  key?: string
  req: ServiceRequest
  deadline: number
}

/** A message between cores, sent in an {@link Envelope}. */
export type PeerMessage = { type: string }

export type Envelope = {
  from: string
  to: string
  /** Start time of the sending process, in ms. */
  incarnation: number
  /** Current configuration revision of the sender. */
  revision: number
  /** Hybrid logical time at which the shell sent the envelope. */
  stamp?: string
  message: PeerMessage
}

/** A load hint that does not depend on the sender's clock: `ageMs` is its age when it was sent. */
export type AgedLoadHint = Omit<EngineLoadHint, 'at'> & { ageMs: number }

export type CoreEvent =
  | { type: 'start' }
  | { type: 'tick' }
  | { type: 'log-page', stream: string, page: LogPage }
  | { type: 'log-expired', stream: string, first: number, next: number }
  | { type: 'log-read-failed', stream: string }
  | { type: 'append-result', token: number, result: AppendResult }
  | { type: 'instance-list', snapshot: InstanceSnapshot }
  | { type: 'message', envelope: Envelope }
  /** Engine loads that their owner attached to a response. */
  | { type: 'load-hints', hints: AgedLoadHint[] }
  /** A `forwarded` request comes from another node and is not forwarded again. */
  | { type: 'submit', completion: Completion, forwarded?: true }
  | { type: 'cancel', requestId: string }
  | { type: 'order', order: Order }
  | { type: 'engine-report', report: EngineReport }
  | { type: 'engine-unreachable', engine: string }
  | { type: 'engine-command-result', engine: string, token: number, result: EngineCommandResult }
  /** `handle` identifies the dispatch that the event belongs to. */
  | { type: 'first-token', requestId: string, handle?: string }
  | { type: 'request-ended', requestId: string, outcome: 'done' | 'cancelled' | 'not-run' | 'broken', tokens: number, handle?: string, reason?: string }
  | { type: 'service-result', orderId: string, result: ServiceResult }
  | { type: 'drain' }

export type CoreAction =
  | { type: 'read-log', stream: string, from: number }
  | { type: 'append', stream: string, token: number, values: unknown[] }
  /** `address` is set for members that may not be in the instance list yet. Messages of type `membership` are sent as datagrams. */
  | { type: 'send', envelope: Envelope, address?: string }
  | { type: 'engine-command', engine: string, token: number, command: EngineCommand, fence: number }
  | { type: 'dispatch', engine: string, requestId: string, handle: string, priority: number, resumeAfter?: number }
  /** Sends the request to the node that owns the engine, which receives it as `forwarded`. */
  | { type: 'forward', requestId: string, node: string, address: string }
  | { type: 'cancel-dispatch', engine: string, requestId: string }
  | { type: 'refuse', requestId: string, refusal: Refusal }
  | { type: 'send-order', orderId: string, instance: string, req: ServiceRequest }
  | { type: 'order-result', orderId: string, result: { type: 'ok', response: ServiceResponse } | { type: 'refused', refusal: Refusal } }
  | { type: 'record', kind: string, ids: { request?: string, engine?: string, adapter?: string, order?: string }, detail?: string }
  | { type: 'ready-to-exit' }

/** Decision logic of a node. `now` is in ms and never decreases. */
export type NodeCore = {
  step (event: CoreEvent, now: number): CoreAction[]
}
