/** Completions of the caller API, and the same streams for other nodes. */
import { validateForwardedCompletion, type ForwardedCompletion } from '@yuccawharf/schema'
import type { Answer } from './answer'
import type { AnswerHub } from './answer-hub'
import { sendWholeAnswer, streamAnswer, type ReaderEnv } from './answer-readers'
import { parseCompletionRequest, parseLastEventId, schemaFindings } from './completion-request'
import type { AnswerLocator } from './answer-locator'
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
  hub: AnswerHub
  forwarder: Forwarder
  locator: AnswerLocator
  directory: Directory
  dispatcher: { request (options: { origin: string, path: string, method: 'POST' }): Promise<{ statusCode: number, body: { json (): Promise<unknown> } }> }
  requestBytes: number
  /** Largest number of requests that this node holds at once. */
  maxRunning: number
  report (event: CoreEvent): void
  /** Whether the node takes new requests. */
  accepting (): boolean
  /** Load of this node's engines, sent with each response to a forwarded request. */
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

/** A request that was refused, cancelled or cut off may be sent again under the same id. */
function failed (answer: Answer): boolean {
  const ended = answer.relay.end()
  return ended?.type === 'failed' || ended?.reason === 'cancelled'
}

/** Creates the routes of completions. */
export function createCompletionRoutes (env: CompletionRoutesEnv): Route[] {
  const readers: ReaderEnv = {
    now: env.now,
    gone (answer) {
      // A relayed answer is not read for nobody; its owner keeps it for callers that reconnect.
      const relayed = answer.engine === undefined || answer.completion === undefined
      if (answer.readerCount() > 0 || !relayed || answer.source === undefined) return
      answer.attempt++
      answer.source.abort()
      answer.source = undefined
    },
    reread (answer, after) {
      if (answer.completion === undefined) return undefined
      const other = env.hub.detached(answer.requestId, after)
      if (answer.engine === undefined) env.forwarder.recover(other)
      else env.hub.openEngine(other, answer.engine, () => env.forwarder.recover(other))
      return other
    }
  }

  const peerReaders: ReaderEnv = { ...readers, responseHeaders: () => ({ [loadHintHeader]: formatLoadHints(env.loadHints()), [stampHeader]: env.stamps.next() }) }

  /** Registers the request, or finds the answer of the same request sent before. */
  function enter (completion: Completion, submit: (completion: Completion) => void): Answer | Problem {
    const known = env.hub.get(completion.requestId)
    if (known?.completion !== undefined && !failed(known)) {
      if (sameRequest(known.completion, completion)) return known
      return invalidProblem([{ field: 'X-Request-Id', message: 'names another request' }], 409)
    }
    if (!env.accepting()) return drainingProblem()
    if (env.hub.size() >= env.maxRunning) return { ...createProblem(503, 'not-run', 'Not run', 'the node holds its largest number of requests'), retryAfterMs: 1000 }
    const answer = env.hub.create(completion)
    submit(completion)
    return answer
  }

  function continueReading (answer: Answer): void {
    const stopped = answer.engine === undefined && answer.peer !== undefined && answer.source === undefined
    if (stopped && answer.relay.end() === undefined) env.forwarder.recover(answer)
  }

  async function post ({ req, res }: RouteContext): Promise<void> {
    const body = await readJson(req, env.requestBytes)
    if (body.err) return sendProblem(res, body.val)
    const parsed = parseCompletionRequest(body.val, req.headers, env.now())
    if (parsed.err) return sendProblem(res, parsed.val)
    const { completion, stream } = parsed.val
    const answer = enter(completion, () => env.report({ type: 'submit', completion }))
    if ('status' in answer) return sendProblem(res, answer)
    continueReading(answer)
    const { model, adapter, version, prompt } = completion
    if (stream) streamAnswer(answer, res, 0, readers)
    else sendWholeAnswer(answer, res, `${model}:${adapter}@${version}`, Math.ceil(prompt.length / charactersPerToken), readers)
  }

  async function resume ({ req, res, params: [requestId = ''] }: RouteContext): Promise<void> {
    const after = parseLastEventId(req.headers)
    if (after.err) return sendProblem(res, after.val)
    const known = env.hub.get(requestId)
    const answer = known ?? await env.forwarder.find(requestId, after.val)
    if (answer === undefined) return sendProblem(res, unknownRequest(requestId))
    continueReading(answer)
    streamAnswer(answer, res, after.val, readers)
  }

  function unknownRequest (requestId: string): Problem {
    return createProblem(404, 'unknown', 'Request not found', `no instance knows the request ${requestId}`)
  }

  /** @returns whether the request had not ended, or undefined when the node did not confirm */
  async function cancelAtPeer (node: string, requestId: string): Promise<boolean | undefined> {
    const address = env.directory.address(node)
    if (address === undefined) return undefined
    const path = `/peer/v1/completions/${encodeURIComponent(requestId)}/cancel`
    const response = await env.dispatcher.request({ origin: `http://${address}`, path, method: 'POST' })
    const body = await response.body.json() as { cancelled?: unknown }
    return response.statusCode === 200 ? body.cancelled === true : undefined
  }

  /** @returns false when the answer had ended before */
  function cancelHere (answer: Answer): boolean {
    const ended = answer.relay.end()
    if (ended === undefined) env.report({ type: 'cancel', requestId: answer.requestId })
    return ended === undefined || (ended.type === 'finished' && ended.reason === 'cancelled')
  }

  /** The cancellation is passed on; whether it came before the end shows in the answer's finish reason. */
  async function cancel ({ res, params: [requestId = ''] }: RouteContext): Promise<void> {
    const answer = env.hub.get(requestId)
    const place = answer === undefined ? await env.locator.locate(requestId) : undefined
    const peer = answer?.peer ?? (place?.type === 'peer' ? place.node : undefined)
    if (peer !== undefined) {
      const cancelled = await cancelAtPeer(peer, requestId).catch(() => undefined)
      if (cancelled === undefined) return sendProblem(res, createProblem(502, 'unknown', 'Outcome unknown', 'the node that runs the request did not confirm the cancellation'))
      return sendJson(res, 200, { id: requestId, cancelled })
    }
    if (answer !== undefined) return sendJson(res, 200, { id: requestId, cancelled: cancelHere(answer) })
    if (place?.type !== 'engine') return sendProblem(res, unknownRequest(requestId))
    env.hub.cancelDispatch(place.engine, requestId)
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
    const answer = enter(completion, () => env.report({ type: 'submit', completion, forwarded: true }))
    if ('status' in answer) return sendProblem(res, answer)
    streamAnswer(answer, res, 0, peerReaders)
  }

  function resumePeer ({ req, res, params: [requestId = ''] }: RouteContext): void {
    const answer = env.hub.get(requestId)
    const after = parseLastEventId(req.headers)
    if (answer === undefined) return sendProblem(res, unknownRequest(requestId))
    if (after.err) return sendProblem(res, after.val)
    streamAnswer(answer, res, after.val, readers)
  }

  function probe ({ res, params: [requestId = ''] }: RouteContext): void {
    const answer = env.hub.get(requestId)
    // A node that lost its own source cannot serve others.
    const usable = answer !== undefined && (answer.peer === undefined || answer.relay.end()?.type === 'finished')
    const owner = answer?.engine !== undefined
    res.writeHead(usable ? 200 : 404, usable ? { 'x-answer-role': owner ? 'owner' : 'relay' } : {})
    res.end()
  }

  function cancelFromPeer ({ res, params: [requestId = ''] }: RouteContext): void {
    const answer = env.hub.get(requestId)
    if (answer === undefined) return sendProblem(res, unknownRequest(requestId))
    sendJson(res, 200, { id: requestId, cancelled: cancelHere(answer) })
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

/** Sends a JSON document. */
export function sendJson (res: RouteContext['res'], status: number, value: unknown): void {
  const body = JSON.stringify(value)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  res.end(body)
}
