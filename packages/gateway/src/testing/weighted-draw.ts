export type WeightedDraw = { totalWeight: number, draw (): number }

/**
 * Draws indices below `count` with probabilities in proportion to their weights.
 *
 * @param uniform - returns a number from 0 to 1
 */
export function createWeightedDraw (uniform: () => number, count: number, weightOf: (index: number) => number): WeightedDraw {
  const cumulativeWeights: number[] = []
  for (let index = 0, sum = 0; index < count; index++) cumulativeWeights.push(sum += weightOf(index))
  const totalWeight = cumulativeWeights.at(-1) ?? 0
  return {
    totalWeight,
    draw () {
      const drawnWeight = uniform() * totalWeight
      let low = 0
      let high = count - 1
      while (low < high) {
        const middle = (low + high) >> 1
        if (cumulativeWeights[middle]! < drawnWeight) low = middle + 1
        else high = middle
      }
      return low
    }
  }
}
