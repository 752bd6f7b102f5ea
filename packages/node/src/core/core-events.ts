/**
 * Events and actions of the node core. The daemon's shells and the soak's simulator translate
 * between these values and I/O; the core itself performs none.
 */
import type { EngineLoadHint } from '@yuccawharf/serving'
import type { AppendResult, EngineCommand, EngineCommandResult, EngineReport, InstanceSnapshot, LogPage, ServiceRequest, ServiceResponse, ServiceResult } from '@yuccawharf/clients'

/** A completion as it reaches the owner of an engine. */
export type Completion = {
  requestId: string
  model: string
  adapter: string
  version: string
  class: string
  prompt: string
  maxTokens: number
  /** Latest useful end, in ms of the core's clock. */
  deadline: number
}

/** Why a request or an order was refused. `unknown` is the only outcome after which it may have run. */
export type Refusal = {
  outcome: 'not-run' | 'unknown' | 'invalid'
  reason: string
  retryAfterMs?: number
  /** This node owns no engine for the forwarded request; the entry node should choose again. */
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

/** Messages between cores; each shell sends them in an {@link Envelope}. */
export type PeerMessage = { type: string }

export type Envelope = {
  from: string
  to: string
  /** Start time of the sending process, in ms. */
  incarnation: number
  /** Configuration revision that the sender has in force. */
  revision: number
  /** Hybrid logical time at which the shell sent it. */
  stamp?: string
  message: PeerMessage
}

/** A load hint without the sender's clock: `ageMs` is its age when it was sent. */
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
  /** Load of engines as their owner said in a response. */
  | { type: 'load-hints', hints: AgedLoadHint[] }
  /** A request that another node `forwarded` is not forwarded again. */
  | { type: 'submit', completion: Completion, forwarded?: true }
  | { type: 'cancel', requestId: string }
  | { type: 'order', order: Order }
  | { type: 'engine-report', report: EngineReport }
  | { type: 'engine-unreachable', engine: string }
  | { type: 'engine-command-result', engine: string, token: number, result: EngineCommandResult }
  /** `handle` is the one of the dispatch that the event belongs to. */
  | { type: 'first-token', requestId: string, handle?: string }
  | { type: 'request-ended', requestId: string, outcome: 'done' | 'cancelled' | 'not-run' | 'broken', tokens: number, handle?: string, reason?: string }
  | { type: 'service-result', orderId: string, result: ServiceResult }
  | { type: 'drain' }

export type CoreAction =
  | { type: 'read-log', stream: string, from: number }
  | { type: 'append', stream: string, token: number, values: unknown[] }
  /** `address` is set for members that the instance list may not name yet. Messages of type `membership` go as datagrams. */
  | { type: 'send', envelope: Envelope, address?: string }
  | { type: 'engine-command', engine: string, token: number, command: EngineCommand, fence: number }
  | { type: 'dispatch', engine: string, requestId: string, handle: string, priority: number, resumeAfter?: number }
  /** The engine's owner is another node, which gets the request with `forwarded`. */
  | { type: 'forward', requestId: string, node: string, address: string }
  | { type: 'cancel-dispatch', engine: string, requestId: string }
  | { type: 'refuse', requestId: string, refusal: Refusal }
  | { type: 'send-order', orderId: string, instance: string, req: ServiceRequest }
  | { type: 'order-result', orderId: string, result: { type: 'ok', response: ServiceResponse } | { type: 'refused', refusal: Refusal } }
  | { type: 'record', kind: string, ids: { request?: string, engine?: string, adapter?: string, order?: string }, detail?: string }
  | { type: 'ready-to-exit' }

/** A node's decisions. `now` is in ms and never decreases. */
export type NodeCore = {
  step (event: CoreEvent, now: number): CoreAction[]
}
