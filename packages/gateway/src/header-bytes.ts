/** Bounds the bytes of the headers of all requests that a node has in progress, and so their number. */
export type HeaderBytes = {
  /**
   * Counts the headers of a request.
   *
   * @param headerBytes - length of its headers
   * @param pipelined - requests before it on its connection have no complete response
   * @returns ends the count, or undefined if there is no room for them
   */
  hold (headerBytes: number, pipelined: boolean): (() => void) | undefined
}

/** Share of the limit of memory: headers are kept several times, as they arrive, parsed and as they are sent. */
const memoryShare = 1 / 25
const defaultBytes = 14 * 1024 * 1024
/** Bytes that count for a request beside its headers: its state takes several times as many. */
const requestBytes = 4096
/** Share of the room up to which pipelined requests are accepted: the rest is for clients that wait for their responses. */
const pipelinedShare = 0.5

/** @param memoryBytes - limit of the process's memory, if it is known */
export function createHeaderBytes (memoryBytes?: number): HeaderBytes {
  const maxBytes = memoryBytes === undefined ? defaultBytes : memoryBytes * memoryShare
  let total = 0

  return {
    hold (headerBytes, pipelined) {
      const bytes = headerBytes + requestBytes
      if (total + bytes > maxBytes * (pipelined ? pipelinedShare : 1)) return undefined
      total += bytes
      return () => { total -= bytes }
    }
  }
}
