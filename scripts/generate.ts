/**
 * Generates TypeScript types, standalone validators and the settings reference from
 * `schema/*.schema.json` into `packages/schema/src/generated` and `docs/settings.md`, and the same for
 * the platform's formats from `platform/schema` into `platform/src/generated`, without a reference.
 * With `--check` it writes nothing and exits 1 when the committed files are out of date.
 */
import { existsSync, mkdirSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { basename, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Ajv, type AnySchemaObject } from 'ajv'
import standaloneModule from 'ajv/dist/standalone/index.js'
import { compile } from 'json-schema-to-typescript'
import { settingsPage, settingsReference } from './settings-reference'

const root = fileURLToPath(new URL('..', import.meta.url))
const productSchemas: Target = { schemaDir: join(root, 'schema'), outDir: join(root, 'packages/schema/src/generated') }
/** The platform's formats are generated into its own folder, so that no package imports them. */
const platformSchemas: Target = { schemaDir: join(root, 'platform/schema'), outDir: join(root, 'platform/src/generated') }
const settingsPagePath = join(root, 'docs/settings.md')
const banner = '/* Generated from schema/ by `npm run generate`. Do not edit. */'
// ajv's standalone module is CommonJS, so some loaders wrap its default export.
const standaloneCode = ((standaloneModule as unknown as { default?: typeof standaloneModule }).default ?? standaloneModule)

type GeneratedFile = { name: string, text: string }
type Target = { schemaDir: string, outDir: string }

function exportName (file: string): string {
  const words = basename(file, '.schema.json').split('-')
  return words.map(word => word.charAt(0).toUpperCase() + word.slice(1)).join('')
}

/** @returns the names of the definitions with their own validator (`"x-validator": true`) */
function validatedDefinitions (schema: AnySchemaObject): string[] {
  const definitions = (schema.definitions ?? {}) as Record<string, AnySchemaObject>
  return Object.keys(definitions).filter(name => definitions[name]?.['x-validator'] === true)
}

async function generateTypes (file: string, schema: AnySchemaObject): Promise<GeneratedFile> {
  const text = await compile(schema as never, exportName(file), {
    bannerComment: banner,
    additionalProperties: false,
    unreachableDefinitions: true,
    format: false
  })
  return { name: `${basename(file, '.schema.json')}.ts`, text }
}

function generateValidators (schemas: Map<string, AnySchemaObject>): GeneratedFile[] {
  const ajv = new Ajv({ allErrors: true, discriminator: true, strictTypes: false, allowUnionTypes: true, code: { source: true, esm: true, lines: true } })
  ajv.addVocabulary(['x-validator', 'x-unit', 'x-allowed'])
  const names: Record<string, string> = {}
  for (const [file, schema] of schemas) {
    const id = basename(file, '.schema.json')
    ajv.addSchema(schema, id)
    if (schema['x-validator'] === true) names[`validate${exportName(file)}`] = id
    for (const definition of validatedDefinitions(schema)) names[`validate${definition}`] = `${id}#/definitions/${definition}`
  }
  const code = standaloneCode(ajv, names)
  // The standalone code requires ajv's runtime helpers with CommonJS calls even in ESM mode.
  const imports: string[] = []
  const text = code.replace(/require\("(ajv[^"]+)"\)(\.default)?/g, (_match, path: string, member?: string) => {
    const local = `runtime${imports.length}`
    imports.push(`import ${local} from '${path}.js'`)
    return member === undefined ? local : `(${local}.default ?? ${local})`
  })
  const declarations = Object.keys(names).map(name => `export const ${name}: Validator`)
  const declarationText = `${banner}\nimport type { ErrorObject } from 'ajv'\n\nexport type Validator = ((data: unknown) => boolean) & { errors?: ErrorObject[] | null }\n${declarations.join('\n')}\n`
  return [
    { name: 'validators.js', text: `${banner}\n${imports.join('\n')}\n${text.replace(/^"use strict";\n?/, '')}\n` },
    { name: 'validators.d.ts', text: declarationText }
  ]
}

function generateReference (settings: AnySchemaObject, config: AnySchemaObject): GeneratedFile {
  const type = 'export type SettingReference = { path: string, description: string, allowed: string, unit?: string, default?: unknown, required: boolean }'
  const table = (name: string, schema: AnySchemaObject): string => {
    const rows = settingsReference(schema).map(entry => `  ${JSON.stringify(entry)}`)
    return `export const ${name}: readonly SettingReference[] = [\n${rows.join(',\n')}\n]`
  }
  return { name: 'reference.ts', text: `${banner}\n${type}\n${table('settingsReference', settings)}\n${table('configReference', config)}\n` }
}

function readSchemas ({ schemaDir }: Target): Map<string, AnySchemaObject> {
  const files = readdirSync(schemaDir).filter(file => file.endsWith('.schema.json')).sort()
  return new Map(files.map(file => [file, JSON.parse(readFileSync(join(schemaDir, file), 'utf8')) as AnySchemaObject]))
}

async function generate (schemas: Map<string, AnySchemaObject>, extra: GeneratedFile[]): Promise<GeneratedFile[]> {
  const types = await Promise.all([...schemas].map(([file, schema]) => generateTypes(file, structuredClone(schema))))
  const modules = [...[...schemas.keys()].map(file => basename(file, '.schema.json')), ...extra.map(({ name }) => basename(name, '.ts'))]
  const index = modules.map(name => `export * from './${name}'`)
  return [
    ...types,
    ...generateValidators(schemas),
    ...extra,
    { name: 'index.ts', text: `${banner}\n${index.join('\n')}\nexport * from './validators.js'\n` }
  ]
}

function differingFiles ({ outDir }: Target, files: GeneratedFile[]): string[] {
  const expected = new Set(files.map(file => file.name))
  const stale = existsSync(outDir) ? readdirSync(outDir).filter(name => !expected.has(name)) : []
  const changed = files.filter(({ name, text }) => {
    const path = join(outDir, name)
    return !existsSync(path) || readFileSync(path, 'utf8') !== text
  })
  return [...changed.map(file => file.name), ...stale]
}

const schemas = readSchemas(productSchemas)
const settingsSchema = schemas.get('settings.schema.json')!
const reference = generateReference(settingsSchema, schemas.get('config.schema.json')!)
const outputs: [Target, GeneratedFile[]][] = [
  [productSchemas, await generate(schemas, [reference])],
  [platformSchemas, await generate(readSchemas(platformSchemas), [])]
]
const page = settingsPage(settingsReference(settingsSchema), String(settingsSchema.description))
if (process.argv.includes('--check')) {
  const differing = outputs.flatMap(([target, files]) => differingFiles(target, files))
  if (!existsSync(settingsPagePath) || readFileSync(settingsPagePath, 'utf8') !== page) differing.push('docs/settings.md')
  if (differing.length > 0) {
    console.error(`generated code is out of date, run "npm run generate": ${differing.join(', ')}`)
    process.exitCode = 1
  }
} else {
  for (const [{ outDir }, files] of outputs) {
    mkdirSync(outDir, { recursive: true })
    for (const { name, text } of files) writeFileSync(join(outDir, name), text)
  }
  writeFileSync(settingsPagePath, page)
}
