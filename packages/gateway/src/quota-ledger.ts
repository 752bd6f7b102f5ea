/**
 * Decides what the owner of a client account's limit lends to nodes. Answers an account at many times
 * its limit over all nodes, and owners that are lost, replaced, cut off or suspended: a ledger that
 * cannot know what others give lends only what the tolerance of the limit allows.
 */
import type { AccountQuota } from './cluster-types'

/** Tolerance of the limits over any window: a share of the limit and units. */
export type QuotaTolerance = { windowMs: number, overshoot: number, slack: number }

/** `share` is the part of the tolerance that this node may use, from 0 to 1. */
export type LedgerMode = { type: 'full' } | { type: 'part', share: number }

/** `lent` may exceed `needed`; a refusal states when the ledger holds what is needed, in ms. */
export type LedgerDecision = { type: 'lent', tokens: number } | { type: 'over-limit', retryAfterMs: number }

export type QuotaLedger = {
  /** Applies a changed limit. */
  setQuota (quota: AccountQuota, now: number): void
  /** @param mode - whether the node may give the whole rate */
  setMode (mode: LedgerMode, now: number): void
  /**
   * @param needed - cost that must be lent at once, in the quota's unit
   * @param wanted - cost with expected need; at least `needed`
   * @param returned - earlier lent amounts that were not used
   */
  ask (needed: number, wanted: number, returned: number, now: number): LedgerDecision
  /** Fill level in the quota's unit, below 0 after a request above the burst. */
  level (now: number): number
}

/** Time for which a lent amount is valid, in ms: it lets a node with steady traffic ask about three times a second. */
export const lentValidMs = 300
/** Shortest delay suggested above the limit, in ms: shorter ones would cause more requests than they admit. */
export const minRetryAfterMs = 200
/** Longest delay suggested above the limit, in ms. */
const maxRetryAfterMs = 60_000
/** Part of the tolerance that a new ledger holds, so that several in one window stay within it. */
const initialShare = 0.25
/** Part of the tolerance in part mode that can be given while a failure is detected; the rest is spread over the window. */
const detectionShare = 0.9
/** Time in which that is given, in ms: failure detection takes about that. */
const detectionMs = 2000
/** Part of the rate in part mode, after the initial credit: several nodes may take one ledger in a window, and the tolerance of a small account would let each give nearly all. */
const partRateShare = 0.3
/** Part of the burst below which a node gets at most half of what is left beyond the needed amount, so that others get theirs. */
const scarceShare = 0.25

/** @returns units that may be given beyond rate and burst in a window */
function toleranceOf ({ ratePerSecond, burst }: AccountQuota, { windowMs, overshoot, slack }: QuotaTolerance): number {
  return overshoot * (ratePerSecond * windowMs / 1000 + burst) + slack
}

type Bucket = { capacity: number, perMs: number }

/** Token buckets of a mode, each of which must hold what is lent. */
function bucketsOf (quota: AccountQuota, tolerance: QuotaTolerance, mode: LedgerMode): Bucket[] {
  const perMs = quota.ratePerSecond / 1000
  if (mode.type === 'full') return [{ capacity: quota.burst, perMs }]
  const allowed = mode.share * toleranceOf(quota, tolerance)
  const capacity = initialShare * allowed
  // Lent amounts may be used after the end of the window in which they were lent.
  const perWindow = Math.max(capacity, allowed - mode.share * perMs * lentValidMs)
  const detectionUnits = Math.min(partRateShare * perMs * detectionMs, Math.max(0, detectionShare * perWindow - capacity))
  return [
    { capacity: Math.min(quota.burst, capacity), perMs: detectionUnits / detectionMs },
    { capacity: capacity + detectionUnits, perMs: (1 - detectionShare) * perWindow / tolerance.windowMs }
  ]
}

export function createQuotaLedger (initialQuota: AccountQuota, tolerance: QuotaTolerance, initialMode: LedgerMode, startedAt: number): QuotaLedger {
  let quota = initialQuota
  let mode = initialMode
  let buckets = bucketsOf(quota, tolerance, mode)
  // A ledger that begins in full mode does not know either what its predecessor gave.
  let levels = bucketsOf(quota, tolerance, mode.type === 'part' ? mode : { type: 'part', share: 1 }).slice(0, buckets.length).map(({ capacity }) => capacity)
  let filledAt = startedAt

  function fill (now: number): void {
    levels = levels.map((level, index) => Math.min(buckets[index]!.capacity, level + Math.max(0, now - filledAt) * buckets[index]!.perMs))
    filledAt = Math.max(filledAt, now)
  }

  function change (now: number, nextQuota: AccountQuota, nextMode: LedgerMode): void {
    fill(now)
    const isSameMode = nextMode.type === mode.type
    quota = nextQuota
    mode = nextMode
    buckets = bucketsOf(quota, tolerance, mode)
    // The second bucket of part mode begins full: what was given in full mode is within the limit itself.
    levels = buckets.map(({ capacity }, index) => Math.min(capacity, (isSameMode || index === 0 ? levels[index] : undefined) ?? capacity))
  }

  return {
    setQuota (next, now) {
      if (next.ratePerSecond !== quota.ratePerSecond || next.burst !== quota.burst) change(now, next, mode)
    },
    setMode (next, now) {
      if (next.type !== mode.type || (next.type === 'part' && next.share !== (mode as typeof next).share)) change(now, quota, next)
    },
    ask (needed, wanted, returned, now) {
      levels = levels.map(level => level + returned)
      fill(now)
      // A request above the capacity is lent to from a full bucket, which then owes the rest.
      const waitsMs = buckets.map(({ capacity, perMs }, index) => {
        const missing = Math.min(needed, capacity) - levels[index]!
        return missing <= 0 ? 0 : perMs === 0 ? maxRetryAfterMs : missing / perMs
      })
      const waitMs = Math.max(...waitsMs)
      if (waitMs > 0) return { type: 'over-limit', retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.ceil(waitMs))) }
      const spare = Math.min(...levels.map((level, index) => Math.max(level - needed - scarceShare * buckets[index]!.capacity, (level - needed) / 2)))
      const tokens = needed + Math.max(0, Math.min(wanted - needed, spare))
      levels = levels.map(level => level - tokens)
      return { type: 'lent', tokens }
    },
    level (now) {
      fill(now)
      return Math.min(...levels)
    }
  }
}
