/** Figures of the target size, from docs/design.md section 2. */
export const target = {
  nodes: 400,
  engines: 600,
  accelerators: 4_800,
  requestsPerSecond: 2_300,
  tokensPerSecond: 1_000_000,
  adapters: 19_000,
  baseModels: 2,
  regions: 2,
  zones: 5,
  configChangesPerDay: 1_900,
  configForceMs: 9_000,
  failuresPerDay: 16,
  replacementsPerDay: 390,
  /** Fraction of the adapters that become active or idle within an hour. */
  adapterTurnoverPerHour: 0.47,
  control: { coreFraction: 0.035, memoryBytes: 256 * 1024 * 1024, bytesPerSecond: 3 * 1024 },
  /** Lowest number of "several hundred" appends per second. */
  logAppendsPerSecond: 300
}

export const secondsPerDay = 86_400
