/**
 * Positions in the store's topics. The store may come back from a copy and then gives out offsets
 * again; it states a higher era from then on. A position combines era and offset into one number, so
 * that positions, and the fencing tokens made from them, grow over all restorations.
 */

/** Offsets below this number leave room for 131,072 eras in a safe integer. */
const offsetsPerEra = 2 ** 36

/** Era of a store that has never come back from a copy. */
export const firstEra = 1

/**
 * @param era - number of restorations that the store states; 0 if it states none
 * @param offset - offset within the topic
 */
export function logPosition (era: number, offset: number): number {
  return era * offsetsPerEra + offset
}

export function eraOf (position: number): number {
  return Math.floor(position / offsetsPerEra)
}

export function offsetOf (position: number): number {
  return position - eraOf(position) * offsetsPerEra
}
