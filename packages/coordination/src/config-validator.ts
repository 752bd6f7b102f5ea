/** Validation of the operators' configuration: the schema of each key and the rules between keys. */
import { validateAdapterConfig, validateClassConfig, validateModelConfig, type AdapterConfig, type Validator } from '@yuccawharf/schema'
import type { ConfigFinding, ConfigValidator, ConfigView } from './config-types'

const validators: Record<string, Validator> = {
  class: validateClassConfig,
  model: validateModelConfig,
  adapter: validateAdapterConfig
}

const keyPattern = /^(class|model|adapter)\/[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/

const schemaFindings = (key: string, value: unknown): ConfigFinding[] => {
  const validator = validators[key.slice(0, key.indexOf('/'))]
  if (validator === undefined || validator(value)) {
    return []
  }
  return (validator.errors ?? []).map(error => ({
    key,
    detail: `${error.instancePath === '' ? 'the value' : error.instancePath} ${error.message ?? 'is not valid'}`
  }))
}

/**
 * Validates one key without the rules between keys.
 *
 * @param key - for example `adapter/summary`
 * @param value - undefined for a deleted key
 * @returns all findings
 */
export const validateConfigKey = (key: string, value: unknown): ConfigFinding[] => {
  if (!keyPattern.test(key)) {
    return [{ key, detail: 'the key must be class/NAME, model/NAME or adapter/NAME; a name has letters, digits, ".", "_" and "-"' }]
  }
  return value === undefined ? [] : schemaFindings(key, value)
}

const adapterModel = (view: ConfigView, key: string): string | undefined => {
  const value = view.get(key) as Partial<AdapterConfig> | undefined
  return typeof value?.model === 'string' ? value.model : undefined
}

const missingModel = (view: ConfigView, key: string): ConfigFinding[] => {
  const model = adapterModel(view, key)
  if (model === undefined || view.get(`model/${model}`) !== undefined) {
    return []
  }
  return [{ key, detail: `model "${model}" does not exist` }]
}

/** Scans all keys; needed only when a model was deleted. */
const orphanedAdapters = (view: ConfigView, deletedModels: ReadonlySet<string>): ConfigFinding[] => {
  const findings: ConfigFinding[] = []
  for (const key of view.keys()) {
    const model = key.startsWith('adapter/') ? adapterModel(view, key) : undefined
    if (model !== undefined && deletedModels.has(model)) {
      findings.push({ key, detail: `model "${model}" does not exist` })
    }
  }
  return findings
}

const deletedModelsAmong = (view: ConfigView, changed: readonly string[]): Set<string> => new Set(changed
  .filter(key => key.startsWith('model/') && view.get(key) === undefined)
  .map(key => key.slice('model/'.length)))

const byKey = (left: ConfigFinding, right: ConfigFinding): number => left.key < right.key ? -1 : Number(left.key > right.key)

/**
 * Validates the configuration. As it was valid before the change, only changed keys and keys that
 * refer to them can break a rule.
 *
 * @param next - the whole configuration after the change
 * @param changed - keys that the change wrote
 * @returns all findings, sorted by key
 */
export const validateConfig: ConfigValidator = (next, changed) => {
  const deletedModels = deletedModelsAmong(next, changed)
  const adapters = changed.filter(key => key.startsWith('adapter/') && !deletedModels.has(adapterModel(next, key) ?? ''))
  return [
    ...changed.flatMap(key => validateConfigKey(key, next.get(key))),
    ...adapters.flatMap(key => missingModel(next, key)),
    ...(deletedModels.size === 0 ? [] : orphanedAdapters(next, deletedModels))
  ].sort(byKey)
}
