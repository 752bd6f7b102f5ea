/** Findings in TOML files, with their path, line and the allowed values. */
import { readFileSync } from 'node:fs'
import type { SettingReference, Validator } from '@yuccawharf/schema'
import { parse, TomlError } from 'smol-toml'
// The package's main file requires tslib, which it does not declare.
import { Err, Ok, type Result } from 'ts-results/result.js'
import { findLines, lineOf } from './settings-lines'

/** One fault of a TOML file. */
export type TomlFinding = {
  file: string
  /** Path of the value, for example limits.drainMs; empty for the whole file. */
  path: string
  /** Line number from 1, if it is known. */
  line?: number
  message: string
  /** Description of the allowed values. */
  allowed?: string
}

/** A fault without its position in the text. */
export type Fault = { path: string[], message: string }

const maxFileBytes = 1024 * 1024

type Reference = readonly SettingReference[]

/** Finds the reference entry of a path; `*` in an entry matches a name chosen by the operator. */
function referenceOf (references: Reference, path: string[]): SettingReference | undefined {
  const parts = path.filter(part => !/^\d+$/.test(part))
  return references.find(entry => {
    const pattern = entry.path.split('.')
    return pattern.length === parts.length && pattern.every((part, at) => part === '*' || part === parts[at])
  })
}

function memberNames (references: Reference, path: string[]): string[] {
  const prefix = path.length === 0 ? '' : `${referenceOf(references, path)?.path ?? path.join('.')}.`
  const members = references.filter(entry => entry.path.startsWith(prefix))
  return members.map(entry => entry.path.slice(prefix.length)).filter(name => name !== '*' && !name.includes('.'))
}

function allowedAt (references: Reference, path: string[]): string | undefined {
  const reference = referenceOf(references, path)
  if (reference === undefined) {
    const names = memberNames(references, path.slice(0, -1))
    return names.length > 0 ? `one of ${names.join(', ')}` : undefined
  }
  return reference.unit === undefined ? reference.allowed : `${reference.allowed} (${reference.unit})`
}

function quoted (name: string): string {
  return /^[A-Za-z0-9_-]+$/.test(name) ? name : JSON.stringify(name)
}

type SchemaError = NonNullable<Validator['errors']>[number]

const messages: Record<string, string> = {
  pattern: 'has the wrong form',
  enum: 'is not an allowed value',
  minLength: 'is too short',
  maxLength: 'is too long',
  minItems: 'has too few items',
  uniqueItems: 'has an item twice'
}

/** Message for an `anyOf` rule. If one of several members is required, Ajv reports each as missing; the message lists them together. */
function alternativeFault (alternative: SchemaError, errors: SchemaError[]): string {
  const names = errors.filter(err => err.schemaPath.startsWith(`${alternative.schemaPath}/`) && err.keyword === 'required').map(err => String(err.params.missingProperty))
  return names.length > 0 ? `needs one of ${names.join(', ')}` : 'is not valid'
}

function faultOf (err: SchemaError, errors: SchemaError[]): Fault {
  const path = err.instancePath.split('/').slice(1).map(part => part.replaceAll('~1', '/').replaceAll('~0', '~'))
  if (err.keyword === 'required') return { path: [...path, String(err.params.missingProperty)], message: 'is missing' }
  if (err.keyword === 'additionalProperties') return { path: [...path, String(err.params.additionalProperty)], message: 'is not a setting' }
  if (err.keyword === 'anyOf') return { path, message: alternativeFault(err, errors) }
  return { path, message: messages[err.keyword] ?? err.message ?? 'is not valid' }
}

/** @returns the errors of a generated validator as faults */
export function schemaFaults (validate: Validator, value: unknown): Fault[] {
  if (validate(value)) return []
  const errors = validate.errors ?? []
  const alternatives = errors.filter(err => err.keyword === 'anyOf').map(err => `${err.schemaPath}/`)
  return errors.filter(err => !alternatives.some(prefix => err.schemaPath.startsWith(prefix))).map(err => faultOf(err, errors))
}

/** @returns the value at a path of own properties, or undefined */
export function valueAt (value: unknown, path: string[]): unknown {
  let current = value
  for (const part of path) {
    if (typeof current !== 'object' || current === null || !Object.hasOwn(current, part)) return undefined
    current = (current as Record<string, unknown>)[part]
  }
  return current
}

function syntaxFinding (file: string, err: unknown): TomlFinding {
  const message = err instanceof Error ? err.message.split('\n')[0]! : 'cannot be read'
  return { file, path: '', message, ...(err instanceof TomlError ? { line: err.line } : {}) }
}

/**
 * Parses and checks TOML text.
 * @param file - file name for the findings
 * @param faultsOf - returns all faults of the parsed value
 * @param references - descriptions of the allowed values
 * @returns the parsed value, or all findings sorted by line
 */
export function parseToml (text: string, file: string, faultsOf: (value: unknown) => Fault[], references: Reference): Result<unknown, TomlFinding[]> {
  let value: unknown
  try {
    value = parse(text)
  } catch (err) {
    return Err([syntaxFinding(file, err)])
  }
  const faults = faultsOf(value)
  if (faults.length === 0) return Ok(value)
  const lines = findLines(text)
  const findings = faults.map(({ path, message }) => {
    const line = lineOf(lines, path)
    const allowed = allowedAt(references, path)
    return { file, path: path.map(quoted).join('.'), ...(line === undefined ? {} : { line }), message, ...(allowed === undefined ? {} : { allowed }) }
  })
  return Err(findings.sort((left, right) => (left.line ?? 0) - (right.line ?? 0)))
}

/** @returns a finding about a value of a file that was already parsed */
export function findingAt (text: string, file: string, path: string[], message: string): TomlFinding {
  const line = lineOf(findLines(text), path)
  return { file, path: path.map(quoted).join('.'), ...(line === undefined ? {} : { line }), message }
}

/** Reads a UTF-8 text file of bounded size. */
export function readTomlFile (file: string): Result<string, TomlFinding[]> {
  let bytes: Buffer
  try {
    bytes = readFileSync(file)
  } catch (err) {
    return Err([{ file, path: '', message: `cannot be read: ${(err as Error).message}` }])
  }
  if (bytes.length > maxFileBytes) return Err([{ file, path: '', message: `has ${bytes.length} bytes`, allowed: `at most ${maxFileBytes} bytes` }])
  try {
    return Ok(new TextDecoder('utf-8', { fatal: true }).decode(bytes))
  } catch {
    return Err([{ file, path: '', message: 'is not valid UTF-8' }])
  }
}

/** Formats a finding as one line, for example `a.toml:3: limits.drainMs must be >= 0 (allowed: integer, at least 0 (ms))`. */
export function formatFinding (finding: TomlFinding): string {
  const location = finding.line === undefined ? finding.file : `${finding.file}:${finding.line}`
  const subject = finding.path === '' ? '' : `${finding.path} `
  return `${location}: ${subject}${finding.message}${finding.allowed === undefined ? '' : ` (allowed: ${finding.allowed})`}`
}
