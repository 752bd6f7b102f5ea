/** What the process of a node gives its gateway, and how it runs it. */
import type { DecisionLog } from './decision-log'
import type { GatewayMetrics } from './gateway-metrics'
import type { NodeSettings, Platform } from './platform-interface'

export type GatewayOptions = {
  platform: Platform
  log: DecisionLog
  metrics: GatewayMetrics
  /** Port and path of the metrics endpoint. */
  metricsAddress: { port: number, path: string }
  /** Number of descriptors that the system lets the process open, if it is known. */
  descriptorLimit?: number | undefined
  /** Monotonic clock, in ms. */
  now (): number
  random (): number
}

export type Gateway = {
  start (): Promise<void>
  /** Applies the bounds and seeds of new settings; changed addresses need a restart of the process. */
  reload (settings: NodeSettings): void
  /** Leaves the fleet and resolves when the requests in progress have ended or the grace period is nearly over; further calls end with the first. */
  stop (): Promise<void>
  /** Ids of the newest requests in progress, a few dozen at most. */
  inProgress (): string[]
  /** Ends at once without leaving the fleet, as if the process were killed. */
  abort (): void
}
