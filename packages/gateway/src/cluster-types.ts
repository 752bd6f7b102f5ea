/** What the operators configure and what the backend servers say of themselves, in the product's own terms. */

/** `streaming` requests run at most once unless their route is resumable. */
export type RouteKind = 'streaming' | 'idempotent' | 'non-idempotent'

export type RouteTarget = { service: string, weight: number }

export type Route = {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Longest time a request is kept waiting, in ms. */
  timeoutMs: number
  /** Latency objective, in ms: to the whole response, or to the first event of a stream. */
  objectiveMs: number
  /** Time without an event, the first one included, after which clients leave a stream, in ms. */
  patienceMs: number
  /** Longest pause between two events of a stream that is on time, in ms; absent when the operators name none. */
  pauseMs?: number
  /** 0 is the most urgent. */
  priority: number
  targets: RouteTarget[]
  /** Most backend servers to which one request may be sent. */
  attempts: number
  /** A broken stream may go on at another server. */
  resumable: boolean
}

export type ModelSpec = { name: string, weightsMb: number, adapterMb: number }

/** Limits of the model engines of a service. */
export type EngineSpec = {
  /** Requests in one batch. */
  slots: number
  /** Memory for prompts and generated tokens, in tokens. */
  kvTokens: number
  weightsMb: number
  adapterSlots: number
  /** Loads of base models from the weight store, over all engines. */
  loadsPerSecond: number
  models: ModelSpec[]
}

export type ServiceSpec = {
  name: string
  /** Connections that a server accepts from all callers together. */
  maxConnections: number
  engine?: EngineSpec
}

export type IngressLimits = {
  headerBytes: number
  bodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

export type ClusterConfig = {
  version: number
  routes: Route[]
  services: ServiceSpec[]
  limits: IngressLimits
}

/** A newer version of an adapter that requests must run on. */
export type AdapterVersion = { model: string, adapter: string, version: number }

export type LoadedAdapter = { name: string, version?: number }
export type LoadedModel = { name: string, adapters: LoadedAdapter[] }

export type BackendServer = {
  /** Names one start of the server, unless the server starts again under the same id. */
  id: string
  /** Start of the process, Unix ms; tells two starts under one id apart. */
  bornAt: number
  service: string
  address: string
  zone: string
  state: 'ready' | 'draining'
  slots: number
  models: LoadedModel[]
}

/** What an engine says of itself, as of some hundred ms before. */
export type EngineReport = {
  bornAt?: number
  /** Commands accepted since the start. */
  commandCount: number
  models: LoadedModel[]
  /** Adapters on their way to the engine. */
  loading: { model: string, adapter: string }[]
  /** A command about a base model is being carried out. */
  busy: boolean
  queued: number
  active: number
}

export type PromptPart = { id: string, tokens: number }

/** What a client request for a model says of itself. */
export type ModelDemand = {
  model: string
  /** Absent for requests to the base model itself. */
  adapter?: string
  promptTokens: number
  outputTokens: number
  /** In order; the last one belongs to the request itself. */
  parts: PromptPart[]
}

/** A load or unload of a base model (`adapter` absent) or an adapter. */
export type EngineCommand = {
  operation: 'load' | 'unload'
  model: string
  adapter?: string
  /** Absent: the newest one. */
  version?: number
  /** The engine carries the command out only if it has accepted exactly this many before. */
  expectedCount: number
  holder: string
  fencingToken: number
}

export type EngineCommandResult =
  /** Being carried out. */
  | 'accepted'
  /** Already holds. */
  | 'holds'
  /** The number of accepted commands differs, or another command is under way. */
  | 'conflict'
  /** A newer fencing token was seen. */
  | 'fenced'
  /** Another server, or another start of the server, has the address. */
  | 'misdirected'
  | 'invalid'
  /** No response: it may have been accepted or may be carried out later. */
  | 'unknown'
