/**
 * Estimates the contents of one engine's prefix cache from its events. These arrive late and with
 * gaps, so an entry is a likelihood that decays with age and is halved by each gap in the sequence.
 */
import type { PrefixCacheEvent } from './messages'

export type PrefixCache = {
  apply (incarnation: number, events: PrefixCacheEvent[], now: number): void
  /** Records that a request with the prefix was dispatched. */
  recordUse (prefix: string, now: number): void
  /** Likelihood from 0 to 1 that the prefix is cached. */
  likelihood (prefix: string, now: number): number
}

/** Bound on the memory of the table. Engines do not publish the size of their cache in entries. */
const maxEntries = 512
/** Half-life of the likelihood of an entry. */
const halfLifeMs = 60_000

type Entry = { likelihood: number, at: number, gaps: number }

export const createPrefixCache = (): PrefixCache => {
  const entries = new Map<string, Entry>()
  let incarnation = -1
  let lastSeq = -1
  let gaps = 0

  const store = (prefix: string, likelihood: number, now: number): void => {
    entries.delete(prefix)
    entries.set(prefix, { likelihood, at: now, gaps })
    if (entries.size > maxEntries) {
      entries.delete(entries.keys().next().value!)
    }
  }

  const applyEvent = (event: PrefixCacheEvent, now: number): void => {
    if (event.seq <= lastSeq) {
      return
    }
    gaps += lastSeq >= 0 && event.seq > lastSeq + 1 ? 1 : 0
    lastSeq = event.seq
    if (event.type === 'cleared') {
      entries.clear()
    } else if (event.type === 'removed') {
      entries.delete(event.prefix)
    } else {
      store(event.prefix, 1, now)
    }
  }

  return {
    apply (nextIncarnation, events, now) {
      if (nextIncarnation < incarnation) {
        return
      }
      if (nextIncarnation > incarnation) {
        incarnation = nextIncarnation
        lastSeq = -1
        entries.clear()
      }
      for (const event of events) {
        applyEvent(event, now)
      }
    },
    recordUse: (prefix, now) => store(prefix, 0.75, now),
    likelihood (prefix, now) {
      const entry = entries.get(prefix)
      if (entry === undefined) {
        return 0
      }
      return entry.likelihood * 0.5 ** (gaps - entry.gaps + (now - entry.at) / halfLifeMs)
    }
  }
}
