/**
 * How a node passes on what it reads from a server for another node. A killed process ends its connections regularly, so
 * the end of the relayed connection doesn't show whether the server has ended its own. Frames say so.
 *
 * A frame is a length of four bytes, big-endian, and as many bytes of the server. Two lengths stand alone: 0 says that
 * the server has ended its connection regularly, 0xffffffff that this connection has broken off.
 */
import { Transform } from 'node:stream'

/** Asks for frames in a request, and announces them in the response: nodes of earlier builds know neither. */
export const relayedFramesHeader = 'x-relayed-frames'
export const relayedFramesVersion = '1'

const lengthBytes = 4
const endLength = 0
const brokenLength = 0xffffffff

function lengthField (length: number): Buffer {
  const field = Buffer.allocUnsafe(lengthBytes)
  field.writeUInt32BE(length)
  return field
}

/**
 * Turns the bytes of a server into frames; its end becomes the last one.
 *
 * @param isBroken - whether the connection to the server has broken off, asked when it has ended
 */
export function createFrameWriter (isBroken: () => boolean): Transform {
  return new Transform({
    transform (bytes: Buffer, _encoding, callback) { callback(null, Buffer.concat([lengthField(bytes.length), bytes])) },
    flush (callback) { callback(null, lengthField(isBroken() ? brokenLength : endLength)) }
  })
}

export type FrameEvents = {
  data (bytes: Buffer): void
  /** The server has ended its connection regularly. */
  ended (): void
  /** The connection to the server has broken off. */
  broken (): void
}

/** @returns a function that takes the bytes of a relayed connection as they arrive; what follows the last frame is ignored */
export function createFrameReader (events: FrameEvents): (bytes: Buffer) => void {
  let field = Buffer.alloc(0)
  /** Bytes of the current frame that have not arrived. */
  let left = 0
  let finished = false

  /** @returns what follows the length field */
  function readLength (bytes: Buffer): Buffer {
    const missing = lengthBytes - field.length
    field = Buffer.concat([field, bytes.subarray(0, missing)])
    if (field.length < lengthBytes) return bytes.subarray(bytes.length)
    const length = field.readUInt32BE()
    field = Buffer.alloc(0)
    finished = length === endLength || length === brokenLength
    if (length === endLength) events.ended()
    else if (length === brokenLength) events.broken()
    else left = length
    return bytes.subarray(missing)
  }

  return received => {
    let bytes = received
    while (bytes.length > 0 && !finished) {
      if (left === 0) {
        bytes = readLength(bytes)
        continue
      }
      const part = bytes.subarray(0, left)
      left -= part.length
      bytes = bytes.subarray(part.length)
      events.data(part)
    }
  }
}
