/**
 * Forwards completions to the node that owns the engine. A broken stream is reopened after its last
 * event: at the owner, at the new owner after a takeover, or at the engine itself.
 */
import type { RelayedResponse } from './relayed-response'
import type { ResponseRegistry, StreamLossHandler } from './response-registry'
import type { ResponseLocator, ResponseLocation } from './response-locator'
import type { SourceRequest } from './response-source'
import type { Completion, CoreEvent } from './core/core-events'
import { createProblem, misdirectedStatus, parseProblem } from './problem'
import { stampHeader, type Stamps } from './stamps'

export type ForwarderEnv = {
  stamps: Stamps
  now (): number
  responses: ResponseRegistry
  locator: ResponseLocator
  report (event: CoreEvent): void
  after (ms: number, run: () => void): void
}

export type Forwarder = {
  /** Sends the completion to the node at `address`. */
  forward (requestId: string, node: string, address: string): void
  /** Locates the response of a broken or closed stream and reopens it. */
  recover (response: RelayedResponse): void
  /** Locates and reads the response to a request that this node didn't receive. @returns undefined if no instance has it */
  find (requestId: string, after: number): Promise<RelayedResponse | undefined>
}

/** Delays before attempts, in ms. Their sum exceeds the duration of a takeover (3 s to suspect a node, 2 s per rank). */
const retryDelaysMs = [0, 100, 300, 1000, 2000, 3000, 4000, 5000]

function forwardRequest (address: string, completion: Completion, now: number, stamp: string): SourceRequest {
  const { deadline, ...fields } = completion
  const body = JSON.stringify({ ...fields, remainingMs: deadline - now })
  const headers = { 'content-type': 'application/json', 'x-request-id': completion.requestId, [stampHeader]: stamp }
  return { origin: `http://${address}`, path: '/peer/v1/completions', method: 'POST', headers, body }
}

function peerResumeRequest (address: string, requestId: string, after: number): SourceRequest {
  const path = `/peer/v1/completions/${encodeURIComponent(requestId)}`
  return { origin: `http://${address}`, path, method: 'GET', headers: { 'last-event-id': String(after) } }
}

/** Creates the forwarder of the node that receives the requests. */
export function createForwarder (env: ForwarderEnv): Forwarder {
  const retryCounts = new WeakMap<RelayedResponse, number>()

  function nextDelay (response: RelayedResponse): number | undefined {
    const round = retryCounts.get(response) ?? 0
    retryCounts.set(response, round + 1)
    return retryDelaysMs[round]
  }

  function giveUp (response: RelayedResponse): void {
    const problem = createProblem(503, 'not-run', 'Not run', 'the node that owns the engine does not answer')
    response.fail({ ...problem, retryAfterMs: 1000 }, env.now())
  }

  function resubmit (response: RelayedResponse): void {
    const delay = nextDelay(response)
    if (delay === undefined || response.completion === undefined) return giveUp(response)
    const { completion, attempt } = response
    env.after(delay, () => {
      if (response.attempt !== attempt || response.relay.end() !== undefined) return
      env.report({ type: 'submit', completion })
    })
  }

  function streamLossHandler (response: RelayedResponse): StreamLossHandler {
    const before = response.relay.lastSeq()
    return loss => {
      if (response.relay.lastSeq() > before) retryCounts.delete(response)
      if (loss.type === 'closed' && loss.sent) return recover(response)
      if (loss.type === 'closed' || loss.status === misdirectedStatus) {
        if (loss.type === 'refused' && parseProblem(loss.body, loss.status).outcome === 'unknown') response.mayHaveRun = true
        if (response.relay.lastSeq() > 0) recover(response)
        else resubmit(response)
        return
      }
      if (loss.status === 404) return recover(response)
      response.fail(parseProblem(loss.body, loss.status), env.now())
    }
  }

  function openLocation (response: RelayedResponse, location: ResponseLocation): void {
    const after = response.relay.lastSeq()
    if (location.type === 'peer') {
      response.peer = location.node
      env.responses.open(response, peerResumeRequest(location.address, response.requestId, after), streamLossHandler(response))
      return
    }
    response.peer = undefined
    env.responses.openAtEngine(response, location.engine, streamLossHandler(response))
  }

  function recover (response: RelayedResponse): void {
    response.mayHaveRun = true
    const delay = nextDelay(response)
    if (delay === undefined) return giveUp(response)
    const attempt = ++response.attempt
    env.after(delay, () => {
      env.locator.locate(response.requestId).then(location => {
        if (response.attempt !== attempt || response.relay.end() !== undefined) return
        if (location !== undefined) openLocation(response, location)
        else if (response.relay.lastSeq() === 0 && response.completion !== undefined) resubmit(response)
        else recover(response)
      }).catch(() => recover(response))
    })
  }

  return {
    forward (requestId, node, address) {
      const response = env.responses.get(requestId)
      if (response?.completion === undefined || response.relay.end() !== undefined) return
      response.peer = node
      env.responses.open(response, forwardRequest(address, response.completion, env.now(), env.stamps.next()), streamLossHandler(response))
    },
    recover,
    async find (requestId, after) {
      const location = await env.locator.locate(requestId)
      if (location === undefined) return undefined
      const response = env.responses.createUnregistered(requestId, after)
      openLocation(response, location)
      return response
    }
  }
}
