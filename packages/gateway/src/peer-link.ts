/**
 * Messages between nodes over UDP. A reliable message is retransmitted until it is acknowledged, and
 * duplicates are dropped. Compared with TCP, the reply to a grant query costs one round trip without
 * connection setup, and a stalled connection cannot block later messages.
 */
import { createSocket, type Socket } from 'node:dgram'
import type { DecisionLog } from './decision-log'

export type PeerMessage = { kind: string, payload: unknown }
export type PeerId = { node: string, incarnation: number }

export type PeerLinkOptions = {
  self: PeerId
  host: string
  port: number
  now (): number
  /** Offset up to which this node has read the operator's records, sent with each datagram; -1 before the first read. */
  position (): number
  /** The sender of a datagram has read the operator's records up to `position`. */
  peerPosition (position: number): void
  received (from: PeerId, message: PeerMessage, address: string): void
  onError (reason: string): void
}

export type PeerLink = {
  listen (): Promise<void>
  /** Sends the message once, without acknowledgement. */
  notify (address: string, message: PeerMessage): void
  /** @returns whether the peer acknowledged the message */
  deliver (address: string, message: PeerMessage): Promise<boolean>
  close (): void
}

/** Time to wait for an acknowledgement after each transmission, in ms: a round trip between zones takes 1 to 3 ms, a busy peer some tens. */
const retransmitAfterMs = [25, 50, 100, 150]
/** Message numbers stored per peer process to drop duplicates. */
const maxSeenNumbers = 4096
/** Time for which the numbers of a silent process are stored, in ms: one that was suspended goes on to retransmit. */
const seenRetentionMs = 600_000
/** Largest datagram that common links carry unfragmented, in bytes. */
export const maxDatagramBytes = 1400

/** Number 0 marks a message that is not acknowledged. */
type Frame = [node: string, incarnation: number, number: number, kind: string, payload: unknown, position?: number]
type Unacked = { resolve (acked: boolean): void, timer: NodeJS.Timeout }

const ackKind = 'ack'

function parseFrame (bytes: Buffer): Frame | undefined {
  try {
    const value = JSON.parse(bytes.toString('utf8')) as unknown
    if (!Array.isArray(value)) return undefined
    const [node, incarnation, number, kind] = value as unknown[]
    return typeof node === 'string' && Number.isSafeInteger(incarnation) && Number.isSafeInteger(number) && typeof kind === 'string' ? value as Frame : undefined
  } catch {
    return undefined
  }
}

function splitAddress (address: string): [string, number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}

export function createPeerLink (options: PeerLinkOptions): PeerLink {
  const { self } = options
  const socket: Socket = createSocket('udp4')
  const unacked = new Map<number, Unacked>()
  /** Numbers of received messages by peer process, and the time of the last one. */
  const seen = new Map<string, { numbers: Set<number>, at: number }>()
  let lastNumber = 0
  let closed = false
  let binding = false

  function transmit (address: string, number: number, { kind, payload }: PeerMessage): void {
    // Requests may still end after the link was closed.
    if (closed) return
    const [host, port] = splitAddress(address)
    const frame: Frame = [self.node, self.incarnation, number, kind, payload, options.position()]
    socket.send(JSON.stringify(frame), port, host, err => {
      if (err !== null && err !== undefined) options.onError(err.message)
    })
  }

  function isNew (peer: string, number: number): boolean {
    const now = options.now()
    let known = seen.get(peer)
    if (known === undefined) {
      for (const [other, { at }] of seen) {
        if (now - at > seenRetentionMs) seen.delete(other)
      }
      known = { numbers: new Set<number>(), at: now }
      seen.set(peer, known)
    }
    const { numbers } = known
    known.at = now
    if (numbers.has(number)) return false
    numbers.add(number)
    if (numbers.size > maxSeenNumbers) numbers.delete(numbers.values().next().value!)
    return true
  }

  socket.on('message', (bytes, { address, port }) => {
    const frame = parseFrame(bytes)
    if (frame === undefined) return options.onError('datagram is not a valid peer message')
    const [node, incarnation, number, kind, payload, position] = frame
    if (Number.isSafeInteger(position)) options.peerPosition(position!)
    if (kind === ackKind) {
      const pending = unacked.get(Number(payload))
      if (pending === undefined) return
      clearTimeout(pending.timer)
      unacked.delete(Number(payload))
      return pending.resolve(true)
    }
    const sender = `${address}:${port}`
    if (number > 0) {
      transmit(sender, 0, { kind: ackKind, payload: number })
      if (!isNew(`${node}/${incarnation}`, number)) return
    }
    try {
      options.received({ node, incarnation }, { kind, payload }, sender)
    } catch (err) {
      options.onError(`message '${kind}' of ${node} at ${sender} could not be handled: ${(err as Error).message}`)
    }
  })
  socket.on('error', err => {
    // Whoever opens the address gets the errors of the attempt.
    if (!binding) options.onError(err.message)
  })

  return {
    listen: () => new Promise((resolve, reject) => {
      const bound = (): void => {
        binding = false
        socket.off('error', failed)
        resolve()
      }
      const failed = (err: Error): void => {
        binding = false
        socket.off('listening', bound)
        reject(err)
      }
      socket.once('error', failed)
      socket.once('listening', bound)
      binding = true
      socket.bind(options.port, options.host)
    }),
    notify: (address, message) => { transmit(address, 0, message) },
    deliver: (address, message) => new Promise(resolve => {
      const number = ++lastNumber
      const transmitAttempt = (attempt: number): void => {
        transmit(address, number, message)
        const pauseMs = retransmitAfterMs[attempt]!
        const timer = setTimeout(() => {
          if (attempt + 1 < retransmitAfterMs.length) return transmitAttempt(attempt + 1)
          unacked.delete(number)
          resolve(false)
        }, pauseMs)
        unacked.set(number, { resolve, timer })
      }
      transmitAttempt(0)
    }),
    close () {
      closed = true
      for (const { timer, resolve } of unacked.values()) {
        clearTimeout(timer)
        resolve(false)
      }
      unacked.clear()
      socket.close()
    }
  }
}

/** @returns sends a message to a peer, and logs it if it is not acknowledged */
export function createPeerDelivery (link: Pick<PeerLink, 'deliver'>, log: DecisionLog): (address: string, message: PeerMessage) => void {
  return (address, message) => {
    link.deliver(address, message).then(delivered => {
      if (!delivered) log.warn('peer-message-failed', { reason: `${message.kind} was not acknowledged by ${address}` })
    }).catch(err => { log.error('peer-message-failed', { reason: (err as Error).message }) })
  }
}
