/** Connections to servers as undici uses them: only what the server has ended regularly ends. */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'
import { buildConnector } from 'undici'

/**
 * The connection was reset, or has broken off. undici takes the code of a reset itself, `ECONNRESET`, for the end of a
 * response without a length.
 */
export class ConnectionBrokenError extends Error {
  readonly code: string = 'CONNECTION_BROKEN'
}

/** Bytes that a connection holds until they are read, as undici asks for them. */
const highWaterMark = 64 * 1024
/** Time in which a socket that is reset may write what it holds, in ms; one whose link is cut never does. */
const resetMs = 100

/**
 * Resets the connection, so that nothing that waits on it reaches the other side.
 *
 * Node.js ends a socket before it resets it. One that is destroyed for a reset while its end is under way keeps its
 * descriptor, and the process doesn't exit.
 */
export function resetSocket (socket: Socket): void {
  if (socket.destroyed) return
  const isEnding = (): boolean => socket.writableEnded && !socket.writableFinished && socket.writableLength === 0
  if (isEnding()) {
    socket.destroy()
    return
  }
  const timer = setTimeout(() => { if (!isEnding()) socket.destroy() }, resetMs)
  socket.once('close', () => { clearTimeout(timer) })
  socket.resetAndDestroy()
}

export type ServerConnectionOptions = {
  /** Whether what has been written must not reach the server any more when the connection is destroyed. */
  resets? (): boolean
  /** @returns the error with which the connection fails after one of its socket */
  failureOf? (err: Error): Error
}

/**
 * A connection to a server. undici destroys this object and not the socket, whose end may take a while. What has arrived
 * is read before the connection ends or fails.
 */
export class ServerConnection extends Duplex {
  private failure: Error | undefined
  private finished = false

  constructor (private readonly socket: Socket, private readonly options: ServerConnectionOptions = {}) {
    // Strings are encoded by the socket.
    super({ allowHalfOpen: false, decodeStrings: false, readableHighWaterMark: highWaterMark })
    socket.on('error', err => { this.breakOff(options.failureOf?.(err) ?? new ConnectionBrokenError(err.message, { cause: err })) })
  }

  /** Whether the server has ended the connection regularly, and all that it sent before has been read. Nothing else completes a body that its connection ends. */
  get endedByServer (): boolean {
    return this.finished && this.readableEnded
  }

  /** The server has ended the connection regularly. */
  finish (): void {
    if (this.failure !== undefined || this.finished) return
    this.finished = true
    this.push(null)
  }

  /** The connection has broken off, which shows after what has arrived before. */
  breakOff (err: Error): void {
    if (this.failure !== undefined || this.finished) return
    this.failure = err
    if (this.readableLength === 0) this.destroy(err)
  }

  /** undici reads until there is nothing left. */
  override read (size?: number): unknown {
    const bytes: unknown = super.read(size)
    if (bytes === null && this.failure !== undefined && this.readableLength === 0) this.destroy(this.failure)
    return bytes
  }

  ref (): this {
    this.socket.ref()
    return this
  }

  unref (): this {
    this.socket.unref()
    return this
  }

  override _read (): void {
    this.socket.resume()
  }

  /** A failed write fails the socket as well, and what has arrived may still be read. */
  override _write (chunk: string | Uint8Array, encoding: BufferEncoding, callback: () => void): void {
    this.socket.write(chunk, encoding, () => callback())
  }

  override _writev (chunks: { chunk: string | Uint8Array, encoding: BufferEncoding }[], callback: () => void): void {
    this.socket.cork()
    chunks.forEach(({ chunk, encoding }, index) => this.socket.write(chunk, encoding, index === chunks.length - 1 ? () => callback() : undefined))
    this.socket.uncork()
  }

  override _final (callback: () => void): void {
    this.socket.end()
    callback()
  }

  override _destroy (err: Error | null, callback: (err: Error | null) => void): void {
    if (err !== null && !this.socket.destroyed && this.options.resets?.() === true) resetSocket(this.socket)
    else this.socket.destroy()
    callback(err)
  }
}

/** The types of undici name a socket, of which it uses what this object has. */
export function asSocket (connection: ServerConnection): Socket {
  return connection as unknown as Socket
}

/** Opens connections to servers. */
export type ServerConnector = (options: buildConnector.Options, callback: (...result: [null, ServerConnection] | [Error, null]) => void) => void

/**
 * Whether a socket that reports its end was reset. Node.js reports a reset that is read together with preceding data as a
 * regular end, but the socket has no remote port any more. Node.js caches the port, so nothing may read it before the end.
 */
export function isReset (socket: Socket): boolean {
  return socket.remotePort === undefined
}

/** Ends the connection as the server has ended its socket. */
function followEnd (socket: Socket, connection: ServerConnection): void {
  socket.on('end', () => {
    if (isReset(socket)) connection.breakOff(new ConnectionBrokenError('reset behind data'))
    else connection.finish()
  })
}

/** @param connect - opens sockets; plain ones and those with TLS */
export function createSocketConnector (connect: buildConnector.connector): ServerConnector {
  return (target, callback) => {
    connect(target, (...[err, socket]) => {
      if (err !== null) return callback(err, null)
      const connection = new ServerConnection(socket)
      socket.on('data', (bytes: Buffer) => { if (!connection.push(bytes)) socket.pause() })
      followEnd(socket, connection)
      callback(null, connection)
    })
  }
}

/** Reads are copied out of it at once, so that all connections share it. */
const readBuffer = Buffer.allocUnsafeSlow(highWaterMark)

/**
 * Opens plain connections that hold no more than one read until it is used.
 *
 * @param timeoutMs - time in which a connection must be open
 */
export function createServerConnector (timeoutMs: number, options: ServerConnectionOptions = {}): ServerConnector {
  return (target, callback) => {
    let connection: ServerConnection | undefined
    const onread = {
      buffer: readBuffer,
      callback: (size: number, buffer: Uint8Array) => connection?.push(Buffer.from(buffer.subarray(0, size))) === true
    }
    const connect = buildConnector({ timeout: timeoutMs, onread } as buildConnector.BuildOptions)
    connect(target, (...[err, socket]) => {
      if (err !== null) return callback(err, null)
      connection = new ServerConnection(socket, options)
      followEnd(socket, connection)
      callback(null, connection)
    })
  }
}
