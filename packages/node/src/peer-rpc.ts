/** Control messages between nodes: datagrams for membership, tRPC over HTTP for all others. */
import { createSocket, type Socket } from 'node:dgram'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createTRPCClient, httpBatchLink, type TRPCClient } from '@trpc/client'
import { initTRPC } from '@trpc/server'
import { nodeHTTPRequestHandler } from '@trpc/server/adapters/node-http'
import { fetch as undiciFetch, type Dispatcher } from 'undici'
import type { Envelope } from './core/core-events'
import { decodeDatagram, encodeDatagram } from './peer-datagram'

const trpc = initTRPC.create()

/** @throws if the value isn't an envelope; tRPC then responds with status 400 */
export function parseEnvelope (value: unknown): Envelope {
  const envelope = value as Partial<Envelope> | null
  const valid = typeof envelope === 'object' && envelope !== null &&
    typeof envelope.from === 'string' && typeof envelope.to === 'string' &&
    Number.isFinite(envelope.incarnation) && Number.isFinite(envelope.revision) &&
    typeof envelope.message === 'object' && envelope.message !== null && typeof envelope.message.type === 'string'
  if (!valid) throw new Error('the input is not an envelope')
  return envelope as Envelope
}

function createRouter (deliver: (envelope: Envelope) => void) {
  return trpc.router({
    deliver: trpc.procedure.input(parseEnvelope).mutation(({ input }) => { deliver(input) })
  })
}

export type PeerRouter = ReturnType<typeof createRouter>

/** Path prefix of the node's tRPC endpoint. */
export const trpcPath = '/peer/trpc/'
const maxBatchBytes = 4 * 1024 * 1024

/** Creates the HTTP handler of control messages. @param self id of this node; envelopes to other nodes are dropped */
export function createPeerHandler (self: string, deliver: (envelope: Envelope) => void): (req: IncomingMessage, res: ServerResponse, path: string) => Promise<void> {
  const router = createRouter(envelope => {
    if (envelope.to === self) deliver(envelope)
  })
  return async (req, res, path) => {
    await nodeHTTPRequestHandler({ req, res, path, router, createContext: () => ({}), maxBodySize: maxBatchBytes })
  }
}

export type PeerSender = {
  /** Sends without waiting; the core handles lost messages. */
  send (envelope: Envelope, address: string): void
}

/** Timeout of a request to a peer, in ms. */
const sendTimeoutMs = 3000

/** Creates the sender. Messages to one node in the same turn of the event loop share a request. */
export function createPeerSender (dispatcher: Dispatcher, onError: (to: string, err: unknown) => void): PeerSender {
  const clients = new Map<string, TRPCClient<PeerRouter>>()

  function clientFor (address: string): TRPCClient<PeerRouter> {
    const existing = clients.get(address)
    if (existing !== undefined) return existing
    const link = httpBatchLink<PeerRouter>({
      url: `http://${address}${trpcPath}`,
      fetch: async (url, options) => await undiciFetch(url as string, { ...options as object, dispatcher, signal: AbortSignal.timeout(sendTimeoutMs) }) as never
    })
    const client = createTRPCClient<PeerRouter>({ links: [link] })
    clients.set(address, client)
    return client
  }

  return {
    send (envelope, address) {
      clientFor(address).deliver.mutate(envelope).catch((err: unknown) => onError(envelope.to, err))
    }
  }
}

export type DatagramPort = {
  send (envelope: Envelope, address: string): void
  close (): void
}

/** Splits an `IP:PORT` address, with brackets around IPv6. */
export function splitAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(colon + 1)) }
}

/** Opens the UDP socket for membership messages at the node's address. */
export async function openDatagramPort (address: string, self: string, deliver: (envelope: Envelope) => void): Promise<DatagramPort> {
  const { host, port } = splitAddress(address)
  const socket: Socket = createSocket(host.includes(':') ? 'udp6' : 'udp4')
  await new Promise<void>((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(port, host, resolve)
  })
  // Failure detection notices send errors, for example of a stale address, as missing acknowledgements.
  socket.on('error', () => {})
  socket.on('message', bytes => {
    const envelope = decodeDatagram(bytes)
    if (envelope !== undefined && envelope.to === self) deliver(envelope)
  })
  let open = true
  return {
    send (envelope, to) {
      if (!open) return
      const target = splitAddress(to)
      socket.send(encodeDatagram(envelope), target.port, target.host, () => {})
    },
    close () {
      open = false
      socket.close()
    }
  }
}
