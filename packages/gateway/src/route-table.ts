/** Route lookup by host and longest path prefix, and the weighted choice of a route's target. */
import { hashText } from '@yuccawharf/coordination'
import { createAccountTable, type AccountTable } from './accounts'
import type { ClusterConfig, Route, ServiceSpec } from './cluster-types'

export type RouteTable = {
  readonly config: ClusterConfig
  readonly accounts: AccountTable
  /** @returns undefined when no route matches */
  match (host: string, url: string): Route | undefined
  service (name: string): ServiceSpec | undefined
}

const hashRange = 0x1_0000_0000

/** @returns the host without its port, in lower case */
function hostName (host: string): string {
  const colon = host.indexOf(':')
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase()
}

function pathOf (url: string): string {
  const queryStart = url.indexOf('?')
  return queryStart < 0 ? url : url.slice(0, queryStart)
}

/**
 * Chooses the service for a request. A key always maps to the same service unless the weights change.
 *
 * @param key - id of the request
 * @returns undefined if the route has no target
 */
export function chooseTarget (route: Route, key: string): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = hashText(key) / hashRange * total
  for (const { service, weight } of route.targets) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.targets.at(-1)?.service
}

export function createRouteTable (config: ClusterConfig): RouteTable {
  const byHost = new Map<string, Route[]>()
  for (const route of config.routes) {
    const routes = byHost.get(route.host) ?? []
    routes.push(route)
    byHost.set(route.host, routes)
  }
  for (const routes of byHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  const services = new Map(config.services.map(service => [service.name, service]))

  return {
    config,
    accounts: createAccountTable(config),
    match (host, url) {
      const path = pathOf(url)
      return byHost.get(hostName(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
    },
    service: name => services.get(name)
  }
}
