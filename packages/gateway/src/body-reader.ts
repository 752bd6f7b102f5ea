/** Reads the bodies of requests within the bounds of one request and of the node. */
import type { IncomingMessage } from 'node:http'
import { bodyCheckMs, type BodyRefusal, type RequestBytes } from './request-bytes'

export type Body =
  /** `release` ends the count of the body's bytes. */
  | { type: 'read', bytes: Buffer | null, release (): void }
  | { type: 'too-large' }
  | { type: 'aborted' }
  /** The rest of the body was not read. */
  | { type: 'refused', reason: BodyRefusal }

export type BodyReader = {
  /**
   * @param maxBytes - largest length that is accepted, in bytes
   * @param deadlineAt - time until which the body must be complete, in ms
   */
  read (req: IncomingMessage, maxBytes: number, deadlineAt: () => number): Promise<Body>
}

/** Smallest buffer for a body that arrives in several pieces, in bytes. */
const minBufferBytes = 1024

/**
 * Collects a body. Each piece is copied into one buffer, because a buffer of its own for each costs
 * some hundred bytes, and clients choose the size of their pieces.
 */
class BodyBuffer {
  size = 0
  private buffer: Buffer | undefined

  /** @param limitBytes - length that the body states or must not exceed */
  constructor (private readonly statedBytes: number | undefined, private readonly limitBytes: number) {}

  /** Memory that the body takes, in bytes. */
  get keptBytes (): number {
    return this.buffer?.length ?? 0
  }

  append (chunk: Buffer): void {
    const size = this.size + chunk.length
    if (this.buffer === undefined) this.buffer = chunk
    else {
      if (size > this.buffer.length) this.grow(size)
      chunk.copy(this.buffer, this.size)
    }
    this.size = size
  }

  bytes (): Buffer {
    return this.buffer?.subarray(0, this.size) ?? Buffer.alloc(0)
  }

  private grow (size: number): void {
    const capacity = this.statedBytes !== undefined && size > minBufferBytes ? this.statedBytes : Math.min(this.limitBytes, Math.max(minBufferBytes, 2 * size))
    // Pages that nothing is written to take no memory.
    const grown = Buffer.allocUnsafeSlow(Math.max(capacity, size))
    this.buffer!.copy(grown, 0, 0, this.size)
    this.buffer = grown
  }
}

/** @returns the length that the request states for its body, in bytes */
function statedLength (req: IncomingMessage): number | undefined {
  const text = req.headers['content-length']
  return text === undefined || req.headers['transfer-encoding'] !== undefined ? undefined : Number(text)
}

export function createBodyReader (account: RequestBytes, now: () => number): BodyReader {
  let timer: NodeJS.Timeout | undefined

  /** One timer serves all bodies. */
  function watch (): void {
    timer ??= setTimeout(() => {
      timer = undefined
      if (account.check(now())) watch()
    }, bodyCheckMs)
  }

  return {
    read (req, maxBytes, deadlineAt) {
      return new Promise(resolve => {
        if (req.headers['content-length'] === undefined && req.headers['transfer-encoding'] === undefined) {
          req.on('end', () => resolve({ type: 'read', bytes: null, release () {} }))
          req.on('close', () => { if (!req.complete) resolve({ type: 'aborted' }) })
          req.resume()
          return
        }
        const statedBytes = statedLength(req)
        if (statedBytes !== undefined && statedBytes > maxBytes) return resolve({ type: 'too-large' })
        let body: BodyBuffer | undefined = new BodyBuffer(statedBytes, maxBytes)

        const counted = account.open({
          statedBytes,
          maxBytes,
          deadlineAt,
          proceed: () => { req.resume() },
          refuse: reason => { stop({ type: 'refused', reason }) }
        }, now())

        function stop (result: Body): void {
          body = undefined
          resolve(result)
        }

        req.on('data', (chunk: Buffer) => {
          if (body === undefined) return
          if (body.size + chunk.length > maxBytes) {
            counted.release(now())
            return stop({ type: 'too-large' })
          }
          body.append(chunk)
          if (!counted.received(body.size, body.keptBytes, now())) req.pause()
        })
        req.on('end', () => {
          if (body === undefined) return
          const bytes = body.bytes()
          counted.complete(body.keptBytes, now())
          stop({ type: 'read', bytes, release: () => { counted.release(now()) } })
        })
        req.on('close', () => {
          if (req.complete || body === undefined) return
          counted.release(now())
          stop({ type: 'aborted' })
        })
        // A large body is read only when there is room for it.
        if (!counted.received(0, 0, now())) req.pause()
        watch()
      })
    }
  }
}
