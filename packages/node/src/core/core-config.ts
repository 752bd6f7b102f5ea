/** Configuration of the node core. */

export type EngineTraits = {
  /** Whether the engine refuses commands with an old fencing token. */
  checksFencing: boolean
  /** Maximum age of an engine report, in ms. */
  reportLagMs: number
}

export type NodeCoreConfig = {
  node: string
  zone: string
  region: string
  /** IP address and port. */
  address: string
  /** Start time of the process, in ms; greater than that of any earlier process of the node. */
  incarnation: number
  seed: number
  engineDefaults: EngineTraits
  /** Overrides of `engineDefaults`, by engine id. */
  engines: Record<string, Partial<EngineTraits>>
  queuedPerEngine: number
  queuedPerAdapter: number
  /** Duration of an adapter load at full speed, in ms. */
  loadMs: number
  loadsInFlight: number
  loadsPerSecond: number
  /** Retention time of records in the log, in ms. */
  logRetentionMs: number
  /** New work is refused after this time without contact with the log or a peer of the same revision, in ms. */
  stalenessMs: number
  /** Interval at which each node receives the heads of the claims shards, in ms. With outdated heads a new key only looks older than it is. */
  claimHeadsIntervalMs: number
  /** With `refuse`, contact with peers does not count, only contact with the log. */
  staleness: 'serve' | 'refuse'
}

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

/** Each hook disables one rule, so that tests can verify that a check detects the violation. The daemon sets none. */
export type CoreHooks = {
  skipClaimReadBack?: boolean
  sendAfterGiveUp?: boolean
  evictPinned?: boolean
  skipIntentReadBack?: boolean
  acceptOlderConfig?: boolean
  ignoreLeaving?: boolean
  dispatchToWrongHandle?: boolean
  /** Disables the assertions of the core, so that only checks outside the core remain. */
  skipAssertions?: boolean
}
