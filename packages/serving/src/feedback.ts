/**
 * Target feedback: turns the classes' stated targets and the attained results into the internal
 * weights of the scheduler. Nothing else sets a weight.
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
  observe (name: string, attained: RequestTiming): void
  /** Cost of one second of waiting of one request that has waited `waitedMs`. */
  urgency (name: string, waitedMs: number): number
  /** The time that a request may wait before it misses its target, in ms. */
  patienceMs (name: string, tokens: number): number
  /** Smoothed fraction of requests that met the target. */
  attained (name: string): number
}

/** Targets of a class that states none, and of classes that are not configured. */
const defaultTargetMs = 60_000
/** Weight of one result in the smoothed attainment. */
const smoothing = 0.02
/** Multiplier at an attainment of 0 for a class with target 1. */
const gain = 4

/** The target that limits waiting: the first token, or the whole answer for classes without one. */
export const waitTargetMs = (cfg: ClassConfig | undefined): number =>
  cfg?.firstTokenMs ?? cfg?.finishWithinMs ?? defaultTargetMs

/** @returns whether the result meets every stated target of the class */
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
 * @param initial the classes in force
 * @param ageing growth of the urgency per target time waited
 */
export const createTargetFeedback = (initial: Record<string, ClassConfig>, ageing: number): TargetFeedback => {
  let classes = initial
  const attainedBy = new Map<string, number>()

  const attained = (name: string): number => attainedBy.get(name) ?? 1

  const multiplier = (name: string): number => {
    const wanted = classes[name]?.attainment ?? 0
    return 1 + gain * Math.max(0, wanted - attained(name))
  }

  return {
    setClasses (next) {
      classes = next
    },
    observe (name, result) {
      const cfg = classes[name]
      if (cfg === undefined) {
        return
      }
      const met = meetsTarget(cfg, result) ? 1 : 0
      attainedBy.set(name, attained(name) + smoothing * (met - attained(name)))
    },
    urgency (name, waitedMs) {
      const target = waitTargetMs(classes[name])
      // The second factor is the ageing: it grows without bound, so every request is first at some time.
      return 1000 / target * multiplier(name) * (1 + ageing * Math.max(0, waitedMs) / target)
    },
    patienceMs (name, tokens) {
      const cfg = classes[name]
      const run = tokens * (cfg?.perTokenMs ?? 0)
      const beforeFinish = cfg?.finishWithinMs === undefined ? Infinity : cfg.finishWithinMs - run
      return Math.min(cfg?.firstTokenMs ?? Infinity, beforeFinish)
    },
    attained
  }
}
