/**
 * Relay of one response: accepts its events from one or several attempts to read it, restores their
 * order, drops duplicates and buffers the most recent ones for clients that reconnect. It performs
 * no I/O. Times are ms of the caller's clock.
 */
import { sliceAfter, type ResponseEvent, type TokenRun } from './response-events'

export type ResponseRelayConfig = {
  requestId: string
  /** Bound on the bytes that are buffered for clients that reconnect. */
  maxBytes: number
  /** Time that a response stays available after its end, in ms. */
  retentionMs: number
  /** Sequence number before the first event, for a response that is read from its middle; 0 by default. */
  startAfter?: number
}

/**
 * `gap`: events are missing before this one, so the source must be read again after `lastSeq`;
 * `foreign`: the event belongs to another request; `conflict`: the event contradicts earlier ones.
 */
export type AcceptResult = 'accepted' | 'duplicate' | 'gap' | 'foreign' | 'conflict'

export type ResponseEnd =
  | { type: 'finished', count: number, reason: string }
  | { type: 'failed', data: string }

export type ReplayResult =
  /** `bytes` are whole events; `last` is the highest sequence number; `ended`: no events follow. */
  | { type: 'ok', bytes: Uint8Array[], last: number, ended: boolean }
  /** The next events were evicted; `first` is the earliest one that is still buffered. */
  | { type: 'evicted', first: number }
  /** The requested sequence number is beyond the last event. */
  | { type: 'ahead', last: number }

export type ResponseRelay = {
  requestId: string
  /** @param source id of the request that the stream was opened for */
  accept (source: string, event: ResponseEvent, now: number): AcceptResult
  /** @param after sequence number of the last event that the reader has, 0 for none */
  replay (after: number): ReplayResult
  /** Buffered bytes that follow event `after`. */
  lagBytes (after: number): number
  lastSeq (): number
  end (): ResponseEnd | undefined
  /** Ends the response with a problem document, unless it has ended. */
  fail (data: string, now: number): void
  /** Whether the response ended at least `retentionMs` ago. */
  expired (now: number): boolean
}

/** Bound on buffered events that arrive before their predecessors; events beyond it are read again from the source. */
const maxOutOfOrderBytes = 64 * 1024

type BufferedRun = TokenRun & { endOffset: number }

/** Index of the first run with an event after `after`. */
function findRun (runs: BufferedRun[], after: number): number {
  let low = 0
  let high = runs.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((runs[middle] as BufferedRun).last > after) high = middle
    else low = middle + 1
  }
  return low
}

function errorBytes (data: string): Uint8Array {
  return Buffer.from(`event: error\ndata: ${data}\n\n`)
}

export function createResponseRelay (cfg: ResponseRelayConfig): ResponseRelay {
  const runs: BufferedRun[] = []
  const outOfOrder = new Map<number, TokenRun>()
  const endEvents: Uint8Array[] = []
  let outOfOrderBytes = 0
  let bufferedBytes = 0
  let totalBytes = 0
  let last = cfg.startAfter ?? 0
  let finish: { count: number, reason: string } | undefined
  let ended: ResponseEnd | undefined
  let endedAt = 0

  function append (run: TokenRun): void {
    totalBytes += run.bytes.length
    bufferedBytes += run.bytes.length
    last = run.last
    runs.push({ type: 'tokens', first: run.first, last: run.last, bytes: run.bytes, endOffset: totalBytes })
    if (bufferedBytes > cfg.maxBytes) evictOldest()
  }

  /** Evicts down to three quarters of the bound, so that the array is not shifted for each token. */
  function evictOldest (): void {
    let evicted = 0
    while (bufferedBytes > cfg.maxBytes * 0.75 && evicted < runs.length - 1) {
      bufferedBytes -= (runs[evicted] as BufferedRun).bytes.length
      evicted++
    }
    runs.splice(0, evicted)
  }

  function bufferOutOfOrder (run: TokenRun): AcceptResult {
    const buffered = outOfOrder.get(run.first)
    if (buffered !== undefined && buffered.last >= run.last) return 'duplicate'
    if (outOfOrderBytes + run.bytes.length > maxOutOfOrderBytes) return 'gap'
    outOfOrderBytes += run.bytes.length - (buffered?.bytes.length ?? 0)
    outOfOrder.set(run.first, run)
    return 'gap'
  }

  function appendOutOfOrder (): void {
    for (let progressed = outOfOrder.size > 0; progressed;) {
      progressed = false
      for (const [first, run] of outOfOrder) {
        if (first > last + 1) continue
        outOfOrder.delete(first)
        outOfOrderBytes -= run.bytes.length
        if (run.last > last) append(sliceAfter(run, last))
        progressed = true
      }
    }
  }

  function acceptRun (run: TokenRun): AcceptResult {
    if (run.first < 1 || run.last < run.first) return 'conflict'
    if (finish !== undefined && run.last > finish.count) return 'conflict'
    if (run.last <= last) return 'duplicate'
    if (run.first > last + 1) return bufferOutOfOrder(run)
    append(run.first === last + 1 ? run : sliceAfter(run, last))
    appendOutOfOrder()
    return 'accepted'
  }

  function acceptFinish (event: { count: number, reason: string, bytes: Uint8Array }): AcceptResult {
    if (finish !== undefined) return finish.count === event.count ? 'duplicate' : 'conflict'
    if (event.count < last) return 'conflict'
    if (event.count > last) return 'gap'
    finish = { count: event.count, reason: event.reason }
    endEvents.push(event.bytes)
    return 'accepted'
  }

  function acceptDone (bytes: Uint8Array, now: number): AcceptResult {
    if (finish === undefined) return 'gap'
    endEvents.push(bytes)
    ended = { type: 'finished', ...finish }
    endedAt = now
    return 'accepted'
  }

  function fail (data: string, now: number): void {
    if (ended !== undefined) return
    endEvents.length = 0
    endEvents.push(errorBytes(data))
    ended = { type: 'failed', data }
    endedAt = now
  }

  function acceptWithoutTokens (event: ResponseEvent, now: number): AcceptResult {
    if (event.type === 'finish') return acceptFinish(event)
    if (event.type === 'done') return acceptDone(event.bytes, now)
    if (event.type === 'malformed') return 'conflict'
    if (event.type === 'error') fail(event.data, now)
    return 'accepted'
  }

  function replay (after: number): ReplayResult {
    if (after > last) return { type: 'ahead', last }
    if (after < (cfg.startAfter ?? 0)) return { type: 'evicted', first: runs[0]?.first ?? last + 1 }
    // Most readers lack only the newest run.
    const newest = runs[runs.length - 1]
    const index = newest !== undefined && newest.first === after + 1 ? runs.length - 1 : findRun(runs, after)
    const first = runs[index]
    if (first === undefined) return { type: 'ok', bytes: ended === undefined ? [] : endEvents.slice(), last, ended: ended !== undefined }
    if (index === 0 && first.first > after + 1) return { type: 'evicted', first: first.first }
    const bytes = [sliceAfter(first, after).bytes]
    for (let next = index + 1; next < runs.length; next++) bytes.push((runs[next] as BufferedRun).bytes)
    if (ended !== undefined) bytes.push(...endEvents)
    return { type: 'ok', bytes, last, ended: ended !== undefined }
  }

  return {
    requestId: cfg.requestId,
    accept (source, event, now) {
      if (source !== cfg.requestId) return 'foreign'
      if (event.type === 'tokens') return ended === undefined || event.last <= last ? acceptRun(event) : 'conflict'
      if (ended !== undefined) return 'duplicate'
      return acceptWithoutTokens(event, now)
    },
    replay,
    lagBytes (after) {
      const first = runs[findRun(runs, after)]
      return first === undefined ? 0 : totalBytes - first.endOffset + first.bytes.length
    },
    lastSeq: () => last,
    end: () => ended,
    fail,
    expired: now => ended !== undefined && now - endedAt >= cfg.retentionMs
  }
}
