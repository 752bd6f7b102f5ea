/** Records what backend servers state in their responses, shares it with the other nodes, and logs each change. */
import type { BackendServer } from './cluster-types'
import type { DecisionLog } from './decision-log'
import { createServerStatements, isSharedLimit, type ServerStatementsState, type SharedLimit, type StatingResponse } from './server-statements'

export type StatementRecorderOptions = {
  now (): number
  log: DecisionLog
  notifyPeers (limit: SharedLimit): void
  /** Notifies the node that paces the requests to the server. */
  notifyPacer (limit: SharedLimit): void
  /** The limit of a server has changed. */
  changed (): void
}

export type StatementRecorder = Pick<ServerStatementsState, 'limit' | 'retain'> & {
  /** @param requestId - request that the server responded to */
  record (server: BackendServer, requestId: string, response: StatingResponse): void
  /** Applies a message of another node. */
  receive (from: string, payload: unknown): void
}

/** Length to which values from responses are cut in the log, in characters. */
const maxLoggedValueLength = 40

export function createStatementRecorder ({ now, log, notifyPeers, notifyPacer, changed }: StatementRecorderOptions): StatementRecorder {
  const statements = createServerStatements()

  return {
    limit: statements.limit,
    retain: statements.retain,
    record (server, requestId, response) {
      for (const value of response.statements.unusable) log.warn('server-statement-unusable', { id: requestId, server: server.id, value: value.slice(0, maxLoggedValueLength) })
      const news = statements.record(server, response, now())
      if (news?.type === 'repeat') notifyPacer(news.limit)
      if (news?.type !== 'change') return
      log.info('server-statement', { id: requestId, server: server.id, service: server.service, requestsPerSecond: news.limit.requestsPerSecond ?? null })
      notifyPeers(news.limit)
      changed()
    },
    receive (from, payload) {
      if (!isSharedLimit(payload)) return log.warn('server-statement-unusable', { from })
      if (!statements.learn(payload, now())) return
      log.info('server-statement', { server: payload.id, requestsPerSecond: payload.requestsPerSecond ?? null, from })
      changed()
    }
  }
}
