/**
 * Facts on which an order, a grant or a refusal rests, kept with the time of their evidence. A fact is
 * read only together with its age, and counts for nothing once it is too old or once the process was
 * suspended after its evidence: the monotonic clock, which gives the age, stands still meanwhile.
 */

/** When the process last came back from a suspension. */
export type Suspensions = {
  /** Time on the monotonic clock, in ms, from which evidence counts; -Infinity if there was no suspension. */
  endedAt (): number
}

export type DatedFact<Value> = {
  /**
   * Replaces the fact, unless the evidence is older than the present one or from before a suspension.
   *
   * @param at - earliest time at which the evidence can have been true, in ms
   */
  record (value: Value, at: number): void
  /** @returns the fact with its age in ms, or undefined if there is none that still counts */
  read (now: number): { value: Value, ageMs: number } | undefined
}

/** @param maxAgeMs - age up to which the fact counts, in ms */
export function createDatedFact<Value> (maxAgeMs: number, suspensions: Suspensions): DatedFact<Value> {
  let fact: { value: Value, at: number } | undefined
  return {
    record (value, at) {
      if (at < suspensions.endedAt() || (fact !== undefined && at < fact.at)) return
      fact = { value, at }
    },
    read (now) {
      if (fact === undefined || fact.at < suspensions.endedAt() || now - fact.at > maxAgeMs) return undefined
      return { value: fact.value, ageMs: now - fact.at }
    }
  }
}
