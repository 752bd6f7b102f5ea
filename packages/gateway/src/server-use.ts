/** How far a server is trusted with requests, by how its last ones ended. */
import type { DecisionLog } from './decision-log'
import type { GatewayMetrics } from './gateway-metrics'

/** `probation`: the ejection has ended, and no request has succeeded since. */
export type ServerUse = 'in-use' | 'ejected' | 'probation'

/** `failures`: in succession, those of the ejection included. `forMs`: duration of the ejection. */
export type ServerUseChange = { server: string, use: ServerUse, failures: number, forMs?: number }

export function reportServerUse (service: string | undefined, change: ServerUseChange, log: Pick<DecisionLog, 'info'>, metrics: Pick<GatewayMetrics, 'serverUse'>): void {
  metrics.serverUse(change.use)
  log.info('server-use-changed', { service, ...change, forMs: change.forMs === undefined ? undefined : Math.round(change.forMs) })
}
