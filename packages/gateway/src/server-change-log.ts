/** Log lines about changes of the registry of backend servers. */
import type { DecisionLog } from './decision-log'
import type { RegistryChange } from './server-registry'

export function logServerChanges (changes: readonly RegistryChange[], log: DecisionLog): void {
  for (const change of changes) {
    if (change.type === 'unreadable') log.warn('server-entry-unreadable', { key: change.key, reason: change.reason })
    else if (change.type === 'ignored') log.info('server-entry-ignored', { key: change.key, offset: change.offset, sequence: change.sequence, reason: change.reason })
    else log.info('server-changed', { server: change.server.id, change: change.type, service: change.server.service, address: change.server.address, zone: change.server.zone, version: change.server.version })
  }
}
