/** Completion routes of the caller API, and the routes that serve the same streams to other nodes. */
import { validateForwardedCompletion, type ForwardedCompletion } from '@yuccawharf/schema'
import type { RelayedResponse } from './relayed-response'
import type { ResponseRegistry } from './response-registry'
import { sendCompleteResponse, streamResponse, type ReaderEnv } from './response-readers'
import { parseCompletionRequest, parseLastEventId, schemaFindings } from './completion-request'
import type { ResponseLocator } from './response-locator'
import type { Completion, CoreEvent, AgedLoadHint } from './core/core-events'
import type { Directory } from './directory'
import type { Forwarder } from './forwarder'
import { readJson } from './http-body'
import type { Route, RouteContext } from './http-router'
import { formatLoadHints, loadHintHeader } from './load-hints'
import { createProblem, invalidProblem, sendProblem, type Problem } from './problem'
import { stampHeader, type Stamps } from './stamps'

export type CompletionRoutesEnv = {
  stamps: Stamps
  now (): number
  responses: ResponseRegistry
  forwarder: Forwarder
  locator: ResponseLocator
  directory: Directory
  dispatcher: { request (options: { origin: string, path: string, method: 'POST' }): Promise<{ statusCode: number, body: { json (): Promise<unknown> } }> }
  requestBytes: number
  /** Largest number of requests that this node handles at once. */
  maxRunning: number
  report (event: CoreEvent): void
  /** Whether the node accepts new requests. */
  accepting (): boolean
  /** Load of this node's engines, attached to each response to a forwarded request. */
  loadHints (): AgedLoadHint[]
}

const charactersPerToken = 4

function sameRequest (first: Completion, second: Completion): boolean {
  return first.model === second.model && first.adapter === second.adapter && first.version === second.version &&
    first.class === second.class && first.prompt === second.prompt && first.maxTokens === second.maxTokens
}

function drainingProblem (): Problem {
  return { ...createProblem(503, 'not-run', 'Not run', 'the node is leaving; ask for other addresses'), retryAfterMs: 1000 }
}

/** A request that was refused, cancelled or aborted may be sent again under the same id. */
function mayBeSentAgain (response: RelayedResponse): boolean {
  const ended = response.relay.end()
  return ended?.type === 'failed' || ended?.reason === 'cancelled'
}

export function createCompletionRoutes (env: CompletionRoutesEnv): Route[] {
  const readerEnv: ReaderEnv = {
    now: env.now,
    disconnected (response) {
      // A forwarded response without readers is no longer read; its owner retains it for callers that reconnect.
      const relayed = response.engine === undefined || response.completion === undefined
      if (response.readerCount() > 0 || !relayed || response.source === undefined) return
      response.attempt++
      response.source.abort()
      response.source = undefined
    },
    reopen (response, after) {
      if (response.completion === undefined) return undefined
      const other = env.responses.createUnregistered(response.requestId, after)
      if (response.engine === undefined) env.forwarder.recover(other)
      else env.responses.openAtEngine(other, response.engine, () => env.forwarder.recover(other))
      return other
    }
  }

  const peerReaderEnv: ReaderEnv = { ...readerEnv, responseHeaders: () => ({ [loadHintHeader]: formatLoadHints(env.loadHints()), [stampHeader]: env.stamps.next() }) }

  /** @returns the response to the same request if it was sent before, else a newly registered one, or a refusal */
  function findOrRegister (completion: Completion, submit: (completion: Completion) => void): RelayedResponse | Problem {
    const existing = env.responses.get(completion.requestId)
    if (existing?.completion !== undefined && !mayBeSentAgain(existing)) {
      if (sameRequest(existing.completion, completion)) return existing
      return invalidProblem([{ field: 'X-Request-Id', message: 'names another request' }], 409)
    }
    if (!env.accepting()) return drainingProblem()
    if (env.responses.size() >= env.maxRunning) return { ...createProblem(503, 'not-run', 'Not run', 'the node holds its largest number of requests'), retryAfterMs: 1000 }
    const response = env.responses.create(completion)
    submit(completion)
    return response
  }

  function reopenIfStopped (response: RelayedResponse): void {
    const stopped = response.engine === undefined && response.peer !== undefined && response.source === undefined
    if (stopped && response.relay.end() === undefined) env.forwarder.recover(response)
  }

  async function post ({ req, res }: RouteContext): Promise<void> {
    const body = await readJson(req, env.requestBytes)
    if (body.err) return sendProblem(res, body.val)
    const parsed = parseCompletionRequest(body.val, req.headers, env.now())
    if (parsed.err) return sendProblem(res, parsed.val)
    const { completion, stream } = parsed.val
    const response = findOrRegister(completion, () => env.report({ type: 'submit', completion }))
    if ('status' in response) return sendProblem(res, response)
    reopenIfStopped(response)
    const { model, adapter, version, prompt } = completion
    if (stream) streamResponse(response, res, 0, readerEnv)
    else sendCompleteResponse(response, res, `${model}:${adapter}@${version}`, Math.ceil(prompt.length / charactersPerToken), readerEnv)
  }

  async function resume ({ req, res, params: [requestId = ''] }: RouteContext): Promise<void> {
    const after = parseLastEventId(req.headers)
    if (after.err) return sendProblem(res, after.val)
    const existing = env.responses.get(requestId)
    const response = existing ?? await env.forwarder.find(requestId, after.val)
    if (response === undefined) return sendProblem(res, unknownRequest(requestId))
    reopenIfStopped(response)
    streamResponse(response, res, after.val, readerEnv)
  }

  function unknownRequest (requestId: string): Problem {
    return createProblem(404, 'unknown', 'Request not found', `no instance knows the request ${requestId}`)
  }

  /** @returns whether the response had not ended yet, or undefined if the node didn't confirm the cancellation */
  async function cancelAtPeer (node: string, requestId: string): Promise<boolean | undefined> {
    const address = env.directory.address(node)
    if (address === undefined) return undefined
    const path = `/peer/v1/completions/${encodeURIComponent(requestId)}/cancel`
    const response = await env.dispatcher.request({ origin: `http://${address}`, path, method: 'POST' })
    const body = await response.body.json() as { cancelled?: unknown }
    return response.statusCode === 200 ? body.cancelled === true : undefined
  }

  /** @returns false if the response had already ended other than by cancellation */
  function cancelLocally (response: RelayedResponse): boolean {
    const ended = response.relay.end()
    if (ended === undefined) env.report({ type: 'cancel', requestId: response.requestId })
    return ended === undefined || (ended.type === 'finished' && ended.reason === 'cancelled')
  }

  /** Forwards the cancellation; the finish reason of the response shows whether it came before the end. */
  async function cancel ({ res, params: [requestId = ''] }: RouteContext): Promise<void> {
    const response = env.responses.get(requestId)
    const location = response === undefined ? await env.locator.locate(requestId) : undefined
    const peer = response?.peer ?? (location?.type === 'peer' ? location.node : undefined)
    if (peer !== undefined) {
      const cancelled = await cancelAtPeer(peer, requestId).catch(() => undefined)
      if (cancelled === undefined) return sendProblem(res, createProblem(502, 'unknown', 'Outcome unknown', 'the node that runs the request did not confirm the cancellation'))
      return sendJson(res, 200, { id: requestId, cancelled })
    }
    if (response !== undefined) return sendJson(res, 200, { id: requestId, cancelled: cancelLocally(response) })
    if (location?.type !== 'engine') return sendProblem(res, unknownRequest(requestId))
    env.responses.cancelDispatch(location.engine, requestId)
    sendJson(res, 200, { id: requestId, cancelled: true })
  }

  async function postPeer ({ req, res }: RouteContext): Promise<void> {
    const body = await readJson(req, env.requestBytes + 4096)
    if (body.err) return sendProblem(res, body.val)
    const findings = schemaFindings(validateForwardedCompletion, body.val, 'body')
    if (findings.length > 0) return sendProblem(res, invalidProblem(findings))
    env.stamps.received(req.headers[stampHeader])
    const { remainingMs, ...fields } = body.val as ForwardedCompletion
    const completion: Completion = { ...fields, deadline: env.now() + remainingMs }
    const response = findOrRegister(completion, () => env.report({ type: 'submit', completion, forwarded: true }))
    if ('status' in response) return sendProblem(res, response)
    streamResponse(response, res, 0, peerReaderEnv)
  }

  function resumePeer ({ req, res, params: [requestId = ''] }: RouteContext): void {
    const response = env.responses.get(requestId)
    const after = parseLastEventId(req.headers)
    if (response === undefined) return sendProblem(res, unknownRequest(requestId))
    if (after.err) return sendProblem(res, after.val)
    streamResponse(response, res, after.val, readerEnv)
  }

  function probe ({ res, params: [requestId = ''] }: RouteContext): void {
    const response = env.responses.get(requestId)
    // A response read from a peer is offered only once it is finished, because this node may have lost its source.
    const usable = response !== undefined && (response.peer === undefined || response.relay.end()?.type === 'finished')
    const owner = response?.engine !== undefined
    res.writeHead(usable ? 200 : 404, usable ? { 'x-answer-role': owner ? 'owner' : 'relay' } : {})
    res.end()
  }

  function cancelFromPeer ({ res, params: [requestId = ''] }: RouteContext): void {
    const response = env.responses.get(requestId)
    if (response === undefined) return sendProblem(res, unknownRequest(requestId))
    sendJson(res, 200, { id: requestId, cancelled: cancelLocally(response) })
  }

  return [
    { method: 'POST', pattern: /^\/v1\/completions$/, handle: post },
    { method: 'GET', pattern: /^\/v1\/completions\/([^/]+)$/, handle: resume },
    { method: 'POST', pattern: /^\/v1\/completions\/([^/]+)\/cancel$/, handle: cancel },
    { method: 'POST', pattern: /^\/peer\/v1\/completions$/, handle: postPeer },
    { method: 'GET', pattern: /^\/peer\/v1\/completions\/([^/]+)$/, handle: resumePeer },
    { method: 'HEAD', pattern: /^\/peer\/v1\/completions\/([^/]+)$/, handle: probe },
    { method: 'POST', pattern: /^\/peer\/v1\/completions\/([^/]+)\/cancel$/, handle: cancelFromPeer }
  ]
}

export function sendJson (res: RouteContext['res'], status: number, value: unknown): void {
  const body = JSON.stringify(value)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  res.end(body)
}
