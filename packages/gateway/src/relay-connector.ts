/** Opens connections to backend servers through other nodes, while this node's own links are cut. */
import { request, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { BackendServer } from './cluster-types'
import type { DecisionLog } from './decision-log'
import { createRelayChoice, type RelayNode } from './relay-choice'
import { relayedFramesHeader, relayedFramesVersion } from './relay-frames'
import { relayedServerHeader, relayedStartHeader } from './relay-server'

export type RelayConnectorOptions = {
  zone: string
  now (): number
  /** Uniform numbers from 0 to 1. */
  random (): number
  log: DecisionLog
  /** Nodes that are not dead, without this one. */
  nodes (): readonly RelayNode[]
}

/** A connection to a server through another node. */
export type RelayedConnection = {
  socket: Socket
  node: string
  /** Whether the node says in frames how the server ends. */
  framed: boolean
}

export type RelayConnector = {
  /** @throws if no node that was asked reaches the server */
  open (server: BackendServer): Promise<RelayedConnection>
}

/** Time in which a node must have opened its connection to the server, in ms. */
const openTimeoutMs = 500

/** `server`: the node relays, but not to this server; `node`: it does not relay, or could not be reached. */
type RelayFailure = { at: 'server' | 'node', reason: string }

/** Statuses with which a node says that it does not reach the server, or may not use it. */
const serverStatuses: ReadonlySet<number | undefined> = new Set([409, 502])
/** Number of nodes that must not reach a server before no other one is asked. */
const nodesWithoutServer = 2

/** @throws {RelayFailure} if the node does not relay */
function openThrough (address: string, server: BackendServer): Promise<Pick<RelayedConnection, 'socket' | 'framed'>> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const req = request({ host, port, method: 'CONNECT', path: server.address, agent: false, headers: { [relayedServerHeader]: encodeURIComponent(server.id), [relayedStartHeader]: server.bornAt, [relayedFramesHeader]: relayedFramesVersion } })
    const fail = (failure: RelayFailure): void => {
      clearTimeout(timer)
      req.destroy()
      reject(failure)
    }
    const refused = ({ statusCode, statusMessage }: IncomingMessage): void => fail({ at: serverStatuses.has(statusCode) ? 'server' : 'node', reason: `${statusCode} ${statusMessage}` })
    const timer = setTimeout(() => fail({ at: 'node', reason: 'no response' }), openTimeoutMs)
    req.once('connect', (res, socket: Socket, head) => {
      clearTimeout(timer)
      if (res.statusCode !== 200) {
        socket.destroy()
        return refused(res)
      }
      socket.setTimeout(0)
      socket.setNoDelay(true)
      // The server may have ended at once.
      if (head.length > 0) socket.unshift(head)
      resolve({ socket, framed: res.headers[relayedFramesHeader] === relayedFramesVersion })
    })
    req.once('response', refused)
    req.on('error', err => fail({ at: 'node', reason: err.message }))
    req.end()
  })
}

export function createRelayConnector ({ zone, now, random, log, nodes }: RelayConnectorOptions): RelayConnector {
  const choice = createRelayChoice(zone, random)

  return {
    async open (server) {
      const reasons: string[] = []
      const startedAt = now()
      let withoutServer = 0
      for (const { name, address } of choice.order(nodes(), startedAt)) {
        try {
          const { socket, framed } = await openThrough(address, server)
          choice.relayed(name, framed)
          log.info('request-relayed', { server: server.id, through: name, framed, refusedBy: reasons.length, afterMs: Math.round(now() - startedAt) })
          return { socket, node: name, framed }
        } catch (failure) {
          const { at, reason } = failure as RelayFailure
          reasons.push(`${name}: ${reason}`)
          if (at === 'node') choice.failed(name, now())
          else if (++withoutServer === nodesWithoutServer) break
        }
      }
      log.warn('request-not-relayed', { server: server.id, reasons, afterMs: Math.round(now() - startedAt) })
      throw new Error(`no node reaches ${server.id}`)
    }
  }
}
