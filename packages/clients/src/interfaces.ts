/**
 * Interfaces of all external services. Each has an HTTP client in this package and an in-memory
 * model in `@yuccawharf/stand-ins`; the decision code sees only the values, never the transport.
 */

/** A record read from a log stream. */
export type LogEntry = {
  /** Index in the stream, from 0. */
  offset: number
  /** Time of the append in ms of the log's clock. */
  time: number
  value: unknown
}

/** One page of a log stream. */
export type LogPage = {
  /** Earliest offset that is still retained. */
  first: number
  /** Offset of the next append. */
  next: number
  records: LogEntry[]
}

/** `failed` proves that nothing was appended; after `unknown` the records may be in the stream or may still be appended. */
export type AppendResult =
  | { type: 'ok', offsets: number[] }
  | { type: 'failed', reason: string }
  | { type: 'unknown', reason: string }

/** `expired` means that `from` is older than the retained records. */
export type ReadResult =
  | { type: 'ok', page: LogPage }
  | { type: 'expired', first: number, next: number }
  | { type: 'failed', reason: string }

export interface LogService {
  append (stream: string, values: unknown[]): Promise<AppendResult>
  read (stream: string, from: number, limit: number, waitMs: number): Promise<ReadResult>
}

/** A handle names one load of one adapter version on one engine. */
export type ResidentAdapter = { handle: string, adapter: string, version: string }

/** Status of an engine. It may be out of date: `takenAt` is the time of the snapshot by the engine's clock. */
export type EngineReport = {
  engine: string
  /** Changes with every cold start. */
  incarnation: number
  baseModel: string
  slots: number
  batchSize: number
  resident: ResidentAdapter[]
  running: { requestId: string, handle: string, seq: number }[]
  queued: number
  /** ms */
  takenAt: number
}

export type EngineCommand =
  | { type: 'load', handle: string, adapter: string, version: string }
  | { type: 'unload', handle: string }

/** `refused` proves that the command had no effect; after `unknown` it may have taken effect or may still do so. */
export type EngineCommandResult =
  | { type: 'ok' }
  | { type: 'stale-fence' }
  | { type: 'refused', reason: string }
  | { type: 'unknown', reason: string }

export type GenerateRequest = {
  requestId: string
  handle: string
  prompt: string
  maxTokens: number
  /** Lower numbers run first. */
  priority: number
}

/** Events of one generation. `seq` counts tokens from 1; `end` carries the total. */
export type GenerateEvent =
  | { type: 'token', seq: number, text: string }
  | { type: 'end', count: number, reason: 'stop' | 'length' | 'cancelled' }

/** `not-run` proves that the engine never ran the request; after `broken` it may have, and resuming the stream may succeed. */
export type GenerateFailure =
  | { type: 'not-run', reason: string }
  /** `lost`: the engine no longer has the response, so resuming it can't succeed. */
  | { type: 'broken', reason: string, lost?: true }

export interface Engine {
  status (): Promise<EngineReport | undefined>
  command (command: EngineCommand, fencingToken: number): Promise<EngineCommandResult>
  /** @throws {GenerateError} */
  generate (request: GenerateRequest, signal: AbortSignal): AsyncIterable<GenerateEvent>
  /** @throws {GenerateError} */
  resume (requestId: string, after: number, signal: AbortSignal): AsyncIterable<GenerateEvent>
  cancel (requestId: string): Promise<void>
}

/** Thrown by {@link Engine.generate} and {@link Engine.resume}. */
export class GenerateError extends Error {
  constructor (readonly failure: GenerateFailure) {
    super(`${failure.type}: ${failure.reason}`)
    this.name = 'GenerateError'
  }
}

export type InstanceKind = 'engine' | 'service' | 'node'
export type InstanceState = 'live' | 'leaving'

export type Instance = {
  id: string
  kind: InstanceKind
  /** IP address and port. */
  address: string
  zone: string
  region: string
  /** Requests are routed to engines and services by group. */
  group: string
  state: InstanceState
}

export type InstanceSnapshot = { asOf: number, instances: Instance[] }

export interface InstanceList {
  /** @returns undefined if the list is unavailable */
  fetch (): Promise<InstanceSnapshot | undefined>
}

export type ServiceRequest = {
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array
}

export type ServiceResponse = { status: number, headers: Record<string, string>, body: Uint8Array }

/** `not-sent` proves that no byte of the call was sent; after `unknown` it may have run. */
export type ServiceResult =
  | { type: 'ok', response: ServiceResponse }
  | { type: 'not-sent', reason: string }
  | { type: 'unknown', reason: string }

export interface PlainService {
  call (req: ServiceRequest, signal: AbortSignal): Promise<ServiceResult>
}
