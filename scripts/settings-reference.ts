/** Builds the settings reference from the schema: a table for findings and a page for operators. */
import type { AnySchemaObject } from 'ajv'

export type SettingReference = {
  /** Path in the TOML file; `*` stands for a name that the operator chooses. */
  path: string
  description: string
  /** Description of the allowed values. */
  allowed: string
  unit?: string
  default?: unknown
  required: boolean
}

type WalkState = { root: AnySchemaObject, found: SettingReference[] }

function resolve (root: AnySchemaObject, schema: AnySchemaObject): AnySchemaObject {
  if (typeof schema.$ref !== 'string') return schema
  const name = schema.$ref.replace('#/definitions/', '')
  const target = (root.definitions as Record<string, AnySchemaObject>)[name]!
  return { ...target, description: schema.description ?? target.description }
}

function bounds (schema: AnySchemaObject): string[] {
  const texts: string[] = []
  if (schema.minimum !== undefined) texts.push(`at least ${schema.minimum}`)
  if (schema.exclusiveMinimum !== undefined) texts.push(`more than ${schema.exclusiveMinimum}`)
  if (schema.maximum !== undefined) texts.push(`at most ${schema.maximum}`)
  if (schema.minLength === 1) texts.push('not empty')
  if (schema.maxLength !== undefined) texts.push(`at most ${schema.maxLength} characters`)
  if (schema.pattern !== undefined) texts.push(`matching ${schema.pattern}`)
  return texts
}

/** @returns a description of the allowed values of a schema */
function allowedValues (schema: AnySchemaObject): string {
  if (schema['x-allowed'] !== undefined) return String(schema['x-allowed'])
  if (Array.isArray(schema.enum)) return schema.enum.map(value => JSON.stringify(value)).join(' or ')
  if (schema.type === 'array') return `list of: ${allowedValues(schema.items as AnySchemaObject)}`
  const type = schema.type === 'object' ? 'table' : String(schema.type)
  return [type, ...bounds(schema)].join(', ')
}

function walk (state: WalkState, raw: AnySchemaObject, path: string, required: boolean): void {
  const schema = resolve(state.root, raw)
  if (path !== '') {
    const entry: SettingReference = { path, description: String(schema.description ?? ''), allowed: allowedValues(schema), required }
    if (schema['x-unit'] !== undefined) entry.unit = String(schema['x-unit'])
    if (schema.default !== undefined) entry.default = schema.default
    state.found.push(entry)
  }
  const prefix = path === '' ? '' : `${path}.`
  const requiredNames = new Set((schema.required ?? []) as string[])
  for (const [name, property] of Object.entries((schema.properties ?? {}) as Record<string, AnySchemaObject>)) {
    walk(state, property, prefix + name, requiredNames.has(name))
  }
  if (typeof schema.additionalProperties === 'object') walk(state, schema.additionalProperties as AnySchemaObject, `${prefix}*`, false)
}

/** @returns all settings of a schema in schema order, including tables */
export function settingsReference (schema: AnySchemaObject): SettingReference[] {
  const state: WalkState = { root: schema, found: [] }
  walk(state, schema, '', false)
  return state.found
}

function cell (text: string): string {
  return text.replaceAll('|', '\\|')
}

function row (entry: SettingReference, name: string): string {
  const unit = entry.unit === undefined ? '' : ` (${entry.unit})`
  if (entry.path.startsWith('engines.*.')) return `| \`${name}\` | ${cell(entry.description)} | ${cell(entry.allowed)}${unit} | as in \`[engineDefaults]\` |`
  const fallback = entry.default === undefined ? (entry.required ? 'required' : '') : `\`${JSON.stringify(entry.default)}\``
  return `| \`${name}\` | ${cell(entry.description)} | ${cell(entry.allowed)}${unit} | ${fallback} |`
}

/** @returns the Markdown page of the settings */
export function settingsPage (references: SettingReference[], description: string): string {
  const lines = [
    '<!-- Generated from schema/settings.schema.json by `npm run generate`. Do not edit. -->',
    '# Settings', '',
    description, '',
    '`yuccawharf check FILE...` reports all findings of a file at once, each with its place and what is allowed.',
    'In `[engines.*]` and `[services.*]` the star stands for a name of your own. An engine without a table of',
    'its own, and each value that its table leaves out, has the value of `[engineDefaults]`.'
  ]
  const isTable = (entry: SettingReference): boolean => references.some(other => other.path.startsWith(`${entry.path}.`))
  for (const table of references.filter(isTable)) {
    const prefix = `${table.path}.`
    const members = references.filter(entry => entry.path.startsWith(prefix) && !entry.path.slice(prefix.length).includes('.') && !isTable(entry))
    if (members.length === 0) continue
    lines.push('', `## \`[${table.path}]\``, '')
    if (table.description !== '') lines.push(table.description, '')
    lines.push('| name | meaning | allowed | default |', '|---|---|---|---|')
    lines.push(...members.map(entry => row(entry, entry.path.slice(prefix.length))))
  }
  return `${lines.join('\n')}\n`
}
