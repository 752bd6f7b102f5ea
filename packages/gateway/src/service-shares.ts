/** This node's share of what all nodes together may use of a service: connections and retries. */
import { createRetryBudget, type RetryBudget } from '@yuccawharf/coordination'
import type { Bounds } from './platform-interface'

export type ServiceSharesOptions = {
  bounds: Pick<Bounds, 'retryRatio' | 'retrySlack'>
  /** Number of nodes, this one included. */
  fleetSize (): number
  /** Connections that a server of the service accepts from all nodes together; undefined for an unknown service. */
  maxConnections (service: string): number | undefined
}

export type ServiceShares = {
  /** Maximum number of connections of this node to one server of the service. */
  connections (service: string): number
  retryBudget (service: string): RetryBudget
}

/** Share of the configured retry budget that all nodes together may use. */
const retryBudgetShare = 0.8
/** Share of a server's connection limit that all nodes together may use. */
const connectionShare = 0.9
const minConnections = 4

export function createServiceShares ({ bounds, fleetSize, maxConnections }: ServiceSharesOptions): ServiceShares {
  const budgets = new Map<string, RetryBudget>()

  return {
    connections: service => Math.max(minConnections, Math.floor((maxConnections(service) ?? minConnections) * connectionShare / fleetSize())),
    retryBudget (service) {
      const existing = budgets.get(service)
      if (existing !== undefined) return existing
      const created = createRetryBudget({
        get ratio () { return bounds.retryRatio * retryBudgetShare },
        get burst () { return Math.max(1, bounds.retrySlack * retryBudgetShare / fleetSize()) }
      })
      budgets.set(service, created)
      return created
    }
  }
}
