/** Fraction of recent responses of each class that met its latency target, for the status of a node. */
import type { ClassConfig } from '@yuccawharf/schema'

type Sample = { at: number, firstTokenMs: number, totalMs: number, tokens: number }

export type AttainmentTracker = {
  /** Adds a complete response. Times in ms. */
  add (className: string, sample: Sample): void
  of (className: string, target: ClassConfig, now: number): { attained: number | null, requests: number }
}

const samplesPerClass = 1000
const windowMs = 5 * 60_000

function meets (sample: Sample, target: ClassConfig): boolean {
  const perToken = sample.tokens > 1 ? (sample.totalMs - sample.firstTokenMs) / (sample.tokens - 1) : 0
  return sample.firstTokenMs <= (target.firstTokenMs ?? Infinity) &&
    perToken <= (target.perTokenMs ?? Infinity) &&
    sample.totalMs <= (target.finishWithinMs ?? Infinity)
}

/** Creates a tracker over a sliding window of 5 minutes. */
export function createAttainmentTracker (): AttainmentTracker {
  const samples = new Map<string, Sample[]>()
  return {
    add (className, sample) {
      const kept = samples.get(className) ?? []
      kept.push(sample)
      if (kept.length > 2 * samplesPerClass) kept.splice(0, samplesPerClass)
      samples.set(className, kept)
    },
    of (className, target, now) {
      const recent = (samples.get(className) ?? []).filter(sample => now - sample.at <= windowMs)
      if (recent.length === 0) return { attained: null, requests: 0 }
      return { attained: recent.filter(sample => meets(sample, target)).length / recent.length, requests: recent.length }
    }
  }
}
