/**
 * Settings of a node: parses TOML, validates it against the schema, checks rules that the schema
 * can't express and fills in the defaults. All findings are reported together.
 */
import { isIP } from 'node:net'
import { settingsReference, validateSettings, type EngineSettings, type LimitSettings, type LoggingSettings, type MetricsSettings, type NodeSettings, type PlatformSettings, type ServiceSettings, type Settings } from '@yuccawharf/schema'
// The package's main file requires tslib, which it does not declare.
import type { Result } from 'ts-results/result.js'
import { parseToml, readTomlFile, schemaFaults, valueAt, type Fault, type TomlFinding } from './toml-findings'

export { formatFinding, type TomlFinding } from './toml-findings'

/** Settings in which values missing from the file have their defaults. */
export type CompleteSettings = {
  node: Required<NodeSettings>
  platform: Required<PlatformSettings>
  limits: Required<LimitSettings>
  engines: Record<string, Required<EngineSettings>>
  engineDefaults: Required<EngineSettings>
  services: Record<string, Required<ServiceSettings>>
  /** Absent when no metrics are sent. */
  metrics?: Required<MetricsSettings>
  log: Required<LoggingSettings>
}

function tableDefaults (table: string): Record<string, unknown> {
  const prefix = `${table}.`
  const members = settingsReference.filter(entry => entry.path.startsWith(prefix) && entry.default !== undefined)
  return Object.fromEntries(members.map(entry => [entry.path.slice(prefix.length), structuredClone(entry.default)]))
}

function complete (settings: Settings): CompleteSettings {
  const fill = <Table>(table: string, value: object | undefined, extraDefaults: object = {}): Required<Table> => ({ ...tableDefaults(table), ...extraDefaults, ...value }) as Required<Table>
  const fillEach = <Table>(table: string, values: Record<string, object> | undefined, extraDefaults: object = {}): Record<string, Required<Table>> => {
    return Object.fromEntries(Object.entries(values ?? {}).map(([name, value]) => [name, fill<Table>(table, value, extraDefaults)]))
  }
  const engineDefaults = fill<EngineSettings>('engineDefaults', settings.engineDefaults)
  return {
    node: fill<NodeSettings>('node', settings.node),
    platform: fill<PlatformSettings>('platform', settings.platform),
    limits: fill<LimitSettings>('limits', settings.limits),
    engines: fillEach<EngineSettings>('engines.*', settings.engines, engineDefaults),
    engineDefaults,
    services: fillEach<ServiceSettings>('services.*', settings.services),
    ...(settings.metrics === undefined ? {} : { metrics: fill<MetricsSettings>('metrics', settings.metrics) }),
    log: fill<LoggingSettings>('log', settings.log)
  }
}

/** @returns host and port of an address such as 10.1.2.3:7400 or [fd00::1]:7400, or undefined */
export function splitAddress (address: string): { host: string, port: number } | undefined {
  const [, bracketed, plain, digits] = /^(?:\[([^\]]*)\]|([^:]*)):([0-9]{1,5})$/.exec(address) ?? []
  const host = bracketed ?? plain
  if (host === undefined || isIP(host) !== (bracketed === undefined ? 4 : 6)) return undefined
  return { host, port: Number(digits) }
}

function addressFaults (path: string[], address: string): Fault[] {
  const parts = splitAddress(address)
  if (parts === undefined) return [{ path, message: 'is not an IP address with a port' }]
  const faults: Fault[] = []
  if (parts.port < 1 || parts.port > 65535) faults.push({ path, message: `has port ${parts.port}, which is not between 1 and 65535` })
  if (parts.host === '0.0.0.0' || parts.host === '::') faults.push({ path, message: 'is the unspecified address, which others cannot connect to' })
  return faults
}

function urlFaults (path: string[], text: string): Fault[] {
  if (!URL.canParse(text)) return [{ path, message: 'is not a URL' }]
  const { search, hash, username } = new URL(text)
  return search !== '' || hash !== '' || username !== '' ? [{ path, message: 'has a query, fragment or user name, which a base URL must not have' }] : []
}

function limitFaults (value: unknown): Fault[] {
  const limitOf = (name: string): unknown => valueAt(value, ['limits', name]) ?? tableDefaults('limits')[name]
  const perAdapter = limitOf('queuedPerAdapter')
  const perEngine = limitOf('queuedPerEngine')
  if (typeof perAdapter !== 'number' || typeof perEngine !== 'number' || perAdapter <= perEngine) return []
  return [{ path: ['limits', 'queuedPerAdapter'], message: `is ${perAdapter}, more than limits.queuedPerEngine (${perEngine})` }]
}

function routeFaults (value: unknown): Fault[] {
  return Object.keys(valueAt(value, ['services']) ?? {}).flatMap(group => {
    const path = ['services', group, 'nonIdempotent']
    const routes = valueAt(value, path)
    if (!Array.isArray(routes)) return []
    const repeated = new Set(routes.filter((route, at) => routes.indexOf(route) !== at))
    return [...repeated].map(route => ({ path, message: `names ${JSON.stringify(route)} more than once` }))
  })
}

/** Checks rules that the schema can't express. The value may also be invalid by the schema. */
function crossFieldFaults (value: unknown): Fault[] {
  const faults = [...limitFaults(value), ...routeFaults(value)]
  const checkText = (path: string[], check: (path: string[], text: string) => Fault[]): void => {
    const text = valueAt(value, path)
    if (typeof text === 'string') faults.push(...check(path, text))
  }
  checkText(['node', 'address'], addressFaults)
  for (const name of ['log', 'instances', 'weightStore']) checkText(['platform', name], urlFaults)
  checkText(['metrics', 'host'], (path, host) => isIP(host) === 0 ? [{ path, message: 'is not an IP address' }] : [])
  return faults
}

/** All faults of a parsed file; a path with a schema fault isn't reported again. */
function allFaults (value: unknown): Fault[] {
  const invalid = schemaFaults(validateSettings, value)
  const reported = new Set(invalid.map(fault => JSON.stringify(fault.path)))
  return [...invalid, ...crossFieldFaults(value).filter(fault => !reported.has(JSON.stringify(fault.path)))]
}

/**
 * Parses settings from TOML text.
 * @param file - file name for the findings
 * @returns the complete settings, or all findings
 */
export function parseSettings (text: string, file: string): Result<CompleteSettings, TomlFinding[]> {
  return parseToml(text, file, allFaults, settingsReference).map(value => complete(value as Settings))
}

/** Loads a settings file. @returns the complete settings, or all findings */
export function loadSettings (file: string): Result<CompleteSettings, TomlFinding[]> {
  return readTomlFile(file).andThen(text => parseSettings(text, file))
}
