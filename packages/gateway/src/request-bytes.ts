/**
 * Bounds the bytes of the bodies of requests that a node keeps at a time, over all requests, from
 * their arrival until the requests are answered. Small bodies have a part of their own, so that large
 * ones never keep them out. A large body reserves its room before it is read; without room it waits
 * for a short time, in which those that stall yield. What gets no room is refused and was not run.
 */

/** Why a body that is still arriving is given up. */
export type BodyRefusal = 'no-room' | 'stalled' | 'deadline'

export type BodyArrival = {
  /** Length that the client states, in bytes; undefined for a body in chunks. */
  statedBytes: number | undefined
  /** Largest length that is accepted, in bytes. */
  maxBytes: number
  /** Time until which the body must be complete, in ms; it may become earlier. */
  deadlineAt (): number
  /** There is room: the body may be read on. */
  proceed (): void
  /** Ends the count of a body that is still arriving. */
  refuse (reason: BodyRefusal): void
}

export type CountedBody = {
  /**
   * @param receivedBytes - number of bytes that have arrived
   * @param keptBytes - memory that they take
   * @returns false to stop reading until `proceed` is called
   */
  received (receivedBytes: number, keptBytes: number, now: number): boolean
  /** The body has arrived as a whole and can no longer be refused here. */
  complete (keptBytes: number, now: number): void
  /** Ends the count. */
  release (now: number): void
}

export type RequestBytes = {
  /** Counts a body that begins to arrive, unless it waits for room; see {@link CountedBody.received}. */
  open (arrival: BodyArrival, now: number): CountedBody
  /**
   * Gives up the bodies that are late, stall while others wait, or have waited for too long. To be
   * called every {@link bodyCheckMs} while bodies arrive.
   *
   * @returns whether bodies are still arriving
   */
  check (now: number): boolean
  /** All bytes that are kept or reserved now. */
  total (): number
}

/** Largest body that counts as small, in bytes. */
const smallBodyBytes = 64 * 1024
/** Share of the room that only small bodies use. */
const smallShare = 0.25
/** Longest time for which a body waits for room, in ms: clients give up a request that is not read within a second. */
const maxWaitMs = 700
/** Share of the time left for which a body waits at most; clients give up after a third. */
const maxWaitShare = 0.25
/** Number of bodies that wait at most: each one takes the memory that its connection has read ahead. */
const maxWaiting = 128
/** A body stalls if less than {@link progressBytes} of it arrive in this time, in ms. */
const stallMs = 400
const progressBytes = 16 * 1024
/** Interval of the checks, in ms. */
export const bodyCheckMs = 100
/** A check that is late by more than this, in ms, shows that the process could not read: nobody stalled meanwhile. */
const lateCheckMs = 100

type Entry = {
  arrival: BodyArrival
  state: 'small' | 'waiting' | 'large' | 'complete'
  size: 'small' | 'large'
  /** Bytes that count. */
  bytes: number
  receivedBytes: number
  /** Time of the last progress, and the number of bytes that had arrived by then. */
  progressAt: number
  progressedBytes: number
  waitUntil: number
}

/** @param maxBytes - bytes that a node may keep for bodies of requests */
export function createRequestBytes (maxBytes: number): RequestBytes {
  const room = { small: maxBytes * smallShare, large: maxBytes * (1 - smallShare) }
  const used = { small: 0, large: 0 }
  const arriving = new Set<Entry>()
  /** In the order of arrival. */
  const waiting = new Set<Entry>()
  let lastCheckAt: number | undefined

  function count (entry: Entry, bytes: number): void {
    used[entry.size] += bytes - entry.bytes
    entry.bytes = bytes
  }

  function close (entry: Entry): void {
    count(entry, 0)
    arriving.delete(entry)
    waiting.delete(entry)
  }

  function refuse (entry: Entry, reason: BodyRefusal): void {
    close(entry)
    entry.arrival.refuse(reason)
  }

  /** Length to reserve. A body that is larger than the room is read alone. */
  function neededBytes ({ arrival }: Entry): number {
    return Math.min(arrival.statedBytes ?? arrival.maxBytes, arrival.maxBytes)
  }

  function admit (entry: Entry, now: number): boolean {
    const bytes = neededBytes(entry)
    if (used.large > 0 && used.large + bytes > room.large) return false
    waiting.delete(entry)
    count(entry, 0)
    entry.state = entry.size = 'large'
    entry.progressAt = now
    entry.progressedBytes = entry.receivedBytes
    count(entry, bytes)
    return true
  }

  /** @returns whether the body can be read on at once */
  function enlarge (entry: Entry, now: number): boolean {
    if (admit(entry, now)) return true
    if (waiting.size >= maxWaiting) {
      refuse(entry, 'no-room')
      return true
    }
    entry.state = 'waiting'
    entry.waitUntil = now + Math.min(maxWaitMs, (entry.arrival.deadlineAt() - now) * maxWaitShare)
    waiting.add(entry)
    return false
  }

  function admitWaiting (now: number): void {
    for (const entry of waiting) {
      if (admit(entry, now)) entry.arrival.proceed()
    }
  }

  /** Small bodies are so many that they fill their room: the largest that is not complete yields. */
  function limitSmall (): void {
    while (used.small > room.small) {
      let largest: Entry | undefined
      for (const entry of arriving) {
        if (entry.size === 'small' && entry.bytes > (largest?.bytes ?? 0)) largest = entry
      }
      if (largest === undefined) return
      refuse(largest, 'no-room')
    }
  }

  function refuseStalled (now: number): void {
    const stalled = [...arriving].filter(({ state, progressAt }) => state === 'large' && now - progressAt > stallMs)
    for (const entry of stalled.sort((a, b) => b.bytes - a.bytes || a.progressAt - b.progressAt)) {
      if (waiting.size === 0) return
      refuse(entry, 'stalled')
      admitWaiting(now)
    }
  }

  function excuseDelay (now: number): void {
    const delayMs = lastCheckAt === undefined ? 0 : now - lastCheckAt - bodyCheckMs
    if (delayMs <= lateCheckMs) return
    for (const entry of arriving) {
      entry.progressAt += delayMs
      entry.waitUntil += delayMs
    }
  }

  return {
    open (arrival, now) {
      const entry: Entry = { arrival, state: 'small', size: 'small', bytes: 0, receivedBytes: 0, progressAt: now, progressedBytes: 0, waitUntil: Infinity }
      if (arriving.size === 0) lastCheckAt = now
      arriving.add(entry)
      return {
        received (receivedBytes, keptBytes, at) {
          if (!arriving.has(entry)) return true
          entry.receivedBytes = receivedBytes
          if (receivedBytes - entry.progressedBytes >= progressBytes) {
            entry.progressedBytes = receivedBytes
            entry.progressAt = at
          }
          if (entry.state === 'large') return true
          count(entry, keptBytes)
          if (entry.state === 'small' && Math.max(receivedBytes, arrival.statedBytes ?? 0) > smallBodyBytes) return enlarge(entry, at)
          limitSmall()
          return entry.state !== 'waiting'
        },
        complete (keptBytes, at) {
          if (!arriving.delete(entry)) return
          waiting.delete(entry)
          entry.state = 'complete'
          count(entry, keptBytes)
          admitWaiting(at)
        },
        release (at) {
          close(entry)
          admitWaiting(at)
        }
      }
    },
    check (now) {
      excuseDelay(now)
      lastCheckAt = now
      for (const entry of arriving) {
        if (entry.arrival.deadlineAt() <= now) refuse(entry, 'deadline')
      }
      admitWaiting(now)
      refuseStalled(now)
      for (const entry of waiting) {
        if (entry.waitUntil <= now) refuse(entry, 'no-room')
      }
      return arriving.size > 0
    },
    total: () => used.small + used.large
  }
}
