/**
 * Knows how old a node's knowledge of the configuration is, so that a key that was removed meanwhile is
 * not accepted: a node that is cut off, was stopped or has just started cannot tell by its configuration
 * alone. Decides when other nodes are asked.
 */
import { createDatedFact, type Suspensions } from './dated-fact'

/** What a node knows of the operators' records; compares only within one history of the store. */
export type ConfigPosition = {
  /** Position up to which the records are known; -1 before the first read. */
  next: number
  /** Version of the configuration in force; -1 if there is none. */
  version: number
}

/** Which nodes are asked: the reader of the zone, any of the zone, or any of the fleet. */
export type ConfigSource = 'reader' | 'zone' | 'fleet'

export type ConfigAgeOptions = {
  /** Time after which no request with a removed key may run, in ms; undefined if it is not bounded. */
  revokeMs (): number | undefined
  suspensions: Suspensions
  own (): ConfigPosition
}

export type ConfigAge = {
  /** This node has read the operators' records to their end at `asOf` or later. */
  read (asOf: number): void
  /**
   * A peer knew the records up to `position` at `asOf` or later.
   *
   * @returns whether this node knows less than the peer
   */
  peerRead (asOf: number, position: ConfigPosition): boolean
  /** @returns age of the newest evidence in ms; Infinity if there is none, or if a peer has a newer version */
  ageMs (now: number): number
  /** Whether requests with keys may be accepted. */
  isCurrent (now: number): boolean
  /** Whether a peer has had a newer version for longer than it takes to read it from the store. */
  lacksVersion (now: number): boolean
  /** Whether this node should read the store itself, because other nodes have not helped in time. */
  needsRead (now: number): boolean
  /**
   * @param isReader - this node reads the store for its zone, so that its evidence is always young
   * @returns the nodes to be asked now, if any
   */
  nextQuestion (now: number, isReader?: boolean): ConfigSource | undefined
}

/** Share of the bound by which evidence counts for less, for the time that a request takes from the check to its server. */
const marginShare = 0.05
/** Share of the bound after which other nodes are asked. */
const askShare = 0.25
/** Share of the bound after which a node reads the store itself. */
const readShare = 0.45
/** Time without a useful reply after which another node is asked, in ms. */
const replyMs = 300
/** Time after which a newer version is not expected from the store, in ms: reads take some tens, a stalled one is replaced within 250. */
const lackMs = 1000
/** Questions to nodes of the own zone before others are asked. */
const zoneQuestions = 2

export function createConfigAge ({ revokeMs, suspensions, own }: ConfigAgeOptions): ConfigAge {
  const evidence = createDatedFact<true>(Infinity, suspensions)
  let newestVersion = -1
  /** Time of the question whose answer named the newest version. */
  let newestAt = -Infinity
  let askedAt = -Infinity
  /** Time of the newest question before an answer. */
  let comparedAt = -Infinity
  /** Questions since the evidence was last young enough. */
  let questions = 0

  /** Age of the newest evidence, also of one that does not count because a peer has a newer version. */
  function evidenceMs (now: number): number {
    return evidence.read(now)?.ageMs ?? Infinity
  }

  function ageMs (now: number): number {
    return own().version < newestVersion ? Infinity : evidenceMs(now)
  }

  return {
    read: asOf => evidence.record(true, asOf),
    peerRead (asOf, { next, version }) {
      if (version > newestVersion) {
        newestVersion = version
        newestAt = askedAt
      }
      comparedAt = askedAt
      const { next: ownNext, version: ownVersion } = own()
      if (next > ownNext || version > ownVersion) return true
      // A peer that has not noticed a restoration of the store has read another history.
      if (next === ownNext) evidence.record(true, asOf)
      return false
    },
    ageMs,
    isCurrent (now) {
      const boundMs = revokeMs()
      return boundMs === undefined || ageMs(now) < boundMs * (1 - marginShare)
    },
    lacksVersion: now => own().version < newestVersion && now - newestAt > lackMs,
    needsRead (now) {
      const boundMs = revokeMs()
      // A store that came back from a copy does not have the newer version, however often it is read.
      return boundMs !== undefined && evidenceMs(now) >= boundMs * readShare
    },
    nextQuestion (now, isReader = false) {
      const boundMs = revokeMs()
      if (boundMs === undefined) return undefined
      const isYoung = ageMs(now) < boundMs * askShare
      if (isYoung) questions = 0
      // A store that came back from a copy may lack the newest version, which only other nodes can tell.
      if (isYoung && !(isReader && now - comparedAt >= boundMs * askShare)) return undefined
      if (now - askedAt < replyMs) return undefined
      askedAt = now
      if (isYoung) return 'fleet'
      questions += 1
      return questions === 1 ? 'reader' : questions <= zoneQuestions ? 'zone' : 'fleet'
    }
  }
}
