/** Records what backend servers state in their responses, shares it with the other nodes, and logs each change. */
import type { BackendServer } from './cluster-types'
import type { DecisionLog } from './decision-log'
import type { RegistryChange, ServerStart } from './server-registry'
import { createServerStatements, isServerStart, isSharedLimit, type ServerStatementsState, type SharedLimit, type StatingResponse } from './server-statements'

export type StatementRecorderOptions = {
  now (): number
  log: DecisionLog
  notifyPeers (kind: 'stated-limit' | 'stated-leaving', payload: SharedLimit | ServerStart): void
  /** Notifies the node that paces the requests to the server. */
  notifyPacer (limit: SharedLimit): void
  /** The limit of a server has changed. */
  changed (): void
  /**
   * The server has stated that it is leaving.
   *
   * @returns what this changes
   */
  leave (server: ServerStart): RegistryChange[]
}

export type StatementRecorder = Pick<ServerStatementsState, 'limit' | 'retain'> & {
  /** @param requestId - request that the server responded to */
  record (server: BackendServer, requestId: string, response: StatingResponse): void
  /** Time for which the server wants no further requests from this node, in ms; 0 if it accepts them. */
  waitMs (server: ServerStart): number
  /** Applies a message of another node. */
  receive (from: string, kind: 'stated-limit' | 'stated-leaving', payload: unknown): void
}

/** Length to which values from responses are cut in the log, in characters. */
const maxLoggedValueLength = 40

export function createStatementRecorder ({ now, log, notifyPeers, notifyPacer, changed, leave }: StatementRecorderOptions): StatementRecorder {
  const statements = createServerStatements()

  function recordLimit (server: BackendServer, requestId: string, response: StatingResponse): void {
    const news = statements.record(server, response, now())
    if (news?.type === 'repeat') notifyPacer(news.limit)
    if (news?.type !== 'change') return
    log.info('server-statement', { id: requestId, server: server.id, service: server.service, requestsPerSecond: news.limit.requestsPerSecond ?? null })
    notifyPeers('stated-limit', news.limit)
    changed()
  }

  return {
    limit: statements.limit,
    retain: statements.retain,
    waitMs: server => statements.waitMs(server, now()),
    record (server, requestId, response) {
      for (const value of response.statements.unusable) log.warn('server-statement-unusable', { id: requestId, server: server.id, value: value.slice(0, maxLoggedValueLength) })
      // Another server has the address.
      if (response.status === 421) return
      recordLimit(server, requestId, response)
      const { waitMs, leaving } = response.statements
      if (waitMs !== undefined && statements.recordWait(server, waitMs, now())) log.info('server-statement', { id: requestId, server: server.id, service: server.service, waitMs })
      if (leaving === undefined || leave(server).length === 0) return
      log.info('server-statement', { id: requestId, server: server.id, service: server.service, leaving: true })
      notifyPeers('stated-leaving', { id: server.id, bornAt: server.bornAt })
    },
    receive (from, kind, payload) {
      if (kind === 'stated-leaving' && isServerStart(payload)) {
        if (leave(payload).length > 0) log.info('server-statement', { server: payload.id, leaving: true, from })
      } else if (kind === 'stated-limit' && isSharedLimit(payload)) {
        if (!statements.learn(payload, now())) return
        log.info('server-statement', { server: payload.id, requestsPerSecond: payload.requestsPerSecond ?? null, from })
        changed()
      } else log.warn('server-statement-unusable', { from, kind })
    }
  }
}
