/**
 * Checks records of the store that peers pass on, in the form in which the gateway uses them. A field
 * that cannot be used would fail later, in a request or in a timer, at every node that has the record.
 */
import { isAddress } from '@yuccawharf/coordination'
import { isAccountName, sharedKey } from './accounts'
import type { Account, AccountQuota, AdapterVersion, BackendServer, ClusterConfig, EngineSpec, IngressLimits, LoadedAdapter, LoadedModel, ModelSpec, Route, RouteTarget, ServiceSpec } from './cluster-types'
import { fieldsCheck, isCount, isListOf, isName, isNumber, isOneOf, isPosition, isText, isTextList, optional } from './field-checks'
import type { FeedRecord, FleetLog, FleetRecord, OperatorRecord, ServerRecord, UnreadableRecord } from './platform-interface'

const isBoolean = (value: unknown): value is boolean => typeof value === 'boolean'

const isAdapter = fieldsCheck<LoadedAdapter>({ name: isText, version: optional(isPosition) })
const isModel = fieldsCheck<LoadedModel>({ name: isName, adapters: value => isListOf(value, isAdapter) })
const isServer = fieldsCheck<BackendServer>({
  id: isName,
  bornAt: isPosition,
  service: isName,
  version: optional(isText),
  address: isAddress,
  zone: isText,
  state: isOneOf(['ready', 'draining']),
  slots: isPosition,
  models: value => isListOf(value, isModel)
})

const isTarget = fieldsCheck<RouteTarget>({ service: isText, weight: isCount })
const isRoute = fieldsCheck<Route>({
  name: isText,
  host: isText,
  pathPrefix: isText,
  kind: isOneOf(['streaming', 'idempotent', 'non-idempotent']),
  timeoutMs: isCount,
  objectiveMs: isCount,
  patienceMs: isCount,
  pauseMs: optional(isCount),
  priority: isNumber,
  targets: value => isListOf(value, isTarget),
  attempts: isCount,
  resumable: isBoolean,
  anonymous: optional(isBoolean)
})
const isModelSpec = fieldsCheck<ModelSpec>({ name: isText, weightsMb: isCount, adapterMb: isCount })
const isEngineSpec = fieldsCheck<EngineSpec>({
  slots: isCount,
  kvTokens: isCount,
  weightsMb: isCount,
  adapterSlots: isCount,
  loadsPerSecond: isCount,
  models: value => isListOf(value, isModelSpec)
})
const isService = fieldsCheck<ServiceSpec>({ name: isText, maxConnections: isCount, engine: optional(isEngineSpec) })
const isLimits = fieldsCheck<IngressLimits>({ headerBytes: isCount, bodyBytes: isCount, headerTimeoutMs: isCount, idleTimeoutMs: isCount })
const isQuota = fieldsCheck<AccountQuota>({ unit: isOneOf(['requests', 'tokens']), ratePerSecond: isCount, burst: isCount, plainTokens: isCount })
const isAccount = fieldsCheck<Account>({ name: isAccountName, keyDigests: isTextList, priority: optional(isNumber), quota: optional(isQuota) })
const isConfig = fieldsCheck<ClusterConfig>({
  version: isPosition,
  routes: value => isListOf(value, isRoute),
  services: value => isListOf(value, isService),
  limits: isLimits,
  accounts: optional(value => isListOf(value, isAccount) && sharedKey(value) === undefined)
})
const isAdapterVersion = fieldsCheck<AdapterVersion>({ model: isName, adapter: isName, version: isPosition })

const isUnreadable = fieldsCheck<UnreadableRecord>({ type: isOneOf(['unreadable']), reason: isText })
const isServerRecord = fieldsCheck<ServerRecord & { type: 'server' }>({ type: isOneOf(['server']), sequence: isPosition, server: isServer })
const isConfigRecord = fieldsCheck<OperatorRecord & { type: 'config' }>({ type: isOneOf(['config']), config: isConfig })
const isOtherRecord = fieldsCheck<OperatorRecord & { type: 'other' }>({ type: isOneOf(['other']) })

function isOperatorValue (value: unknown): value is OperatorRecord {
  return isUnreadable(value) || isConfigRecord(value) || isOtherRecord(value) || ((value as { type?: unknown } | null)?.type === 'adapter-version' && isAdapterVersion(value))
}

const isServerValue = (value: unknown): value is ServerRecord => isUnreadable(value) || isServerRecord(value)

/** `unusable`: number of records that were left out. */
export type UsableRecords<Value> = { records: FeedRecord<Value>[], unusable: number }

function usable<Value> (records: readonly unknown[], next: number, isValue: (value: unknown, key: string) => boolean): UsableRecords<Value> {
  const isRecord = fieldsCheck<FeedRecord<Value>>({ key: isName, offset: value => isPosition(value) && value < next, value: () => true })
  const sound = records.filter(isRecord).filter(({ key, value }) => value === undefined || isValue(value, key))
  return { records: sound, unusable: records.length - sound.length }
}

/** @param next - position up to which the peer has read; it cannot have later records */
export function usableServers (records: readonly unknown[], next: number): UsableRecords<ServerRecord> {
  return usable(records, next, (value, key) => isServerValue(value) && (value.type !== 'server' || value.server.id === key))
}

export function usableOperatorRecords (records: readonly unknown[], next: number): UsableRecords<OperatorRecord> {
  return usable(records, next, isOperatorValue)
}

/** @param check - of the store's records, which have the same form */
export function usableFleetRecords (records: readonly unknown[], next: number, check: FleetLog['check']): UsableRecords<FleetRecord | UnreadableRecord> {
  return usable(records, next, value => isUnreadable(value) || check(value).type !== 'unreadable')
}
