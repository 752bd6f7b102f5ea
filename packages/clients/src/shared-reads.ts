/** Shares the thread of the process among the connections of its servers, and those to other servers; see {@link createReadShares}. */
import { IncomingMessage, type Server } from 'node:http'
import type { Socket } from 'node:net'
import { createReadBatches } from './read-batches'
import { createReadShares, readSharesDefaults, type ReadAction, type ReadSharesConfig } from './read-shares'

/** The part of the parser of a connection that Node.js does not document: it calls a numbered property after each read. */
type Parser = { [callback: number]: ((result: number | Error) => void) | null, constructor: { kOnExecute?: number } }

/** What stops the reads of a connection: its overhead, or a turn of the event loop whose reads take long. */
type Holder = 'shares' | 'batches'

/** A connection whose reads are shared. */
type Reader = {
  heldBy: Set<Holder>
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
  /** Called after the next turn in which the connection is read if something has arrived. */
  afterTurn: (() => void)[]
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
  /**
   * Calls back when what has arrived on a connection of a server has been read; in the next turn of the event loop unless
   * its reads wait for others. Not called after the connection has been closed.
   */
  afterReading (socket: Socket, callback: () => void): void
  /** Number of connections that wait because the reads of a turn have taken long. */
  inBatches (): number
  /** Applies to connections that are opened from now on as well as to others. */
  configure (config: Partial<ReadSharesConfig>): void
  /** Number of connections whose reads wait for their turn. */
  waiting (): number
  /** @returns number of times that reads were stopped in favour of other connections since the last call */
  takeStopped (): number
}

/** Connections to other servers, which share their part of each batch. */
const outgoing = {}

/** Longest pause between two reads of connections with much overhead, in ms. */
const maxGapMs = 200

export function createSharedReads (now: () => number): SharedReads {
  const config = { ...readSharesDefaults }
  const shares = createReadShares<Reader>(config)
  const batches = createReadBatches<Reader>()
  const reads = new WeakMap<Socket, Reads>()
  /** The next grant. */
  let pending: { type: 'immediate', handle: NodeJS.Immediate } | { type: 'timer', handle: NodeJS.Timeout } | undefined
  let grantedAt = 0
  /** Whether the event loop is in the turn after the last grant, in which what was granted is read if it has arrived. */
  let inTurn = false
  let stopped = 0
  /** Whether the end of the current turn is awaited. */
  let turnStarted = false

  function apply (actions: ReadAction<Reader>[], holder: Holder): void {
    for (const { type, connection: { heldBy, hold, release } } of actions) {
      if (type === 'hold') {
        if (heldBy.size === 0) hold()
        heldBy.add(holder)
      } else if (heldBy.delete(holder) && heldBy.size === 0) release()
    }
  }

  function applyShares (actions: ReadAction<Reader>[]): void {
    const held = actions.filter(({ type, connection }) => type === 'hold' && !connection.heldBy.has('shares')).length
    if (shares.waiting() > 1) stopped += held
    apply(actions, 'shares')
  }

  function startTurn (): void {
    if (turnStarted) return
    turnStarted = true
    batches.turnStarted(now())
    setImmediate(endTurn)
  }

  function endTurn (): void {
    turnStarted = false
    apply(batches.turnEnded(now()), 'batches')
    if (batches.waiting() > 0) startTurn()
  }

  function open (reader: Reader, group: object): void {
    shares.opened(reader)
    apply(batches.opened(reader, group), 'batches')
  }

  function close (reader: Reader): void {
    shares.closed(reader)
    batches.closed(reader)
  }

  function grant (): void {
    pending = undefined
    grantedAt = now()
    inTurn = true
    // Runs after the reads of the next turn, and of those connections that are read after its sockets.
    setImmediate(() => setImmediate(() => { inTurn = false }))
    applyShares(shares.grant())
    if (shares.waiting() > 0) schedule(0)
  }

  /** A pause takes the place of a grant without one. */
  function schedule (gapMs: number): void {
    if (pending?.type === 'timer' || (pending !== undefined && gapMs < 1)) return
    if (pending !== undefined) clearImmediate(pending.handle)
    pending = gapMs < 1 ? { type: 'immediate', handle: setImmediate(grant) } : { type: 'timer', handle: setTimeout(grant, gapMs) }
  }

  function parsed (reader: Reader, readBytes: number, bodyBytes: number): void {
    startTurn()
    const at = now()
    apply(batches.received(reader, at), 'batches')
    applyShares(shares.received(reader, readBytes, bodyBytes, at))
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

  function opened (server: Server, socket: Socket): void {
    const { parser } = socket as Socket & { parser?: Parser | null }
    const key = parser?.constructor.kOnExecute
    const parsedRead = key === undefined ? undefined : parser?.[key]
    if (parser == null || key === undefined || parsedRead == null) return
    const read: Reads = {
      bytesRead: 0,
      bodyBytes: 0,
      heldBy: new Set(),
      wanted: true,
      afterTurn: [],
      hold () {
        read.wanted = !socket.isPaused()
        socket.pause()
      },
      release () {
        if (read.wanted) socket.resume()
        for (const callback of read.afterTurn.splice(0)) setImmediate(callback)
      }
    }
    reads.set(socket, read)
    parser[key] = result => {
      parsedRead(result)
      // Without a parser the connection has become a tunnel.
      if ((socket as { parser?: unknown }).parser === parser) received(socket)
      else leave(socket)
    }
    // A resume that was scheduled before the connection was held starts its reads all the same; Node.js stops them at this event.
    socket.on('resume', () => { if (read.heldBy.size > 0) socket.emit('pause') })
    // Requests and their bodies pause and resume their connection, too.
    const { pause, resume } = socket
    socket.pause = () => {
      const isHeld = read.heldBy.size > 0
      if (isHeld) read.wanted = false
      return isHeld ? socket : pause.call(socket)
    }
    socket.resume = () => {
      const isHeld = read.heldBy.size > 0
      if (isHeld) read.wanted = true
      return isHeld ? socket : resume.call(socket)
    }
    socket.once('close', () => { close(read) })
    startTurn()
    batches.accepted()
    open(read, server)
  }

  function leave (socket: Socket): void {
    const read = reads.get(socket)
    if (read === undefined) return
    close(read)
    for (const holder of [...read.heldBy]) apply([{ type: 'release', connection: read }], holder)
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
      server.on('connection', socket => { opened(server, socket) })
      server.prependListener('request', countBody)
    },
    addClient (readOn) {
      const reader: Reader = { heldBy: new Set(), hold () {}, release: readOn }
      open(reader, outgoing)
      return {
        held: () => reader.heldBy.size > 0,
        parsed: (readBytes, bodyBytes) => { parsed(reader, readBytes, bodyBytes) },
        closed: () => { close(reader) }
      }
    },
    afterReading (socket, callback) {
      const read = reads.get(socket)
      if (read?.heldBy.has('batches') === true) read.afterTurn.push(callback)
      else setImmediate(callback)
    },
    inBatches: batches.waiting,
    configure (next) { Object.assign(config, next) },
    waiting: () => shares.waiting() + batches.waiting(),
    takeStopped () {
      const count = stopped
      stopped = 0
      return count
    }
  }
}

/** All connections of a process share its one thread. */
export const sharedReads = createSharedReads(() => performance.now())
