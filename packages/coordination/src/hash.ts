/** Non-cryptographic 32-bit hashing: FNV-1a over UTF-16 code units with the finaliser of MurmurHash3. */

const fnvOffsetBasis = 0x811c9dc5
const fnvPrime = 0x01000193

/**
 * Spreads the bits of a 32-bit value (finaliser of MurmurHash3).
 *
 * @param value - any 32-bit integer
 * @returns an unsigned 32-bit integer
 */
export const mixHash = (value: number): number => {
  let mixed = value | 0
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/** @returns an unsigned 32-bit hash, the same in every process */
export const hashText = (text: string): number => {
  let hash = fnvOffsetBasis
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime)
  }
  return mixHash(hash)
}
