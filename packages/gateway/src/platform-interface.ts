/** What the gateway needs from the platform it runs on; `platform/` implements it. */
import type { Result } from 'ts-results/result.js'
import type { AdapterVersion, BackendServer, ClusterConfig, EngineCommand, EngineCommandResult, EngineReport, ModelDemand } from './cluster-types'

/** `expired`: the records after the offset are no longer kept. */
export type FeedFailure = { type: 'unavailable', reason: string } | { type: 'expired' }

/** `value` is undefined when the key was removed, and `{ type: 'unreadable' }` when the value is malformed. */
export type FeedRecord<Value> = { key: string, offset: number, value: Value | undefined }
export type FeedPage<Value> = { records: FeedRecord<Value>[], next: number }

/** Records with keys, in the order in which they were accepted. */
export interface Feed<Value> {
  /** Newest record of each key; `next` is where reading goes on. */
  newest (): Promise<Result<FeedPage<Value>, FeedFailure>>
  /** Waits up to `waitMs` for a record at or after `from`. */
  read (from: number, waitMs: number, signal?: AbortSignal): Promise<Result<FeedPage<Value>, FeedFailure>>
}

export type UnreadableRecord = { type: 'unreadable', reason: string }
export type OperatorRecord = { type: 'config', config: ClusterConfig } | ({ type: 'adapter-version' } & AdapterVersion) | { type: 'other' } | UnreadableRecord
export type ServerRecord = { type: 'server', server: BackendServer, sequence: number } | UnreadableRecord

export type AppendFailure = 'conflict' | 'rejected' | 'unknown'

/** Records of the gateway's own nodes; the first is written by each node about itself, the others by engine owners. */
export type FleetRecord =
  | { type: 'node', name: string, address: string, zone: string, incarnation: number, front: string, capacity: number, control?: string }
  /** `after` names the other node that gave the engine commands before; it stays in the records of later processes of the same node. */
  | { type: 'owner', engine: string, node: string, incarnation: number, after?: string }

export interface FleetLog extends Feed<FleetRecord | UnreadableRecord> {
  /**
   * Appends records, all or none.
   * @param at - appends only if the log ends at this offset
   * @returns the offset of the first record
   */
  append (records: { key: string, value: FleetRecord | undefined }[], at?: number): Promise<Result<number, AppendFailure>>
}

export interface EngineControl {
  command (server: BackendServer, command: EngineCommand): Promise<EngineCommandResult>
  report (server: BackendServer): Promise<EngineReport | undefined>
}

/** Raw header lines: name, value, name, value. */
export type RawHeaders = string[]

/** What the gateway reads from a client request's headers. */
export type RequestMetadata = {
  id: string
  /** How long the client waits, in ms. */
  deadlineMs?: number
  /** Id of the last stream event that the client has. */
  lastEventId?: string
  demand?: ModelDemand
  /** Headers to pass on, without those that concern one connection or that only the gateway sets. */
  headers: RawHeaders
}

/** What the gateway adds to a request for one attempt. */
export type AttemptHeaders = {
  instanceId: string
  remainingMs: number
  version?: number
  priority?: number
  lastEventId?: string
}

/** What a backend server's response says beside status and body. */
export type ResponseMetadata = {
  requestId?: string
  /** The server signed the response as its own. */
  signed: boolean
  /** The server proves that it did not run the request. */
  notRun: boolean
  encoded: boolean
  headers: RawHeaders
}

/** Translation of headers between clients, gateway and backend servers. */
export interface HeaderCodec {
  request (raw: RawHeaders): RequestMetadata
  attempt (metadata: RequestMetadata, attempt: AttemptHeaders): RawHeaders
  response (status: number, raw: RawHeaders): ResponseMetadata
  /** @returns headers by which a client knows the request that a refusal answers */
  identify (id: string): Record<string, string>
  /** @returns the value of `Retry-After` */
  retryAfter (ms: number): string
}

export type AddressQuery = { host: string, zone?: string }
export type AddressResponse = { addresses: string[], keepForMs: number }

/** Paths and bodies of the gateway's answers to clients and to the platform's checks. */
export interface IngressCodec {
  readyPath: string
  /** @returns undefined when the request asks for something else */
  addressQuery (method: string, url: string): AddressQuery | undefined
  addressResponse (response: AddressResponse): string
}

export type ListenAddress = { host: string, port: number }

/** Bounds that the operators state, in ms unless named otherwise. */
export type Bounds = {
  drainMs: number
  graceMs: number
  configApplyMs: number
  retryRatio: number
  retryWindowMs: number
  retrySlack: number
  leaseMs: number
  versionMs: number
  addressTtlMaxMs: number
}

export type NodeSettings = {
  name: string
  zone: string
  ip: string
  /** Ports for traffic between nodes: first and last. */
  peerPorts: [number, number]
  front: ListenAddress
  ready: ListenAddress
  directory: ListenAddress
  control?: ListenAddress
  /** Control addresses of other nodes; they may be stale. */
  seeds: string[]
  /** Share of a core that the process may use. */
  cpuShare: number
  bounds: Bounds
}

export type Platform = {
  settings: NodeSettings
  operator: Feed<OperatorRecord>
  servers: Feed<ServerRecord>
  fleet: FleetLog
  engines: EngineControl
  headers: HeaderCodec
  ingress: IngressCodec
}
