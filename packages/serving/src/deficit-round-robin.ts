/** Deficit round robin between the adapters of one class. */

export type DeficitRoundRobin = {
  /**
   * Chooses the adapter to serve next and deducts the cost from its deficit.
   * @param costs cost of the first request of each adapter that could run now, in tokens
   * @returns its key; undefined when `costs` is empty
   */
  next (costs: Map<string, number>): string | undefined
}

/** Tokens added to an adapter's deficit per turn: about one short response. */
const quantumTokens = 256

export const createDeficitRoundRobin = (): DeficitRoundRobin => {
  let ring: string[] = []
  const deficits = new Map<string, number>()

  const refresh = (costs: Map<string, number>): void => {
    ring = ring.filter((key) => costs.has(key))
    for (const key of deficits.keys()) {
      if (!costs.has(key)) {
        deficits.delete(key)
      }
    }
    for (const key of costs.keys()) {
      if (!deficits.has(key)) {
        deficits.set(key, 0)
        ring.push(key)
      }
    }
  }

  return {
    next (costs) {
      refresh(costs)
      while (ring.length > 0) {
        const key = ring[0]!
        const deficit = deficits.get(key)!
        const cost = costs.get(key)!
        if (deficit >= cost) {
          deficits.set(key, deficit - cost)
          return key
        }
        deficits.set(key, deficit + quantumTokens)
        ring.push(ring.shift()!)
      }
      return undefined
    }
  }
}
