/** Inputs, actions and interface of the scheduler of owned engines. */
import type { AdapterVersion, BackendServer, EngineCommandResult, EngineReport, EngineSpec, ModelDemand } from './cluster-types'
import type { SharedSpeed } from './engine-speed'
import type { PendingCommand } from './engine-state'
import type { ServerUse, ServerUseChange } from './server-use'

export type ScheduledRequest = {
  id: string
  /** Node that received the client's request. */
  node: string
  service: string
  demand: ModelDemand
  /** Name of the client account, if there is one. */
  account?: string
  /** 0 is the most urgent. */
  priority: number
  objectiveAt: number
  /** Latest time at which the first event is still useful. */
  startBy: number
  /** Longest pause between two events that is on time, in ms. */
  pauseMs?: number
  /** Time by which the request must have ended. */
  deadlineAt: number
  /** Engines to which the request must not be sent. */
  excluded: string[]
  /** The only engines to which the request may be sent once its attempts are used up. */
  only?: string[]
  /** The only software version of engines to which the request may be sent; see `softwareVersionOf`. */
  softwareVersion?: string
}

/** `limited`: the engines that may take the request have got what they accept. */
export type RefusalReason = 'limited' | 'no-engine' | 'cannot-load' | 'too-late' | 'queue-full' | 'blocked-part'

export type SchedulerAction =
  | { type: 'grant', request: string, node: string, engine: string, address: string, version?: number, waitedMs: number, running: number, prefillMs: number }
  | { type: 'refuse', request: string, node: string, retryAfterMs: number, reason: RefusalReason, waitedMs: number }
  | { type: 'command', engine: string, command: PendingCommand }
  | { type: 'report', engine: string }
  /** The use of an engine has changed, by the responses that it gave. */
  | { type: 'use', change: ServerUseChange }

/** How a granted request ended, according to the node that sent it. */
export type RunOutcome =
  | 'ok'
  /** Error response, or a response that cannot be trusted. */
  | 'failed'
  /** The response had no end, was none or exceeded a limit, so that the node gave it up. */
  | 'unusable'
  /** The engine broke off before the response was complete. */
  | 'disconnected'
  /** Refused without being run, because the engine is full or the adapter is not loaded yet. */
  | 'not-run'
  /** Not run, because another server has the address or the engine lacks the adapter or version. */
  | 'misdirected'
  /** Not sent, because there was no connection. */
  | 'unreachable'
  /** The client disconnected, or the request was never sent. */
  | 'cancelled'

export type EngineStatus = {
  id: string
  /** Adapters that are loaded in their newest version or being loaded. */
  scopes: string[]
  backlogMs: number
  running: number
  /** Estimated time until an adapter that no engine has is loaded, in ms. */
  loadWaitMs: number
  /** Long-term speed of the engine's start at `bornAt`; absent if nothing recent supports it. */
  speed?: SharedSpeed & { bornAt: number }
}

export type EngineUse = { use: ServerUse, avoidedForMs: number }

export type SchedulerConfig = {
  /** Time within which a new version must be in use everywhere, in ms. */
  versionMs: number
  /** Whether this node may give commands to the engine. */
  mayCommand (engine: string, now: number): boolean
}

/** `requestsPerSecond` is the limit that the engine states for all nodes together, `speed` what an earlier owner has measured of this start. */
export type OwnedEngine = { server: BackendServer, spec: EngineSpec, requestsPerSecond?: number | undefined, speed?: SharedSpeed | undefined }

export type EngineScheduler = {
  /** Sets the engines that this node owns. Requests are granted only to these. */
  setEngines (engines: OwnedEngine[], now: number): SchedulerAction[]
  /** @param writtenAfter - time after which the version was announced, in ms; -Infinity if unknown */
  setVersion (version: AdapterVersion, writtenAfter: number, now: number): SchedulerAction[]
  submit (req: ScheduledRequest, now: number): SchedulerAction[]
  cancel (id: string, now: number): SchedulerAction[]
  firstEvent (id: string, now: number): SchedulerAction[]
  ended (id: string, outcome: RunOutcome, now: number): SchedulerAction[]
  /** Drops the requests of a node that was declared dead. */
  nodeLost (node: string, now: number): SchedulerAction[]
  commandFinished (engine: string, result: EngineCommandResult, now: number): SchedulerAction[]
  applyReport (engine: string, report: EngineReport | undefined, now: number): SchedulerAction[]
  tick (now: number): SchedulerAction[]
  status (now: number): EngineStatus[]
  /** @returns how far an owned engine is trusted with requests, and for how long it gets none, in ms */
  use (engine: string, now: number): EngineUse | undefined
  waitingCount (): number
  /** Next time at which the adapter of a waiting request should be loaded, if any. */
  nextDecisionAt (now: number): number | undefined
}
