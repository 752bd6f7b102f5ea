/**
 * Computes which configuration changes are accepted, from the log records alone and independently of
 * the reducer. This is the ground truth for P8.
 */
import type { ConfigChange } from '@yuccawharf/coordination'
import type { LogEntry } from '@yuccawharf/clients'

export type ConfigOracle = {
  apply (entry: LogEntry): void
  /** Revision of the newest change accepted at or before a time; -1 without one. */
  revisionAt (time: number): number
  /** Value of a key as of a revision. */
  value (key: string, revision: number): unknown
  /** Content as of a revision, in a canonical text form. */
  content (revision: number): string
  readonly revision: number
  readonly nextOffset: number
}

type Version = { revision: number, time: number, values: Map<string, unknown> }

const modelOf = (value: unknown): string => `model/${(value as { model: string }).model}`

const allReferencesExist = (values: Map<string, unknown>): boolean => [...values]
  .every(([key, value]) => !key.startsWith('adapter/') || values.has(modelOf(value)))

const contentOf = (values: Iterable<[string, unknown]>): string =>
  JSON.stringify([...values].sort(([left], [right]) => left < right ? -1 : 1))

/**
 * @param entries - pairs of key and value without deleted keys
 * @returns the canonical text form that {@link ConfigOracle.content} returns
 */
export const configContent = contentOf

/** @returns an oracle with an empty configuration; every record must be applied to it, in order */
export const createConfigOracle = (): ConfigOracle => {
  const versions: Version[] = [{ revision: -1, time: -Infinity, values: new Map() }]
  const changedAt = new Map<string, number>()
  const ids = new Set<string>()
  let next = 0

  const latest = (): Version => versions[versions.length - 1] as Version

  const hasChangedSince = (key: string, base: number): boolean => (changedAt.get(key) ?? -1) > base

  const accept = (change: ConfigChange, { offset, time }: LogEntry): void => {
    const keys = Object.keys(change.writes)
    const values = new Map(latest().values)
    for (const key of keys) {
      if (change.writes[key] === null) {
        values.delete(key)
      } else {
        values.set(key, change.writes[key])
      }
    }
    if (keys.length === 0 || [...keys, ...change.reads].some(key => hasChangedSince(key, change.base)) || !allReferencesExist(values)) {
      return
    }
    keys.forEach(key => changedAt.set(key, offset))
    versions.push({ revision: offset, time, values })
  }

  return {
    apply (entry) {
      next = entry.offset + 1
      const change = entry.value as ConfigChange
      if (change.type !== 'change' || ids.has(change.id)) {
        return
      }
      ids.add(change.id)
      accept(change, entry)
    },
    revisionAt: time => versions.findLast(version => version.time <= time)?.revision ?? -1,
    value: (key, revision) => versions.findLast(version => version.revision <= revision)?.values.get(key),
    content: revision => contentOf(versions.findLast(version => version.revision <= revision)?.values ?? []),
    get revision () { return latest().revision },
    get nextOffset () { return next }
  }
}
