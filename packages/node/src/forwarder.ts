/**
 * Streams of completions whose owner is another node. A broken stream is opened again after its
 * last event, at the owner, at whoever took over, or at the engine itself.
 */
import type { Answer } from './answer'
import type { AnswerHub, LostStream } from './answer-hub'
import type { AnswerLocator, AnswerPlace } from './answer-locator'
import type { SourceRequest } from './answer-source'
import type { Completion, CoreEvent } from './core/core-events'
import { createProblem, misdirectedStatus, parseProblem } from './problem'
import { stampHeader, type Stamps } from './stamps'

export type ForwarderEnv = {
  stamps: Stamps
  now (): number
  hub: AnswerHub
  locator: AnswerLocator
  report (event: CoreEvent): void
  after (ms: number, run: () => void): void
}

export type Forwarder = {
  /** Sends the completion to the node at `address`. */
  forward (requestId: string, node: string, address: string): void
  /** Continues an answer whose stream was given up. */
  recover (answer: Answer): void
  /** Reads the answer of an unknown request from where it is. @returns undefined when no instance has it */
  find (requestId: string, after: number): Promise<Answer | undefined>
}

/** Waits before the next attempt, in ms. Their sum exceeds the time of a takeover (3 s to suspect a node, 2 s per rank). */
const retryDelaysMs = [0, 100, 300, 1000, 2000, 3000, 4000, 5000]

function forwardRequest (address: string, completion: Completion, now: number, stamp: string): SourceRequest {
  const { deadline, ...fields } = completion
  const body = JSON.stringify({ ...fields, remainingMs: deadline - now })
  const headers = { 'content-type': 'application/json', 'x-request-id': completion.requestId, [stampHeader]: stamp }
  return { origin: `http://${address}`, path: '/peer/v1/completions', method: 'POST', headers, body }
}

function peerResume (address: string, requestId: string, after: number): SourceRequest {
  const path = `/peer/v1/completions/${encodeURIComponent(requestId)}`
  return { origin: `http://${address}`, path, method: 'GET', headers: { 'last-event-id': String(after) } }
}

/** Creates the forwarder of an entry node. */
export function createForwarder (env: ForwarderEnv): Forwarder {
  const rounds = new WeakMap<Answer, number>()

  function nextDelay (answer: Answer): number | undefined {
    const round = rounds.get(answer) ?? 0
    rounds.set(answer, round + 1)
    return retryDelaysMs[round]
  }

  function giveUp (answer: Answer): void {
    const problem = createProblem(503, 'not-run', 'Not run', 'the node that owns the engine does not answer')
    answer.fail({ ...problem, retryAfterMs: 1000 }, env.now())
  }

  function submitAgain (answer: Answer): void {
    const delay = nextDelay(answer)
    if (delay === undefined || answer.completion === undefined) return giveUp(answer)
    const { completion, attempt } = answer
    env.after(delay, () => {
      if (answer.attempt !== attempt || answer.relay.end() !== undefined) return
      env.report({ type: 'submit', completion })
    })
  }

  function lostStream (answer: Answer): LostStream {
    const before = answer.relay.lastSeq()
    return loss => {
      if (answer.relay.lastSeq() > before) rounds.delete(answer)
      if (loss.type === 'closed' && loss.sent) return recover(answer)
      if (loss.type === 'closed' || loss.status === misdirectedStatus) {
        if (loss.type === 'refused' && parseProblem(loss.body, loss.status).outcome === 'unknown') answer.mayHaveRun = true
        if (answer.relay.lastSeq() > 0) recover(answer)
        else submitAgain(answer)
        return
      }
      if (loss.status === 404) return recover(answer)
      answer.fail(parseProblem(loss.body, loss.status), env.now())
    }
  }

  function openPlace (answer: Answer, place: AnswerPlace): void {
    const after = answer.relay.lastSeq()
    if (place.type === 'peer') {
      answer.peer = place.node
      env.hub.open(answer, peerResume(place.address, answer.requestId, after), lostStream(answer))
      return
    }
    answer.peer = undefined
    env.hub.openEngine(answer, place.engine, lostStream(answer))
  }

  function recover (answer: Answer): void {
    answer.mayHaveRun = true
    const delay = nextDelay(answer)
    if (delay === undefined) return giveUp(answer)
    const attempt = ++answer.attempt
    env.after(delay, () => {
      env.locator.locate(answer.requestId).then(place => {
        if (answer.attempt !== attempt || answer.relay.end() !== undefined) return
        if (place !== undefined) openPlace(answer, place)
        else if (answer.relay.lastSeq() === 0 && answer.completion !== undefined) submitAgain(answer)
        else recover(answer)
      }).catch(() => recover(answer))
    })
  }

  return {
    forward (requestId, node, address) {
      const answer = env.hub.get(requestId)
      if (answer?.completion === undefined || answer.relay.end() !== undefined) return
      answer.peer = node
      env.hub.open(answer, forwardRequest(address, answer.completion, env.now(), env.stamps.next()), lostStream(answer))
    },
    recover,
    async find (requestId, after) {
      const place = await env.locator.locate(requestId)
      if (place === undefined) return undefined
      const answer = env.hub.detached(requestId, after)
      openPlace(answer, place)
      return answer
    }
  }
}
