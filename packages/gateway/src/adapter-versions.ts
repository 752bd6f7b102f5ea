/** Versions of adapters that were announced. Versions only rise; a restored store may have an earlier one for a while. */
import type { AdapterVersion } from './cluster-types'
import { cacheScope } from './prompt-cache'
import { createVersionHistory, type VersionHistory } from './version-history'

export type AdapterVersions = {
  /**
   * @param at - earliest time of the announcement in ms, or -Infinity if it may have been long ago
   * @returns whether the version is newer than the one known before
   */
  add (version: AdapterVersion, at: number, now: number): boolean
  /** @param scope - model and adapter */
  newest (scope: string): number | undefined
  /**
   * Version that a request names to its engine, which refuses it if it has another one. The owner of
   * the engine may have heard of fewer versions than the node that sends the request.
   *
   * @param granted - version that the engine has according to its owner, if the owner knows
   */
  versionToName (scope: string, granted: number | undefined, now: number): number | undefined
}

/** Time from sending a request to its first event for which the new version must be in use, in ms. It is shorter than the owners' margin, so that a request that an owner grants in time is sent as granted. */
const namingMarginMs = 1000

/** @param versionMs - time within which a new version must be in use everywhere, in ms */
export function createAdapterVersions (versionMs: number): AdapterVersions {
  const histories = new Map<string, VersionHistory>()
  return {
    add ({ model, adapter, version }, at, now) {
      const scope = cacheScope({ model, adapter })
      const history = histories.get(scope) ?? createVersionHistory()
      histories.set(scope, history)
      return history.announce(version, at, now)
    },
    newest: scope => histories.get(scope)?.newest(),
    versionToName (scope, granted, now) {
      const history = histories.get(scope)
      const required = history?.newestAt(now - versionMs + namingMarginMs)
      return required === undefined || (granted ?? -Infinity) >= required ? granted : history!.newest()
    }
  }
}
