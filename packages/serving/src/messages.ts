/**
 * Events, actions and data of the serving decisions: the scheduler of one engine and the router of an
 * entry node. All times are ms of the caller's clock.
 */
import type { ClassConfig } from '@yuccawharf/schema'
import type { EngineCommandResult, EngineReport, ResidentAdapter } from '@yuccawharf/clients'

/** A request waiting at the owner of an engine. */
export type ServingRequest = {
  requestId: string
  adapter: string
  version: string
  class: string
  promptTokens: number
  maxTokens: number
  /** Identifies the longest prompt prefix worth caching; requests that share it run faster on the same engine. */
  prefix?: string
  arrivedAt: number
  deadline: number
}

/** A prompt prefix entered or left the engine's cache; `cleared` empties it. */
export type PrefixCacheEvent = { seq: number, type: 'stored' | 'removed' | 'cleared', prefix: string }

export type SchedulerEvent =
  | { type: 'classes', classes: Record<string, ClassConfig> }
  | { type: 'adopt', resident: ResidentAdapter[], running: { requestId: string, handle: string }[] }
  | { type: 'evictable', handles: string[] }
  | { type: 'submit', request: ServingRequest }
  | { type: 'cancel', requestId: string }
  /** With a `handle`, events of an earlier dispatch of the same request are recognised and ignored. */
  | { type: 'first-token', requestId: string, handle?: string }
  /** `reason` is the engine's reason of a `not-run`, for example `model_not_found`. */
  | { type: 'ended', requestId: string, outcome: 'done' | 'cancelled' | 'not-run' | 'broken', tokens: number, handle?: string, reason?: string }
  | { type: 'load-result', handle: string, result: EngineCommandResult }
  | { type: 'unload-result', handle: string, result: EngineCommandResult }
  | { type: 'report', report: EngineReport }
  | { type: 'permit', permitId: string, expiresAt: number }
  | { type: 'permit-denied', retryAfterMs: number }
  /** Prefix cache events of the engine; they may arrive late and with gaps in `seq`. */
  | { type: 'cache', incarnation: number, events: PrefixCacheEvent[] }
  | { type: 'drain' }
  | { type: 'tick' }

export type SchedulerAction =
  /** `urgency` orders competing owners at the permit issuer: higher first. */
  | { type: 'request-permit', urgency: number }
  /** `unused`: no load was started with the permit. */
  | { type: 'release-permit', permitId: string, unused?: true }
  | { type: 'load', handle: string, adapter: string, version: string, permitId: string }
  | { type: 'unload', handle: string }
  | { type: 'dispatch', requestId: string, handle: string, priority: number }
  | { type: 'cancel-dispatch', requestId: string }
  /** The request did not run, unless `mayHaveRun`: then an earlier attempt was lost at the engine and its outcome is unknown. */
  | { type: 'refuse', requestId: string, reason: string, retryAfterMs: number, mayHaveRun?: true }
  /** The engine lost or refused the request before its first token; the request is queued again. */
  | { type: 'requeued', requestId: string }

/** Scheduling decisions of one engine's owner under one policy: the product's or a baseline of the bench. */
export interface EngineScheduler {
  step (event: SchedulerEvent, now: number): SchedulerAction[]
  /** Load hint for routers. It may be outdated. */
  load (now: number): EngineLoadHint
}

/** Load of an engine, sent by its owner to entry nodes. */
export type EngineLoadHint = {
  engine: string
  /** Estimated wait of a short request whose adapter is resident, in ms. */
  waitMs: number
  /** Estimated additional wait when the adapter must be loaded first, in ms. */
  loadWaitMs: number
  queued: number
  running: number
  at: number
}

export type SchedulerConfig = {
  engine: string
  /** Fencing token of the owner's term; part of every handle. */
  term: number
  /** Number of adapter slots. */
  slots: number
  batchSize: number
  queuedPerEngine: number
  queuedPerAdapter: number
  /** Duration of one load at full speed, in ms. */
  loadMs: number
  classes: Record<string, ClassConfig>
  seed: number
}
