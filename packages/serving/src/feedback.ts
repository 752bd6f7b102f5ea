/**
 * Target feedback: derives the scheduler's internal weights from the configured targets of the
 * classes and the measured times. Nothing else sets a weight.
 */
import type { ClassConfig } from '@yuccawharf/schema'

export type RequestTiming = {
  /** ms from arrival; absent when the request was refused or ended before a token. */
  firstTokenMs?: number
  /** ms from arrival to the last token; absent when the request did not finish. */
  finishMs?: number
  tokens: number
}

export type TargetFeedback = {
  setClasses (classes: Record<string, ClassConfig>): void
  observe (name: string, timing: RequestTiming): void
  /** Cost of one more second of waiting for a request that has waited `waitedMs`. */
  urgency (name: string, waitedMs: number): number
  /** Time that a request may wait before it misses its target, in ms. */
  patienceMs (name: string, tokens: number): number
  /** Smoothed fraction of requests that met the target. */
  attained (name: string): number
}

/** Wait target of classes without a target and of classes that are not configured. */
const defaultTargetMs = 60_000
/** Weight of one request in the smoothed attainment. */
const smoothingFactor = 0.02
/** Increase of the multiplier per unit of attainment below the target. */
const attainmentGain = 4

/** Target that limits waiting, in ms: for the first token, or for the whole response of classes without one. */
export const waitTargetMs = (cfg: ClassConfig | undefined): number =>
  cfg?.firstTokenMs ?? cfg?.finishWithinMs ?? defaultTargetMs

/** @returns whether the times meet every configured target of the class */
export const meetsTarget = (cfg: ClassConfig, { firstTokenMs, finishMs, tokens }: RequestTiming): boolean => {
  if (firstTokenMs === undefined || finishMs === undefined) {
    return false
  }
  const perToken = tokens > 1 ? (finishMs - firstTokenMs) / (tokens - 1) : 0
  return firstTokenMs <= (cfg.firstTokenMs ?? Infinity) &&
    finishMs <= (cfg.finishWithinMs ?? Infinity) &&
    perToken <= (cfg.perTokenMs ?? Infinity)
}

/**
 * @param initial initial classes
 * @param ageing relative growth of the urgency per target time waited
 */
export const createTargetFeedback = (initial: Record<string, ClassConfig>, ageing: number): TargetFeedback => {
  let classes = initial
  const attainmentByClass = new Map<string, number>()

  const attained = (name: string): number => attainmentByClass.get(name) ?? 1

  const multiplier = (name: string): number => {
    const targetAttainment = classes[name]?.attainment ?? 0
    return 1 + attainmentGain * Math.max(0, targetAttainment - attained(name))
  }

  return {
    setClasses (next) {
      classes = next
    },
    observe (name, timing) {
      const cfg = classes[name]
      if (cfg === undefined) {
        return
      }
      const met = meetsTarget(cfg, timing) ? 1 : 0
      attainmentByClass.set(name, attained(name) + smoothingFactor * (met - attained(name)))
    },
    urgency (name, waitedMs) {
      const target = waitTargetMs(classes[name])
      // The ageing factor grows without bound, so every request eventually becomes the most urgent.
      return 1000 / target * multiplier(name) * (1 + ageing * Math.max(0, waitedMs) / target)
    },
    patienceMs (name, tokens) {
      const cfg = classes[name]
      const runMs = tokens * (cfg?.perTokenMs ?? 0)
      const finishBudgetMs = cfg?.finishWithinMs === undefined ? Infinity : cfg.finishWithinMs - runMs
      return Math.min(cfg?.firstTokenMs ?? Infinity, finishBudgetMs)
    },
    attained
  }
}
