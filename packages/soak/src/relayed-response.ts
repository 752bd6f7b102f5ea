/** State of one response at a simulated process: the relay under test and helpers for its events. */
import type { Completion } from '@yuccawharf/node'
import { createResponseRelay, type AcceptResult, type ResponseEvent, type ResponseRelay } from '@yuccawharf/serving'

export type RelayedResponse = {
  readonly completion: Completion
  readonly relay: ResponseRelay
  /** Number of the current attempt; events of earlier attempts are ignored. */
  attempt: number
  /** Retries since the response last progressed. */
  retries: number
  /** Whether an attempt may have reached an engine. */
  mayHaveRun: boolean
  engine: string | undefined
}

const maxBufferedBytes = 1 << 20
const responseRetentionMs = 60_000

const createRelay = (requestId: string, skipSequenceCheck: boolean): ResponseRelay => {
  const relay = createResponseRelay({ requestId, maxBytes: maxBufferedBytes, retentionMs: responseRetentionMs })
  return skipSequenceCheck ? withoutSequenceCheck(relay) : relay
}

/** Renumbers each run of tokens to follow the last accepted token, as a relay without sequence numbers would. */
const withoutSequenceCheck = (relay: ResponseRelay): ResponseRelay => ({
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
 * @param skipSequenceCheck - set only by a mutant
 */
export const createRelayedResponse = (completion: Completion, skipSequenceCheck: boolean): RelayedResponse => ({
  completion,
  relay: createRelay(completion.requestId, skipSequenceCheck),
  attempt: 0,
  retries: 0,
  mayHaveRun: false,
  engine: undefined
})

/** @returns one event for a run of consecutive tokens */
export const tokenRun = (firstSeq: number, texts: readonly string[]): ResponseEvent => ({
  type: 'tokens',
  first: firstSeq,
  last: firstSeq + texts.length - 1,
  bytes: Buffer.from(texts.map((text, index) => `id: ${firstSeq + index}\ndata: ${JSON.stringify(text)}\n\n`).join(''))
})

/** @returns the events that end a response */
export const endEvents = (count: number, reason: string): ResponseEvent[] => [
  { type: 'finish', count, reason, bytes: Buffer.from('') },
  { type: 'done', bytes: Buffer.from('') }
]

/** Gives events to the relay in order, up to the first that it does not accept. */
export const acceptAll = (response: RelayedResponse, source: string, events: readonly ResponseEvent[], now: number): AcceptResult => {
  let result: AcceptResult = 'duplicate'
  for (const event of events) {
    result = response.relay.accept(source, event, now)
    if (result === 'gap' || result === 'conflict' || result === 'foreign') {
      return result
    }
  }
  return result
}

/** @returns the text that a client of the relay receives, or undefined when its start is no longer buffered */
export const textOf = (relay: ResponseRelay): string | undefined => {
  const replay = relay.replay(0)
  if (replay.type !== 'ok') {
    return undefined
  }
  const lines = Buffer.concat(replay.bytes).toString('utf8').split('\n').filter(line => line.startsWith('data: '))
  return lines.map(line => JSON.parse(line.slice('data: '.length)) as string).join('')
}
