/** Simulated links between processes and to the platform, with delay, loss, duplication and partitions. */
import type { Clock, SeededRandom } from '@yuccawharf/stand-ins'

export type Network = {
  /** Sends a datagram, which may be lost, duplicated, delayed or reordered. */
  send (from: string, to: string, deliver: () => void): void
  /** Delivers once and in order, as a connection does; calls `onBroken` instead when the link is cut. */
  sendInOrder (from: string, to: string, deliver: () => void, onBroken: () => void): void
  isCut (from: string, to: string): boolean
  /** Cuts one direction of a link. Overlapping cuts must each be healed. */
  cut (from: string, to: string): void
  heal (from: string, to: string): void
  setQuality (quality: LinkQuality): void
  /** For the next `ms`, half of the datagrams are delivered a second time, up to 15 s later. */
  duplicateLate (ms: number): void
}

/** Loss and duplication of datagrams as fractions, and the usual bound of the delay. */
export type LinkQuality = { loss: number, duplication: number, maxDelayMs: number }

export const goodQuality: LinkQuality = { loss: 0.002, duplication: 0.01, maxDelayMs: 5 }

/** Time after which a sender notices a cut connection, in ms. */
const cutDetectionMs = 300
const maxLateMs = 15_000

/** @returns a network with good quality and no cut links */
export const createNetwork = (clock: Clock, random: SeededRandom): Network => {
  const cuts = new Map<string, number>()
  const lastArrival = new Map<string, number>()
  let quality = goodQuality
  let duplicateLateUntil = -Infinity

  const linkOf = (from: string, to: string): string => `${from}>${to}`
  const isCut = (from: string, to: string): boolean => cuts.has(linkOf(from, to))

  /** One delay in 50 may be up to 50 times as long as usual, so that later messages overtake. */
  const randomDelayMs = (): number => {
    const maxMs = quality.maxDelayMs * (random.happens(0.02) ? 50 : 1)
    return random.between(1, Math.max(1, maxMs * 10)) / 10
  }

  return {
    send (from, to, deliver) {
      if (isCut(from, to) || random.happens(quality.loss)) {
        return
      }
      clock.after(randomDelayMs(), deliver)
      if (random.happens(quality.duplication)) {
        clock.after(randomDelayMs(), deliver)
      }
      if (clock.now() < duplicateLateUntil && random.happens(0.5)) {
        clock.after(random.between(500, maxLateMs), deliver)
      }
    },
    sendInOrder (from, to, deliver, onBroken) {
      if (isCut(from, to) || isCut(to, from)) {
        clock.after(cutDetectionMs, onBroken)
        return
      }
      const link = linkOf(from, to)
      const arrival = Math.max(lastArrival.get(link) ?? 0, clock.now() + randomDelayMs())
      lastArrival.set(link, arrival)
      clock.after(arrival - clock.now(), deliver)
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
    duplicateLate (ms) {
      duplicateLateUntil = clock.now() + ms
    }
  }
}
