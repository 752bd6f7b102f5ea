/** Simulated log service: named streams, bounded retention, outages and lost responses. */
import type { AppendResult, LogEntry, LogPage, ReadResult } from '@yuccawharf/clients'
import { createSeededRandom, type Clock } from './clock'

export type LogModelOptions = {
  clock: Clock
  /** Throughput in appends per second, over all streams. */
  appendsPerSecond?: number
  /** Time from an append taking effect to its response, in ms. */
  latencyMs?: number
  retainRecords?: number
  retainMs?: number
  seed?: number
  /** Fraction of appends that take effect without a response. */
  lostFraction?: number
}

export type LogModel = {
  append (stream: string, values: unknown[], done: (result: AppendResult) => void): void
  read (stream: string, from: number, limit: number, waitMs: number, done: (result: ReadResult) => void): void
  /** During an outage appends are refused and reads fail. */
  setOutage (down: boolean): void
  /** The next append takes effect, but its caller gets `unknown`. */
  loseNextResponse (): void
  /** The next append takes effect only after `ms`; its caller gets `unknown` immediately. */
  delayNextAppend (ms: number): void
  /** Drops the records of a stream before `offset`, as if their retention had expired. */
  expire (stream: string, offset: number): void
  /** All retained records of a stream, without delay or outage. */
  peek (stream: string): LogPage
}

type Waiter = { from: number, finish: () => void }
type Stream = { first: number, records: LogEntry[], waiters: Set<Waiter> }

function dropBefore (stream: Stream, offset: number): void {
  const count = Math.min(Math.max(0, offset - stream.first), stream.records.length)
  if (count === 0) return
  stream.records.splice(0, count)
  stream.first += count
}

export function createLogModel (options: LogModelOptions): LogModel {
  const { clock, appendsPerSecond = 400, latencyMs = 1, retainRecords = 100_000, retainMs = Infinity } = options
  const random = createSeededRandom(options.seed ?? 1)
  const streams = new Map<string, Stream>()
  let down = false
  let busyUntil = 0
  let responsesToLose = 0
  const appendDelays: number[] = []

  const streamOf = (name: string): Stream => {
    let stream = streams.get(name)
    if (stream === undefined) {
      stream = { first: 0, records: [], waiters: new Set() }
      streams.set(name, stream)
    }
    return stream
  }

  // A slack of 25 % avoids shifting the array at each append.
  const retain = (stream: Stream): void => {
    if (stream.records.length > retainRecords * 1.25) dropBefore(stream, stream.first + stream.records.length - retainRecords)
    const oldest = clock.now() - retainMs
    if (stream.records[0] === undefined || stream.records[0].time >= oldest) return
    const firstRetained = stream.records.findIndex(record => record.time >= oldest)
    dropBefore(stream, firstRetained < 0 ? Infinity : stream.first + firstRetained)
  }

  const apply = (name: string, values: unknown[]): number[] => {
    const stream = streamOf(name)
    const start = stream.first + stream.records.length
    values.forEach((value, index) => stream.records.push({ offset: start + index, time: clock.now(), value }))
    retain(stream)
    for (const waiter of [...stream.waiters]) waiter.finish()
    return values.map((_value, index) => start + index)
  }

  const pageOf = (name: string, from: number, limit: number): ReadResult => {
    const stream = streamOf(name)
    retain(stream)
    const next = stream.first + stream.records.length
    if (from < stream.first) return { type: 'expired', first: stream.first, next }
    const start = from - stream.first
    return { type: 'ok', page: { first: stream.first, next, records: stream.records.slice(start, start + limit) } }
  }

  const respondToRead = (name: string, from: number, limit: number, done: (result: ReadResult) => void): void => {
    done(down ? { type: 'failed', reason: 'log outage' } : pageOf(name, from, limit))
  }

  return {
    append (name, values, done) {
      const delay = appendDelays.shift()
      if (delay !== undefined) {
        clock.after(delay, () => { apply(name, values) })
        clock.after(latencyMs, () => done({ type: 'unknown', reason: 'response lost' }))
        return
      }
      busyUntil = Math.max(clock.now(), busyUntil) + 1000 / appendsPerSecond
      clock.after(busyUntil - clock.now(), () => {
        if (down) {
          done({ type: 'failed', reason: 'log outage' })
          return
        }
        const offsets = apply(name, values)
        const lost = responsesToLose > 0 || random.happens(options.lostFraction ?? 0)
        if (responsesToLose > 0) responsesToLose--
        clock.after(latencyMs, () => done(lost ? { type: 'unknown', reason: 'response lost' } : { type: 'ok', offsets }))
      })
    },
    read (name, from, limit, waitMs, done) {
      const stream = streamOf(name)
      const end = stream.first + stream.records.length
      if (down || from < end || waitMs <= 0) {
        clock.after(latencyMs, () => respondToRead(name, from, limit, done))
        return
      }
      const waiter: Waiter = {
        from,
        finish () {
          if (!stream.waiters.delete(waiter)) return
          cancel()
          clock.after(latencyMs, () => respondToRead(name, from, limit, done))
        }
      }
      const cancel = clock.after(waitMs, waiter.finish)
      stream.waiters.add(waiter)
    },
    setOutage (value) {
      down = value
      for (const stream of streams.values()) {
        for (const waiter of [...stream.waiters]) waiter.finish()
      }
    },
    loseNextResponse () { responsesToLose++ },
    delayNextAppend (ms) { appendDelays.push(ms) },
    expire (name, offset) { dropBefore(streamOf(name), offset) },
    peek (name) {
      const stream = streamOf(name)
      return { first: stream.first, next: stream.first + stream.records.length, records: [...stream.records] }
    }
  }
}
