/** Bounds the bytes of the headers of all requests that a node has in progress. */
export type HeaderBytes = {
  /**
   * Counts the headers of a request.
   *
   * @returns ends the count, or undefined if there is no room for them
   */
  hold (bytes: number): (() => void) | undefined
}

/** Share of the limit of memory: headers are kept several times, as they arrive, parsed and as they are sent. */
const memoryShare = 1 / 25
const defaultBytes = 14 * 1024 * 1024

/** @param memoryBytes - limit of the process's memory, if it is known */
export function createHeaderBytes (memoryBytes?: number): HeaderBytes {
  const maxBytes = memoryBytes === undefined ? defaultBytes : memoryBytes * memoryShare
  let total = 0

  return {
    hold (bytes) {
      if (total + bytes > maxBytes) return undefined
      total += bytes
      return () => { total -= bytes }
    }
  }
}
