/** Exponential backoff with full jitter. */
import { unsafeUniformIntDistribution, type RandomGenerator } from 'pure-rand'

export type BackoffConfig = {
  /** Upper bound of the first delay, in ms. */
  baseMs: number
  /** Upper bound of every delay, in ms. */
  maxMs: number
}

/**
 * @param cfg - bounds of the delay
 * @param failures - consecutive failures, from 1
 * @param random - generator, advanced by one draw
 * @returns a delay in ms, uniform between 1 and the upper bound, which doubles with each failure
 */
export const backoffDelayMs = (cfg: BackoffConfig, failures: number, random: RandomGenerator): number => {
  const doublings = Math.min(failures - 1, 30)
  const bound = Math.min(cfg.maxMs, cfg.baseMs * 2 ** doublings)
  return unsafeUniformIntDistribution(1, Math.max(1, Math.floor(bound)), random)
}
