/** Interfaces between the gateway and the platform it runs on; `platform/` implements them. */
import type { Result } from 'ts-results/result.js'
import type { Dispatcher } from 'undici'
import type { RecordedStream } from './stream-origins'
import type { AdapterVersion, BackendServer, ClusterConfig, EngineCommand, EngineCommandResult, EngineReport, ModelDemand } from './cluster-types'

/** `noResponse`: the call timed out, so its connection may be stalled. `expired`: the store no longer has all records after the position, or has come back from a copy. */
export type FeedFailure = { type: 'unavailable', reason: string, noResponse?: true } | { type: 'expired' }

/**
 * `value` is undefined if the key was removed, and `{ type: 'unreadable' }` if the value is malformed.
 * `offset` is the record's position; see log-position.
 */
export type FeedRecord<Value> = { key: string, offset: number, value: Value | undefined }
/** `next` is the position to continue from; `more`: there were later records at the time of the read. */
export type FeedPage<Value> = { records: FeedRecord<Value>[], next: number, more?: true }

/** Keyed records in the order in which the store accepted them. */
export interface Feed<Value> {
  /** Reads the newest record of each key. */
  newest (): Promise<Result<FeedPage<Value>, FeedFailure>>
  /**
   * Waits up to `waitMs` for a record at or after `from`.
   *
   * @param signal - cancels the read, unless its response has begun
   */
  read (from: number, waitMs: number, signal?: AbortSignal): Promise<Result<FeedPage<Value>, FeedFailure>>
}

export type UnreadableRecord = { type: 'unreadable', reason: string }
export type OperatorRecord = { type: 'config', config: ClusterConfig } | ({ type: 'adapter-version' } & AdapterVersion) | { type: 'other' } | UnreadableRecord
export type ServerRecord = { type: 'server', server: BackendServer, sequence: number } | UnreadableRecord

export type AppendFailure = 'conflict' | 'rejected' | 'unknown'

/** Records of the gateway's nodes: each node writes its own `node` record, engine owners write `owner`, `challenge` and `blocked-part` records. */
export type FleetRecord =
  | { type: 'node', name: string, address: string, zone: string, incarnation: number, front: string, capacity: number, control?: string }
  /**
   * `after` names the other node that sent the engine commands before; later processes of the same node
   * keep it in their records. `alone`: that node was replaced without a majority. `era` is the one in
   * which the record was appended, which a copy keeps.
   */
  | { type: 'owner', engine: string, node: string, incarnation: number, after?: string, alone?: true, era?: number }
  /** Node `by` takes the process of an engine owner for dead; without `by`, that process answers. */
  | { type: 'challenge', node: string, incarnation: number, by?: string }
  /** A prompt part that crashes engines; `at` is the time at which it was blocked, Unix ms. */
  | { type: 'blocked-part', part: string, at: number }
  /** Software versions of a service's servers, while there are several; the record is removed with the last but one. */
  | { type: 'service-versions', service: string, versions: string[] }

export interface FleetLog extends Feed<FleetRecord | UnreadableRecord> {
  /**
   * Appends records, all or none.
   * @param expectedEnd - if given, appends only if the log ends at this position
   * @returns the position of the first record
   */
  append (records: { key: string, value: FleetRecord | undefined }[], expectedEnd?: number): Promise<Result<number, AppendFailure>>
  /** Checks a record that another node passes on as those that are read. */
  check (value: unknown): FleetRecord | UnreadableRecord
}

/** Streams that clients of one process may take up; `at` is the time of the record, Unix ms. */
export type StreamsRecord = { type: 'streams', at: number, streams: RecordedStream[] }

/** Records of where streams began, apart from the fleet log, because nodes read them only when a client takes up a stream. */
export interface StreamLog {
  /** Reads the newest record of each key. */
  newest (): Promise<Result<FeedPage<StreamsRecord | UnreadableRecord>, FeedFailure>>
  append (records: { key: string, value: StreamsRecord | undefined }[]): Promise<Result<number, AppendFailure>>
}

export interface EngineControl {
  command (server: BackendServer, command: EngineCommand): Promise<EngineCommandResult>
  /** @param dispatcher - sends the question in place of the node itself, on a path around links that are cut */
  report (server: BackendServer, dispatcher?: Dispatcher): Promise<EngineReport | undefined>
}

/** Header names and values in turn: name, value, name, value. */
export type RawHeaders = string[]

/** Contents of a client request's headers. */
export type RequestMetadata = {
  id: string
  /** Time that the client waits for the response, in ms. */
  deadlineMs?: number
  /** Id of the last stream event that the client has received. */
  lastEventId?: string
  /** Id of the client's request that brought the first event of the stream that this one takes up. */
  resumes?: string
  demand?: ModelDemand
  /** Prompt tokens and the most tokens that may be generated, together, if the request states them. */
  statedTokens?: number
  /** Key of a client account. */
  key?: string
  /** Headers to forward, without hop-by-hop headers and those that only the gateway sets. */
  headers: RawHeaders
}

/** Values of the headers that the gateway adds for one attempt. */
export type AttemptHeaders = {
  instanceId: string
  remainingMs: number
  version?: number
  priority?: number
  lastEventId?: string
}

/** What a backend server states about itself in the headers of a response. */
export type ServerStatements = {
  /** Requests a second that the server accepts from all nodes together; above 0. */
  requestsPerSecond?: number
  /** The server ends if it has to turn away more requests a second for want of room than this. */
  rejectionsPerSecond?: number
  /** The server is leaving and accepts no further requests. */
  leaving?: true
  /** Time for which the server wants no requests from this node, in ms. */
  waitMs?: number
  /** Values that state nothing, because they are malformed or out of range, as `name: value`. */
  unusable: string[]
}

/** Contents of the headers of a backend server's response. */
export type ResponseMetadata = {
  requestId?: string
  /** The response carries the server's signature. */
  signed: boolean
  /** The server confirmed that it did not run the request. */
  notRun: boolean
  /** The body has a content encoding. */
  encoded: boolean
  statements: ServerStatements
  headers: RawHeaders
}

/** Converts the headers between clients, gateway and backend servers. */
export interface HeaderCodec {
  request (raw: RawHeaders): RequestMetadata
  /**
   * Replaces what the client sent about its account.
   *
   * @param account - name of the account; undefined for an anonymous request
   * @returns the metadata without the key
   */
  withAccount (metadata: RequestMetadata, account: string | undefined): RequestMetadata
  attempt (metadata: RequestMetadata, attempt: AttemptHeaders): RawHeaders
  response (status: number, raw: RawHeaders): ResponseMetadata
  /** @returns headers of a refusal that identify its request */
  identify (id: string): Record<string, string>
  /** @returns the value of `Retry-After` */
  retryAfter (ms: number): string
}

export type AddressQuery = { host: string, zone?: string }
export type AddressResponse = { addresses: string[], keepForMs: number }

/** Paths and bodies of address queries and of the platform's readiness checks. */
export interface IngressCodec {
  readyPath: string
  /** @returns undefined if the request is not an address query */
  addressQuery (method: string, url: string): AddressQuery | undefined
  addressResponse (response: AddressResponse): string
}

export type ListenAddress = { host: string, port: number }

/** Bounds that the operators configure. */
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
  /** Time after which no request with a removed key may run, in ms; absent if it is not bounded. */
  revokeMs?: number
  /** Tolerance within which the limits of accounts are kept, over any `windowMs`: a share of the limit and units. */
  quota?: { windowMs: number, overshoot: number, slack: number }
}

export type NodeSettings = {
  name: string
  zone: string
  ip: string
  /** First and last port for traffic between nodes. */
  peerPorts: [number, number]
  front: ListenAddress
  ready: ListenAddress
  directory: ListenAddress
  control?: ListenAddress
  /** Control addresses of other nodes, which may be outdated. */
  seeds: string[]
  /** Share of a core that the process may use. */
  cpuShare: number
  /** Resident memory above which the platform kills the process, in bytes. */
  memoryBytes?: number
  /** Largest number of open descriptors that the platform allows. */
  maxDescriptors?: number
  /** Bytes outside of bodies that a connection may send before its reads are shared; see `ReadSharesConfig`. */
  readOverheadBytes?: number
  bounds: Bounds
}

export type Platform = {
  settings: NodeSettings
  operator: Feed<OperatorRecord>
  servers: Feed<ServerRecord>
  fleet: FleetLog
  streams: StreamLog
  /** Sends later calls to the store on new connections, because the open ones may be stalled. */
  renewStoreConnections (): void
  engines: EngineControl
  headers: HeaderCodec
  ingress: IngressCodec
}
