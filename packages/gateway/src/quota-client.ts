/**
 * Decides at a node which requests of an account the amounts lent by its owner admit, and what to ask
 * for. Answers steady traffic, which must not cost a question for each request, and an account far above
 * its limit, whose refused requests must not cost one either.
 */
import { createDatedFact, type Suspensions } from './dated-fact'
import { lentValidMs } from './quota-ledger'

export type QuotaQuestion = { needed: number, wanted: number, returned: number }

export type QuotaClient = {
  /** @returns whether the cost was taken from what is lent */
  take (cost: number, now: number): boolean
  /** @returns time until a request of this cost is worth a question, in ms; 0 if it is now */
  refusedMs (cost: number, now: number): number
  /** Counts the cost of a request in the expected need. */
  expect (cost: number, now: number): void
  /**
   * Empties what is lent, which returns with the question.
   *
   * @param costs - costs of the waiting requests
   */
  question (costs: readonly number[], now: number): QuotaQuestion
  /** @param askedAt - time of the question, from which the validity of the amount counts */
  lent (tokens: number, validMs: number, askedAt: number): void
  refused (cost: number, retryAfterMs: number, now: number): void
  /** The request of an admitted cost did not run. */
  refund (cost: number, admittedAt: number, now: number): void
  /** Whether a lent or refunded amount is left to return. */
  isUnused (now: number): boolean
  /** The limit has changed, so refusals under the previous one no longer count. */
  limitChanged (): void
}

/** Time for which need is asked in advance, in ms: most of the validity of a lent amount. */
const expectedMs = 250
/** Time over which the expected need is averaged, in ms: one request every few seconds expects none. */
const needAverageMs = 500
/** Age up to which an admitted cost is refunded, and time for which an unused amount returns after its validity, in ms. Older ones would add what did not run in an earlier window to this one. */
const refundMaxAgeMs = 500
/** Longest time for which a refusal counts for later requests, in ms: returned amounts may admit them earlier. */
const refusalMaxMs = 100

export function createQuotaClient (suspensions: Suspensions): QuotaClient {
  /** Amount that is lent, dated by the question that brought it. */
  let held: { tokens: number, until: number } | undefined
  let fact = createDatedFact<true>(lentValidMs + refundMaxAgeMs, suspensions)
  /** Refunded amounts that go back to the owner. */
  let refunds: { tokens: number, until: number } | undefined
  let refusal: { cost: number, until: number, retryAt: number } | undefined
  let needPerMs = 0
  let neededAt = -Infinity
  /** Requests in the average; a single one is no steady need. */
  let recentCosts = 0

  function available (now: number): number {
    return held !== undefined && now < held.until && fact.read(now) !== undefined ? held.tokens : 0
  }

  /** Refunds, and what is lent and was not used, also for a while after its validity. */
  function returnable (now: number): number {
    const unused = held !== undefined && now < held.until + refundMaxAgeMs && fact.read(now) !== undefined ? held.tokens : 0
    return unused + refundable(now)
  }

  function refundable (now: number): number {
    return refunds !== undefined && now < refunds.until ? refunds.tokens : 0
  }

  function need (now: number): number {
    const decay = Math.exp(-(now - neededAt) / needAverageMs)
    return recentCosts * decay < 2 ? 0 : needPerMs * decay
  }

  return {
    take (cost, now) {
      if (available(now) < cost) return false
      held!.tokens -= cost
      return true
    },
    refusedMs (cost, now) {
      return refusal !== undefined && cost >= refusal.cost && now < refusal.until ? refusal.retryAt - now : 0
    },
    expect (cost, now) {
      const decay = Math.exp(-(now - neededAt) / needAverageMs)
      needPerMs = needPerMs * decay + cost / needAverageMs
      recentCosts = recentCosts * decay + 1
      neededAt = now
    },
    question (costs, now) {
      const needed = costs[0] ?? 0
      const waiting = costs.reduce((sum, cost) => sum + cost, 0)
      const returned = returnable(now)
      held = undefined
      refunds = undefined
      return { needed, wanted: costs.length === 0 ? 0 : waiting + need(now) * expectedMs, returned }
    },
    lent (tokens, validMs, askedAt) {
      const until = askedAt + Math.min(validMs, lentValidMs)
      fact = createDatedFact<true>(lentValidMs + refundMaxAgeMs, suspensions)
      fact.record(true, askedAt)
      held = { tokens, until }
      refusal = undefined
    },
    refused (cost, retryAfterMs, now) {
      refusal = { cost, until: now + Math.min(retryAfterMs, refusalMaxMs), retryAt: now + retryAfterMs }
    },
    refund (cost, admittedAt, now) {
      if (admittedAt < suspensions.endedAt() || now - admittedAt > refundMaxAgeMs) return
      refunds = { tokens: refundable(now) + cost, until: now + refundMaxAgeMs }
    },
    isUnused: now => returnable(now) > 0,
    limitChanged () { refusal = undefined }
  }
}
