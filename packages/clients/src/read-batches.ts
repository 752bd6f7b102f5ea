/**
 * Decides which connections are read in a turn of the event loop when the reads of a turn take long. Node.js reads all connections
 * on which something has arrived before it accepts the next one: one of each listening socket in a turn.
 */
import type { ReadAction } from './read-shares'

/** Time that the reads of a turn may take before connections are read in batches, in ms. */
const turnMs = 25
/** Longest time for which no batch is read because connections are accepted, in ms. */
const maxAcceptMs = 200

/** Connections that clients have opened, or those of this process to other servers. */
export type ConnectionKind = 'incoming' | 'outgoing'

export type ReadBatches<Connection> = {
  opened (connection: Connection, kind: ConnectionKind): ReadAction<Connection>[]
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

type Queue = 'unread' | 'read' | 'outgoing'

export function createReadBatches<Connection> (): ReadBatches<Connection> {
  /** Connections that are read when something has arrived, those first whose last read is longest ago. */
  const readable = new Set<Connection>()
  /** The others, in the order of their turns. */
  const waiting: Record<Queue, Set<Connection>> = { unread: new Set(), read: new Set(), outgoing: new Set() }
  /** Incoming connections that have not been read yet, and outgoing ones. */
  const unread = new Set<Connection>()
  const outgoing = new Set<Connection>()
  let batchSize = 1
  let startedAt = 0
  let readInTurn = 0
  let acceptedInTurn = false
  let lastBatchAt = 0
  let takesNewest = false

  const waitingCount = (): number => waiting.unread.size + waiting.read.size + waiting.outgoing.size

  function queueOf (connection: Connection): Queue {
    if (outgoing.has(connection)) return 'outgoing'
    return unread.has(connection) ? 'unread' : 'read'
  }

  function hold (connection: Connection): ReadAction<Connection> {
    readable.delete(connection)
    waiting[queueOf(connection)].add(connection)
    return { type: 'hold', connection }
  }

  function release (connection: Connection): ReadAction<Connection> {
    waiting[queueOf(connection)].delete(connection)
    readable.add(connection)
    return { type: 'release', connection }
  }

  /** The oldest and the newest in turn: after a burst the newest need not wait for all of it, and the oldest are never passed over for ever. */
  function takeUnread (count: number): Connection[] {
    const connections = [...waiting.unread]
    const taken: Connection[] = []
    while (taken.length < count && connections.length > 0) {
      taken.push((takesNewest ? connections.pop() : connections.shift())!)
      takesNewest = !takesNewest
    }
    return taken
  }

  return {
    opened (connection, kind) {
      if (kind === 'outgoing') outgoing.add(connection)
      else unread.add(connection)
      readable.add(connection)
      return waitingCount() > 0 ? [hold(connection)] : []
    },
    accepted () { acceptedInTurn = true },
    received (connection, now) {
      if (!readable.delete(connection)) return []
      unread.delete(connection)
      readable.add(connection)
      readInTurn += 1
      if (waitingCount() > 0) return [hold(connection)]
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
      if (waitingCount() === 0) return []
      if (readInTurn > 0) {
        const tookMs = now - startedAt
        if (tookMs > turnMs) batchSize = Math.max(1, Math.floor(batchSize / 2))
        else if (tookMs < turnMs / 2) batchSize *= 2
      }
      if (acceptedInTurn && now - lastBatchAt < maxAcceptMs) return []
      lastBatchAt = now
      // Neither new clients nor responses of servers wait for the turn of each connection of a crowd.
      const share = Math.ceil(batchSize / 3)
      const first = [...takeUnread(share), ...[...waiting.outgoing].slice(0, share)]
      const others = [...waiting.read].slice(0, Math.max(1, batchSize - first.length))
      return [...first, ...others].map(release)
    },
    closed (connection) {
      for (const connections of [readable, unread, outgoing, ...Object.values(waiting)]) connections.delete(connection)
    },
    waiting: waitingCount
  }
}
