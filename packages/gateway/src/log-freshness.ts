/** Evidence that no other node can have become the owner of an engine: how recently the end of the fleet log was seen. */
import { createDatedFact, type DatedFact } from './dated-fact'

/** Age of an owner's last read of the log from which it gives no commands, in ms: one read of 800 ms and one that is late. */
export const logFreshMs = 1300
/**
 * Age of an owner's last read of the log up to which it gives commands in an outage of the store, in ms. A node
 * without a majority waits as long before it replaces an owner, so that it recovers from the loss of most nodes in 12 s.
 */
export const maxOutageCommandMs = 5200
/** Time for which a node's failed read counts, in ms: nodes are asked several times within it. */
export const unreachableValidMs = 1000

/**
 * Tracks how recently this process has read up to the end of the fleet log, by its own reads or by
 * the positions that peers report. A suspension of the process makes earlier reads invalid.
 */
export type LogFreshness = {
  /** A read has completed and was applied; its result shows the log as of `asOf`. */
  read (asOf: number, next: number): void
  /** A peer had read up to `next` at `asOf` or later. */
  peerRead (next: number, asOf: number): void
  /** A peer has named a position, in a message that may have been on its way for any time. */
  peerPosition (next: number): void
  /** Highest position that this process has read or that a peer has named; -1 if there is none. */
  knownEnd (): number
  /** The process was suspended, so earlier reads prove nothing. */
  suspended (now: number): void
  /**
   * A node, this one included, has failed to read the log, in a read that began at `at` or later.
   *
   * @param knownEnd - highest position that the node has read or that a peer has named to it
   */
  unreachable (node: string, at: number, knownEnd: number): void
  /**
   * Whether no other owner can give commands yet: the end of the log was read recently, or it was read
   * within {@link maxOutageCommandMs}, most nodes cannot reach it and none of them knows of a later
   * record than this process has read. A node that claims engines of a dead owner waits until that time is
   * over, unless most nodes have confirmed that they know of its claim. One of those is among the nodes that reply.
   *
   * @param nodes - size of the fleet
   */
  excludesNewOwner (now: number, nodes: number): boolean
  ageMs (now: number): number
}

export function createLogFreshness (): LogFreshness {
  let validFrom = -Infinity
  const suspensions = { endedAt: () => validFrom }
  /** That the position read was the end of the log. It counts alone for a while, and in an outage of the store for longer. */
  const endSeen = createDatedFact<true>(maxOutageCommandMs, suspensions)
  /** By node: the highest position that it knew when it failed to read the log. */
  const failedReads = new Map<string, DatedFact<number>>()
  let readOffset = -1
  let namedEnd = -1

  /** A node that has never read the log cannot tell whether it has grown. */
  function countUnreachable (now: number): number {
    let count = 0
    for (const failedRead of failedReads.values()) count += (failedRead.read(now)?.value ?? -1) >= 0 ? 1 : 0
    return count
  }

  const ageMs = (now: number): number => endSeen.read(now)?.ageMs ?? Infinity

  return {
    read (asOf, next) {
      readOffset = Math.max(readOffset, next)
      endSeen.record(true, asOf)
    },
    peerRead (next, asOf) {
      namedEnd = Math.max(namedEnd, next)
      if (next <= readOffset) endSeen.record(true, asOf)
    },
    peerPosition (next) {
      namedEnd = Math.max(namedEnd, next)
    },
    suspended (now) {
      validFrom = now
      failedReads.clear()
    },
    knownEnd: () => Math.max(readOffset, namedEnd),
    unreachable (node, at, knownEnd) {
      namedEnd = Math.max(namedEnd, knownEnd)
      const failedRead = failedReads.get(node) ?? createDatedFact<number>(unreachableValidMs, suspensions)
      failedReads.set(node, failedRead)
      failedRead.record(knownEnd, at)
    },
    excludesNewOwner: (now, nodes) => ageMs(now) <= logFreshMs || (endSeen.read(now) !== undefined && namedEnd <= readOffset && countUnreachable(now) > nodes / 2),
    ageMs
  }
}
