/** One response at a process: the relay under test and the pieces of a response as it reads them. */
import type { Completion } from '@yuccawharf/node'
import { createResponseRelay, type AcceptResult, type ResponseEvent, type ResponseRelay } from '@yuccawharf/serving'

export type Answer = {
  readonly completion: Completion
  readonly relay: ResponseRelay
  /** Counts the streams that were opened; events of an older one are ignored. */
  attempt: number
  /** Attempts without progress since the last event. */
  round: number
  /** An attempt may have reached an engine. */
  mayHaveRun: boolean
  engine: string | undefined
}

const keptBytes = 1 << 20
const keepMs = 60_000

const relayOf = (requestId: string, skipSequenceCheck: boolean): ResponseRelay => {
  const relay = createResponseRelay({ requestId, maxBytes: keptBytes, retentionMs: keepMs })
  return skipSequenceCheck ? withoutSequence(relay) : relay
}

/** Renumbers each run of tokens to follow the last one, as a relay without sequence numbers would. */
const withoutSequence = (relay: ResponseRelay): ResponseRelay => ({
  ...relay,
  accept (source, event, now) {
    if (event.type === 'finish') {
      return relay.accept(source, { ...event, count: relay.lastSeq() }, now)
    }
    if (event.type !== 'tokens') {
      return relay.accept(source, event, now)
    }
    const first = relay.lastSeq() + 1
    return relay.accept(source, { ...event, first, last: first + event.last - event.first }, now)
  }
})

/**
 * @param completion - the request that the response belongs to
 * @param skipSequenceCheck - only for a mutant
 */
export const createAnswer = (completion: Completion, skipSequenceCheck: boolean): Answer => ({
  completion,
  relay: relayOf(completion.requestId, skipSequenceCheck),
  attempt: 0,
  round: 0,
  mayHaveRun: false,
  engine: undefined
})

/** @returns the events of consecutive tokens as one run */
export const tokenRun = (firstSeq: number, texts: readonly string[]): ResponseEvent => ({
  type: 'tokens',
  first: firstSeq,
  last: firstSeq + texts.length - 1,
  bytes: Buffer.from(texts.map((text, index) => `id: ${firstSeq + index}\ndata: ${JSON.stringify(text)}\n\n`).join(''))
})

/** @returns the events at the end of a response */
export const endEvents = (count: number, reason: string): ResponseEvent[] => [
  { type: 'finish', count, reason, bytes: Buffer.from('') },
  { type: 'done', bytes: Buffer.from('') }
]

/** Accepts events in order until one is not acceptable. */
export const acceptAll = (answer: Answer, source: string, events: readonly ResponseEvent[], now: number): AcceptResult => {
  let result: AcceptResult = 'duplicate'
  for (const event of events) {
    result = answer.relay.accept(source, event, now)
    if (result === 'gap' || result === 'conflict' || result === 'foreign') {
      return result
    }
  }
  return result
}

/** @returns the text of the response as a caller of the relay reads it, or undefined when its start is no longer kept */
export const textOf = (relay: ResponseRelay): string | undefined => {
  const replay = relay.replay(0)
  if (replay.type !== 'ok') {
    return undefined
  }
  const lines = Buffer.concat(replay.bytes).toString('utf8').split('\n').filter(line => line.startsWith('data: '))
  return lines.map(line => JSON.parse(line.slice('data: '.length)) as string).join('')
}
