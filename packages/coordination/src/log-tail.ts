/**
 * Follows one log stream. The caller performs the reads; the tail schedules them, returns each
 * record once and in order, and tracks how old its view of the log is.
 */
import type { LogEntry, LogPage } from '@yuccawharf/clients'
import type { RandomGenerator } from 'pure-rand'
import { backoffDelayMs, type BackoffConfig } from './backoff'

export type LogTailConfig = {
  stream: string
  /** First offset to read; 0 by default. */
  from?: number
  /** Time after which a read without a response is given up, in ms. */
  readTimeoutMs: number
  /** Delay of the next read at the head of the log, in ms; 0 when the log delays its response until there are records. */
  pollMs: number
  backoff: BackoffConfig
  random: RandomGenerator
}

export type ReadLogAction = { type: 'read-log', stream: string, from: number }

/** Records that retention dropped before they were read: offsets `from` to `to` - 1. */
export type RetentionGap = { from: number, to: number }

export type TailProgress = {
  gap?: RetentionGap
  /** New contiguous records in order; they follow the gap. */
  records: LogEntry[]
}

export type LogTail = {
  /** @returns the next read when one is due; at most one read is outstanding */
  poll (now: number): ReadLogAction | undefined
  receivePage (page: LogPage, now: number): TailProgress
  receiveExpired (first: number, next: number, now: number): TailProgress
  readFailed (now: number): void
  /** Advances without reading, for example to the offset of a peer's state; never moves back. */
  skipTo (offset: number): void
  /** Makes a read due at the next poll, for example because a peer has newer records. Does not shorten a backoff. */
  requestRead (): void
  /** Offset of the next record to return. */
  readonly nextOffset: number
  /** Highest known offset of the next append; undefined before the first response. */
  readonly head: number | undefined
  /** Earliest offset known to be retained. */
  readonly firstRetained: number
  /** True when all records up to the known head have been returned. */
  readonly caughtUp: boolean
  /** Send time of the latest read whose response reflects the log at that time or later, in ms; undefined before the first response. */
  readonly lastContact: number | undefined
}

type TailState = {
  position: number
  head: number | undefined
  first: number
  lastContact: number | undefined
  /** Send times of reads without a response, oldest first; the last one may be outstanding. */
  unanswered: number[]
  outstanding: boolean
  nextReadAt: number
  failures: number
}

/** A response counts as lost this many read timeouts after its read was sent. */
const timeoutsUntilLost = 4

const backOff = (state: TailState, cfg: LogTailConfig, now: number): void => {
  state.outstanding = false
  state.failures += 1
  state.nextReadAt = now + backoffDelayMs(cfg.backoff, state.failures, cfg.random)
}

const dropLostReads = (state: TailState, cfg: LogTailConfig, now: number): void => {
  const oldest = now - timeoutsUntilLost * cfg.readTimeoutMs
  state.unanswered = state.unanswered.filter(sentAt => sentAt >= oldest)
}

/**
 * Responses do not identify their read, so each is matched with the oldest read without one. After
 * a timeout the late response of the old read can arrive in place of the new one, and its content
 * may be as old as the old read.
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

  const recordResponse = (first: number, next: number): void => {
    const sentAt = matchResponse(state)
    // A response that lacks records already read does not show the log as of the time of its read.
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
      recordResponse(page.first, page.next)
      const gap = skipExpired(state, page.first)
      const records = takeRecords(state, page.records)
      scheduleNext(now)
      return gap === undefined ? { records } : { gap, records }
    },
    receiveExpired (first, next, now) {
      recordResponse(first, next)
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
