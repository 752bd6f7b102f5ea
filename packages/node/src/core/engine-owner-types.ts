/** Interface of the owner of an engine, and the functions of the core that it uses. */
import type { EvictionIntent, HandlePins, RunningRequest } from '@yuccawharf/coordination'
import type { AppendResult, EngineCommand, EngineCommandResult, EngineReport } from '@yuccawharf/clients'
import type { ClassConfig } from '@yuccawharf/schema'
import type { EngineLoadHint } from '@yuccawharf/serving'
import type { Completion, CoreEvent } from './core-events'

export type EngineOwnerEnv = {
  append (values: unknown[], done: (result: AppendResult, now: number) => void): void
  command (engine: string, command: EngineCommand, fence: number, done: (result: EngineCommandResult, now: number) => void): void
  requestPermit (engine: string, urgency: number, now: number): void
  returnPermit (permitId: string, unused: true | undefined, now: number): void
  classes (): Record<string, ClassConfig>
  /** Routes a request again that did not run on this engine. */
  resubmit (entry: RequestEntry, now: number): void
  /** Called when the engine shows that a newer owner exists. */
  staleFenceSeen (engine: string, now: number): void
}

/** A completion, and whether another node forwarded it. */
export type RequestEntry = { completion: Completion, forwarded: boolean }

export type EndedEvent = Extract<CoreEvent, { type: 'request-ended' }>

export type EngineOwner = {
  readonly engine: string
  readonly term: number
  start (now: number): void
  submit (entry: RequestEntry, now: number): void
  has (requestId: string): boolean
  cancel (requestId: string, now: number): void
  firstToken (requestId: string, handle: string | undefined, now: number): void
  requestEnded (event: EndedEvent, now: number): void
  applyReport (report: EngineReport, predecessorsDown: boolean, now: number): void
  permitGranted (permitId: string, expiresAt: number, now: number): void
  intentRead (intent: EvictionIntent, authorised: boolean, now: number): void
  classesChanged (now: number): void
  /** Stops sending new work to the engine and routes its queued requests again. */
  pause (reason: PauseReason, now: number): void
  unpause (reason: PauseReason): void
  /** Ends the term permanently. */
  end (now: number): void
  /** Requests that were sent to the engine and have not ended. */
  running (): RunningRequest[]
  tick (now: number): void
  loadHint (now: number): EngineLoadHint | undefined
  readonly pins: HandlePins
  readonly queued: number
  /** Whether the owner accepts new work. */
  readonly accepting: boolean
}

/** `stale`: the engine has seen a newer owner that this node has not read from the log yet. */
export type PauseReason = 'leaving' | 'stale'
