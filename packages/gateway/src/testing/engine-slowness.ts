/** Speeds of simulated engines: a constant factor for each, periods in which all slow down in turn, and one lasting change. */
import type { EventQueue } from './event-queue'

export type SimulatedSpeeds = {
  /** Speeds of the engines of a zone in rotation; 1 is the speed of an engine without this. */
  speeds: number[]
  /** Each engine is `factor` times slower for this share of the time, in periods of `periodMs`. */
  slowPeriods?: { factor: number, share: number, periodMs: number }
  /** The first engine of each zone is `factor` times slower from `from` until `until`, in ms. */
  change?: { factor: number, from: number, until: number }
}

/**
 * @param uniform - random numbers from 0 to 1
 * @returns factor by which a step of an engine that starts now takes longer
 */
export function createSlowness (ids: readonly string[], { speeds, slowPeriods, change }: SimulatedSpeeds, uniform: () => number, { at, now }: EventQueue): (id: string) => number {
  const slowUntil = new Map<string, number>()
  const indexOf = (id: string): number => Number(id.split('-e')[1])

  function planPeriod (id: string, { share, periodMs }: { share: number, periodMs: number }): void {
    const gapMs = -Math.log(1 - uniform()) * periodMs * (1 - share) / share
    const lengthMs = periodMs * (0.5 + uniform())
    at(now() + gapMs, () => {
      slowUntil.set(id, now() + lengthMs)
      at(now() + lengthMs, () => planPeriod(id, { share, periodMs }))
    })
  }

  if (slowPeriods !== undefined) for (const id of ids) planPeriod(id, slowPeriods)
  return id => {
    const periodFactor = (slowUntil.get(id) ?? 0) > now() ? slowPeriods!.factor : 1
    const changeFactor = change !== undefined && indexOf(id) === 0 && now() >= change.from && now() < change.until ? change.factor : 1
    return periodFactor * changeFactor / speeds[indexOf(id) % speeds.length]!
  }
}
