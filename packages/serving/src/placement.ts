/** Ranking of engines and nodes by name. */
import { rankNodes } from '@yuccawharf/coordination'

/** @returns the members in order of their rendezvous rank for the key, highest first */
export const rendezvousRank = (key: string, members: readonly string[]): string[] =>
  rankNodes(key, members.map((id) => ({ id }))).map(({ id }) => id)
