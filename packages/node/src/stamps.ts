/** Hybrid logical timestamps on messages between nodes, so that merged timelines show causes before effects. */
import { formatStamp, parseStamp, type HybridClock } from '@yuccawharf/timeline'

/** Header with the stamp of a forwarded request or its response. */
export const stampHeader = 'x-hybrid-time'

export type Stamps = {
  /** @returns the stamp for a message that is about to be sent */
  next (): string
  /** Advances the clock past a received stamp; malformed values are ignored. */
  received (stamp: unknown): void
}

/** Creates the stamps of one node from its clock. @param now current time in ms */
export function createStamps (clock: HybridClock, now: () => number): Stamps {
  return {
    next: () => formatStamp(clock.tick(now())),
    received (stamp) {
      const parsed = typeof stamp === 'string' ? parseStamp(stamp) : undefined
      if (parsed !== undefined) clock.receive(parsed, now())
    }
  }
}
