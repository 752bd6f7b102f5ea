/** Processes, terms and intents that the `ownership` stream records, for its reducer and its snapshots. */

/** Identifies a process: each start of a node has its own incarnation. */
export type ProcessId = { node: string, incarnation: number }

export type OwnerTerm = ProcessId & {
  engine: string
  /** Fencing token: offset of the record that began the term. */
  term: number
  /** Offset that the next owner record must name in `after`. */
  latest: number
}

/** A process that owned the engine earlier; `term` is its last one. */
export type Predecessor = ProcessId & { term: number }

/** An authorised eviction that is not yet recorded as carried out by the engine. */
export type EvictionIntent = { engine: string, term: number, handle: string }
