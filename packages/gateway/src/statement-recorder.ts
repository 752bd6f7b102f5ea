/** Records what backend servers state in their responses, shares it with the other nodes, and logs each change. */
import type { BackendServer } from './cluster-types'
import type { DecisionLog, LogFields } from './decision-log'
import type { GatewayMetrics } from './gateway-metrics'
import type { RegistryChange, ServerStart } from './server-registry'
import { createServerStatements, isServerStart, isSharedLimit, isSharedWait, type ServerStatementsState, type SharedLimit, type SharedWait, type StatingResponse } from './server-statements'

export type StatementRecorderOptions = {
  now (): number
  log: DecisionLog
  metrics: Pick<GatewayMetrics, 'serverStatement'>
  notifyPeers (kind: 'stated-limit' | 'stated-leaving', payload: SharedLimit | ServerStart): void
  /** Tells the node that has relayed a request for how long the server wants no more from it. */
  notifyRelay (node: string, wait: SharedWait): void
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

export type StatementRecorder = Pick<ServerStatementsState, 'limit' | 'isBrittle' | 'retain'> & {
  /** @param requestId - request that the server responded to */
  record (server: BackendServer, requestId: string, response: StatingResponse): void
  /** Time for which the server wants no further requests from this node, in ms; 0 if it accepts them. */
  waitMs (server: ServerStart): number
  /** Applies a message of another node. */
  receive (from: string, kind: StatementKind, payload: unknown): void
}

/** Kinds of messages between nodes about statements. */
export type StatementKind = 'stated-limit' | 'stated-leaving' | 'stated-wait'

/** Length to which values from responses are cut in the log, in characters. */
const maxLoggedValueLength = 40

export function createStatementRecorder ({ now, log, metrics, notifyPeers, notifyRelay, notifyPacer, changed, leave }: StatementRecorderOptions): StatementRecorder {
  const statements = createServerStatements()

  /** @param source - the request or the node from which this node learned it */
  function logLimit ({ id: server, requestsPerSecond, rejectionsPerSecond }: SharedLimit, source: LogFields): void {
    metrics.serverStatement(rejectionsPerSecond !== undefined ? 'brittle' : requestsPerSecond === undefined ? 'limit-lifted' : 'limit')
    log.info('server-statement', { ...source, server, requestsPerSecond: requestsPerSecond ?? null, rejectionsPerSecond })
  }

  function logLeave ({ id: server }: ServerStart, source: LogFields): void {
    metrics.serverStatement('leaving')
    log.info('server-statement', { ...source, server, leaving: true })
  }

  function logUnusable (fields: LogFields): void {
    metrics.serverStatement('unusable')
    log.warn('server-statement-unusable', fields)
  }

  function recordLimit (server: BackendServer, source: LogFields, response: StatingResponse): void {
    const update = statements.record(server, response, now())
    if (update?.type === 'repeat') notifyPacer(update.limit)
    if (update?.type !== 'change') return
    logLimit(update.limit, source)
    notifyPeers('stated-limit', update.limit)
    changed()
  }

  function recordWait (server: ServerStart, source: LogFields, waitMs: number): void {
    if (!statements.recordWait(server, waitMs, now())) return
    metrics.serverStatement('wait')
    log.info('server-statement', { ...source, server: server.id, waitMs })
  }

  return {
    limit: statements.limit,
    isBrittle: statements.isBrittle,
    retain: statements.retain,
    waitMs: server => statements.waitMs(server, now()),
    record (server, requestId, response) {
      for (const value of response.statements.unusable) logUnusable({ id: requestId, server: server.id, value: value.slice(0, maxLoggedValueLength) })
      // Another server has the address.
      if (response.status === 421) return
      const source = { id: requestId, service: server.service }
      const { waitMs, leaving } = response.statements
      recordLimit(server, source, response)
      if (waitMs !== undefined) {
        recordWait(server, source, waitMs)
        if (response.through !== undefined) notifyRelay(response.through, { id: server.id, bornAt: server.bornAt, waitMs })
      }
      if (leaving === undefined || leave(server).length === 0) return
      logLeave(server, source)
      notifyPeers('stated-leaving', { id: server.id, bornAt: server.bornAt })
    },
    receive (from, kind, payload) {
      if (kind === 'stated-leaving' && isServerStart(payload)) {
        if (leave(payload).length > 0) logLeave(payload, { from })
      } else if (kind === 'stated-limit' && isSharedLimit(payload)) {
        if (!statements.learn(payload, now())) return
        logLimit(payload, { from })
        changed()
      } else if (kind === 'stated-wait' && isSharedWait(payload)) {
        recordWait(payload, { from }, payload.waitMs)
      } else logUnusable({ from, kind })
    }
  }
}
