/** Newest version of each replaced adapter. Versions only rise; a restored store may have an earlier one for a while. */
import type { AdapterVersion } from './cluster-types'
import { cacheScope } from './prompt-cache'

export type AdapterVersions = {
  /** @returns whether the version is newer than the one known before */
  add (version: AdapterVersion): boolean
  /** @param scope - model and adapter */
  newest (scope: string): number | undefined
}

export function createAdapterVersions (): AdapterVersions {
  const versions = new Map<string, number>()
  return {
    add ({ model, adapter, version }) {
      const scope = cacheScope({ model, adapter })
      if ((versions.get(scope) ?? -Infinity) >= version) return false
      versions.set(scope, version)
      return true
    },
    newest: scope => versions.get(scope)
  }
}
