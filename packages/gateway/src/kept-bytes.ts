/**
 * Bounds the bytes of responses that a node keeps at a time, over all requests: those that are not
 * complete yet, and those that their clients have not read yet. If there are too many, the incomplete
 * response with the most bytes is given up: a response without end becomes the largest one.
 */
export type KeptBytes = {
  /** @param giveUp - ends the response, because the node keeps too many bytes */
  open (giveUp: () => void): KeptResponse
  /**
   * Counts a complete response.
   *
   * @returns a function that ends the count
   */
  hold (bytes: number): () => void
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

/** Share of the limit of memory that responses, and bodies of requests, may take each. */
const memoryShare = 1 / 7

/** @param memoryBytes - limit of the process's memory, if it is known */
export function keptBytesLimit (memoryBytes?: number): number {
  return memoryBytes === undefined ? maxKeptBytes : memoryBytes * memoryShare
}

export function createKeptBytes (maxBytes = maxKeptBytes): KeptBytes {
  const responses = new Map<KeptResponse, { bytes: number, giveUp: () => void }>()
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

  function limit (): void {
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
    hold (bytes) {
      let held = true
      total += bytes
      limit()
      return () => {
        if (held) total -= bytes
        held = false
      }
    },
    total: () => total
  }
}
