/**
 * Sends one request to one backend server and checks that the response belongs to the request and is
 * complete. A client never gets a response to another request, a success without the server's
 * signature, or a truncated response that looks complete.
 */
import { createByteCollector, framingOf, type BodyFraming } from '@yuccawharf/clients'
import type { BackendServer } from './cluster-types'
import type { RunOutcome } from './engine-scheduler'
import { createEventSplitter } from './event-splitter'
import type { KeptBytes } from './kept-bytes'
import type { HeaderCodec, RawHeaders, ResponseMetadata } from './platform-interface'
import { endOf, headerOf, type ResponseEnd, type ResponseFacts } from './response-end'
import type { Upstream, UpstreamRequest } from './upstream'

export type AttemptResult =
  /** No byte was sent. */
  | { type: 'not-sent', reason: string, linksCut?: true }
  /** The server confirmed that it did not run the request. */
  | { type: 'not-run', status: number }
  /** A complete response; a status of 400 or more is an error of the server itself. */
  | { type: 'response', status: number, headers: RawHeaders, body: Buffer }
  /** All events were forwarded. */
  | { type: 'streamed' }
  /** The request may have run. `eventsSent`: some of its events were forwarded; `connectionLost`: the server broke off; `linksCut`: this node is cut off, which says nothing about the server; `unusable`: this node gave the response up, because nobody could have used it. */
  | { type: 'failed', reason: string, eventsSent: boolean, connectionLost: boolean, linksCut?: true, unusable?: true }
  | { type: 'aborted' }

/** How the server's run of a request ended. */
export function runOutcomeOf (result: AttemptResult): RunOutcome {
  if ('linksCut' in result) return 'cancelled'
  switch (result.type) {
    case 'not-sent': return 'unreachable'
    case 'not-run': return result.status === 421 ? 'misdirected' : 'not-run'
    case 'streamed': return 'ok'
    case 'response': return result.status < 500 ? 'ok' : 'failed'
    case 'aborted': return 'cancelled'
    case 'failed': return result.unusable !== undefined ? 'unusable' : result.connectionLost ? 'disconnected' : 'failed'
  }
}

export type AttemptOptions = {
  codec: HeaderCodec
  upstream: Upstream
  now (): number
  server: BackendServer
  requestId: string
  req: UpstreamRequest
  /** Forwards events as they arrive. Without it the body is buffered. */
  stream?: {
    head (status: number, headers: RawHeaders): void
    /** @returns false to stop reading until `resume` is called on the attempt */
    events (bytes: Buffer, lastId: string | undefined): boolean
  }
  maxBodyBytes: number
  kept: KeptBytes
  /** The response is passed on or counts as a refusal of the server; called before its body arrives, with the node that relays it, if one does. */
  responded? (status: number, metadata: ResponseMetadata, sentAt: number, through?: string): void
  /** The server's response is complete; whether it is passed on is decided afterwards. */
  complete? (end: ResponseEnd): void
  warn (event: string, fields: Record<string, string | number>): void
}

export type Attempt = {
  result: Promise<AttemptResult>
  abort (reason: string): void
  resume (): void
  /** What is known of the response now. */
  facts (): ResponseFacts
}

/** Largest event of a stream, in bytes. An event without end would otherwise fill the memory of the node. */
const maxEventBytes = 256 * 1024
/** Largest body of a refusal that is read, so that its connection can be used again, in bytes. */
const maxRefusalBytes = 64 * 1024

const retryLaterStatuses = new Set([408, 421, 429, 503])

/** @returns length that the response states for its body, in bytes; a response to HEAD states that of a GET */
function statedLength (method: string, raw: RawHeaders): number | undefined {
  if (method === 'HEAD') return undefined
  const index = raw.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'content-length')
  return index < 0 ? undefined : Number(raw[index + 1])
}

/** A response without a type counts as one, because the route announces a stream. */
function isEventStream (raw: RawHeaders): boolean {
  const index = raw.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'content-type')
  return index < 0 || raw[index + 1]!.trim().toLowerCase().startsWith('text/event-stream')
}

export function startAttempt (options: AttemptOptions): Attempt {
  const { codec, server, upstream, stream } = options
  const sentAt = options.now()
  let resolvePromise: (result: AttemptResult) => void = () => {}
  const result = new Promise<AttemptResult>(resolve => { resolvePromise = resolve })
  let status = 0
  let metadata: ResponseMetadata | undefined
  let framing: BodyFraming = 'connection-close'
  let relayedBy: string | undefined
  let end: ResponseEnd | undefined
  let streaming = false
  let eventsSent = false
  let bytes = 0
  let pieces = 0
  let ended = false
  const body = createByteCollector({ limitBytes: options.maxBodyBytes })
  const splitter = createEventSplitter()

  const kept = options.kept.open(() => {
    options.warn('response-given-up', { server: server.id, requestId: options.requestId, bytes, pieces, keptBytes: options.kept.total() })
    giveUp('the node keeps too many bytes of responses')
  })

  function resolveResult (attemptResult: AttemptResult): void {
    ended = true
    kept.close()
    resolvePromise(attemptResult)
  }

  function fail (reason: string, connectionLost = false): void {
    resolveResult({ type: 'failed', reason, eventsSent, connectionLost })
  }

  /** Ends a response that nobody could use. */
  function giveUp (reason: string): void {
    call.abort(reason)
    resolveResult({ type: 'failed', reason, eventsSent, connectionLost: false, unusable: true })
  }

  /** @returns why the response must not be forwarded to the client, or undefined if it may be */
  function rejectionReason (response: ResponseMetadata): string | undefined {
    if (response.requestId !== options.requestId && (response.requestId !== undefined || status < 300)) return 'response belongs to another request'
    // Without an id it may be a late copy, and the request would be sent again although it may run.
    if (response.notRun && response.requestId === undefined) return 'refusal without a request id'
    if (status < 300 && !response.signed) return 'success without the server\'s signature'
    if (status < 300 && response.encoded) return 'encoded body'
    return undefined
  }

  const call = upstream.send(server, options.req, {
    headers (code, raw, through) {
      status = code
      metadata = codec.response(code, raw)
      framing = framingOf({ method: options.req.method, status: code }, name => headerOf(raw, name))
      relayedBy = through
      const reason = rejectionReason(metadata)
      if (reason !== undefined) {
        upstream.disableReuse(server, options.now())
        options.warn('response-rejected', { server: server.id, reason, status, requestId: options.requestId, foundId: metadata.requestId ?? '' })
        call.abort(reason)
        return fail(reason)
      }
      options.responded?.(status, metadata, sentAt, through)
      if (metadata.notRun) {
        resolveResult({ type: 'not-run', status })
        return
      }
      streaming = stream !== undefined && status < 300 && isEventStream(raw)
      if (streaming) stream!.head(status, metadata.headers)
      else if ((statedLength(options.req.method, raw) ?? 0) > options.maxBodyBytes) giveUp('response is too large')
    },
    data (chunk, count) {
      bytes += chunk.length
      pieces += count
      if (metadata?.notRun === true) {
        if (bytes > maxRefusalBytes) call.abort('refusal is too large')
        return
      }
      if (streaming) {
        const completeEvents = splitter.push(chunk)
        kept.set(splitter.restBytes())
        if (ended) return
        if (splitter.restBytes() > maxEventBytes) {
          return giveUp('event is too large')
        }
        if (completeEvents === undefined) return
        eventsSent = true
        if (!stream!.events(completeEvents, splitter.lastId())) call.pause()
        return
      }
      if (bytes > options.maxBodyBytes) {
        return giveUp('response is too large')
      }
      body.append(chunk)
      kept.set(body.keptBytes)
    },
    complete () {
      end = endOf(framing, relayedBy !== undefined)
      options.complete?.(end)
      if (streaming) {
        // A regular close does not tell a complete body without a length from one that was broken off.
        if (splitter.insideEvent()) return fail(`the stream ended inside an event, its framing is ${framing}`, framing === 'connection-close')
        if (!eventsSent && framing === 'connection-close') return fail('the stream ended before its first event', true)
        const rest = splitter.rest()
        if (rest.length > 0) stream!.events(rest, splitter.lastId())
        return resolveResult({ type: 'streamed' })
      }
      // A client reads these statuses as "not run", which the server has not confirmed.
      if (retryLaterStatuses.has(status)) return fail(`status ${status} without proof that the request has not run`)
      resolveResult({ type: 'response', status, headers: metadata?.headers ?? [], body: body.bytes() })
    },
    failed ({ sent, reason, linksCut, unusable }) {
      const cut = linksCut === undefined ? {} : { linksCut }
      if (sent) resolveResult({ type: 'failed', reason, eventsSent, connectionLost: unusable === undefined, ...cut, ...(unusable === undefined ? {} : { unusable }) })
      else resolveResult({ type: 'not-sent', reason, ...cut })
    }
  })

  return {
    result,
    abort (reason) {
      call.abort(reason)
      resolveResult({ type: 'aborted' })
    },
    resume: () => call.resume(),
    facts: () => ({
      ...(metadata === undefined ? {} : { framing }),
      bytes,
      ...(relayedBy === undefined ? {} : { through: relayedBy }),
      ...(end === undefined ? {} : { end })
    })
  }
}
