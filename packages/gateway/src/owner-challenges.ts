/**
 * Challenges of owners that a node without a majority takes for dead. An owner that lives and reaches
 * the fleet log answers in it. One that has read a challenge gives no commands until it has read its
 * own answer; one that has not read it gives commands for a limited time after its last read.
 */
import { eraOf } from './log-position'
import type { FleetRecord } from './platform-interface'

/** A challenge, or the answer of the node itself if `by` is undefined. */
export type ChallengeRecord = FleetRecord & { type: 'challenge' }

/** Process of a node. */
type NodeProcess = { node: string, incarnation: number }

export type OwnerChallenges = {
  apply (record: ChallengeRecord, offset: number, now: number): void
  /** Whether this process has not answered a challenge yet. */
  selfChallenged (): boolean
  /** @returns the unanswered challenge of the node, and when it was read; undefined if there is none */
  unanswered (node: string): { by: string, at: number } | undefined
  /**
   * What a node without a majority may conclude of an owner that it takes for dead.
   *
   * @param era - era of the store up to which this process has read the log
   */
  verdict (owner: NodeProcess, now: number, era: number): 'challenge' | 'wait' | 'lost'
}

/** Time for an owner's answer, in ms: owners read the log with waits of 800 ms. */
const answerMs = 1500
/** Time after an answer before the node is challenged again, in ms. */
const rechallengeMs = 5000

export function createOwnerChallenges (self: NodeProcess): OwnerChallenges {
  /** Newest challenge or answer of each node. */
  const challenges = new Map<string, { incarnation: number, by?: string, at: number, offset: number }>()

  return {
    apply ({ node, incarnation, by }, offset, now) {
      const current = challenges.get(node)
      if (current !== undefined && current.offset >= offset) return
      // A repeated challenge does not prolong the wait of the first one.
      const repeats = by !== undefined && current?.by !== undefined && current.incarnation === incarnation && eraOf(current.offset) === eraOf(offset)
      challenges.set(node, { incarnation, offset, ...(repeats ? { by: current.by, at: current.at } : { at: now, ...(by === undefined ? {} : { by }) }) })
    },
    selfChallenged () {
      const own = challenges.get(self.node)
      return own?.by !== undefined && own.incarnation === self.incarnation
    },
    unanswered (node) {
      const challenge = challenges.get(node)
      return challenge?.by === undefined ? undefined : { by: challenge.by, at: challenge.at }
    },
    verdict ({ node, incarnation }, now, era) {
      const challenge = challenges.get(node)
      // A store that came back from a copy may have lost the challenge.
      if (challenge === undefined || challenge.incarnation !== incarnation || eraOf(challenge.offset) !== era) return 'challenge'
      if (challenge.by === undefined) return now - challenge.at < rechallengeMs ? 'wait' : 'challenge'
      return now - challenge.at < answerMs ? 'wait' : 'lost'
    }
  }
}
