/** Applies the operators' records: the configuration and the versions of adapters. */
import type { AdapterVersions } from './adapter-versions'
import type { AdapterVersion, ClusterConfig } from './cluster-types'
import type { DecisionLog } from './decision-log'
import type { FeedRecord, OperatorRecord } from './platform-interface'

export type OperatorRecordsOptions = {
  now (): number
  log: DecisionLog
  versions: Pick<AdapterVersions, 'add'>
  applyConfig (config: ClusterConfig, offset: number): void
  setVersion (version: AdapterVersion, writtenAfter: number): void
}

/**
 * @returns applies records; `writtenAfter` is the time after which they were written, in ms, or -Infinity
 * if that is unknown
 */
export function createOperatorRecords ({ now, log, versions, applyConfig, setVersion }: OperatorRecordsOptions): (records: readonly FeedRecord<OperatorRecord>[], writtenAfter: number) => void {
  return (records, writtenAfter) => {
    for (const { key, offset, value } of records) {
      if (value === undefined || value.type === 'other') continue
      if (value.type === 'config') applyConfig(value.config, offset)
      else if (value.type === 'adapter-version') {
        const { model, adapter, version } = value
        if (!versions.add(value, writtenAfter, now())) continue
        log.info('adapter-version', { model, adapter, version, offset, recent: writtenAfter > -Infinity, ageMs: writtenAfter === -Infinity ? undefined : Math.round(now() - writtenAfter) })
        setVersion({ model, adapter, version }, writtenAfter)
      } else {
        // The version before a configuration that is rejected stays in force.
        const write = key === 'config' ? log.error : log.warn
        write('operator-record-unreadable', { key, offset, reason: value.reason })
      }
    }
  }
}
