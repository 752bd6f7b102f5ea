/** Streams of the requests of a {@link createWorld}: what each caller has received. */
import type { EngineModel, StreamListener, VirtualClock } from '@yuccawharf/stand-ins'
import type { Completion, CoreAction, CoreEvent, Refusal } from '../core-events'

export type ReceivedResponse = {
  completion: Completion
  /** Node that the caller is connected to. */
  entry: string
  tokens: string[]
  end?: string
  refusals: Refusal[]
  attempts: number
}

export type ReceivedResponses = {
  register (entry: string, completion: Completion): void
  completion (requestId: string): Completion | undefined
  dispatch (node: string, action: Extract<CoreAction, { type: 'dispatch' }>): void
  refuse (requestId: string, refusal: Refusal): void
  get (requestId: string): ReceivedResponse
}

/** @param give - passes an event to a node */
export const createReceivedResponses = (clock: VirtualClock, engines: Map<string, EngineModel>, give: (node: string, event: CoreEvent) => void): ReceivedResponses => {
  const answers = new Map<string, ReceivedResponse>()

  const get = (requestId: string): ReceivedResponse => {
    const answer = answers.get(requestId)
    if (answer === undefined) {
      throw new Error(`no request ${requestId}`)
    }
    return answer
  }

  const listener = (node: string, answer: ReceivedResponse): StreamListener => {
    const { requestId } = answer.completion
    return {
      tokens (firstSeq, texts) {
        texts.forEach((text, index) => {
          if (firstSeq + index === answer.tokens.length + 1) {
            answer.tokens.push(text)
          }
        })
        give(node, { type: 'first-token', requestId })
      },
      end (count, reason) {
        answer.end = reason
        give(node, { type: 'request-ended', requestId, outcome: reason === 'cancelled' ? 'cancelled' : 'done', tokens: count })
      },
      broken () {
        give(node, { type: 'request-ended', requestId, outcome: 'broken', tokens: answer.tokens.length })
      }
    }
  }

  const ended = (node: string, requestId: string, outcome: 'not-run' | 'broken', reason: string): void => {
    const tokens = get(requestId).tokens.length
    clock.after(1, () => give(node, { type: 'request-ended', requestId, outcome, tokens, reason }))
  }

  return {
    get,
    completion: requestId => answers.get(requestId)?.completion,
    register: (entry, completion) => answers.set(completion.requestId, { completion, entry, tokens: [], refusals: [], attempts: 0 }),
    dispatch (node, { engine, requestId, handle, priority, resumeAfter }) {
      const answer = get(requestId)
      const model = engines.get(engine)
      const receiver = listener(node, answer)
      answer.attempts += 1
      const start = resumeAfter === undefined
        ? model?.generate({ requestId, handle, prompt: answer.completion.prompt, maxTokens: answer.completion.maxTokens, priority }, receiver)
        : model?.resume(requestId, answer.tokens.length, receiver)
      if (start?.type === 'refused' && start.code === 'duplicate_request') {
        // An earlier attempt whose stream was lost still runs.
        model?.resume(requestId, answer.tokens.length, receiver)
      } else if (start?.type === 'refused') {
        ended(node, requestId, resumeAfter === undefined ? 'not-run' : 'broken', start.code)
      } else if (start?.type === 'unreachable') {
        ended(node, requestId, resumeAfter === undefined ? 'not-run' : 'broken', 'unreachable')
      }
    },
    refuse (requestId, refusal) {
      const answer = get(requestId)
      if (refusal.misdirected === true) {
        clock.after(10, () => give(answer.entry, { type: 'submit', completion: answer.completion }))
        return
      }
      answer.refusals.push(refusal)
    }
  }
}
