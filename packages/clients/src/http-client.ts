/**
 * HTTP exchanges with bounded time and size. A failure is `not-sent` only if the error proves that no
 * byte of the request reached the server; all others are `unknown`.
 */
import type { Readable } from 'node:stream'
import { gunzipSync } from 'node:zlib'
import { buildConnector, type Dispatcher } from 'undici'
import { createByteCollector } from './byte-collector'
import { createCheckedAgent } from './complete-responses'
import { createSocketConnector } from './server-connection'

export type HttpRequest = {
  method: string
  path: string
  headers?: Record<string, string>
  body?: string | Uint8Array
  /** Longest time from the call to the end of the response, in ms. */
  timeoutMs?: number
  /**
   * If set, `timeoutMs` ends with the headers, and the body may take as long as it arrives at this
   * rate or faster, in bytes/s. A large response over a slow link is then not cut and repeated.
   */
  minBodyRate?: number
  signal?: AbortSignal
  /** Cancels the request like `signal`, but has no effect once the response has begun. */
  startSignal?: AbortSignal
}

export type HttpResponse = { status: number, headers: Record<string, string>, body: Buffer }

/** `timedOut`: no response began in time. */
export type HttpFailure = { type: 'not-sent', reason: string } | { type: 'unknown', reason: string, timedOut?: true }

export type HttpResult = { type: 'ok', response: HttpResponse } | HttpFailure

export type StreamBody = Dispatcher.ResponseData['body']

/** A response with a streamed body; the reader stops it with `signal` or by destroying the body. */
export type HttpStreamResult = { type: 'ok', status: number, headers: Record<string, string>, body: StreamBody } | HttpFailure

export type HttpClientOptions = {
  /** For example http://10.1.2.3:8000 */
  baseUrl: string
  timeoutMs?: number
  maxBytes?: number
  /** Shared connection pool; by default each client has its own. */
  dispatcher?: Dispatcher
}

export interface HttpClient {
  exchange (req: HttpRequest): Promise<HttpResult>
  /** `timeoutMs` limits the time until the headers and then each pause in the body. */
  stream (req: HttpRequest): Promise<HttpStreamResult>
  /** Sends later requests on new connections; those in progress end on theirs. Only for clients with their own pool. */
  renewConnections (): void
  close (): Promise<void>
}

const defaultTimeoutMs = 5000
const defaultMaxBytes = 16 * 1024 * 1024
const connectTimeoutMs = 1000

/** Creates a connection pool for several clients. Without pipelining, a lost connection fails only one request. */
export function createConnections (): Dispatcher {
  return createCheckedAgent({ pipelining: 1, keepAliveTimeout: 4000 }, createSocketConnector(buildConnector({ timeout: connectTimeoutMs })))
}

type SystemError = { code?: string, syscall?: string, message?: string, errors?: unknown[] }

/** Whether the error arose before a connection was established or undici rejected the request as invalid. */
function provesNotSent (err: unknown): boolean {
  const { code, syscall, errors } = (err ?? {}) as SystemError
  if (errors !== undefined && errors.length > 0) return errors.every(provesNotSent)
  return code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'UND_ERR_INVALID_ARG' || syscall === 'connect' || syscall === 'getaddrinfo'
}

/** Classifies an error thrown by undici. */
export function classifyError (err: unknown): HttpFailure {
  const { code, message } = (err ?? {}) as SystemError
  const reason = [code, message].filter(part => part !== undefined && part !== '').join(': ')
  return { type: provesNotSent(err) ? 'not-sent' : 'unknown', reason: reason === '' ? 'connection failed' : reason }
}

function singleHeaders (headers: Record<string, string | string[] | undefined>): Record<string, string> {
  const single: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) single[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return single
}

/** Interval at which the rate of a body is checked, in ms. */
const rateIntervalMs = 1000

/**
 * Reads a complete body.
 *
 * @param received - called with the size of each chunk
 * @returns undefined if it exceeds `maxBytes`; the connection is then closed
 */
export async function readBody (body: Readable, maxBytes: number, received: (bytes: number) => void = () => {}): Promise<Buffer | undefined> {
  const collected = createByteCollector({ limitBytes: maxBytes })
  for await (const chunk of body as AsyncIterable<Buffer>) {
    received(chunk.length)
    // Leaving the loop destroys the body and with it the connection.
    if (collected.size + chunk.length > maxBytes) return undefined
    collected.append(chunk)
  }
  return collected.bytes()
}

export function createHttpClient (options: HttpClientOptions): HttpClient {
  const { timeoutMs = defaultTimeoutMs, maxBytes = defaultMaxBytes } = options
  let dispatcher = options.dispatcher ?? createConnections()
  const base = new URL(options.baseUrl)
  const prefix = base.pathname.replace(/\/$/, '')

  const send = async (req: HttpRequest, signal: AbortSignal, pauseMs: number): Promise<Dispatcher.ResponseData> => await dispatcher.request({
    origin: base.origin,
    path: prefix + req.path,
    method: req.method as Dispatcher.HttpMethod,
    headers: req.headers ?? {},
    body: req.body ?? null,
    signal,
    headersTimeout: pauseMs,
    bodyTimeout: pauseMs
  })

  return {
    async exchange (req) {
      if (req.signal?.aborted === true || req.startSignal?.aborted === true) return { type: 'not-sent', reason: 'cancelled before it was sent' }
      const abort = new AbortController()
      const limit = req.timeoutMs ?? timeoutMs
      let timedOut = false
      let timer = setTimeout(() => {
        timedOut = true
        abort.abort(new Error(`no response within ${limit} ms`))
      }, limit)
      let intervalBytes = 0
      const requireRate = (minRate: number): void => {
        clearTimeout(timer)
        timer = setTimeout(() => {
          if (intervalBytes < minRate * rateIntervalMs / 1000) return abort.abort(new Error(`the body arrives at less than ${minRate} bytes/s`))
          intervalBytes = 0
          requireRate(minRate)
        }, rateIntervalMs)
      }
      const cancel = (): void => abort.abort(new Error('cancelled'))
      req.signal?.addEventListener('abort', cancel, { once: true })
      req.startSignal?.addEventListener('abort', cancel, { once: true })
      try {
        const { statusCode, headers, body } = await send(req, abort.signal, limit)
        req.startSignal?.removeEventListener('abort', cancel)
        if (req.minBodyRate !== undefined) requireRate(req.minBodyRate)
        const bytes = await readBody(body, maxBytes, count => { intervalBytes += count })
        if (bytes === undefined) return { type: 'unknown', reason: `response exceeds ${maxBytes} bytes` }
        return { type: 'ok', response: { status: statusCode, headers: singleHeaders(headers), body: bytes } }
      } catch (err) {
        const failure = classifyError(err)
        timedOut ||= (err as SystemError).code === 'UND_ERR_HEADERS_TIMEOUT'
        return failure.type === 'unknown' && timedOut ? { ...failure, timedOut } : failure
      } finally {
        clearTimeout(timer)
        req.signal?.removeEventListener('abort', cancel)
        req.startSignal?.removeEventListener('abort', cancel)
      }
    },
    async stream (req) {
      const signal = req.signal ?? new AbortController().signal
      if (signal.aborted) return { type: 'not-sent', reason: 'cancelled before it was sent' }
      try {
        const { statusCode, headers, body } = await send(req, signal, req.timeoutMs ?? timeoutMs)
        // Readers get errors by iterating. Without a listener, the error emitted when a reader stops early would be uncaught.
        body.on('error', () => {})
        return { type: 'ok', status: statusCode, headers: singleHeaders(headers), body }
      } catch (err) {
        return classifyError(err)
      }
    },
    renewConnections () {
      if (options.dispatcher !== undefined) throw new Error('the connections are shared with other clients')
      const former = dispatcher
      dispatcher = createConnections()
      // Resolves when the requests in progress have ended; idle connections are closed at once.
      former.close().catch(() => {})
    },
    close: async () => { if (options.dispatcher === undefined) await dispatcher.destroy() }
  }
}

/** @returns the parsed JSON body, or undefined if it is malformed */
export function parseJson (body: Uint8Array | string): unknown {
  try {
    return JSON.parse(typeof body === 'string' ? body : Buffer.from(body).toString('utf8')) as unknown
  } catch {
    return undefined
  }
}

/** @returns the decompressed body, or undefined if it is corrupt or exceeds the size limit of uncompressed bodies */
export function decodedBody ({ headers, body }: HttpResponse): Uint8Array | undefined {
  if (headers['content-encoding'] !== 'gzip') return body
  try {
    return gunzipSync(body, { maxOutputLength: defaultMaxBytes })
  } catch {
    return undefined
  }
}
