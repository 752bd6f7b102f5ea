/** Configuration of the operators and reports of the backend servers, independent of the platform's formats. */

/** `streaming` requests run at most once unless their route is resumable. */
export type RouteKind = 'streaming' | 'idempotent' | 'non-idempotent'

export type RouteTarget = { service: string, weight: number }

export type Route = {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Longest time from the arrival of a request to the end of its response, in ms. */
  timeoutMs: number
  /** Latency objective, in ms: until the response is complete, or until the first event of a stream. */
  objectiveMs: number
  /** Time without an event after which clients abandon a stream, in ms; also applies to the first event. */
  patienceMs: number
  /** Longest pause between two events of a stream that is on time, in ms; absent if the operators set none. */
  pauseMs?: number
  /** 0 is the most urgent. */
  priority: number
  targets: RouteTarget[]
  /** Maximum number of backend servers to which one request may be sent. */
  attempts: number
  /** Whether a broken stream may continue at another server. */
  resumable: boolean
  /** Whether requests need no key. */
  anonymous?: boolean
}

/** Limit of an account over all nodes together. */
export type AccountQuota = {
  unit: 'requests' | 'tokens'
  /** Units a second; above 0. */
  ratePerSecond: number
  /** Units beyond the rate that may be used at once. */
  burst: number
  /** Cost of a request that states no tokens, if the unit is tokens. */
  plainTokens: number
}

/** A client account with the digests of its keys. */
export type Account = {
  name: string
  keyDigests: string[]
  /** 0 is the most urgent; comes before the priority of the route. */
  priority?: number
  quota?: AccountQuota
}

export type ModelSpec = { name: string, weightsMb: number, adapterMb: number }

/** Limits of the model engines of a service. */
export type EngineSpec = {
  /** Maximum number of requests in a batch. */
  slots: number
  /** KV memory for prompts and generated tokens, in tokens. */
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
  /** Absent if requests need no keys. */
  accounts?: Account[]
}

/** A newer version of an adapter that requests must run on. */
export type AdapterVersion = { model: string, adapter: string, version: number }

export type LoadedAdapter = { name: string, version?: number }
export type LoadedModel = { name: string, adapters: LoadedAdapter[] }

export type BackendServer = {
  /** Identifies one start of the server, unless the server restarts under the same id. */
  id: string
  /** Start time of the process, Unix ms; distinguishes two starts under one id. */
  bornAt: number
  service: string
  /** Version of its software; absent if its entry states none. */
  version?: string
  address: string
  zone: string
  state: 'ready' | 'draining'
  slots: number
  models: LoadedModel[]
}

/** State of an engine as it reports it, some hundred ms old. */
export type EngineReport = {
  bornAt?: number
  /** Number of commands accepted since the start. */
  commandCount: number
  models: LoadedModel[]
  /** Adapters that are being loaded. */
  loading: { model: string, adapter: string }[]
  /** Whether a command for a base model is being carried out. */
  busy: boolean
  queued: number
  active: number
}

export type PromptPart = { id: string, tokens: number }

/** Model, adapter and token counts that a client request states. */
export type ModelDemand = {
  model: string
  /** Absent for requests to the base model itself. */
  adapter?: string
  promptTokens: number
  outputTokens: number
  /** Parts of the prompt in order; the last one is not shared with other requests. */
  parts: PromptPart[]
}

/** A load or unload of an adapter, or of a base model if `adapter` is absent. */
export type EngineCommand = {
  operation: 'load' | 'unload'
  model: string
  adapter?: string
  /** The newest one if absent. */
  version?: number
  /** Number of commands that the engine accepted before. It refuses the command if its own count differs. */
  expectedCount: number
  holder: string
  fencingToken: number
}

export type EngineCommandResult =
  /** The command is being carried out. */
  | 'accepted'
  /** The engine is already in the requested state. */
  | 'holds'
  /** The number of accepted commands differs, or another command is being carried out. */
  | 'conflict'
  /** The engine has seen a newer fencing token. */
  | 'fenced'
  /** Another server, or another start of the server, has the address. */
  | 'misdirected'
  | 'invalid'
  /** There was no response; the command may have been accepted or may be carried out later. */
  | 'unknown'
