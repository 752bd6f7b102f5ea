/** Recognises a request that comes again: with the same method, host, path, caller and body, but another id and deadline. */
import { createHash, type Hash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { ModelDemand } from './cluster-types'

export type DigestedRequest = {
  req: Pick<IncomingMessage, 'method' | 'url' | 'headers'>
  body: Buffer | null
  demand: ModelDemand | undefined
}

/** Bodies up to this size are read as a whole, in bytes. */
const maxWholeBytes = 256 * 1024
/** Of larger bodies, this many blocks at equal distances are read, so that the cost is bounded. */
const blockCount = 64
const blockBytes = maxWholeBytes / blockCount
/** Length of a digest, in characters of base64url: 132 bits. */
const digestLength = 22

/** Headers that identify the caller (RFC 9110, section 11.6.2; RFC 6265). */
const callerHeaders = ['authorization', 'cookie'] as const

function updateBody (hash: Hash, body: Buffer): void {
  hash.update(`${body.length}\n`)
  if (body.length <= maxWholeBytes) {
    hash.update(body)
    return
  }
  const distance = (body.length - blockBytes) / (blockCount - 1)
  for (let index = 0; index < blockCount; index++) {
    const start = Math.floor(index * distance)
    hash.update(body.subarray(start, start + blockBytes))
  }
}

const keyPrefix = 'request/'

/** @returns the name under which the request is blocked, as a part of a prompt is under its id */
export function requestKey (digest: string): string {
  return `${keyPrefix}${digest}`
}

export function isRequestKey (part: string): boolean {
  return part.startsWith(keyPrefix)
}

/**
 * @returns the same text for requests that are the same to a server. Bodies over 256 KiB that differ
 * only between the blocks that are read count as the same.
 */
export function requestDigest ({ req, body, demand }: DigestedRequest): string {
  const { headers } = req
  const identity = [req.method, headers.host, req.url, ...callerHeaders.map(name => headers[name]), demand?.model, demand?.adapter, demand?.parts.map(({ id }) => id)]
  const hash = createHash('sha256').update(`${JSON.stringify(identity)}\n`)
  updateBody(hash, body ?? Buffer.alloc(0))
  return hash.digest('base64url').slice(0, digestLength)
}
