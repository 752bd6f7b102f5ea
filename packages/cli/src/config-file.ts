/** Configuration files: tables class.NAME, model.NAME and adapter.NAME in TOML. */
import { parseToml, readTomlFile, schemaFaults, type Fault, type TomlFinding } from '@yuccawharf/node/toml-findings'
import { configReference, validateAdapterConfig, validateClassConfig, validateModelConfig, type Validator } from '@yuccawharf/schema'
import { stringify } from 'smol-toml'
import type { Result } from 'ts-results/result.js'

/** Values by key, for example class/draft. */
export type ConfigEntries = Map<string, unknown>

const validators: Record<string, Validator> = { class: validateClassConfig, model: validateModelConfig, adapter: validateAdapterConfig }

function isTable (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date)
}

function kindFaults (kind: string, entries: unknown): Fault[] {
  const validate = Object.hasOwn(validators, kind) ? validators[kind] : undefined
  if (validate === undefined) return [{ path: [kind], message: 'is not a kind of configuration' }]
  if (!isTable(entries)) return [{ path: [kind], message: 'must be a table' }]
  return Object.entries(entries).flatMap(([name, value]) => {
    const faults = schemaFaults(validate, value).map(({ path, message }) => ({ path: [kind, name, ...path], message }))
    return name === '' ? [...faults, { path: [kind, name], message: 'must not have an empty name' }] : faults
  })
}

function findFaults (value: unknown): Fault[] {
  const kinds = Object.entries(value as Record<string, unknown>)
  if (kinds.length === 0) return [{ path: [], message: 'holds no configuration' }]
  return kinds.flatMap(([kind, entries]) => kindFaults(kind, entries))
}

function toEntries (document: Record<string, Record<string, unknown>>): ConfigEntries {
  const pairs = Object.entries(document).flatMap(([kind, entries]) => Object.entries(entries).map(([name, value]) => [`${kind}/${name}`, value] as const))
  return new Map(pairs)
}

/** @returns the entries of a configuration file, or all findings */
export function parseConfigFile (text: string, file: string): Result<ConfigEntries, TomlFinding[]> {
  return parseToml(text, file, findFaults, configReference).map(value => toEntries(value as Record<string, Record<string, unknown>>))
}

export function loadConfigFile (file: string): Result<ConfigEntries, TomlFinding[]> {
  return readTomlFile(file).andThen(text => parseConfigFile(text, file))
}

/** @returns the entries as TOML that {@link parseConfigFile} reads */
export function formatConfig (entries: Iterable<readonly [string, unknown]>): string {
  const document: Record<string, Record<string, unknown>> = {}
  for (const [key, value] of entries) {
    const slash = key.indexOf('/')
    const table = document[key.slice(0, slash)] ??= {}
    table[key.slice(slash + 1)] = value
  }
  return stringify(document).trimEnd()
}
