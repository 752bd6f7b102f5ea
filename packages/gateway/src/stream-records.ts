/**
 * Records in the store where the streams of this node began, and reads the records of all nodes when a
 * client takes up a stream that this node does not know. Each process has one record with the streams
 * that clients may take up; it is written again when a stream begins.
 */
import type { DecisionLog } from './decision-log'
import type { StreamLog } from './platform-interface'
import type { RecordedStream, StreamOrigin } from './stream-origins'

export type StreamRecordsOptions = {
  /** Key of this process' record. */
  key: string
  streamLog: StreamLog
  log: Pick<DecisionLog, 'info' | 'warn'>
  now (): number
  /** Time of day, Unix ms. */
  wallClock (): number
  fleetSize (): number
  /** Streams that are to be recorded. */
  streams (): RecordedStream[]
  /** Calls back after a time, in ms. */
  after (delayMs: number, callback: () => void): void
}

/** `ageMs` is the age of the record by the time of day. `absent`: no record names the stream; `unread`: the records could not be read in time. */
export type FoundStream = { type: 'found', origin: StreamOrigin, ageMs: number } | { type: 'absent' | 'unread' }

export type StreamRecords = {
  /** Writes the record, because a stream has begun or streams are recorded from now on. */
  changed (): void
  /** @returns where the stream began */
  find (id: string): Promise<FoundStream>
}

/** Shortest interval between two writes of one node, in ms for each node of the fleet. */
const writeIntervalPerNodeMs = 5
const maxWriteIntervalMs = 500
/** Shortest interval between two reads of one node, in ms. */
const readIntervalMs = 50
/** Delay before a write that failed is repeated, in ms. */
const writeRetryMs = 300
/** Time for which a node waits for a record that another one may just be writing, beyond the interval of writes, in ms. */
const writeMarginMs = 60
/** Number of times that the records are read for a stream. */
const maxReads = 2
/** Longest time for which a request waits for the records, in ms. */
const findTimeoutMs = 800
/** Age of a record from which it is removed, in ms: no stream of it is taken up any more. */
const recordRetentionMs = 300_000

type Index = ReadonlyMap<string, { origin: StreamOrigin, at: number }>

export function createStreamRecords (options: StreamRecordsOptions): StreamRecords {
  const { key, streamLog, log, now, wallClock, after } = options
  let dirty = false
  let writing = false
  let lastWriteAt = -Infinity
  let lastReadAt = -Infinity
  /** Read that has not started yet; all lookups until it starts share its result. */
  let nextRead: Promise<Index | undefined> | undefined
  let reading: Promise<unknown> = Promise.resolve()

  const wait = (delayMs: number): Promise<void> => new Promise(resolve => after(delayMs, resolve))

  function writeIntervalMs (): number {
    return Math.min(maxWriteIntervalMs, writeIntervalPerNodeMs * options.fleetSize())
  }

  function schedule (delayMs: number): void {
    writing = true
    after(Math.max(0, delayMs), () => {
      write().catch(err => {
        writing = false
        log.warn('stream-record-failed', { reason: (err as Error).message })
      })
    })
  }

  async function write (): Promise<void> {
    dirty = false
    lastWriteAt = now()
    const result = await streamLog.append([{ key, value: { type: 'streams', at: wallClock(), streams: options.streams() } }])
    if (result.err) {
      log.warn('stream-record-failed', { reason: result.val })
      return schedule(writeRetryMs)
    }
    writing = false
    if (dirty) schedule(lastWriteAt + writeIntervalMs() - now())
  }

  /** @returns undefined if the store cannot be read */
  async function read (): Promise<Index | undefined> {
    const result = await streamLog.newest()
    const index = new Map<string, { origin: StreamOrigin, at: number }>()
    if (result.err) {
      log.warn('stream-records-unread', { reason: result.val.type === 'unavailable' ? result.val.reason : result.val.type })
      return undefined
    }
    const expired: string[] = []
    for (const record of result.val.records) {
      if (record.value === undefined) continue
      if (record.value.type === 'unreadable') {
        log.warn('stream-record-unreadable', { key: record.key, reason: record.value.reason })
        continue
      }
      const { at, streams } = record.value
      if (record.key !== key && wallClock() - at > recordRetentionMs) expired.push(record.key)
      for (const { id, ...origin } of streams) {
        if ((index.get(id)?.at ?? -Infinity) < at) index.set(id, { origin, at })
      }
    }
    if (expired.length > 0) remove(expired)
    return index
  }

  function remove (keys: string[]): void {
    streamLog.append(keys.map(expired => ({ key: expired, value: undefined })))
      .then(result => { log.info('stream-records-removed', { keys: keys.length, ...(result.err ? { reason: result.val } : {}) }) })
      .catch(err => { log.warn('stream-record-failed', { reason: (err as Error).message }) })
  }

  /** Reads after the call; reads follow each other. */
  function readAfterNow (): Promise<Index | undefined> {
    if (nextRead !== undefined) return nextRead
    const started = reading.then(async () => {
      const pauseMs = lastReadAt + readIntervalMs - now()
      if (pauseMs > 0) await wait(pauseMs)
      nextRead = undefined
      lastReadAt = now()
      return await read()
    })
    nextRead = started
    reading = started.catch(() => {})
    return started
  }

  async function search (id: string): Promise<FoundStream> {
    for (let attempt = 1; ; attempt++) {
      const index = await readAfterNow()
      const found = index?.get(id)
      if (found !== undefined) return { type: 'found', origin: found.origin, ageMs: Math.max(0, wallClock() - found.at) }
      if (attempt === maxReads) return { type: index === undefined ? 'unread' : 'absent' }
      await wait(writeIntervalMs() + writeMarginMs)
    }
  }

  return {
    changed () {
      dirty = true
      if (!writing) schedule(lastWriteAt + writeIntervalMs() - now())
    },
    find: id => Promise.race([search(id), wait(findTimeoutMs).then((): FoundStream => ({ type: 'unread' }))])
  }
}
