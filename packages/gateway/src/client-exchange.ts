/** A client request and its response. At most one response is sent; the connection is closed if it cannot be completed. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createByteCollector } from '@yuccawharf/clients'
import type { Account, Route, ServiceSpec } from './cluster-types'
import type { DecisionLog } from './decision-log'
import type { KeptBytes, KeptResponse } from './kept-bytes'
import type { HeaderCodec, RawHeaders, RequestMetadata } from './platform-interface'

/** `not-run` guarantees that the request has not run and will not run. */
export type RefusalStatus = { status: number, outcome: 'not-run' | 'unknown' | 'invalid' }

export type ExchangeContext = {
  req: IncomingMessage
  res: ServerResponse
  metadata: RequestMetadata
  route: Route
  service: ServiceSpec
  /** Absent if the configuration names no accounts, and for anonymous requests. */
  account?: Account
  /** 0 is the most urgent; by the account, then the route. */
  priority: number
  body: Buffer | null
  arrivedAt: number
  /** The client's deadline or the route's timeout, whichever is earlier. */
  deadlineAt: number
}

export type ClientExchange = ExchangeContext & {
  /** The response was ended or refused, or the client has disconnected. */
  readonly ended: boolean
  readonly disconnected: boolean
  readonly headersSent: boolean
  /** The request was refused, and has not run and will not run. */
  readonly refusedNotRun: boolean
  /** Called once if the client disconnects before the response is complete. */
  onDisconnect (listener: () => void): void
  refuse (refusal: RefusalStatus, reason: string, retryAfterMs?: number): void
  head (status: number, headers: RawHeaders): void
  /** @returns false if the client reads more slowly than data arrives; wait for `onDrain` */
  write (chunk: Buffer): boolean
  onDrain (listener: () => void): void
  end (chunk?: Buffer): void
  /** Sends a complete response with its length. */
  respond (status: number, headers: RawHeaders, body: Buffer): void
  /** Closes the connection of a response that cannot be completed. */
  abort (): void
  outcome (): string
  /** Size of the body that was handed to the client's connection, in bytes. */
  sentBytes (): number
}

export type ExchangeOptions = {
  codec: HeaderCodec
  kept: KeptBytes
  log: DecisionLog
  /** Called when the head of the response is written. @returns whether the response closes its connection */
  closing (): boolean
}

/** Bytes that wait for a client that reads more slowly than data arrives, before no more are asked for. */
const maxWaitingBytes = 16 * 1024
/** Time for which the rest of a refused body is discarded, in ms. */
const unreadBodyMs = 1000

const titles: Record<RefusalStatus['outcome'], string> = { 'not-run': 'Not run', unknown: 'Outcome unknown', invalid: 'Invalid request' }

/** @returns the body of a refusal, as a problem document (RFC 9457) */
export function refusalBody ({ status, outcome }: RefusalStatus, reason: string): string {
  return JSON.stringify({ type: `urn:yuccawharf:problem:${outcome}`, title: titles[outcome], status, detail: reason, outcome })
}

export function withoutLength (headers: RawHeaders): RawHeaders {
  return headers.filter((_, index) => headers[index - index % 2]!.toLowerCase() !== 'content-length')
}

/** Sends a refusal for a request that has no exchange. */
export function sendRefusal (res: ServerResponse, refusal: RefusalStatus, reason: string, headers: Record<string, string> = {}): void {
  if (res.headersSent || res.destroyed) return
  const body = refusalBody(refusal, reason)
  res.writeHead(refusal.status, { 'content-type': 'application/problem+json', 'content-length': Buffer.byteLength(body), ...headers })
  res.end(body)
}

/**
 * Refuses a request whose body is still arriving, and closes the connection. The bytes that the client
 * is sending are discarded for a while: the system resets a connection that is closed before they are
 * read, and the client might lose the refusal.
 */
export function sendUnreadRefusal (req: IncomingMessage, res: ServerResponse, refusal: RefusalStatus, reason: string, headers: Record<string, string>): void {
  if (res.headersSent || res.destroyed) return
  const body = refusalBody(refusal, reason)
  res.writeHead(refusal.status, { 'content-type': 'application/problem+json', 'content-length': Buffer.byteLength(body), ...headers, connection: 'close' })
  // Complete for the client; the end here would close the connection.
  res.write(body)
  const timer = setTimeout(() => { res.end() }, unreadBodyMs)
  req.once('end', () => { res.end() })
  res.once('close', () => { clearTimeout(timer) })
  req.resume()
}

/** Closes the connection of an incomplete response, so that it does not look complete. */
export function abortResponse (res: ServerResponse): void {
  // A client without chunks, such as one of HTTP/1.0, takes a regular close for the end of the body.
  if (res.headersSent && !res.chunkedEncoding) res.socket?.resetAndDestroy()
  res.destroy()
}

export function createClientExchange (ctx: ExchangeContext, options: ExchangeOptions): ClientExchange {
  const { res } = ctx
  let ended = false
  let disconnected = false
  let outcome = 'open'
  let refusedNotRun = false
  let sentBytes = 0
  const disconnectListeners: (() => void)[] = []
  /** Size of the write that has not been handed to the system yet, in bytes; 0 if there is none. */
  let writing = 0
  /** What is written next, as one: each write that Node.js keeps for the connection costs some hundred bytes. */
  const waiting = createByteCollector()
  const drainListeners: (() => void)[] = []
  /** What counts of the bytes that the client has not read; undefined while they are few. */
  let unread: KeptResponse | undefined

  res.on('close', () => {
    unread?.close()
    if (ended) return
    ended = true
    disconnected = true
    outcome = 'client-left'
    for (const listener of disconnectListeners) listener()
  })

  function finish (finalOutcome: string): boolean {
    if (ended) return false
    ended = true
    outcome = finalOutcome
    return true
  }

  function closeHeader (): Record<string, string> {
    return options.closing() ? { connection: 'close' } : {}
  }

  function head (status: number, headers: RawHeaders): void {
    if (ended || res.headersSent) return
    if (options.closing()) res.shouldKeepAlive = false
    res.writeHead(status, headers)
  }

  function giveUpUnread (bytes: number): void {
    options.log.warn('response-unread', { id: ctx.metadata.id, bytes, keptBytes: options.kept.total() })
    ctx.req.socket.resetAndDestroy()
  }

  function countUnread (): void {
    const bytes = writing + waiting.keptBytes
    if (bytes >= maxWaitingBytes) {
      unread ??= options.kept.open(() => { giveUpUnread(writing + waiting.keptBytes) })
      unread.set(bytes)
    } else {
      unread?.close()
      unread = undefined
    }
  }

  function written (err?: Error | null): void {
    writing = 0
    if (err != null || res.writableEnded) return
    if (waiting.size > 0) write(waiting.take())
    countUnread()
    for (const listener of drainListeners.splice(0)) listener()
  }

  function write (chunk: Buffer): void {
    writing = chunk.length
    res.write(chunk, written)
  }

  function end (chunk?: Buffer): void {
    if (!finish('answered')) return
    sentBytes += chunk?.length ?? 0
    if (waiting.size > 0) res.write(waiting.take())
    if (chunk === undefined) res.end()
    else res.end(chunk)
  }

  return {
    ...ctx,
    get ended () { return ended },
    get disconnected () { return disconnected },
    get headersSent () { return res.headersSent },
    get refusedNotRun () { return refusedNotRun },
    onDisconnect: listener => { disconnectListeners.push(listener) },
    refuse (refusal, reason, retryAfterMs) {
      if (!finish(`refused-${refusal.status}`)) return
      refusedNotRun = refusal.outcome === 'not-run'
      const retry: Record<string, string> = retryAfterMs === undefined ? {} : { 'retry-after': options.codec.retryAfter(retryAfterMs) }
      sendRefusal(res, refusal, reason, { ...options.codec.identify(ctx.metadata.id), ...retry, ...closeHeader() })
    },
    head,
    write (chunk) {
      if (ended) return true
      sentBytes += chunk.length
      if (writing > 0) waiting.append(chunk)
      else write(chunk)
      countUnread()
      return writing + waiting.size < maxWaitingBytes
    },
    onDrain: listener => { drainListeners.push(listener) },
    end,
    respond (status, headers, body) {
      if (ended) return
      res.once('close', options.kept.hold(body.length, () => { giveUpUnread(body.length) }))
      head(status, [...withoutLength(headers), 'Content-Length', String(body.length)])
      end(body)
    },
    abort () {
      if (!finish('cut')) return
      abortResponse(res)
    },
    outcome: () => outcome,
    sentBytes: () => sentBytes
  }
}
