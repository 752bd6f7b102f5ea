/**
 * The software versions of each service's servers, now and until recently. While a service has had only
 * one, all of its streams began there. Otherwise nodes record where each stream began.
 */
import type { BackendServer } from './cluster-types'
import type { FeedRecord, FleetRecord, UnreadableRecord } from './platform-interface'

/** @returns the software version of the server; empty for servers that state none, which count as one version */
export function softwareVersionOf ({ version }: Pick<BackendServer, 'version'>): string {
  return version ?? ''
}

/** Versions that the fleet log is to hold for a service; none if the record is to be removed. */
export type VersionsRecord = { service: string, versions: string[] }

export type SoftwareVersions = {
  /** @param servers - all known servers, draining ones included */
  observe (servers: readonly BackendServer[], now: number): void
  /** Applies records of the fleet log. */
  apply (records: readonly FeedRecord<FleetRecord | UnreadableRecord>[], now: number): void
  /** Forgets what the fleet log held, because the store came back without some records. */
  recordsReplaced (): void
  /** @returns the only version of the service, now and within the retention; undefined if there are several or none */
  only (service: string, now: number): string | undefined
  isMixed (service: string, now: number): boolean
  /** Records of the fleet log that differ from what is known. */
  outdatedRecords (now: number): VersionsRecord[]
}

/** Time for which a version without a server counts, in ms: until no client takes up a stream that began there. */
export const versionRetentionMs = 120_000

const recordPrefix = 'service-versions/'

/** @returns key of the record of a service's versions */
export function serviceVersionsKey (service: string): string {
  return `${recordPrefix}${service}`
}

export function createSoftwareVersions (): SoftwareVersions {
  /** Time until which each version counts, by service. */
  const countsUntil = new Map<string, Map<string, number>>()
  /** Versions that the fleet log holds. */
  const recorded = new Map<string, string>()

  function add (service: string, version: string, until: number): void {
    const versions = countsUntil.get(service) ?? new Map<string, number>()
    countsUntil.set(service, versions)
    versions.set(version, Math.max(until, versions.get(version) ?? -Infinity))
  }

  function versionsOf (service: string, now: number): string[] {
    return [...countsUntil.get(service) ?? []].filter(([, until]) => until > now).map(([version]) => version).sort()
  }

  function textOf (versions: readonly string[]): string {
    return versions.length < 2 ? '' : JSON.stringify(versions)
  }

  return {
    observe (servers, now) {
      for (const [service, versions] of countsUntil) {
        // Those that are still present are added again below.
        for (const [version, until] of versions) {
          if (until === Infinity) versions.set(version, now + versionRetentionMs)
          else if (until <= now) versions.delete(version)
        }
        if (versions.size === 0) countsUntil.delete(service)
      }
      for (const server of servers) add(server.service, softwareVersionOf(server), Infinity)
    },
    apply (records, now) {
      for (const { key, value } of records) {
        if (!key.startsWith(recordPrefix)) continue
        const service = key.slice(recordPrefix.length)
        const versions = value?.type === 'service-versions' ? [...value.versions].sort() : []
        const text = textOf(versions)
        // The time since which a version has no server is not known.
        if (text !== (recorded.get(service) ?? '')) versions.forEach(version => add(service, version, now + versionRetentionMs))
        if (text === '') recorded.delete(service)
        else recorded.set(service, text)
      }
    },
    recordsReplaced: () => { recorded.clear() },
    only (service, now) {
      const versions = versionsOf(service, now)
      return versions.length === 1 ? versions[0] : undefined
    },
    isMixed: (service, now) => versionsOf(service, now).length > 1,
    outdatedRecords (now) {
      return [...new Set([...countsUntil.keys(), ...recorded.keys()])].flatMap(service => {
        const versions = versionsOf(service, now)
        return textOf(versions) === (recorded.get(service) ?? '') ? [] : [{ service, versions: versions.length < 2 ? [] : versions }]
      })
    }
  }
}
