/**
 * Decides in which order waiting requests are served while there is too little room, which of them are
 * refused at once, and when a refused one may come back. Answers surges of all accounts and floods of
 * one. Requests without an account are ordered by their objectives alone.
 */
import { createAccountShares } from './account-shares'
import type { ScheduledRequest } from './engine-scheduler-types'

/**
 * `returning`: it was refused, and comes back at the time that it was told. `deferred`: its account has
 * more than its fair share, or a more urgent priority is served less.
 */
export type Standing = 'returning' | 'usual' | 'deferred'

/** `late`: by the last estimate it can no longer meet its objective. */
export type OrderedRequest = ScheduledRequest & { scope: string, standing: Standing, late: boolean }

/** What a request takes of an engine. Times in ms. */
export type RequestWork = {
  /** Prefill of the prompt without its cached part. */
  prefillMs: number
  runMs: number
  slots: number
  adapterSlots: number
  /** Duration of the load of the adapter, if it is loaded for this request alone; otherwise undefined. */
  loadMs?: number
}

export type ServiceOrder = {
  /** A request has arrived; sets its standing if it comes back at the time that it was told. */
  submitted (req: OrderedRequest, now: number): void
  /** Sets the standing of the requests. @returns them in the order in which they are served */
  sort<R extends OrderedRequest> (requests: Iterable<R>, isLate: (req: R) => boolean, workOf: (req: R) => RequestWork, now: number): R[]
  /**
   * Whether a request is refused at once although it could wait.
   *
   * @param startMs - estimated time until its start, in ms
   */
  refusesNow (req: OrderedRequest, startMs: number, now: number): boolean
  granted (req: OrderedRequest, work: RequestWork, now: number): void
  /**
   * A request is refused.
   *
   * @param retryAfterMs - time until it might start, in ms
   * @returns time after which it is served if it comes back, in ms
   */
  refused (req: OrderedRequest, work: RequestWork, retryAfterMs: number, now: number): number
  /** @returns the request to refuse when no more requests may wait: the newest one of the account with the most */
  excess<R extends OrderedRequest> (requests: Iterable<R>, newest: R): R
}

/** Share of an account's grants that is kept for requests that come back; the others are more often on time. */
const returningShare = 0.12
/** Part of the time left for which clients wait before they come back. */
const maxRetryShare = 1 / 3
/** Least rate of such places for each account, per ms, so that a small account has one each second. */
const minPlacesPerMs = 0.001
/** Bounds of the time at which a request counts as coming back, relative to the time that it was told, in ms: rounding and a second owner that is asked first. */
const earlyReturnMs = 50
const lateReturnMs = 1000
/** Places that are kept for requests that come back. */
const maxPlaces = 4096
/** Half-life of the served shares of priorities, in ms. */
const priorityHalfLifeMs = 4000
/** Decayed number of requests from which a priority's served share counts. */
const minPriorityRequests = 10

/** Half-life of the lateness of requests that are not deferred, in ms: a surge must show within the objective of most requests. */
const latenessHalfLifeMs = 1000
/** Share of them that is granted late or refused from which there is too little room. Loads of adapters make some late at any time. */
const maxLateShare = 0.04
/** Decayed number of them below which they tell nothing; some seconds after the last one. */
const minUsualRequests = 0.1
/** Part of the time to its objective within which a deferred request must start by the estimate, as it is overtaken by others. */
const maxDeferredStartShare = 0.5

const standingRanks: Record<Standing, number> = { returning: 0, usual: 1, deferred: 2 }

/** @returns engine time that a request takes, in ms: of the prefill, a batch slot and, for a while, of an adapter slot */
export function engineTimeMs ({ prefillMs, runMs, slots, adapterSlots, loadMs }: RequestWork): number {
  return prefillMs + runMs / slots + (loadMs === undefined ? 0 : (loadMs + runMs) / adapterSlots)
}

/** @returns key under which a refused request is known when it comes back: its adapter and the part of its prompt that is its own */
function returnKey ({ scope, demand, account }: OrderedRequest): string | undefined {
  const own = demand.parts.at(-1)
  return own === undefined ? undefined : `${account}#${scope}#${own.id}`
}

export function createServiceOrder (): ServiceOrder {
  const shares = createAccountShares()
  const priorities = new Map<number, { granted: number, requests: number, at: number }>()
  /** Decayed numbers of requests that were not deferred, and of those that were granted late or refused. */
  let usual = { late: 0, requests: 0, at: -Infinity }
  /** Times at which refused requests may come back, by key. */
  const places = new Map<string, number>()
  /** Earliest time of the next such place, by account. */
  const nextPlaceAt = new Map<string, number>()

  const priorityFactor = (at: number, now: number): number => 0.5 ** ((now - at) / priorityHalfLifeMs)

  function count (priority: number, granted: number, now: number): void {
    const entry = priorities.get(priority) ?? { granted: 0, requests: 0, at: now }
    const factor = priorityFactor(entry.at, now)
    priorities.set(priority, { granted: entry.granted * factor + granted, requests: entry.requests * factor + 1, at: now })
  }

  /** Whether a more urgent priority is served less often than this one. */
  function isAhead (priority: number, now: number): boolean {
    const own = priorities.get(priority)
    if (own === undefined || own.requests * priorityFactor(own.at, now) < minPriorityRequests) return false
    for (const [other, { granted, requests, at }] of priorities) {
      // Without new requests the share of a priority stays as it was, so only their decayed number tells that it is outdated.
      if (other < priority && requests * priorityFactor(at, now) >= minPriorityRequests && granted / requests < own.granted / own.requests) return true
    }
    return false
  }

  function countUsual ({ standing }: OrderedRequest, late: boolean, now: number): void {
    if (standing !== 'usual') return
    const factor = 0.5 ** ((now - usual.at) / latenessHalfLifeMs)
    usual = { late: usual.late * factor + (late ? 1 : 0), requests: usual.requests * factor + 1, at: now }
  }

  /**
   * Whether so many requests that are not deferred are late or refused that others must be deferred. Without
   * this evidence the refusals of an account would keep up the impression that there is too little for all.
   */
  function isScarce (now: number): boolean {
    return usual.late > usual.requests * maxLateShare && usual.requests * 0.5 ** ((now - usual.at) / latenessHalfLifeMs) > minUsualRequests
  }

  function dropExpired (entries: Map<string, number>, now: number): void {
    for (const [key, at] of entries) {
      if (at + lateReturnMs >= now && entries.size <= maxPlaces) return
      entries.delete(key)
    }
  }

  /** @returns time from now at which a place is kept for the request, in ms */
  function keepPlace (req: OrderedRequest, account: string, retryAfterMs: number, now: number): number {
    const at = Math.max(now + retryAfterMs, nextPlaceAt.get(account) ?? 0)
    const key = returnKey(req)
    // A client does not come back so late, so the place would stay empty.
    if (key === undefined || at - now > (req.startBy - now) * maxRetryShare) return at - now
    places.delete(key)
    places.set(key, at)
    nextPlaceAt.delete(account)
    nextPlaceAt.set(account, at + 1 / Math.max(minPlacesPerMs, shares.grantRate(account, now) * returningShare))
    dropExpired(places, now)
    dropExpired(nextPlaceAt, now)
    return at - now
  }

  return {
    submitted (req, now) {
      const key = req.account === undefined ? undefined : returnKey(req)
      const at = key === undefined ? undefined : places.get(key)
      if (at === undefined || now < at - earlyReturnMs) return
      places.delete(key!)
      if (now <= at + lateReturnMs) req.standing = 'returning'
    },
    sort (requests, isLate, workOf, now) {
      const sorted = [...requests]
      const scarce = isScarce(now)
      const waitingCosts = new Map<string, number>()
      for (const req of scarce ? sorted : []) {
        if (req.account !== undefined) waitingCosts.set(req.account, (waitingCosts.get(req.account) ?? 0) + engineTimeMs(workOf(req)))
      }
      const over = waitingCosts.size === 0 ? undefined : shares.overShare(waitingCosts, now)
      const ranks = new Map<string, number>()
      for (const req of sorted) {
        if (req.account !== undefined && req.standing !== 'returning') req.standing = over?.has(req.account) === true || (scarce && isAhead(req.priority, now)) ? 'deferred' : 'usual'
        req.late = isLate(req)
        ranks.set(req.id, (req.late && req.standing !== 'returning' ? standingRanks.deferred + 1 : 0) + standingRanks[req.standing])
      }
      return sorted.sort((left, right) => ranks.get(left.id)! - ranks.get(right.id)! || left.objectiveAt - right.objectiveAt || left.priority - right.priority)
    },
    refusesNow: ({ standing, objectiveAt, priority }, startMs, now) => standing === 'deferred' && startMs > (objectiveAt - now) * (isAhead(priority, now) ? 0 : maxDeferredStartShare),
    granted (req, work, now) {
      const { account, priority } = req
      if (account === undefined) return
      countUsual(req, req.late, now)
      shares.granted(account, engineTimeMs(work), now)
      count(priority, 1, now)
    },
    refused (req, work, retryAfterMs, now) {
      if (req.account === undefined) return retryAfterMs
      shares.refused(req.account, engineTimeMs(work), now)
      countUsual(req, true, now)
      count(req.priority, 0, now)
      return keepPlace(req, req.account, retryAfterMs, now)
    },
    excess (requests, newest) {
      if (newest.account === undefined) return newest
      const counts = new Map<string, { count: number, last: typeof newest }>()
      let most = { count: 0, last: newest }
      for (const req of requests) {
        if (req.account === undefined) continue
        const entry = { count: (counts.get(req.account)?.count ?? 0) + 1, last: req }
        counts.set(req.account, entry)
        if (entry.count > most.count) most = entry
      }
      return most.last
    }
  }
}
