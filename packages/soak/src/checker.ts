/** Counts the checks of each invariant and records violations. */

/** `assertion`: an assertion of the code under test failed. `storm`: a node repeated an append without a delay. */
export type InvariantName = 'P1' | 'P2' | 'P3' | 'P4' | 'P5' | 'P6' | 'P7' | 'P8' | 'assertion' | 'storm'

export type Violation = {
  invariant: InvariantName
  at: number
  detail: string
  /** Ids by which the trace selects related events. */
  ids: string[]
}

export type Checker = {
  check (invariant: InvariantName, holds: boolean, detail: () => string, ids: string[]): void
  readonly counts: Readonly<Record<InvariantName, number>>
  readonly violations: readonly Violation[]
  /** True after any violation except a storm; the rest of the run would be meaningless. */
  readonly stopped: boolean
}

/** @param now - reads the virtual time, in ms */
export const createChecker = (now: () => number): Checker => {
  const counts: Record<InvariantName, number> = { P1: 0, P2: 0, P3: 0, P4: 0, P5: 0, P6: 0, P7: 0, P8: 0, assertion: 0, storm: 0 }
  const violations: Violation[] = []
  return {
    check (invariant, holds, detail, ids) {
      counts[invariant] += 1
      const isRecordedStorm = invariant === 'storm' && violations.some(violation => violation.invariant === 'storm')
      if (!holds && !isRecordedStorm) {
        violations.push({ invariant, at: now(), detail: detail(), ids })
      }
    },
    counts,
    violations,
    get stopped () { return violations.some(({ invariant }) => invariant !== 'storm') }
  }
}
