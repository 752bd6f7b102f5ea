/**
 * One request to one backend server, with the checks that its response is this request's and whole.
 * A response to another request, without the server's signature, or cut short never reaches a client.
 */
import type { BackendServer } from './cluster-types'
import { createEventSplitter } from './event-splitter'
import type { HeaderCodec, RawHeaders, ResponseMetadata } from './platform-interface'
import type { Upstream, UpstreamRequest } from './upstream'

export type AttemptResult =
  /** No byte was sent. */
  | { type: 'not-sent', reason: string }
  /** The server proves that it did not run the request. */
  | { type: 'not-run', status: number }
  /** A whole response; a status of 400 or more is the server's own failure. */
  | { type: 'response', status: number, headers: RawHeaders, body: Buffer }
  /** All events were handed on. */
  | { type: 'streamed' }
  /** The request may have run; `begun` when events were handed on. */
  | { type: 'failed', reason: string, begun: boolean }
  | { type: 'aborted' }

export type AttemptOptions = {
  codec: HeaderCodec
  upstream: Upstream
  now (): number
  server: BackendServer
  requestId: string
  req: UpstreamRequest
  /** Hand on events as they arrive; otherwise the body is collected. */
  streamed?: {
    head (status: number, headers: RawHeaders): void
    /** @returns false to pause the server until `resume` of the attempt */
    events (bytes: Buffer, lastId: string | undefined): boolean
  }
  maxBodyBytes: number
  warn (event: string, fields: Record<string, string | number>): void
}

export type Attempt = {
  result: Promise<AttemptResult>
  abort (reason: string): void
  resume (): void
}

const retryLaterStatuses = new Set([408, 421, 429, 503])

export function startAttempt (options: AttemptOptions): Attempt {
  const { codec, server, upstream, streamed } = options
  let settle: (result: AttemptResult) => void = () => {}
  const result = new Promise<AttemptResult>(resolve => { settle = resolve })
  let status = 0
  let facts: ResponseMetadata | undefined
  let streaming = false
  let begun = false
  let bytes = 0
  const chunks: Buffer[] = []
  const splitter = createEventSplitter()

  function fail (reason: string): void {
    settle({ type: 'failed', reason, begun })
  }

  /** @returns why the response cannot be handed to the client */
  function fault (response: ResponseMetadata): string | undefined {
    if (response.requestId !== options.requestId && (response.requestId !== undefined || status < 300)) return 'response belongs to another request'
    if (status < 300 && !response.signed) return 'success without the server\'s signature'
    if (status < 300 && response.encoded) return 'encoded body'
    return undefined
  }

  const call = upstream.send(server, options.req, {
    headers (code, raw) {
      status = code
      facts = codec.response(code, raw)
      const reason = fault(facts)
      if (reason !== undefined) {
        upstream.distrust(server, options.now())
        options.warn('response-rejected', { server: server.id, reason, status, requestId: options.requestId, foundId: facts.requestId ?? '' })
        call.abort(reason)
        return fail(reason)
      }
      if (facts.notRun) {
        settle({ type: 'not-run', status })
        return
      }
      streaming = streamed !== undefined && status < 300
      if (streaming) streamed!.head(status, facts.headers)
    },
    data (chunk) {
      bytes += chunk.length
      if (streaming) {
        const whole = splitter.push(chunk)
        if (whole === undefined) return
        begun = true
        if (!streamed!.events(whole, splitter.lastId())) call.pause()
        return
      }
      if (bytes > options.maxBodyBytes) {
        call.abort('response is too large')
        return fail('response is too large')
      }
      chunks.push(chunk)
    },
    complete () {
      if (streaming) {
        const rest = splitter.rest()
        if (rest.length > 0) streamed!.events(rest, splitter.lastId())
        return settle({ type: 'streamed' })
      }
      // These statuses promise that nothing ran, which this server did not prove.
      if (retryLaterStatuses.has(status)) return fail(`status ${status} without proof that the request has not run`)
      settle({ type: 'response', status, headers: facts?.headers ?? [], body: Buffer.concat(chunks) })
    },
    failed ({ sent, reason }) {
      if (sent) fail(reason)
      else settle({ type: 'not-sent', reason })
    }
  })

  return {
    result,
    abort (reason) {
      call.abort(reason)
      settle({ type: 'aborted' })
    },
    resume: () => call.resume()
  }
}
