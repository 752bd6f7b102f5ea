/**
 * Estimates an engine's speed from the prefill that it delivers: engines of unequal speed, engines that
 * turn slow for good, and periods of some hundred ms in which an engine is slow. The long-term estimate
 * is the engine's own speed with its slow periods averaged in; the short-term one tells whether it is in
 * such a period now. Speeds are ratios of delivered to nominal speed.
 */

/** Prefill speed of an engine of speed 1, in tokens per ms: about that of a 70 B model on two accelerators. */
export const nominalTokensPerMs = 30

/** Speed with the age of its evidence. */
export type SharedSpeed = { speed: number, ageMs: number }

/** The prefill that an engine has been working on since its last first event. */
export type PrefillInProgress = { nominalMs: number, elapsedMs: number }

export type EngineSpeed = {
  /**
   * Records the prefill of one prompt, or of several that ended together.
   *
   * @param nominalMs - time that it takes at nominal speed
   * @param busyMs - time that the engine took
   */
  delivered (nominalMs: number, busyMs: number, now: number): void
  /** Long-term estimate. */
  longTerm (now: number): number
  /**
   * The long-term estimate, or the short-term one if it shows that the engine is in a slow period.
   *
   * @param inProgress - prefill without a first event yet; it counts if it already takes longer than expected
   */
  current (now: number, inProgress?: PrefillInProgress): number
  /** @returns the long-term estimate for other nodes, or undefined if nothing recent supports it */
  shared (now: number): SharedSpeed | undefined
  /** Starts from the estimate of another owner, unless this one has measured the engine itself. */
  adopt (shared: SharedSpeed, now: number): void
  /** Discards the estimates when the engine restarts. */
  reset (): void
}

/** Half-life of the evidence for the long-term estimate, in ms: many slow periods, and still short against the life of an engine. */
const longHalfLifeMs = 12_000
/** The same for the short-term estimate, in ms: shorter than a slow period, so that it is noticed within one and forgotten after it. */
const shortHalfLifeMs = 150
/** Busy time as which the nominal speed counts before the first measurement, in ms: a few prompts outweigh it. */
const priorMs = 500
/** Busy time as which the long-term speed counts in the short-term one, in ms: a single prompt that is late by a batch step says little. */
const shortPriorMs = 50
/** Share of the long-term speed below which the short-term one shows a slow period; single prompts of engines that are all alike scatter above it. */
const slowPeriodShare = 0.7
/** Busy time as which a fresh estimate of another owner counts, in ms. */
const adoptedMs = 2000
/** Age from which an estimate is not passed on and not adopted, in ms: five half-lives, after which the nominal speed is as good. */
export const maxSpeedAgeMs = 5 * longHalfLifeMs
/** Bounds of all estimates: beyond them a measurement is at fault, or the engine is unreachable rather than slow. */
export const minSpeed = 0.05
export const maxSpeed = 20

const clamp = (speed: number): number => Math.min(maxSpeed, Math.max(minSpeed, speed))

/** Sums of work and time that lose half of their weight in each half-life. */
type Evidence = { nominalMs: number, busyMs: number, at: number }

function decayed ({ nominalMs, busyMs, at }: Evidence, halfLifeMs: number, now: number): Evidence {
  const factor = 0.5 ** (Math.max(0, now - at) / halfLifeMs)
  return { nominalMs: nominalMs * factor, busyMs: busyMs * factor, at: now }
}

export function createEngineSpeed (): EngineSpeed {
  const none: Evidence = { nominalMs: 0, busyMs: 0, at: 0 }
  let long = none
  let short = none
  /** Time of the newest evidence; -Infinity if there is none. */
  let measuredAt = -Infinity
  let measuredHere = false
  /** The estimates at one time: a decision asks for them once for each waiting request. */
  let estimate: { at: number, longSpeed: number, short: Evidence } | undefined

  function estimateAt (now: number): NonNullable<typeof estimate> {
    if (estimate?.at === now) return estimate
    const { nominalMs, busyMs } = decayed(long, longHalfLifeMs, now)
    estimate = { at: now, longSpeed: clamp((nominalMs + priorMs) / (busyMs + priorMs)), short: decayed(short, shortHalfLifeMs, now) }
    return estimate
  }

  const longTerm = (now: number): number => estimateAt(now).longSpeed

  function shortTerm (longSpeed: number, now: number, inProgress?: PrefillInProgress): number {
    const { nominalMs, busyMs } = estimateAt(now).short
    const work = nominalMs + shortPriorMs * longSpeed
    const time = busyMs + shortPriorMs
    const speed = work / time
    return inProgress === undefined ? speed : Math.min(speed, (work + inProgress.nominalMs) / (time + inProgress.elapsedMs))
  }

  return {
    delivered (nominalMs, busyMs, now) {
      long = decayed(long, longHalfLifeMs, now)
      short = decayed(short, shortHalfLifeMs, now)
      for (const evidence of [long, short]) {
        evidence.nominalMs += nominalMs
        evidence.busyMs += busyMs
      }
      measuredAt = now
      measuredHere = true
      estimate = undefined
    },
    longTerm,
    current (now, inProgress) {
      const longSpeed = longTerm(now)
      const shortSpeed = shortTerm(longSpeed, now, inProgress)
      return shortSpeed < longSpeed * slowPeriodShare ? clamp(shortSpeed) : longSpeed
    },
    shared: now => now - measuredAt > maxSpeedAgeMs ? undefined : { speed: longTerm(now), ageMs: now - measuredAt },
    adopt ({ speed, ageMs }, now) {
      if (measuredHere || ageMs > maxSpeedAgeMs || now - ageMs <= measuredAt) return
      measuredAt = now - ageMs
      long = { nominalMs: adoptedMs * clamp(speed), busyMs: adoptedMs, at: measuredAt }
      estimate = undefined
    },
    reset () {
      long = none
      short = none
      measuredAt = -Infinity
      measuredHere = false
      estimate = undefined
    }
  }
}
