/**
 * Tracks what each client account got and claimed lately at one owner's engines, and which accounts
 * exceed their fair share while there is too little for all. Answers one account that sends many times
 * its usual load.
 */

export type AccountShares = {
  /** @param cost - engine time that a granted request takes, in ms */
  granted (account: string, cost: number, now: number): void
  /** @param cost - engine time that a refused request would have taken, in ms */
  refused (account: string, cost: number, now: number): void
  /**
   * @param waitingCosts - engine time that each account's waiting requests would take, in ms
   * @returns accounts that got more than their fair share; none while there is enough for all
   */
  overShare (waitingCosts: ReadonlyMap<string, number>, now: number): Set<string>
  /** @returns granted requests of an account per ms, of late */
  grantRate (account: string, now: number): number
}

type Usage = { grantedCost: number, refusedCost: number, grants: number, refusals: number }

/** Half-life of usage, in ms: longer than a response, so that a burst of one response's length does not count as excess. */
const usageHalfLifeMs = 4000
/** Claims over grants from which there is too little for all; waits for adapters alone cause a few percent. */
const scarcityFactor = 1.1
/**
 * Served share, relative to that of all accounts together, below which an account is not over its share.
 * An equal split alone would leave a large account less than a quarter once all claim several times the
 * capacity; the rest is a margin for accounts with few requests.
 */
const minRelativeServedShare = 0.45
/** Multiple of the fair level from which an account is over its share. Refusals lower what is granted, and with it the level, so that at 1 moderate accounts would follow. */
const overShareFactor = 1.2
/** Accounts that are tracked; those with the oldest usage are dropped first. */
const maxAccounts = 1024

/**
 * Max-min fair level: each account gets its claim, but no more than the level.
 *
 * @param claims - engine time that each account asked for, in ms
 * @param capacity - engine time for all of them, in ms
 * @returns the level in ms; Infinity if all claims fit
 */
export function fairLevel (claims: readonly number[], capacity: number): number {
  let left = capacity
  const sorted = [...claims].sort((first, second) => first - second)
  for (const [index, claim] of sorted.entries()) {
    const level = left / (sorted.length - index)
    if (claim > level) return level
    left -= claim
  }
  return Infinity
}

export function createAccountShares (): AccountShares {
  // A Map iterates in insertion order, so the first key has the oldest usage.
  const usages = new Map<string, Usage>()
  let decayedAt = -Infinity

  function decay (now: number): void {
    if (now <= decayedAt) return
    const factor = 0.5 ** ((now - decayedAt) / usageHalfLifeMs)
    decayedAt = now
    for (const usage of usages.values()) {
      usage.grantedCost *= factor
      usage.refusedCost *= factor
      usage.grants *= factor
      usage.refusals *= factor
    }
  }

  function usageOf (account: string, now: number): Usage {
    decay(now)
    const usage = usages.get(account) ?? { grantedCost: 0, refusedCost: 0, grants: 0, refusals: 0 }
    usages.delete(account)
    usages.set(account, usage)
    if (usages.size > maxAccounts) usages.delete(usages.keys().next().value!)
    return usage
  }

  return {
    granted (account, cost, now) {
      const usage = usageOf(account, now)
      usage.grantedCost += cost
      usage.grants += 1
    },
    refused (account, cost, now) {
      const usage = usageOf(account, now)
      usage.refusedCost += cost
      usage.refusals += 1
    },
    overShare (waitingCosts, now) {
      decay(now)
      const over = new Set<string>()
      const claims = new Map(waitingCosts)
      let capacity = 0
      let grants = 0
      let requests = 0
      for (const [account, usage] of usages) {
        claims.set(account, (claims.get(account) ?? 0) + usage.grantedCost + usage.refusedCost)
        capacity += usage.grantedCost
        grants += usage.grants
        requests += usage.grants + usage.refusals
      }
      const claimed = [...claims.values()]
      if (claimed.reduce((sum, claim) => sum + claim, 0) <= capacity * scarcityFactor) return over
      const level = fairLevel(claimed, capacity)
      const minServedShare = minRelativeServedShare * grants / requests
      for (const [account, usage] of usages) {
        if (usage.grantedCost > level * overShareFactor && usage.grants > minServedShare * (usage.grants + usage.refusals)) over.add(account)
      }
      return over
    },
    grantRate (account, now) {
      decay(now)
      return (usages.get(account)?.grants ?? 0) * Math.LN2 / usageHalfLifeMs
    }
  }
}
