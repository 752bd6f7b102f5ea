/** Opens one event stream over HTTP, at an engine or at the node that owns it, and passes on its events. */
import type { Dispatcher } from 'undici'
import { createByteCollector } from '@yuccawharf/clients'
import { createResponseParser, type ResponseEvent } from '@yuccawharf/serving'

export type SourceRequest = {
  /** For example `http://10.1.2.3:7400`. */
  origin: string
  path: string
  method: 'GET' | 'POST'
  headers: Record<string, string>
  body?: string
}

export type SourceHandler = {
  events (events: ResponseEvent[]): void
  /** The server replied with a status other than 200; `body` is read up to about 64 KiB. */
  refused (status: number, body: string): void
  /** Called with the status and headers of the response. */
  started? (headers: Record<string, string | string[] | undefined>, status: number): void
  /** The connection ended; `sent` is false if no byte of the request can have reached the server. */
  closed (reason: string, sent: boolean): void
}

export type ResponseSource = {
  pause (): void
  resume (): void
  /** Closes the connection; the handler isn't called again. */
  abort (): void
}

const maxRefusalBytes = 64 * 1024
/** Errors raised before a connection is established, so nothing was sent. */
const connectErrors = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL'])

function errorCode (err: Error): string {
  return (err as NodeJS.ErrnoException).code ?? err.message
}

/** Opens the stream on a pooled connection of the dispatcher. */
export function openResponseSource (dispatcher: Dispatcher, req: SourceRequest, handler: SourceHandler): ResponseSource {
  const parser = createResponseParser()
  let controller: Dispatcher.DispatchController | undefined
  let status = 0
  const refusal = createByteCollector()
  let closed = false
  let paused = false

  function close (reason: string, sent: boolean): void {
    if (closed) return
    closed = true
    handler.closed(reason, sent)
  }

  function refuse (): void {
    if (closed) return
    closed = true
    handler.refused(status, refusal.bytes().toString())
  }

  dispatcher.dispatch({ origin: req.origin, path: req.path, method: req.method, headers: req.headers, body: req.body ?? null }, {
    onRequestStart (started) {
      controller = started
      if (closed) started.abort(new Error('aborted'))
    },
    onResponseStart (_controller, statusCode, headers) {
      status = statusCode
      handler.started?.(headers, statusCode)
      if (paused) controller?.pause()
    },
    onResponseData (_controller, chunk) {
      if (closed) return
      if (status === 200) handler.events(parser.push(chunk))
      else if (refusal.size < maxRefusalBytes) refusal.append(chunk)
    },
    onResponseEnd () {
      if (status === 200) close('the stream ended', true)
      else refuse()
    },
    onResponseError (_controller, err) {
      close(errorCode(err), !connectErrors.has(errorCode(err)))
    }
  })

  return {
    pause () {
      paused = true
      if (status === 200) controller?.pause()
    },
    resume () {
      paused = false
      if (controller?.paused === true) controller.resume()
    },
    abort () {
      if (closed) return
      closed = true
      controller?.abort(new Error('aborted'))
    }
  }
}
