/** Hybrid logical time on messages between nodes, so that merged timelines show causes before effects. */
import { formatStamp, parseStamp, type HybridClock } from '@yuccawharf/timeline'

/** Header of forwarded requests and their responses. */
export const stampHeader = 'x-hybrid-time'

export type Stamps = {
  /** @returns the stamp for a message that is sent now */
  next (): string
  /** Takes notice of a received stamp; anything else is ignored. */
  received (stamp: unknown): void
}

/** Creates the stamps of one node. */
export function createStamps (clock: HybridClock, now: () => number): Stamps {
  return {
    next: () => formatStamp(clock.tick(now())),
    received (stamp) {
      const parsed = typeof stamp === 'string' ? parseStamp(stamp) : undefined
      if (parsed !== undefined) clock.receive(parsed, now())
    }
  }
}
