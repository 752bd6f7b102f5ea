/** Reads the bodies of requests within the bounds of one request and of the node. */
import { IncomingMessage } from 'node:http'
import { createByteCollector, type ByteCollector } from '@yuccawharf/clients'
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
        let body: ByteCollector | undefined = createByteCollector({ statedBytes, limitBytes: maxBytes })

        const counted = account.open({
          statedBytes,
          maxBytes,
          deadlineAt,
          proceed: goOn,
          refuse: reason => {
            goOn()
            stop({ type: 'refused', reason })
          }
        }, now())

        /**
         * Stops reading from the connection. What has been read still arrives and is collected: a request that is paused
         * would keep each chunk of it as an object.
         */
        function wait (): void {
          // Node.js would resume the connection as soon as the request has no bytes left.
          req._read = () => {}
          req.socket.pause()
        }

        function goOn (): void {
          req._read = IncomingMessage.prototype._read
          req.socket.resume()
        }

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
          if (!counted.received(body.size, body.keptBytes, now())) wait()
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
        if (!counted.received(0, 0, now())) wait()
        watch()
      })
    }
  }
}
