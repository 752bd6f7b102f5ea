/** Ranking of engines and nodes by name. */
import { rankNodes } from '@yuccawharf/coordination'

/** @returns the members ordered by their rendezvous rank for the key, first the highest */
export const rendezvousRank = (key: string, members: readonly string[]): string[] =>
  rankNodes(key, members.map((id) => ({ id }))).map(({ id }) => id)
