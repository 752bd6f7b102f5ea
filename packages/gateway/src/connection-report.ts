/** Bounds the connections of a node's servers, and reports how many are open and which were closed to make room. */
import { sharedReads, type ClosedConnection, type ServerBounds, type SharedReads } from '@yuccawharf/clients'
import type { ConnectionLimits, ServerName } from './connection-limits'
import type { DecisionLog } from './decision-log'
import type { GatewayMetrics } from './gateway-metrics'

export type ConnectionReport = {
  bounds (server: ServerName): ServerBounds
  /** Updates the gauge and logs what was closed since the last check. */
  check (): void
}

/** @param readOverheadBytes - applies to all servers of the process; see `ReadSharesConfig` */
export function createConnectionReport (limits: ConnectionLimits, log: DecisionLog, metrics: GatewayMetrics, readOverheadBytes?: number, reads: Pick<SharedReads, 'configure' | 'waiting' | 'takeStopped'> = sharedReads): ConnectionReport {
  if (readOverheadBytes !== undefined) reads.configure({ overheadBytes: readOverheadBytes })
  const open = new Map<ServerName, number>()
  const closed = new Map<ServerName, Record<ClosedConnection, number>>()

  return {
    bounds: server => ({
      maxConnections: limits[server],
      connectionsChanged (count) { open.set(server, count) },
      closedForRoom (connection) {
        const counts = closed.get(server) ?? { idle: 0, receiving: 0, new: 0 }
        closed.set(server, counts)
        counts[connection] += 1
      }
    }),
    check () {
      metrics.gauge('client_connections', open.get('front') ?? 0)
      metrics.gauge('waiting_reads', reads.waiting())
      const stopped = reads.takeStopped()
      if (stopped > 0) log.warn('reads-shared', { stopped, waiting: reads.waiting() })
      for (const [server, counts] of closed) {
        log.warn('connections-closed', { server, idle: counts.idle, receiving: counts.receiving, refused: counts.new, open: open.get(server), maxConnections: limits[server] })
      }
      closed.clear()
    }
  }
}
