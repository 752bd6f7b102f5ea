/**
 * Decides which feed of a node calls the store while the store fails. All feeds share one store, and a
 * store may refuse hundreds of nodes at the same time, so only one feed of each node tests whether the
 * store responds again. The others wait for its result.
 */
import { fullJitterDelayMs } from '@yuccawharf/coordination'

export type StoreOutage = {
  /**
   * Records a failed call.
   *
   * @param failures - consecutive failures of the feed, from 1
   * @param random - uniform number from 0 to 1
   * @returns pause before the feed's next call, in ms
   */
  failed (feed: string, failures: number, random: number): number
  /** The feed counts as unreachable. */
  lost (feed: string): void
  /** Records a successful call of any feed. */
  succeeded (feed: string): void
  active (): boolean
}

/** Bounds of the pause after a failed call, in ms: half a second after an outage of a few seconds all nodes have reached the store. */
const retryBaseMs = 100
const retryMaxMs = 800
/** Pause of the feeds that wait for another one, in ms; its success ends the pause. */
const waitingPauseMs = 5000

export function createStoreOutage (): StoreOutage {
  let testingFeed: string | undefined

  return {
    failed: (feed, failures, random) => testingFeed !== undefined && testingFeed !== feed
      ? waitingPauseMs
      : retryBaseMs + fullJitterDelayMs(failures, retryBaseMs, retryMaxMs, random),
    lost (feed) {
      testingFeed ??= feed
    },
    succeeded (feed) {
      if (testingFeed === feed) testingFeed = undefined
    },
    active: () => testingFeed !== undefined
  }
}
