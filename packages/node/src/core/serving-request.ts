/** Converts a completion to a request of the serving decisions. */
import type { ServingRequest } from '@yuccawharf/serving'
import type { Completion } from './core-events'

const charactersPerToken = 4
/** Length of the prompt prefix that identifies shared prompts; shorter prompts get no prefix affinity. */
const prefixCharacters = 256

export const servingRequest = (completion: Completion, now: number): ServingRequest => ({
  requestId: completion.requestId,
  adapter: completion.adapter,
  version: completion.version,
  class: completion.class,
  promptTokens: Math.ceil(completion.prompt.length / charactersPerToken),
  maxTokens: completion.maxTokens,
  ...(completion.prompt.length < prefixCharacters ? {} : { prefix: completion.prompt.slice(0, prefixCharacters) }),
  arrivedAt: now,
  deadline: completion.deadline
})
