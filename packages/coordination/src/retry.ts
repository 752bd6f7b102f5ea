/** Retries: budget, circuit breaker, backoff with full jitter, and the rule for calls that must not be repeated. */

/** Read with each use, so that the values may change. */
export type RetryBudgetConfig = {
  /** Retries allowed per first attempt, for example 0.1. */
  ratio: number
  /** Maximum number of accumulated retries; also the initial number. */
  burst: number
}

export type RetryBudget = {
  /** Counts a first attempt. */
  recordAttempt (): void
  /** Takes one retry from the budget. @returns false when none is left */
  tryTake (): boolean
}

/** @returns a budget that starts full */
export const createRetryBudget = (cfg: RetryBudgetConfig): RetryBudget => {
  let retries = cfg.burst
  return {
    recordAttempt () {
      retries = Math.min(cfg.burst, retries + cfg.ratio)
    },
    tryTake () {
      retries = Math.min(cfg.burst, retries)
      // Ten times 0.1 adds up to less than 1 in floating point.
      if (retries < 1 - 1e-9) {
        return false
      }
      retries = Math.max(0, retries - 1)
      return true
    }
  }
}

export type CircuitState = 'closed' | 'open' | 'half-open'

export type CircuitBreakerConfig = {
  /** Consecutive failures after which the circuit opens. */
  failureThreshold: number
  /** Time without calls after opening, in ms. */
  openMs: number
}

export type CircuitBreaker = {
  /** @returns whether a call may be made; in the half-open state only one call at a time is allowed */
  allowCall (now: number): boolean
  recordSuccess (): void
  recordFailure (now: number): void
  state (now: number): CircuitState
}

/** @returns a closed circuit breaker for one backend server */
export const createCircuitBreaker = (cfg: CircuitBreakerConfig): CircuitBreaker => {
  let failures = 0
  let openUntil: number | undefined
  let probing = false

  const state = (now: number): CircuitState => {
    if (openUntil === undefined) {
      return 'closed'
    }
    return now < openUntil ? 'open' : 'half-open'
  }

  return {
    state,
    allowCall (now) {
      const current = state(now)
      if (current !== 'half-open') {
        return current === 'closed'
      }
      const allowed = !probing
      probing = true
      return allowed
    },
    recordSuccess () {
      failures = 0
      openUntil = undefined
      probing = false
    },
    recordFailure (now) {
      failures += 1
      probing = false
      if (openUntil !== undefined || failures >= cfg.failureThreshold) {
        openUntil = now + cfg.openMs
      }
    }
  }
}

/**
 * Exponential backoff with full jitter.
 *
 * @param attempt - retries already made, from 0
 * @param baseMs - upper bound of the first delay, in ms
 * @param maxMs - upper bound of all delays, in ms
 * @param random - uniform in [0, 1)
 * @returns the delay in ms
 */
export const fullJitterDelayMs = (attempt: number, baseMs: number, maxMs: number, random: number): number =>
  random * Math.min(maxMs, baseMs * 2 ** attempt)

/** @returns the remaining time to send with a request, in ms, or 0 when the deadline has passed */
export const remainingMs = (deadline: number, now: number): number => Math.max(0, deadline - now)

/** How far a failed call got. `not-sent` proves that no byte left the process. */
export type CallProgress = 'not-sent' | 'refused' | 'maybe-sent'

/**
 * A call that must not run twice is sent again only when no byte of it left the process.
 * `refused` means that the backend server proved that it did not run the call.
 */
export const isSafeToRetry = (idempotent: boolean, progress: CallProgress): boolean =>
  progress === 'not-sent' || idempotent

export type RetryRequest = {
  idempotent: boolean
  progress: CallProgress
  /** Retries already made. */
  attempt: number
  deadline: number
}

export type RetryPolicyConfig = { baseMs: number, maxMs: number, maxRetries: number }

/**
 * Decides whether and when a failed call is retried.
 *
 * @param random - uniform in [0, 1)
 * @returns the delay of the retry in ms, or undefined when there is none
 */
export const retryDelayMs = (cfg: RetryPolicyConfig, budget: RetryBudget, req: RetryRequest, random: number, now: number): number | undefined => {
  if (!isSafeToRetry(req.idempotent, req.progress) || req.attempt >= cfg.maxRetries) {
    return undefined
  }
  const delayMs = fullJitterDelayMs(req.attempt, cfg.baseMs, cfg.maxMs, random)
  if (now + delayMs >= req.deadline) {
    return undefined
  }
  return budget.tryTake() ? delayMs : undefined
}
