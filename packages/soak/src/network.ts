/** Links between processes, and between a process and the platform: delay, loss, duplication, partitions. */
import type { Clock, SeededRandom } from '@yuccawharf/stand-ins'

export type Network = {
  /** A message that may be lost, repeated, late or out of order. */
  send (from: string, to: string, run: () => void): void
  /** A connection: in order of sending, once; `broken` when the link is cut. */
  stream (from: string, to: string, run: () => void, broken: () => void): void
  isCut (from: string, to: string): boolean
  /** Cuts one direction. */
  cut (from: string, to: string): void
  heal (from: string, to: string): void
  /** Loss and duplication of messages, as fractions, and the longest delay, in ms. */
  setQuality (quality: LinkQuality): void
  /** For the next `ms`, half of the messages arrive once more, up to 15 s later. */
  repeatLate (ms: number): void
}

export type LinkQuality = { loss: number, duplication: number, maxDelayMs: number }

export const goodQuality: LinkQuality = { loss: 0.002, duplication: 0.01, maxDelayMs: 5 }

/** Time after which a sender notices a cut connection, in ms. */
const brokenAfterMs = 300
const lateMs = 15_000

/** @returns a network with good links */
export const createNetwork = (clock: Clock, chance: SeededRandom): Network => {
  const cuts = new Map<string, number>()
  const lastArrival = new Map<string, number>()
  let quality = goodQuality
  let repeatLateUntil = -Infinity

  const linkOf = (from: string, to: string): string => `${from}>${to}`
  const isCut = (from: string, to: string): boolean => cuts.has(linkOf(from, to))

  /** One message in 50 overtakes others by being up to 50 times as late. */
  const delayMs = (): number => {
    const bound = quality.maxDelayMs * (chance.happens(0.02) ? 50 : 1)
    return chance.between(1, Math.max(1, bound * 10)) / 10
  }

  return {
    send (from, to, run) {
      if (isCut(from, to) || chance.happens(quality.loss)) {
        return
      }
      clock.after(delayMs(), run)
      if (chance.happens(quality.duplication)) {
        clock.after(delayMs(), run)
      }
      if (clock.now() < repeatLateUntil && chance.happens(0.5)) {
        clock.after(chance.between(500, lateMs), run)
      }
    },
    stream (from, to, run, broken) {
      if (isCut(from, to) || isCut(to, from)) {
        clock.after(brokenAfterMs, broken)
        return
      }
      const link = linkOf(from, to)
      const arrival = Math.max(lastArrival.get(link) ?? 0, clock.now() + delayMs())
      lastArrival.set(link, arrival)
      clock.after(arrival - clock.now(), run)
    },
    isCut,
    cut (from, to) {
      const link = linkOf(from, to)
      cuts.set(link, (cuts.get(link) ?? 0) + 1)
    },
    heal (from, to) {
      const link = linkOf(from, to)
      const count = cuts.get(link) ?? 0
      if (count <= 1) {
        cuts.delete(link)
      } else {
        cuts.set(link, count - 1)
      }
    },
    setQuality (next) {
      quality = next
    },
    repeatLate (ms) {
      repeatLateUntil = clock.now() + ms
    }
  }
}
