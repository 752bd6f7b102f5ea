/** Decides which connection of a server is closed when there are too many. */

export type ConnectionRoom<Connection> = {
  /**
   * A connection was opened; it is idle.
   *
   * @returns the connection to close at once: one that `excess` would return, the one that has been idle for longest, or this one if none is idle
   */
  opened (connection: Connection): Connection | undefined
  /**
   * To be called when what had arrived on the connections was read.
   *
   * @returns a connection to close so that there is room for the next ones: the one that has been idle for longest, or has sent a part of a request's head for longest
   */
  excess (): Connection | undefined
  /** Whether there are so many that one may have to be closed. */
  isCrowded (): boolean
  /** A request was read on the connection. */
  busy (connection: Connection): void
  /** No request of the connection is in progress any more. */
  idle (connection: Connection): void
  /** Has no effect on a connection that was returned by `opened` or `excess`. */
  closed (connection: Connection): void
  /** Number of open connections, without those to close. */
  size (): number
}

/** Time that a client has for its request's head before `excess` returns its connection, in ms. */
export const headTimeMs = 1000

/** Share of the connections that is kept free while there are some that `excess` may return, so that new ones need not be weighed before what has arrived is read. */
const freeShare = 1 / 8

/**
 * @param maxConnections - largest number of connections
 * @param isReceiving - whether a part of a request has arrived since the connection was opened or became idle
 * @param now - time in ms
 * @param reserved - number of places that are taken otherwise
 */
export function createConnectionRoom<Connection> (maxConnections: number, isReceiving: (connection: Connection) => boolean, now: () => number, reserved: () => number = () => 0): ConnectionRoom<Connection> {
  const crowdedAt = maxConnections === Infinity ? Infinity : maxConnections - Math.floor(maxConnections * freeShare)
  const open = new Set<Connection>()
  /** Times at which they became idle, in this order. */
  const idle = new Map<Connection, number>()
  /** Connections with a part of a request's head, and the times at which it was noticed. */
  const receiving = new Map<Connection, number>()

  const isCrowded = (): boolean => open.size + reserved() > crowdedAt

  function remove (connection: Connection): void {
    open.delete(connection)
    idle.delete(connection)
    receiving.delete(connection)
  }

  function longestIdle (minMs: number): Connection | undefined {
    for (const [connection, since] of idle) {
      if (!isReceiving(connection)) return now() - since >= minMs ? connection : undefined
      idle.delete(connection)
      receiving.set(connection, now())
    }
    return undefined
  }

  function longestReceiving (): Connection | undefined {
    const [first] = receiving
    return first !== undefined && now() - first[1] >= headTimeMs ? first[0] : undefined
  }

  const longestWithoutRequest = (): Connection | undefined => longestIdle(headTimeMs) ?? longestReceiving()

  return {
    opened (connection) {
      open.add(connection)
      const leaving = open.size + reserved() > maxConnections ? longestWithoutRequest() ?? longestIdle(0) ?? connection : undefined
      idle.set(connection, now())
      if (leaving !== undefined) remove(leaving)
      return leaving
    },
    excess () {
      const leaving = isCrowded() ? longestWithoutRequest() : undefined
      if (leaving !== undefined) remove(leaving)
      return leaving
    },
    isCrowded,
    busy (connection) {
      idle.delete(connection)
      receiving.delete(connection)
    },
    idle (connection) {
      if (!open.has(connection)) return
      idle.delete(connection)
      receiving.delete(connection)
      idle.set(connection, now())
    },
    closed: remove,
    size: () => open.size
  }
}
