/** Follows the log streams of a core and passes on the results of its appends. */
import { createLogTail, type LogTail, type TailProgress } from '@yuccawharf/coordination'
import type { AppendResult, LogPage } from '@yuccawharf/clients'
import type { CoreContext } from './core-context'

export type StreamReader = {
  /** Receives records in order; a gap in the progress precedes them. `first` and `next` are the bounds of the log. */
  read (progress: TailProgress, bounds: { first: number, next: number }, now: number): void
  readFailed (now: number): void
}

export type LogStreams = {
  /** Reads the stream from its earliest record. */
  follow (stream: string, reader: StreamReader): LogTail
  unfollow (stream: string): void
  append (stream: string, values: unknown[], done: (result: AppendResult, now: number) => void): void
  receivePage (stream: string, page: LogPage, now: number): void
  receiveExpired (stream: string, first: number, next: number, now: number): void
  readFailed (stream: string, now: number): void
  appendFinished (token: number, result: AppendResult, now: number): void
  /** Emits the reads that are due. */
  poll (now: number): void
  /** Whether the latest read or append succeeded. */
  readonly reachable: boolean
}

const readTimeoutMs = 5_000
/** Delay after an empty page; short, because the reads of the shells wait at the log for records. */
const pollMs = 20
const backoff = { baseMs: 100, maxMs: 2_000 }

type FollowedStream = { tail: LogTail, reader: StreamReader }

export const createLogStreams = (ctx: CoreContext): LogStreams => {
  const followedStreams = new Map<string, FollowedStream>()
  const pendingAppends = new Map<number, { stream: string, done: (result: AppendResult, now: number) => void }>()
  let lastToken = 0
  let reachable = false

  return {
    follow (stream, reader) {
      const tail = createLogTail({ stream, readTimeoutMs, pollMs, backoff, random: ctx.random })
      followedStreams.set(stream, { tail, reader })
      return tail
    },
    unfollow: stream => { followedStreams.delete(stream) },
    append (stream, values, done) {
      lastToken += 1
      pendingAppends.set(lastToken, { stream, done })
      ctx.emit({ type: 'append', stream, token: lastToken, values })
    },
    receivePage (stream, page, now) {
      const followed = followedStreams.get(stream)
      reachable = true
      followed?.reader.read(followed.tail.receivePage(page, now), page, now)
    },
    receiveExpired (stream, first, next, now) {
      const followed = followedStreams.get(stream)
      reachable = true
      followed?.reader.read(followed.tail.receiveExpired(first, next, now), { first, next }, now)
    },
    readFailed (stream, now) {
      const followed = followedStreams.get(stream)
      reachable = false
      followed?.tail.readFailed(now)
      followed?.reader.readFailed(now)
    },
    appendFinished (token, result, now) {
      const pending = pendingAppends.get(token)
      pendingAppends.delete(token)
      if (result.type === 'failed') {
        reachable = false
      } else {
        followedStreams.get(pending?.stream ?? '')?.tail.requestRead()
      }
      pending?.done(result, now)
    },
    poll (now) {
      for (const { tail } of followedStreams.values()) {
        const read = tail.poll(now)
        if (read !== undefined) {
          ctx.emit(read)
        }
      }
    },
    get reachable () {
      return reachable
    }
  }
}
