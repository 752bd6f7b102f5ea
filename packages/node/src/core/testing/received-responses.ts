/** Responses that the callers of a core simulation have received. */
import type { EngineModel, StreamListener, VirtualClock } from '@yuccawharf/stand-ins'
import type { Completion, CoreAction, CoreEvent, Refusal } from '../core-events'

export type ReceivedResponse = {
  completion: Completion
  /** Node that the caller is connected to. */
  entryNode: string
  tokens: string[]
  end?: string
  refusals: Refusal[]
  attempts: number
}

export type ReceivedResponses = {
  register (entryNode: string, completion: Completion): void
  completion (requestId: string): Completion | undefined
  dispatch (node: string, action: Extract<CoreAction, { type: 'dispatch' }>): void
  refuse (requestId: string, refusal: Refusal): void
  get (requestId: string): ReceivedResponse
}

/** @param deliver - passes an event to a node */
export const createReceivedResponses = (clock: VirtualClock, engines: Map<string, EngineModel>, deliver: (node: string, event: CoreEvent) => void): ReceivedResponses => {
  const responses = new Map<string, ReceivedResponse>()

  const get = (requestId: string): ReceivedResponse => {
    const response = responses.get(requestId)
    if (response === undefined) {
      throw new Error(`unknown request ${requestId}`)
    }
    return response
  }

  const listener = (node: string, response: ReceivedResponse): StreamListener => {
    const { requestId } = response.completion
    return {
      tokens (firstSeq, texts) {
        texts.forEach((text, index) => {
          if (firstSeq + index === response.tokens.length + 1) {
            response.tokens.push(text)
          }
        })
        deliver(node, { type: 'first-token', requestId })
      },
      end (count, reason) {
        response.end = reason
        deliver(node, { type: 'request-ended', requestId, outcome: reason === 'cancelled' ? 'cancelled' : 'done', tokens: count })
      },
      broken () {
        deliver(node, { type: 'request-ended', requestId, outcome: 'broken', tokens: response.tokens.length })
      }
    }
  }

  const endRequest = (node: string, requestId: string, outcome: 'not-run' | 'broken', reason: string): void => {
    const tokens = get(requestId).tokens.length
    clock.after(1, () => deliver(node, { type: 'request-ended', requestId, outcome, tokens, reason }))
  }

  return {
    get,
    completion: requestId => responses.get(requestId)?.completion,
    register: (entryNode, completion) => responses.set(completion.requestId, { completion, entryNode, tokens: [], refusals: [], attempts: 0 }),
    dispatch (node, { engine, requestId, handle, priority, resumeAfter }) {
      const response = get(requestId)
      const model = engines.get(engine)
      const streamListener = listener(node, response)
      response.attempts += 1
      const result = resumeAfter === undefined
        ? model?.generate({ requestId, handle, prompt: response.completion.prompt, maxTokens: response.completion.maxTokens, priority }, streamListener)
        : model?.resume(requestId, response.tokens.length, streamListener)
      if (result?.type === 'refused' && result.code === 'duplicate_request') {
        // An earlier attempt whose stream was lost is still running.
        model?.resume(requestId, response.tokens.length, streamListener)
      } else if (result?.type === 'refused') {
        endRequest(node, requestId, resumeAfter === undefined ? 'not-run' : 'broken', result.code)
      } else if (result?.type === 'unreachable') {
        endRequest(node, requestId, resumeAfter === undefined ? 'not-run' : 'broken', 'unreachable')
      }
    },
    refuse (requestId, refusal) {
      const response = get(requestId)
      if (refusal.misdirected === true) {
        clock.after(10, () => deliver(response.entryNode, { type: 'submit', completion: response.completion }))
        return
      }
      response.refusals.push(refusal)
    }
  }
}
