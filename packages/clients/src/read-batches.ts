/**
 * Decides which connections are read in a turn of the event loop when the reads of a turn take long. Node.js reads all connections
 * on which something has arrived before it accepts the next one: one of each listening socket in a turn.
 */
import type { ReadAction } from './read-shares'

/** Time that the reads of a turn may take before connections are read in batches, in ms. */
const turnMs = 25
/** Longest time for which no batch is read because connections are accepted, in ms. */
const maxAcceptMs = 200

export type ReadBatches<Connection> = {
  /** @param group - connections that share their part of each batch, such as those of a server */
  opened (connection: Connection, group: object): ReadAction<Connection>[]
  /** A connection was accepted; further ones may be in the backlog. */
  accepted (): void
  /** One read of the connection was parsed. */
  received (connection: Connection, now: number): ReadAction<Connection>[]
  turnStarted (now: number): void
  /** To be called after each turn in which something was read or accepted, and while connections wait. */
  turnEnded (now: number): ReadAction<Connection>[]
  closed (connection: Connection): void
  /** Number of connections that wait for their batch. */
  waiting (): number
}

/** Connections that wait, in the order of their turns. */
type Waiting<Connection> = { unread: Set<Connection>, read: Set<Connection> }

export function createReadBatches<Connection> (): ReadBatches<Connection> {
  const groups = new Map<Connection, object>()
  /** Connections that have not been read yet. */
  const unread = new Set<Connection>()
  /** Connections that are read when something has arrived, those first whose last read is longest ago. */
  const readable = new Set<Connection>()
  /** The others, of each group that has some. */
  const waiting = new Map<object, Waiting<Connection>>()
  let batchSize = 1
  let startedAt = 0
  let readInTurn = 0
  let acceptedInTurn = false
  let lastBatchAt = 0
  let takesNewest = false

  function hold (connection: Connection): ReadAction<Connection> {
    const group = groups.get(connection)!
    const queues = waiting.get(group) ?? { unread: new Set(), read: new Set() }
    waiting.set(group, queues)
    readable.delete(connection)
    queues[unread.has(connection) ? 'unread' : 'read'].add(connection)
    return { type: 'hold', connection }
  }

  function leaveQueue (connection: Connection): void {
    const group = groups.get(connection)!
    const queues = waiting.get(group)
    if (queues === undefined) return
    queues.unread.delete(connection)
    queues.read.delete(connection)
    if (queues.unread.size + queues.read.size === 0) waiting.delete(group)
  }

  function release (connection: Connection): ReadAction<Connection> {
    leaveQueue(connection)
    readable.add(connection)
    return { type: 'release', connection }
  }

  /** The oldest and the newest in turn: after a burst the newest need not wait for all of it, and the oldest are never passed over for ever. */
  function takeUnread (queue: Set<Connection>, count: number): Connection[] {
    const connections = [...queue]
    const taken: Connection[] = []
    while (taken.length < count && connections.length > 0) {
      taken.push((takesNewest ? connections.pop() : connections.shift())!)
      takesNewest = !takesNewest
    }
    return taken
  }

  /** Neither new connections nor other groups wait for the turn of each connection of a crowd. */
  function nextBatch (): Connection[] {
    const share = Math.ceil(batchSize / waiting.size)
    return [...waiting.values()].flatMap(({ unread: newcomers, read }) => {
      const first = takeUnread(newcomers, Math.ceil(share / 2))
      return [...first, ...[...read].slice(0, Math.max(1, share - first.length))]
    })
  }

  return {
    opened (connection, group) {
      groups.set(connection, group)
      unread.add(connection)
      readable.add(connection)
      return waiting.size > 0 ? [hold(connection)] : []
    },
    accepted () { acceptedInTurn = true },
    received (connection, now) {
      if (!readable.delete(connection)) return []
      unread.delete(connection)
      readable.add(connection)
      readInTurn += 1
      if (waiting.size > 0) return [hold(connection)]
      if (now - startedAt < turnMs) return []
      batchSize = readInTurn
      lastBatchAt = now
      return [...readable].map(hold)
    },
    turnStarted (now) {
      startedAt = now
      readInTurn = 0
      acceptedInTurn = false
    },
    turnEnded (now) {
      if (waiting.size === 0) return []
      if (readInTurn > 0) {
        const tookMs = now - startedAt
        if (tookMs > turnMs) batchSize = Math.max(1, Math.floor(batchSize / 2))
        else if (tookMs < turnMs / 2) batchSize *= 2
      }
      if (acceptedInTurn && now - lastBatchAt < maxAcceptMs) return []
      lastBatchAt = now
      return nextBatch().map(release)
    },
    closed (connection) {
      leaveQueue(connection)
      for (const connections of [groups, unread, readable]) connections.delete(connection)
    },
    waiting: () => [...waiting.values()].reduce((count, queues) => count + queues.unread.size + queues.read.size, 0)
  }
}
