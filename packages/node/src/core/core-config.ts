/** Settings of a core. */

export type EngineTraits = {
  /** Whether the engine refuses commands with an old fencing number. */
  checksFencing: boolean
  /** Largest age of its report, in ms. */
  reportLagMs: number
}

export type NodeCoreConfig = {
  node: string
  zone: string
  region: string
  /** IP address and port. */
  address: string
  /** Start time of the process, in ms; larger than that of any earlier process of the node. */
  incarnation: number
  seed: number
  engineDefaults: EngineTraits
  /** Exceptions, by engine. */
  engines: Record<string, Partial<EngineTraits>>
  queuedPerEngine: number
  queuedPerAdapter: number
  /** Time of one load at full speed, in ms. */
  loadMs: number
  loadsInFlight: number
  loadsPerSecond: number
  /** Time that the log keeps a record, in ms. */
  logRetentionMs: number
  /** Without contact to the log or a peer of the same revision for this long, new work is refused, in ms. */
  stalenessMs: number
  /** Each node hears the heads of the claims shards this often, in ms. Older heads only make keys older than they are. */
  claimHeadsIntervalMs: number
  /** `refuse`: only contact to the log counts. */
  staleness: 'serve' | 'refuse'
}

/** Values that the product uses where settings state none. */
export const nodeCoreDefaults = {
  seed: 1,
  engineDefaults: { checksFencing: true, reportLagMs: 1_000 },
  engines: {},
  queuedPerEngine: 2_000,
  queuedPerAdapter: 500,
  loadMs: 250,
  loadsInFlight: 8,
  loadsPerSecond: 3,
  logRetentionMs: 86_400_000,
  stalenessMs: 6_000,
  claimHeadsIntervalMs: 600_000,
  staleness: 'serve'
} as const satisfies Partial<NodeCoreConfig>

/** Breaks single rules on purpose, so that tests can show that their checks notice. The daemon never sets any. */
export type CoreHooks = {
  skipClaimReadBack?: boolean
  sendAfterGiveUp?: boolean
  evictPinned?: boolean
  skipIntentReadBack?: boolean
  acceptOlderConfig?: boolean
  ignoreLeaving?: boolean
  dispatchToWrongHandle?: boolean
  /** Leaves detection to the checks outside the core. */
  skipAssertions?: boolean
}
