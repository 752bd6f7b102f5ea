/** Decides whether a request that has arrived may be forwarded: its route, its account and its service. */
import type { Account, Route, ServiceSpec } from './cluster-types'
import type { RequestMetadata } from './platform-interface'
import { chooseTarget, type RouteTable } from './route-table'

/** Why a request is refused before it is forwarded. */
export type EarlyRefusal = { type: 'refused', status: number, outcome: 'not-run' | 'invalid', reason: string, retryAfterMs?: number }

export type ArrivedRequest = {
  /** Undefined until a configuration has been read. */
  table: RouteTable | undefined
  /** Whether the node no longer accepts requests. */
  closed: boolean
  headerBytes: number
  host: string
  url: string
  metadata: RequestMetadata
  /** Whether the configuration is known to be recent enough to accept keys. */
  configIsCurrent (): boolean
}

export type Admission = { type: 'admitted', table: RouteTable, route: Route, account?: Account }

const notConfiguredRetryAfterMs = 500
const leavingRetryAfterMs = 100
/** Delay after which a client with a key comes back, in ms: another node may know the configuration better. */
const outdatedRetryAfterMs = 100

const refusal = (status: number, outcome: EarlyRefusal['outcome'], reason: string, retryAfterMs?: number): EarlyRefusal => ({ type: 'refused', status, outcome, reason, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })

export function authenticate ({ accounts }: RouteTable, route: Route, { key }: RequestMetadata, configIsCurrent: () => boolean): EarlyRefusal | { type: 'accepted', account?: Account } {
  if (!accounts.enabled) return { type: 'accepted' }
  // A configuration that is too old may lack the key, or hold one that was removed.
  if ((key !== undefined || route.anonymous !== true) && !configIsCurrent()) return refusal(503, 'not-run', 'the configuration is too old to check keys', outdatedRetryAfterMs)
  const result = accounts.authenticate(key, route)
  return result.type === 'accepted' ? result : refusal(401, 'invalid', 'the key is missing or unknown')
}

/** Decides before the body is read. */
export function admitRequest ({ table, closed, headerBytes, host, url, metadata, configIsCurrent }: ArrivedRequest): EarlyRefusal | Admission {
  if (table === undefined) return refusal(503, 'not-run', 'no configuration is known yet', notConfiguredRetryAfterMs)
  if (closed) return refusal(503, 'not-run', 'the node is leaving', leavingRetryAfterMs)
  const { limits } = table.config
  if (headerBytes > limits.headerBytes) return refusal(431, 'invalid', `the headers exceed ${limits.headerBytes} bytes`)
  const route = table.match(host, url)
  if (route === undefined) return refusal(404, 'invalid', 'no route matches host and path')
  if (metadata.id === '') return refusal(400, 'invalid', 'the request has no id')
  const result = authenticate(table, route, metadata, configIsCurrent)
  return result.type === 'refused' ? result : { type: 'admitted', table, route, ...(result.account === undefined ? {} : { account: result.account }) }
}

/** @param id - id of the request */
export function chooseService (table: RouteTable, route: Route, id: string): EarlyRefusal | { type: 'chosen', service: ServiceSpec } {
  const target = chooseTarget(route, id)
  const service = target === undefined ? undefined : table.service(target)
  return service === undefined ? refusal(503, 'not-run', `the route's service ${target ?? ''} is not configured`, notConfiguredRetryAfterMs) : { type: 'chosen', service }
}
