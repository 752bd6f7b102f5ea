/**
 * Collects what arrives in pieces in one buffer. A piece that is kept as an object of its own costs some hundred
 * bytes, and as a part of a read all bytes of that read; senders choose the size of their pieces.
 */
export type ByteCollector = {
  /** Number of bytes collected. */
  readonly size: number
  /** Memory that they take, in bytes. */
  readonly keptBytes: number
  append (piece: Buffer): void
  /** All bytes collected; they share the memory of the collector until the next `append`. */
  bytes (): Buffer
  /**
   * Removes bytes from the beginning; the others are copied.
   *
   * @param length - number of bytes, by default all
   * @returns the bytes, with memory of their own
   */
  take (length?: number): Buffer
}

export type ByteCollectorOptions = {
  /** Length that the sender states, in bytes; room for it is made at the second piece. */
  statedBytes?: number | undefined
  /** Largest length that the caller appends, in bytes; no more room is made. */
  limitBytes?: number
}

/** Larger parts of a buffer that nothing has been written to take no memory, because the system maps their pages at the first write. */
const maxUnwrittenBytes = 128 * 1024
/** Smallest buffer for what arrives in several pieces, in bytes. */
const minBufferBytes = 1024

/** Whether the piece is most of the memory that it keeps in use, which is that of its read. */
function fillsItsMemory (piece: Buffer): boolean {
  return 2 * piece.length >= piece.buffer.byteLength
}

function copyOf (piece: Buffer): Buffer {
  const copy = Buffer.allocUnsafeSlow(piece.length)
  piece.copy(copy)
  return copy
}

export function createByteCollector ({ statedBytes, limitBytes = Infinity }: ByteCollectorOptions = {}): ByteCollector {
  let buffer: Buffer | undefined
  /** Whether the buffer is a piece as it arrived, so that nothing may be written to it. */
  let isPiece = false
  let size = 0

  function grow (wanted: number): void {
    const capacity = statedBytes !== undefined && wanted > minBufferBytes ? statedBytes : Math.min(limitBytes, Math.max(minBufferBytes, 2 * wanted))
    const grown = Buffer.allocUnsafeSlow(Math.max(capacity, wanted))
    buffer!.copy(grown, 0, 0, size)
    buffer = grown
    isPiece = false
  }

  function append (piece: Buffer): void {
    if (piece.length === 0) return
    const total = size + piece.length
    if (buffer === undefined) {
      isPiece = fillsItsMemory(piece)
      buffer = isPiece ? piece : copyOf(piece)
    } else {
      if (isPiece || total > buffer.length) grow(total)
      piece.copy(buffer, size)
    }
    size = total
  }

  return {
    get size () { return size },
    get keptBytes () { return Math.min(buffer?.length ?? 0, size + maxUnwrittenBytes) },
    append,
    bytes: () => buffer?.subarray(0, size) ?? Buffer.alloc(0),
    take (length = size) {
      if (buffer === undefined) return Buffer.alloc(0)
      const taken = buffer.subarray(0, length)
      const rest = buffer.subarray(length, size)
      buffer = rest.length === 0 ? undefined : copyOf(rest)
      isPiece = false
      size = rest.length
      return taken
    }
  }
}
