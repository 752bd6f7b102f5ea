/** Client accounts of the configuration: the account of a request's key and the priority of its requests. */
import { createHash } from 'node:crypto'
import type { Account, ClusterConfig, Route } from './cluster-types'

/** `account` is absent for anonymous requests. */
export type Authentication = { type: 'accepted', account?: Account } | { type: 'unknown-key' }

export type AccountTable = {
  /** Whether the configuration names accounts. */
  readonly enabled: boolean
  /** @returns the account of this name */
  account (name: string): Account | undefined
  /** @param key - key of the request, if it has one */
  authenticate (key: string | undefined, route: Route): Authentication
  /** @returns priority of the request from 0, the most urgent, to {@link lowestPriority} */
  priority (account: Account | undefined, route: Route): number
}

/** The least urgent priority that engines support. */
export const lowestPriority = 9

/** @returns the form in which keys are kept, so that no message between nodes and no snapshot contains one */
export function keyDigest (key: string): string {
  return createHash('sha256').update(key).digest('base64')
}

/** Characters that a header can carry: names are sent to servers in one. */
const headerText = /^[\x20-\x7e\x80-\xff]+$/

/** @returns whether an account can have this name */
export const isAccountName = (value: unknown): value is string => typeof value === 'string' && headerText.test(value)

/** @returns the first key that belongs to two entries, as the names of its accounts */
export function sharedKey (accounts: readonly Account[]): [string, string] | undefined {
  const owners = new Map<string, string>()
  for (const { name, keyDigests } of accounts) {
    for (const digest of keyDigests) {
      const other = owners.get(digest)
      if (other !== undefined) return [other, name]
      owners.set(digest, name)
    }
  }
  return undefined
}

/** An account without a priority of its own has that of the route. */
function rankOf (account: Account | undefined, route: Route): [number, number] {
  return [account?.priority ?? route.priority, route.priority]
}

/** Maps pairs of account and route priorities to those that engines support, in their order. */
function createPriorities ({ accounts = [], routes }: ClusterConfig): (account: Account | undefined, route: Route) => number {
  const ranks = new Map<string, [number, number]>()
  const distinct = [...new Map(routes.map(route => [route.priority, route])).values()]
  for (const account of [undefined, ...new Map(accounts.map(account => [account.priority, account])).values()]) {
    for (const route of distinct) {
      const rank = rankOf(account, route)
      ranks.set(rank.join('/'), rank)
    }
  }
  const ordered = [...ranks].sort(([, left], [, right]) => left[0] - right[0] || left[1] - right[1]).map(([key]) => key)
  const scale = Math.min(1, (lowestPriority + 1) / ordered.length)
  const priorities = new Map(ordered.map((key, index) => [key, Math.floor(index * scale)]))
  return (account, route) => priorities.get(rankOf(account, route).join('/')) ?? lowestPriority
}

export function createAccountTable (config: ClusterConfig): AccountTable {
  const byDigest = new Map(config.accounts?.flatMap(account => account.keyDigests.map((digest): [string, Account] => [digest, account])))
  const byName = new Map(config.accounts?.map(account => [account.name, account]))
  const enabled = config.accounts !== undefined
  const priorities = enabled ? createPriorities(config) : (_account: Account | undefined, route: Route) => route.priority
  return {
    enabled,
    account: name => byName.get(name),
    authenticate (key, route) {
      if (!enabled) return { type: 'accepted' }
      const account = key === undefined ? undefined : byDigest.get(keyDigest(key))
      if (account !== undefined) return { type: 'accepted', account }
      return route.anonymous === true ? { type: 'accepted' } : { type: 'unknown-key' }
    },
    priority: priorities
  }
}
