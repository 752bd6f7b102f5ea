/** Decides which connection of a server is closed when there are too many. */

export type ConnectionRoom<Connection> = {
  /** A connection was opened; it is idle. @returns the connection to close: the one that has been idle for longest, or this one if none is idle */
  opened (connection: Connection): Connection | undefined
  /** A request was read on the connection. */
  busy (connection: Connection): void
  /** No request of the connection is in progress any more. */
  idle (connection: Connection): void
  /** Has no effect on a connection that was returned by `opened`. */
  closed (connection: Connection): void
  /** Number of open connections, without those to close. */
  size (): number
}

/**
 * @param maxConnections - largest number of connections
 * @param isReceiving - whether a part of a request has arrived since the connection was opened or became idle
 */
export function createConnectionRoom<Connection> (maxConnections: number, isReceiving: (connection: Connection) => boolean): ConnectionRoom<Connection> {
  const open = new Set<Connection>()
  /** In the order in which they became idle. */
  const idle = new Set<Connection>()

  function remove (connection: Connection): void {
    open.delete(connection)
    idle.delete(connection)
  }

  function longestIdle (): Connection | undefined {
    for (const connection of idle) {
      if (!isReceiving(connection)) return connection
      // It is idle again after its request, so it need not be looked at for each new connection.
      idle.delete(connection)
    }
    return undefined
  }

  return {
    opened (connection) {
      open.add(connection)
      const leaving = open.size > maxConnections ? longestIdle() ?? connection : undefined
      idle.add(connection)
      if (leaving !== undefined) remove(leaving)
      return leaving
    },
    busy: connection => { idle.delete(connection) },
    idle (connection) {
      if (!open.has(connection)) return
      idle.delete(connection)
      idle.add(connection)
    },
    closed: remove,
    size: () => open.size
  }
}
