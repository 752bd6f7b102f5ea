/** What backend servers state about themselves in their responses, as this node knows it. */
import type { BackendServer } from './cluster-types'
import type { ServerStatements } from './platform-interface'

/** A response to one attempt of this node. */
export type StatingResponse = {
  status: number
  /** The response names the request, so it is neither a late copy nor another request's. */
  identified: boolean
  /** Time at which the request was sent. */
  sentAt: number
  statements: ServerStatements
}

export type StatementChange =
  | { type: 'limit', server: string, requestsPerSecond: number, from: string }
  | { type: 'limit-lifted', server: string, from: string }

export type ServerStatementsState = {
  /**
   * Applies the statements of a response that is passed on.
   *
   * @returns what has changed
   */
  record (server: BackendServer, response: StatingResponse, now: number): StatementChange[]
  /** Requests a second that the server accepts from all nodes together, if it states a limit. */
  limit (server: BackendServer): number | undefined
  /** Removes what other servers stated. */
  retain (servers: readonly BackendServer[]): void
}

type Entry = { requestsPerSecond: number, statedAt: number }

/** Statements are about one start of a server. */
function keyOf ({ id, bornAt }: BackendServer): string {
  return `${id}#${bornAt}`
}

/** @param node - name of this node */
export function createServerStatements (node: string): ServerStatementsState {
  const entries = new Map<string, Entry>()

  return {
    record (server, { status, identified, sentAt, statements }, now) {
      // Another server has the address.
      if (status === 421) return []
      const key = keyOf(server)
      const known = entries.get(key)
      const { requestsPerSecond } = statements
      if (requestsPerSecond !== undefined) {
        entries.set(key, { requestsPerSecond, statedAt: now })
        return requestsPerSecond === known?.requestsPerSecond ? [] : [{ type: 'limit', server: server.id, requestsPerSecond, from: node }]
      }
      // A response to an earlier request may have been written before the limit was stated, and an error by other code.
      if (known === undefined || !identified || status >= 300 || sentAt <= known.statedAt) return []
      entries.delete(key)
      return [{ type: 'limit-lifted', server: server.id, from: node }]
    },
    limit: server => entries.get(keyOf(server))?.requestsPerSecond,
    retain (servers) {
      const keys = new Set(servers.map(keyOf))
      for (const key of entries.keys()) {
        if (!keys.has(key)) entries.delete(key)
      }
    }
  }
}
