/**
 * Decides which connections are read when some of them make the process work without body bytes: tiny chunks, chunk
 * extensions, empty lines, trailers, headers, requests that are refused again and again. Bytes outside of bodies measure this work.
 */

export type ReadSharesConfig = {
  /** Bytes outside of bodies that a connection may send beyond its body bytes before its reads are shared. */
  overheadBytes: number
  /** Bytes a second by which what a connection has sent beyond them is forgotten. */
  overheadBytesPerSecond: number
}

/** Multiple of `overheadBytes` that is remembered at most, so that a connection that has become quiet is free again within seconds. */
const maxRemembered = 4

/** Headers may have 16 KB, and a client that sends requests one after another gets its share in any case. */
export const readSharesDefaults: ReadSharesConfig = { overheadBytes: 64 * 1024, overheadBytesPerSecond: 64 * 1024 }

/** `hold` stops the reads of a connection, `release` starts them again. */
export type ReadAction<Connection> = { type: 'hold' | 'release', connection: Connection }

export type ReadShares<Connection> = {
  opened (connection: Connection): void
  /**
   * One read of the connection was parsed. Of the connections with much overhead one is read between two calls of `grant`.
   *
   * @param readBytes - bytes that were read
   * @param bodyBytes - bytes of bodies among them
   * @param now - time in ms
   */
  received (connection: Connection, readBytes: number, bodyBytes: number, now: number): ReadAction<Connection>[]
  /** To be called in a later turn of the event loop while `waiting` is above 0. */
  grant (): ReadAction<Connection>[]
  closed (connection: Connection): void
  /** Number of connections whose reads are stopped. */
  waiting (): number
}

type State = { overheadBytes: number, at: number }

export function createReadShares<Connection> (config: ReadSharesConfig = readSharesDefaults): ReadShares<Connection> {
  const states = new Map<Connection, State>()
  /** Connections with much overhead that wait, and those that are read; in the order of their turns. */
  const held = new Set<Connection>()
  const granted = new Set<Connection>()

  function hold (connection: Connection): ReadAction<Connection> {
    granted.delete(connection)
    held.add(connection)
    return { type: 'hold', connection }
  }

  return {
    opened (connection) {
      states.set(connection, { overheadBytes: 0, at: 0 })
    },
    received (connection, readBytes, bodyBytes, now) {
      const state = states.get(connection)
      if (state === undefined) return []
      const forgotten = (now - state.at) / 1000 * config.overheadBytesPerSecond
      const overhead = Math.max(0, readBytes - bodyBytes)
      state.overheadBytes = Math.max(0, state.overheadBytes - forgotten) + overhead
      state.overheadBytes = Math.min(maxRemembered * config.overheadBytes, Math.max(0, state.overheadBytes - bodyBytes))
      state.at = now
      const isLarge = overhead * 2 > config.overheadBytes
      if (!isLarge && state.overheadBytes <= config.overheadBytes) {
        granted.delete(connection)
        return []
      }
      // Of the connections that are readable at the same time, one is read.
      return [...[...granted].filter(other => other !== connection), connection].map(hold)
    },
    grant () {
      const [next] = held
      if (next === undefined) return []
      held.delete(next)
      granted.add(next)
      return [{ type: 'release', connection: next }]
    },
    closed (connection) {
      for (const connections of [states, held, granted]) connections.delete(connection)
    },
    waiting: () => held.size
  }
}
