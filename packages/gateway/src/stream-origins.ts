/** Where the streams of this node began, for clients that take them up again here or, by a record in the store, at other nodes. */

/** `digest` identifies the request without its id, so that a client cannot name a stream of another request. */
export type StreamOrigin = { service: string, version: string, digest: string }

/** A stream by the id of the client's attempt that brought its first event. */
export type RecordedStream = StreamOrigin & { id: string }

export type StreamOrigins = {
  /** The first event of the stream was sent to the client. */
  began (stream: RecordedStream, now: number): void
  /** @param complete - the response is complete, so that only a client that lost its end takes it up */
  ended (id: string, complete: boolean, now: number): void
  /** @returns the origin and its age in ms */
  find (id: string, now: number): { origin: StreamOrigin, ageMs: number } | undefined
  /** Streams that clients may take up, oldest first. */
  current (now: number): RecordedStream[]
}

/** Time after its end for which a stream that was broken off, or completed, may be taken up, in ms. */
const brokenRetentionMs = 60_000
const completeRetentionMs = 5000
/** Number of streams that are kept; the oldest are dropped. */
const maxStreams = 4096

type Entry = { origin: StreamOrigin, beganAt: number, keptUntil: number }

export function createStreamOrigins (): StreamOrigins {
  const entries = new Map<string, Entry>()

  function dropExpired (now: number): void {
    for (const [id, { keptUntil }] of entries) {
      if (keptUntil <= now) entries.delete(id)
    }
    for (const id of entries.keys()) {
      if (entries.size <= maxStreams) return
      entries.delete(id)
    }
  }

  return {
    began ({ id, ...origin }, now) {
      const beganAt = entries.get(id)?.beganAt ?? now
      // Moves the stream to the end.
      entries.delete(id)
      entries.set(id, { origin, beganAt, keptUntil: Infinity })
      if (entries.size > maxStreams) dropExpired(now)
    },
    ended (id, complete, now) {
      const entry = entries.get(id)
      if (entry !== undefined) entry.keptUntil = now + (complete ? completeRetentionMs : brokenRetentionMs)
    },
    find (id, now) {
      const entry = entries.get(id)
      return entry === undefined || entry.keptUntil <= now ? undefined : { origin: entry.origin, ageMs: now - entry.beganAt }
    },
    current (now) {
      dropExpired(now)
      return [...entries].map(([id, { origin }]) => ({ id, ...origin }))
    }
  }
}
