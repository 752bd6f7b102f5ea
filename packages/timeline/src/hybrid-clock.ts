/**
 * Hybrid logical clock: stamps are close to wall-clock time, and a stamp taken after a message was
 * received is later than the stamp that the message carried.
 */

/** `time` in ms since 1970, `counter` orders stamps of the same ms. */
export type HybridStamp = { time: number, counter: number }

export type HybridClock = {
  /** @param now - wall-clock time in ms; may step back */
  tick (now: number): HybridStamp
  /** Advances past the stamp of a received message. @returns the stamp of its receipt */
  receive (remote: HybridStamp, now: number): HybridStamp
}

/** Remote stamps further ahead than this are ignored: adopting them would spread the error of a wrong clock to every process. */
const maxAheadMs = 60_000

/** @returns a negative number when `left` is earlier, 0 when equal */
export function compareStamps (left: HybridStamp, right: HybridStamp): number {
  return left.time !== right.time ? left.time - right.time : left.counter - right.counter
}

export function createHybridClock (): HybridClock {
  let latest: HybridStamp = { time: 0, counter: 0 }

  const advance = (now: number): HybridStamp => {
    const time = Math.floor(now)
    latest = time > latest.time ? { time, counter: 0 } : { time: latest.time, counter: latest.counter + 1 }
    return latest
  }

  return {
    tick: advance,
    receive (remote, now) {
      const usable = Number.isSafeInteger(remote.time) && Number.isSafeInteger(remote.counter) && remote.time <= now + maxAheadMs
      if (usable && compareStamps(remote, latest) > 0) latest = { time: remote.time, counter: remote.counter }
      return advance(now)
    }
  }
}

/** @returns a stamp as text for messages, for example 1780000000000.3 */
export function formatStamp (stamp: HybridStamp): string {
  return `${stamp.time}.${stamp.counter}`
}

/** @returns undefined when the text is not a stamp */
export function parseStamp (text: string): HybridStamp | undefined {
  const [, time, counter] = /^(\d{1,15})\.(\d{1,9})$/.exec(text) ?? []
  return time === undefined || counter === undefined ? undefined : { time: Number(time), counter: Number(counter) }
}
