/**
 * Follows one log stream. The caller performs the reads; the tail decides when to read, passes
 * each record on once and in order, and knows how old its view of the log is.
 */
import type { LogEntry, LogPage } from '@yuccawharf/clients'
import type { RandomGenerator } from 'pure-rand'
import { jitteredDelayMs, type BackoffConfig } from './backoff'

export type LogTailConfig = {
  stream: string
  /** First offset to read; 0 by default. */
  from?: number
  /** A read without an answer is given up after this time, in ms. */
  readTimeoutMs: number
  /** Pause between reads that found nothing new, in ms; 0 when reads wait for records at the log. */
  pollMs: number
  backoff: BackoffConfig
  random: RandomGenerator
}

export type ReadLogAction = { type: 'read-log', stream: string, from: number }

/** Records that retention dropped before they were read: offsets `from` to `to` - 1. */
export type RetentionGap = { from: number, to: number }

export type TailProgress = {
  gap?: RetentionGap
  /** New records in order without holes; they follow the gap. */
  records: LogEntry[]
}

export type LogTail = {
  /** @returns the next read when one is due; at most one read is outstanding */
  poll (now: number): ReadLogAction | undefined
  receivePage (page: LogPage, now: number): TailProgress
  receiveExpired (first: number, next: number, now: number): TailProgress
  readFailed (now: number): void
  /** Moves forward without reading, for example to the state of a peer; never moves back. */
  skipTo (offset: number): void
  /** Asks for a read at the next poll, for example because a peer has seen more. Does not shorten a back-off. */
  requestRead (): void
  /** Offset of the next record to pass on. */
  readonly nextOffset: number
  /** Highest known offset of the next append; undefined before the first answer. */
  readonly head: number | undefined
  /** Earliest offset known to be retained. */
  readonly firstRetained: number
  /** True after everything up to the known head has been passed on. */
  readonly caughtUp: boolean
  /** The log answered with its state as of this time at the earliest, in ms; undefined before the first answer. */
  readonly lastContact: number | undefined
}

type TailState = {
  position: number
  head: number | undefined
  first: number
  lastContact: number | undefined
  /** Send times of reads without an answer, oldest first; the last one may be outstanding. */
  unanswered: number[]
  outstanding: boolean
  nextReadAt: number
  failures: number
}

/** An answer that is this many timeouts late is taken as lost. */
const timeoutsUntilLost = 4

const backOff = (state: TailState, cfg: LogTailConfig, now: number): void => {
  state.outstanding = false
  state.failures += 1
  state.nextReadAt = now + jitteredDelayMs(cfg.backoff, state.failures, cfg.random)
}

const dropLostReads = (state: TailState, cfg: LogTailConfig, now: number): void => {
  const oldest = now - timeoutsUntilLost * cfg.readTimeoutMs
  state.unanswered = state.unanswered.filter(sentAt => sentAt >= oldest)
}

/**
 * Answers carry no identity, so an answer is credited to the oldest read that lacks one. After a
 * timeout the late answer of the old read can arrive in place of the new one, and its content may
 * be as old as the old read.
 */
const matchResponse = (state: TailState): number | undefined => {
  const sentAt = state.unanswered.shift()
  state.outstanding = false
  return sentAt
}

const updateLastContact = (state: TailState, sentAt: number): void => {
  state.lastContact = Math.max(state.lastContact ?? sentAt, sentAt)
}

const updateBounds = (state: TailState, first: number, next: number): void => {
  state.first = Math.max(state.first, first)
  state.head = Math.max(state.head ?? next, next)
}

const skipExpired = (state: TailState, first: number): RetentionGap | undefined => {
  if (first <= state.position) {
    return undefined
  }
  const gap = { from: state.position, to: first }
  state.position = first
  return gap
}

const takeRecords = (state: TailState, records: readonly LogEntry[]): LogEntry[] => {
  const taken: LogEntry[] = []
  for (const entry of records) {
    if (entry.offset === state.position) {
      taken.push(entry)
      state.position += 1
    }
  }
  return taken
}

/**
 * @param cfg - the stream, its timeouts and the source of jitter
 * @returns a tail at `cfg.from`
 */
export const createLogTail = (cfg: LogTailConfig): LogTail => {
  const state: TailState = {
    position: cfg.from ?? 0,
    head: undefined,
    first: 0,
    lastContact: undefined,
    unanswered: [],
    outstanding: false,
    nextReadAt: 0,
    failures: 0
  }

  const handleResponse = (first: number, next: number): void => {
    const sentAt = matchResponse(state)
    // An answer from before records that were already seen proves no contact as of its read.
    if (sentAt !== undefined && next >= (state.head ?? 0)) {
      updateLastContact(state, sentAt)
    }
    updateBounds(state, first, next)
    state.failures = 0
  }

  const scheduleNext = (now: number): void => {
    const isBehind = state.position < (state.head ?? 0)
    state.nextReadAt = isBehind ? now : now + cfg.pollMs
  }

  return {
    poll (now) {
      const sentAt = state.unanswered.at(-1)
      if (state.outstanding && sentAt !== undefined && now - sentAt >= cfg.readTimeoutMs) {
        backOff(state, cfg, now)
      }
      if (state.outstanding || now < state.nextReadAt) {
        return undefined
      }
      dropLostReads(state, cfg, now)
      state.outstanding = true
      state.unanswered.push(now)
      return { type: 'read-log', stream: cfg.stream, from: state.position }
    },
    receivePage (page, now) {
      handleResponse(page.first, page.next)
      const gap = skipExpired(state, page.first)
      const records = takeRecords(state, page.records)
      scheduleNext(now)
      return gap === undefined ? { records } : { gap, records }
    },
    receiveExpired (first, next, now) {
      handleResponse(first, next)
      const gap = skipExpired(state, first)
      scheduleNext(now)
      return gap === undefined ? { records: [] } : { gap, records: [] }
    },
    readFailed (now) {
      const wasOutstanding = state.outstanding
      matchResponse(state)
      if (wasOutstanding) {
        backOff(state, cfg, now)
      }
    },
    skipTo (offset) {
      state.position = Math.max(state.position, offset)
    },
    requestRead () {
      if (state.failures === 0) {
        state.nextReadAt = 0
      }
    },
    get nextOffset () { return state.position },
    get head () { return state.head },
    get firstRetained () { return state.first },
    get caughtUp () { return state.head !== undefined && state.position >= state.head },
    get lastContact () { return state.lastContact }
  }
}
