/** One answer at one node: its relay, the callers that read it, and the flow control between them. */
import { createResponseRelay, type AcceptResult, type ResponseEvent, type ResponseRelay } from '@yuccawharf/serving'
import type { Completion } from './core/core-events'
import { problemData, type Problem } from './problem'
import type { AnswerSource } from './answer-source'

/** A caller, or another node, that reads an answer. */
export type AnswerReader = {
  /** Last event that was handed over. */
  position (): number
  /** Whether the reader's connection takes no more bytes for now. */
  blocked (): boolean
  /** Called when events were added. */
  notify (): void
}

export type Answer = {
  readonly requestId: string
  /** Absent when the answer was found at an engine after a change of owner. */
  readonly completion: Completion | undefined
  readonly relay: ResponseRelay
  /** The node that the answer is read from; undefined when it comes from an engine. */
  peer: string | undefined
  /** The engine that runs the request. */
  engine: string | undefined
  /** An earlier attempt reached another node and its outcome is not known, so a refusal of a later one is no proof (P4). */
  mayHaveRun: boolean
  /** Handle of the latest dispatch to an engine. */
  handle: string | undefined
  source: AnswerSource | undefined
  readonly createdAt: number
  /** Time of the first token. */
  firstTokenAt: number | undefined
  /** Counts the attempts to read the stream; results of an older attempt are ignored. */
  attempt: number
  readerCount (): number
  attach (reader: AnswerReader): void
  detach (reader: AnswerReader, now: number): void
  accept (events: ResponseEvent[], now: number): AcceptResult
  fail (problem: Problem, now: number): void
  /** Adjusts the source to the slowest reader. */
  adjustFlow (): void
  /** Time since the last reader left, in ms; 0 while there is one. */
  unreadMs (now: number): number
}

export type AnswerLimits = { replayBytes: number, replayMs: number }

/** The result that decides what happens to the source: the first that is neither accepted nor repeated. */
function worst (results: AcceptResult, next: AcceptResult): AcceptResult {
  return results === 'accepted' || results === 'repeated' ? next : results
}

/** Creates an answer without readers. @param startAfter position before the first event to be read */
export function createAnswer (requestId: string, completion: Completion | undefined, limits: AnswerLimits, now: number, startAfter = 0): Answer {
  const relay = createResponseRelay({ requestId, maxBytes: limits.replayBytes, retentionMs: limits.replayMs, startAfter })
  const readers = new Set<AnswerReader>()
  let unreadSince = now
  let paused = false

  function notify (): void {
    for (const reader of readers) reader.notify()
  }

  function lagging (): boolean {
    for (const reader of readers) {
      if (reader.blocked() && relay.lagBytes(reader.position()) > limits.replayBytes / 2) return true
    }
    return false
  }

  const answer: Answer = {
    requestId,
    completion,
    relay,
    peer: undefined,
    engine: undefined,
    handle: undefined,
    mayHaveRun: false,
    source: undefined,
    createdAt: now,
    firstTokenAt: undefined,
    attempt: 0,
    readerCount: () => readers.size,
    attach (reader) {
      readers.add(reader)
      reader.notify()
    },
    detach (reader, at) {
      readers.delete(reader)
      if (readers.size === 0) unreadSince = at
      answer.adjustFlow()
    },
    accept (events, at) {
      let result: AcceptResult = 'accepted'
      for (const event of events) result = worst(result, relay.accept(requestId, event, at))
      if (answer.firstTokenAt === undefined && relay.lastSeq() > startAfter) answer.firstTokenAt = at
      notify()
      answer.adjustFlow()
      return result
    },
    fail (problem, at) {
      const disproved = answer.mayHaveRun && problem.outcome === 'not-run'
      relay.fail(problemData(disproved ? { ...problem, outcome: 'unknown', title: 'Outcome unknown' } : problem), at)
      notify()
    },
    adjustFlow () {
      const pause = lagging()
      if (pause === paused) return
      paused = pause
      if (pause) answer.source?.pause()
      else answer.source?.resume()
    },
    unreadMs: at => readers.size > 0 ? 0 : at - unreadSince
  }
  return answer
}
