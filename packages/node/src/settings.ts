/**
 * Settings of one node: reads TOML, validates it against the schema, fills the defaults and checks
 * what the schema cannot express. All findings are reported together.
 */
import { readFileSync } from 'node:fs'
import { isIP } from 'node:net'
import { settingsReference, validateSettings, type EngineSettings, type LimitSettings, type LoggingSettings, type MetricsSettings, type NodeSettings, type PlatformSettings, type ServiceSettings, type Settings } from '@yuccawharf/schema'
import { parse, TomlError } from 'smol-toml'
// The package's main file requires tslib, which it does not declare.
import { Err, Ok, type Result } from 'ts-results/result.js'
import { findLines, lineOf } from './settings-lines'

/** One fault of a settings file. */
export type SettingsFinding = {
  file: string
  /** Place in the file, for example limits.drainMs; empty for the whole file. */
  path: string
  /** Line from 1, where it is known. */
  line?: number
  message: string
  /** What is allowed at this place. */
  allowed?: string
}

/** Settings in which each value that the file left out has its default. */
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

type Fault = { path: string[], message: string }

const maxFileBytes = 1024 * 1024

/** The reference entry of a path; names that operators choose match `*`. */
function referenceOf (path: string[]): typeof settingsReference[number] | undefined {
  const parts = path.filter(part => !/^\d+$/.test(part))
  return settingsReference.find(entry => {
    const pattern = entry.path.split('.')
    return pattern.length === parts.length && pattern.every((part, at) => part === '*' || part === parts[at])
  })
}

function memberNames (path: string[]): string[] {
  const prefix = path.length === 0 ? '' : `${referenceOf(path)?.path ?? path.join('.')}.`
  const members = settingsReference.filter(entry => entry.path.startsWith(prefix))
  return members.map(entry => entry.path.slice(prefix.length)).filter(name => name !== '*' && !name.includes('.'))
}

function allowedAt (path: string[]): string | undefined {
  const reference = referenceOf(path)
  if (reference === undefined) {
    const names = memberNames(path.slice(0, -1))
    return names.length > 0 ? `one of ${names.join(', ')}` : undefined
  }
  return reference.unit === undefined ? reference.allowed : `${reference.allowed} (${reference.unit})`
}

function quoted (name: string): string {
  return /^[A-Za-z0-9_-]+$/.test(name) ? name : JSON.stringify(name)
}

function schemaFaults (value: unknown): Fault[] {
  if (validateSettings(value)) return []
  return (validateSettings.errors ?? []).map(err => {
    const path = err.instancePath.split('/').slice(1).map(part => part.replaceAll('~1', '/').replaceAll('~0', '~'))
    if (err.keyword === 'required') return { path: [...path, String(err.params.missingProperty)], message: 'is missing' }
    if (err.keyword === 'additionalProperties') return { path: [...path, String(err.params.additionalProperty)], message: 'is not a setting' }
    if (err.keyword === 'pattern') return { path, message: 'has the wrong form' }
    if (err.keyword === 'enum') return { path, message: 'is not an allowed value' }
    return { path, message: err.message ?? 'is not valid' }
  })
}

function tableDefaults (table: string): Record<string, unknown> {
  const prefix = `${table}.`
  const members = settingsReference.filter(entry => entry.path.startsWith(prefix) && entry.default !== undefined)
  return Object.fromEntries(members.map(entry => [entry.path.slice(prefix.length), structuredClone(entry.default)]))
}

function complete (settings: Settings): CompleteSettings {
  const fill = <Table>(table: string, value: object | undefined, more: object = {}): Required<Table> => ({ ...tableDefaults(table), ...more, ...value }) as Required<Table>
  const fillEach = <Table>(table: string, values: Record<string, object> | undefined, more: object = {}): Record<string, Required<Table>> => {
    return Object.fromEntries(Object.entries(values ?? {}).map(([name, value]) => [name, fill<Table>(table, value, more)]))
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

function valueAt (value: unknown, path: string[]): unknown {
  let current = value
  for (const part of path) {
    if (typeof current !== 'object' || current === null || !Object.hasOwn(current, part)) return undefined
    current = (current as Record<string, unknown>)[part]
  }
  return current
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

/** Faults that the schema cannot express. The value may have faults of the schema as well. */
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

/** All faults of a parsed file; a place with a fault of the schema has no others. */
function allFaults (value: unknown): Fault[] {
  const invalid = schemaFaults(value)
  const reported = new Set(invalid.map(fault => JSON.stringify(fault.path)))
  return [...invalid, ...crossFieldFaults(value).filter(fault => !reported.has(JSON.stringify(fault.path)))]
}

function syntaxFinding (file: string, err: unknown): SettingsFinding {
  const message = err instanceof Error ? err.message.split('\n')[0]! : 'cannot be read'
  return { file, path: '', message, ...(err instanceof TomlError ? { line: err.line } : {}) }
}

/**
 * Reads settings from TOML text.
 * @param file - name for the findings
 * @returns the complete settings, or all findings
 */
export function parseSettings (text: string, file: string): Result<CompleteSettings, SettingsFinding[]> {
  let value: unknown
  try {
    value = parse(text)
  } catch (err) {
    return Err([syntaxFinding(file, err)])
  }
  const faults = allFaults(value)
  if (faults.length === 0) return Ok(complete(value as Settings))
  const lines = findLines(text)
  const findings = faults.map(({ path, message }) => {
    const line = lineOf(lines, path)
    const allowed = allowedAt(path)
    return { file, path: path.map(quoted).join('.'), ...(line === undefined ? {} : { line }), message, ...(allowed === undefined ? {} : { allowed }) }
  })
  return Err(findings.sort((left, right) => (left.line ?? 0) - (right.line ?? 0)))
}

/** Reads a settings file. @returns the complete settings, or all findings */
export function loadSettings (file: string): Result<CompleteSettings, SettingsFinding[]> {
  let bytes: Buffer
  try {
    bytes = readFileSync(file)
  } catch (err) {
    return Err([{ file, path: '', message: `cannot be read: ${(err as Error).message}` }])
  }
  if (bytes.length > maxFileBytes) return Err([{ file, path: '', message: `has ${bytes.length} bytes`, allowed: `at most ${maxFileBytes} bytes` }])
  try {
    return parseSettings(new TextDecoder('utf-8', { fatal: true }).decode(bytes), file)
  } catch {
    return Err([{ file, path: '', message: 'is not valid UTF-8' }])
  }
}

/** @returns one line for a person, for example `a.toml:3: limits.drainMs must be >= 0 (allowed: integer, at least 0 (ms))` */
export function formatFinding (finding: SettingsFinding): string {
  const place = finding.line === undefined ? finding.file : `${finding.file}:${finding.line}`
  const subject = finding.path === '' ? '' : `${finding.path} `
  return `${place}: ${subject}${finding.message}${finding.allowed === undefined ? '' : ` (allowed: ${finding.allowed})`}`
}

/** @returns the settings of an engine by its instance id */
export function engineSettingsOf (settings: CompleteSettings, engine: string): Required<EngineSettings> {
  return Object.hasOwn(settings.engines, engine) ? settings.engines[engine]! : settings.engineDefaults
}

/** @returns the settings of a plain service by its group */
export function serviceSettingsOf (settings: CompleteSettings, group: string): Required<ServiceSettings> {
  return Object.hasOwn(settings.services, group) ? settings.services[group]! : tableDefaults('services.*') as Required<ServiceSettings>
}
