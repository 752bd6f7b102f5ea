/** Records what backend servers state in their responses, and logs each change. */
import type { BackendServer } from './cluster-types'
import type { DecisionLog } from './decision-log'
import { createServerStatements, type ServerStatementsState, type StatingResponse } from './server-statements'

export type StatementRecorderOptions = {
  /** Name of this node. */
  node: string
  now (): number
  log: DecisionLog
}

export type StatementRecorder = Pick<ServerStatementsState, 'limit' | 'retain'> & {
  /** @param requestId - request that the server responded to */
  record (server: BackendServer, requestId: string, response: StatingResponse): void
}

/** Length to which values from responses are cut in the log, in characters. */
const maxLoggedValueLength = 40

export function createStatementRecorder ({ node, now, log }: StatementRecorderOptions): StatementRecorder {
  const statements = createServerStatements(node)

  return {
    limit: statements.limit,
    retain: statements.retain,
    record (server, requestId, response) {
      for (const value of response.statements.unusable) log.warn('server-statement-unusable', { id: requestId, server: server.id, value: value.slice(0, maxLoggedValueLength) })
      for (const change of statements.record(server, response, now())) log.info('server-statement', { id: requestId, service: server.service, ...change })
    }
  }
}
