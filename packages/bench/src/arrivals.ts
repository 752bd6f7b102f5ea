/** Arrivals of a workload: one list per seed, the same for every policy. */
import prand from 'pure-rand'
import type { ServingRequest } from '@yuccawharf/serving'
import type { WorkClass, Workload } from './workload'

/** Uniform in [0, 1). */
export type Random = () => number

export const createRandom = (seed: number): Random => {
  const generator = prand.xoroshiro128plus(seed)
  return () => prand.unsafeUniformIntDistribution(0, 0x7fffffff, generator) / 0x80000000
}

const shuffled = (length: number, random: Random): number[] => {
  const list = Array.from({ length }, (_, index) => index)
  for (let index = length - 1; index > 0; index -= 1) {
    const other = Math.floor(random() * (index + 1))
    const value = list[index]!
    list[index] = list[other]!
    list[other] = value
  }
  return list
}

const zipfCumulative = (count: number, skew: number): number[] => {
  const sums: number[] = []
  let sum = 0
  for (let rank = 1; rank <= count; rank += 1) {
    sum += rank ** -skew
    sums.push(sum)
  }
  return sums.map((value) => value / sum)
}

const firstAtLeast = (sorted: number[], value: number): number => {
  let low = 0
  let high = sorted.length - 1
  while (low < high) {
    const middle = (low + high) >> 1
    if (sorted[middle]! < value) {
      low = middle + 1
    } else {
      high = middle
    }
  }
  return low
}

/** Factor on the arrival rate at the given time. */
export const surgeFactor = ({ surge }: Workload, seconds: number): number => surge.reduce((factor, { atSeconds, rampSeconds, forSeconds, factor: peak }) => {
  const rise = (seconds - atSeconds) / rampSeconds
  const fall = (atSeconds + rampSeconds + forSeconds + rampSeconds - seconds) / rampSeconds
  return factor * (1 + (peak - 1) * Math.max(0, Math.min(1, rise, fall)))
}, 1)

const pickClass = (classes: WorkClass[], value: number): WorkClass => {
  let sum = 0
  return classes.find(({ share }) => value < (sum += share)) ?? classes.at(-1)!
}

/** Token counts are uniform between 0.5 and 1.5 times their mean. */
const randomTokenCount = (mean: number, random: Random): number => Math.max(1, Math.round(mean * (0.5 + random())))

/** Each prompt of an adapter starts with one of this many prefixes. */
const prefixesPerAdapter = 3

export const createArrivals = (workload: Workload, seed: number): ServingRequest[] => {
  const random = createRandom(seed)
  const { count, skew } = workload.adapters
  const adaptersByRank = shuffled(count, random)
  const rareAdapters = shuffled(Math.floor(count / 2), random).map((index) => adaptersByRank[count - 1 - index]!)
  const cumulative = zipfCumulative(count, skew)
  const peak = workload.surge.reduce((product, { factor }) => product * Math.max(1, factor), 1)
  const requests: ServingRequest[] = []

  const pickAdapter = (seconds: number): number => {
    const value = random()
    const rank = firstAtLeast(cumulative, random())
    const active = workload.activation.find(({ atSeconds, forSeconds }) => seconds >= atSeconds && seconds < atSeconds + forSeconds)
    if (active !== undefined && value < active.share) {
      return rareAdapters[Math.floor(value / active.share * active.adapters)]!
    }
    const shiftedRanks = workload.shift.filter(({ atSeconds }) => seconds >= atSeconds).reduce((sum, { ranks }) => sum + ranks, 0)
    return adaptersByRank[(rank + shiftedRanks) % count]!
  }

  const versionOf = (adapter: number, seconds: number): string =>
    `v${1 + workload.version.filter(({ atSeconds, rank }) => seconds >= atSeconds && adaptersByRank[rank] === adapter).length}`

  const create = (seconds: number): ServingRequest => {
    const cls = pickClass(workload.class, random())
    const index = pickAdapter(seconds)
    const arrivedAt = seconds * 1000
    return {
      requestId: `r${requests.length}`,
      adapter: `a${index}`,
      version: versionOf(index, seconds),
      class: cls.name,
      promptTokens: randomTokenCount(cls.promptTokens, random),
      maxTokens: randomTokenCount(cls.outputTokens, random),
      prefix: `a${index}/${Math.floor(random() * prefixesPerAdapter)}`,
      arrivedAt,
      deadline: arrivedAt + cls.deadlineSeconds * 1000
    }
  }

  let seconds = 0
  while (true) {
    seconds -= Math.log(1 - random()) / (workload.arrivalsPerSecond * peak)
    if (seconds >= workload.seconds) {
      return requests
    }
    if (random() * peak < surgeFactor(workload, seconds)) {
      requests.push(create(seconds))
    }
  }
}
