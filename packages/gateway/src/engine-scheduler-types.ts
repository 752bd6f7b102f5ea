/** Messages of the scheduler of owned engines. */
import type { AdapterVersion, BackendServer, EngineCommandResult, EngineReport, EngineSpec, ModelDemand } from './cluster-types'
import type { PendingCommand } from './engine-state'

export type ScheduledRequest = {
  id: string
  /** Node that holds the client's request. */
  node: string
  service: string
  demand: ModelDemand
  /** 0 is the most urgent. */
  priority: number
  objectiveAt: number
  /** Latest useful time of the first event. */
  startBy: number
  /** Longest pause between two events that is on time, in ms. */
  pauseMs?: number
  /** Latest end. */
  deadlineAt: number
  /** Engines that it must not go to. */
  excluded: string[]
  /** The only engines that it may go to, when it has used up its attempts. */
  only?: string[]
}

export type RefusalReason = 'no-engine' | 'cannot-load' | 'too-late' | 'queue-full'

export type SchedulerAction =
  | { type: 'grant', request: string, node: string, engine: string, address: string, version?: number, waitedMs: number, running: number, prefillMs: number }
  | { type: 'refuse', request: string, node: string, retryAfterMs: number, reason: RefusalReason, waitedMs: number }
  | { type: 'command', engine: string, command: PendingCommand }
  | { type: 'report', engine: string }

/** How a granted request ended, as the node that sent it saw it. */
export type RunOutcome =
  | 'ok'
  /** An error response, or a response that broke off. */
  | 'failed'
  /** Refused as not run because the engine is full or the adapter is not there yet. */
  | 'not-run'
  /** Another server, or no such adapter or version: not run. */
  | 'misdirected'
  /** No connection: not sent. */
  | 'unreachable'
  /** The client left, or the request was never sent. */
  | 'cancelled'

export type EngineStatus = {
  id: string
  /** Adapters that it holds in their newest version, or that are on their way. */
  scopes: string[]
  backlogMs: number
  running: number
  /** Time until an adapter that nobody holds could be there, in ms. */
  loadWaitMs: number
}

export type SchedulerConfig = {
  /** Time in which a new version must be in use everywhere, in ms. */
  versionMs: number
  /** Whether this node may give the engine commands now. */
  mayCommand (engine: string, now: number): boolean
}

export type EngineScheduler = {
  /** The engines that this node owns now; requests for others are no longer decided here. */
  setEngines (engines: { server: BackendServer, spec: EngineSpec }[], now: number): SchedulerAction[]
  /** Numbers of engines that this node owns and of all, which bound its part of the loads on their way. */
  setShare (owned: number, all: number): void
  /** @param recent - announced just now; otherwise it may have to be in force already */
  setVersion (version: AdapterVersion, recent: boolean, now: number): SchedulerAction[]
  submit (req: ScheduledRequest, now: number): SchedulerAction[]
  cancel (id: string, now: number): SchedulerAction[]
  firstEvent (id: string, now: number): SchedulerAction[]
  ended (id: string, outcome: RunOutcome, now: number): SchedulerAction[]
  /** The node that held these requests is gone. */
  nodeLost (node: string, now: number): SchedulerAction[]
  commandResult (engine: string, result: EngineCommandResult, now: number): SchedulerAction[]
  reported (engine: string, report: EngineReport | undefined, now: number): SchedulerAction[]
  tick (now: number): SchedulerAction[]
  status (now: number): EngineStatus[]
  waitingCount (): number
  /** Time of the next decision that waits for a load, if any. */
  nextDecisionAt (now: number): number | undefined
}
