/**
 * Bounds the bytes of responses that a node keeps at a time, over all requests: those that are not
 * complete yet, and those that their clients have not read yet. If there are too many, the complete
 * responses whose clients have not read them for a while are given up, the oldest first, and then the
 * incomplete response with the most bytes: a response without end becomes the largest one.
 */
export type KeptBytes = {
  /** @param giveUp - ends the response, because the node keeps too many bytes */
  open (giveUp: () => void): KeptResponse
  /**
   * Counts a complete response.
   *
   * @param giveUp - ends the response, because its client has not read it for a while and others need the room
   * @returns a function that ends the count
   */
  hold (bytes: number, giveUp?: () => void): () => void
  /** All bytes that are kept now. */
  total (): number
}

/** An incomplete response. */
export type KeptResponse = {
  /** @param bytes - number of bytes of this response that are kept now */
  set (bytes: number): void
  close (): void
}

/** Bytes that a node may keep: three of the largest responses, a seventh of the memory of a small instance. */
const maxKeptBytes = 48 * 1024 * 1024

/** Time in which a client is expected to read a complete response, in ms, after which the response yields to others. */
const readMs = 4000

/** Share of the limit of memory that responses, and bodies of requests, may take each. */
const memoryShare = 1 / 7

/** @param memoryBytes - limit of the process's memory, if it is known */
export function keptBytesLimit (memoryBytes?: number): number {
  return memoryBytes === undefined ? maxKeptBytes : memoryBytes * memoryShare
}

/**
 * @param maxBytes - bytes that a node may keep for responses
 * @param now - current time, in ms
 */
export function createKeptBytes (maxBytes = maxKeptBytes, now: () => number = () => performance.now()): KeptBytes {
  const responses = new Map<KeptResponse, { bytes: number, giveUp: () => void }>()
  /** Complete responses, the oldest first. */
  const unread = new Set<{ since: number, release (): void, giveUp: () => void }>()
  let total = 0

  function largest (): KeptResponse | undefined {
    let found: KeptResponse | undefined
    let most = 0
    for (const [response, { bytes }] of responses) {
      if (bytes <= most) continue
      most = bytes
      found = response
    }
    return found
  }

  function giveUpUnread (): void {
    for (const response of unread) {
      if (total <= maxBytes || now() - response.since < readMs) return
      response.release()
      response.giveUp()
    }
  }

  function limit (): void {
    if (total <= maxBytes) return
    giveUpUnread()
    if (total <= maxBytes) return
    const response = largest()
    if (response === undefined) return
    const { giveUp } = responses.get(response)!
    response.close()
    giveUp()
    limit()
  }

  return {
    open (giveUp) {
      const response: KeptResponse = {
        set (bytes) {
          const entry = responses.get(response)
          if (entry === undefined) return
          total += bytes - entry.bytes
          entry.bytes = bytes
          limit()
        },
        close () {
          total -= responses.get(response)?.bytes ?? 0
          responses.delete(response)
        }
      }
      responses.set(response, { bytes: 0, giveUp })
      return response
    },
    hold (bytes, giveUp) {
      const response = {
        since: now(),
        giveUp: giveUp ?? (() => {}),
        release () {
          if (held) total -= bytes
          held = false
          unread.delete(response)
        }
      }
      let held = true
      total += bytes
      if (giveUp !== undefined) unread.add(response)
      limit()
      return response.release
    },
    total: () => total
  }
}
