/** Rendezvous ranking. */

/** FNV-1a over the UTF-16 units, then the finaliser of MurmurHash3 to spread similar keys. */
const hash32 = (text: string): number => {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** @returns the members ordered by their rank for the key, first the highest */
export const rendezvousRank = (key: string, members: readonly string[]): string[] => {
  const weights = members.map((member) => ({ member, weight: hash32(`${key}|${member}`) }))
  weights.sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
  return weights.map(({ member }) => member)
}
