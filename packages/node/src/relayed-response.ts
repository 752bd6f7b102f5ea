/** One response that a node relays: its event buffer, its readers, and the flow control between them. */
import { createResponseRelay, type AcceptResult, type ResponseEvent, type ResponseRelay } from '@yuccawharf/serving'
import type { Completion } from './core/core-events'
import { problemData, type Problem } from './problem'
import type { ResponseSource } from './response-source'

/** A caller or another node that reads a response. */
export type ResponseReader = {
  /** Id of the last event that was written. */
  position (): number
  /** Whether the reader's connection is waiting for `drain`. */
  blocked (): boolean
  /** Called when the response has new events or has ended. */
  notify (): void
}

export type RelayedResponse = {
  readonly requestId: string
  /** Undefined for an unregistered response: one located at another node or engine, or read again for one caller. */
  readonly completion: Completion | undefined
  readonly relay: ResponseRelay
  /** The node that the response is read from; undefined when it comes from an engine. */
  peer: string | undefined
  /** The engine that runs the request. */
  engine: string | undefined
  /** An attempt may have run with an unknown outcome, so a refusal of a later attempt doesn't prove `not-run` (P4). */
  mayHaveRun: boolean
  /** Adapter handle of the latest dispatch to an engine. */
  handle: string | undefined
  source: ResponseSource | undefined
  readonly createdAt: number
  firstTokenAt: number | undefined
  /** Number of the current attempt to read the stream; results of older attempts are ignored. */
  attempt: number
  readerCount (): number
  attach (reader: ResponseReader): void
  detach (reader: ResponseReader, now: number): void
  accept (events: ResponseEvent[], now: number): AcceptResult
  fail (problem: Problem, now: number): void
  /** Pauses the source while a blocked reader lags too far behind, and resumes it afterwards. */
  adjustFlow (): void
  /** Time since the last reader detached, in ms; 0 while there is a reader. */
  unreadMs (now: number): number
}

export type ResponseLimits = { replayBytes: number, replayMs: number }

/** Keeps the first result of a batch that is neither accepted nor a duplicate. */
function firstFault (result: AcceptResult, next: AcceptResult): AcceptResult {
  return result === 'accepted' || result === 'duplicate' ? next : result
}

/** Creates a response without readers. @param startAfter id of the event before the first one to read */
export function createRelayedResponse (requestId: string, completion: Completion | undefined, limits: ResponseLimits, now: number, startAfter = 0): RelayedResponse {
  const relay = createResponseRelay({ requestId, maxBytes: limits.replayBytes, retentionMs: limits.replayMs, startAfter })
  const readers = new Set<ResponseReader>()
  let unreadSince = now
  let paused = false

  function notify (): void {
    for (const reader of readers) reader.notify()
  }

  function hasLaggingReader (): boolean {
    for (const reader of readers) {
      if (reader.blocked() && relay.lagBytes(reader.position()) > limits.replayBytes / 2) return true
    }
    return false
  }

  const response: RelayedResponse = {
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
      response.adjustFlow()
    },
    accept (events, at) {
      let result: AcceptResult = 'accepted'
      for (const event of events) result = firstFault(result, relay.accept(requestId, event, at))
      if (response.firstTokenAt === undefined && relay.lastSeq() > startAfter) response.firstTokenAt = at
      notify()
      response.adjustFlow()
      return result
    },
    fail (problem, at) {
      const disproved = response.mayHaveRun && problem.outcome === 'not-run'
      relay.fail(problemData(disproved ? { ...problem, outcome: 'unknown', title: 'Outcome unknown' } : problem), at)
      notify()
    },
    adjustFlow () {
      const pause = hasLaggingReader()
      if (pause === paused) return
      paused = pause
      if (pause) response.source?.pause()
      else response.source?.resume()
    },
    unreadMs: at => readers.size > 0 ? 0 : at - unreadSince
  }
  return response
}
