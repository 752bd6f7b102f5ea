/** Shares the thread of the process among the connections of its servers, and those to other servers; see {@link createReadShares}. */
import { IncomingMessage, type Server } from 'node:http'
import type { Socket } from 'node:net'
import { createReadShares, readSharesDefaults, type ReadAction, type ReadSharesConfig } from './read-shares'

/** The part of the parser of a connection that Node.js does not document: it calls a numbered property after each read. */
type Parser = { [callback: number]: ((result: number | Error) => void) | null, constructor: { kOnExecute?: number } }

/** A connection whose reads are shared. */
type Reader = {
  held: boolean
  /** Stops the reads. */
  hold (): void
  /** Starts them again. */
  release (): void
}

/** A connection of a server. */
type Reads = Reader & {
  bytesRead: number
  /** Bytes of bodies since the last read. */
  bodyBytes: number
  /** Whether reads would go on if they were not held. */
  wanted: boolean
}

/** The turns of a connection that asks before each read. */
export type ReadTurns = {
  /** Whether the connection must not be read now. */
  held (): boolean
  /**
   * One read was parsed.
   *
   * @param readBytes - bytes that were read
   * @param bodyBytes - bytes of bodies among them
   */
  parsed (readBytes: number, bodyBytes: number): void
  closed (): void
}

export type SharedReads = {
  /** Counts what is read on all connections of the server. */
  add (server: Server): void
  /**
   * Counts what is read on a connection to a server.
   *
   * @param readOn - reads on after the connection was held
   */
  addClient (readOn: () => void): ReadTurns
  /** Applies to connections that are opened from now on as well as to others. */
  configure (config: Partial<ReadSharesConfig>): void
  /** Number of connections whose reads wait for their turn. */
  waiting (): number
  /** @returns number of times that reads were stopped in favour of other connections since the last call */
  takeStopped (): number
}

/** Longest pause between two reads of connections with much overhead, in ms. */
const maxGapMs = 200

export function createSharedReads (now: () => number): SharedReads {
  const config = { ...readSharesDefaults }
  const shares = createReadShares<Reader>(config)
  const reads = new WeakMap<Socket, Reads>()
  /** The next grant. */
  let pending: { type: 'immediate', handle: NodeJS.Immediate } | { type: 'timer', handle: NodeJS.Timeout } | undefined
  let grantedAt = 0
  /** Whether the event loop is in the turn after the last grant, in which what was granted is read if it has arrived. */
  let inTurn = false
  let stopped = 0

  function apply (actions: ReadAction<Reader>[]): void {
    const isShared = actions.filter(({ type }) => type === 'hold').length > 1 || shares.waiting() > 1
    for (const { type, connection } of actions) {
      if (connection.held === (type === 'hold')) continue
      if (type === 'release') {
        connection.held = false
        connection.release()
        continue
      }
      if (isShared) stopped += 1
      connection.hold()
      connection.held = true
    }
  }

  function grant (): void {
    pending = undefined
    grantedAt = now()
    inTurn = true
    // Runs after the reads of the next turn, and of those connections that are read after its sockets.
    setImmediate(() => setImmediate(() => { inTurn = false }))
    apply(shares.grant())
    if (shares.waiting() > 0) schedule(0)
  }

  /** A pause takes the place of a grant without one. */
  function schedule (gapMs: number): void {
    if (pending?.type === 'timer' || (pending !== undefined && gapMs < 1)) return
    if (pending !== undefined) clearImmediate(pending.handle)
    pending = gapMs < 1 ? { type: 'immediate', handle: setImmediate(grant) } : { type: 'timer', handle: setTimeout(grant, gapMs) }
  }

  function parsed (reader: Reader, readBytes: number, bodyBytes: number): void {
    const at = now()
    apply(shares.received(reader, readBytes, bodyBytes, at))
    const waiting = shares.waiting()
    // Others get as much of the thread as the read took; a connection that is alone, or had nothing to read in its turn, goes on at once.
    if (waiting > 0) schedule(waiting === 1 || !inTurn ? 0 : Math.min(maxGapMs, at - grantedAt))
  }

  function received (socket: Socket): void {
    const read = reads.get(socket)
    if (read === undefined || socket.destroyed) return
    const bytes = socket.bytesRead - read.bytesRead
    const { bodyBytes } = read
    read.bytesRead = socket.bytesRead
    read.bodyBytes = 0
    parsed(read, bytes, bodyBytes)
  }

  function opened (socket: Socket): void {
    const { parser } = socket as Socket & { parser?: Parser | null }
    const key = parser?.constructor.kOnExecute
    const parsedRead = key === undefined ? undefined : parser?.[key]
    if (parser == null || key === undefined || parsedRead == null) return
    const read: Reads = {
      bytesRead: 0,
      bodyBytes: 0,
      held: false,
      wanted: true,
      hold () {
        read.wanted = !socket.isPaused()
        socket.pause()
      },
      release () { if (read.wanted) socket.resume() }
    }
    reads.set(socket, read)
    parser[key] = result => {
      parsedRead(result)
      // Without a parser the connection has become a tunnel.
      if ((socket as { parser?: unknown }).parser === parser) received(socket)
      else leave(socket)
    }
    // Requests and their bodies pause and resume their connection, too.
    const { pause, resume } = socket
    socket.pause = () => {
      if (read.held) read.wanted = false
      return read.held ? socket : pause.call(socket)
    }
    socket.resume = () => {
      if (read.held) read.wanted = true
      return read.held ? socket : resume.call(socket)
    }
    socket.once('close', () => { shares.closed(read) })
    shares.opened(read)
  }

  function leave (socket: Socket): void {
    const read = reads.get(socket)
    if (read === undefined) return
    shares.closed(read)
    apply([{ type: 'release', connection: read }])
    reads.delete(socket)
  }

  function countBody (req: IncomingMessage): void {
    const read = reads.get(req.socket)
    if (read === undefined || (req.headers['content-length'] === undefined && req.headers['transfer-encoding'] === undefined)) return
    req.push = (chunk: Buffer | null) => {
      read.bodyBytes += chunk?.length ?? 0
      return IncomingMessage.prototype.push.call(req, chunk)
    }
  }

  return {
    add (server) {
      server.on('connection', opened)
      server.prependListener('request', countBody)
    },
    addClient (readOn) {
      const reader: Reader = { held: false, hold () {}, release: readOn }
      shares.opened(reader)
      return {
        held: () => reader.held,
        parsed: (readBytes, bodyBytes) => { parsed(reader, readBytes, bodyBytes) },
        closed: () => { shares.closed(reader) }
      }
    },
    configure (next) { Object.assign(config, next) },
    waiting: shares.waiting,
    takeStopped () {
      const count = stopped
      stopped = 0
      return count
    }
  }
}

/** All connections of a process share its one thread. */
export const sharedReads = createSharedReads(() => performance.now())
