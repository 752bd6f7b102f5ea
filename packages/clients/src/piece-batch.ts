/**
 * Joins the pieces of a response that are parsed in one turn of the event loop, so that what follows works on reads
 * and not on pieces, whose size the server chooses.
 */
import { createByteCollector } from './byte-collector'

export type PieceBatch = {
  push (piece: Buffer): void
  /** Passes on at once what was collected. */
  flush (): void
  /** Nothing is passed on any more. */
  discard (): void
}

/** Bytes that are passed on without waiting for the end of the turn: about one read. */
const maxBatchBytes = 64 * 1024

/**
 * @param passOn - gets the bytes of one or several pieces, with memory of their own
 * @param failed - called when `passOn` throws outside of `push` and `flush`; nothing is passed on any more
 */
export function createPieceBatch (passOn: (bytes: Buffer, pieces: number) => void, failed: (err: Error) => void): PieceBatch {
  const collected = createByteCollector()
  let pieces = 0
  let scheduled = false
  let discarded = false

  function flush (): void {
    if (pieces === 0) return
    const count = pieces
    pieces = 0
    passOn(collected.take(), count)
  }

  function discard (): void {
    discarded = true
    pieces = 0
    collected.take()
  }

  return {
    push (piece) {
      if (discarded) return
      collected.append(piece)
      pieces += 1
      if (collected.size >= maxBatchBytes) return flush()
      if (scheduled) return
      scheduled = true
      queueMicrotask(() => {
        scheduled = false
        try {
          flush()
        } catch (err) {
          discard()
          failed(err as Error)
        }
      })
    },
    flush,
    discard
  }
}
