/** Strategies of optimistic concurrency control for configuration changes. */
import type { ConfigChange, ConfigEntry } from './config-types'

/** State against which a change is checked. */
export type RevisionView = {
  /** Revision of the newest accepted change; -1 before the first. */
  readonly revision: number
  entry (key: string): ConfigEntry | undefined
}

export interface ConcurrencyControl {
  readonly name: string
  /** Whether rules between keys are validated on the whole resulting configuration. */
  readonly validatesResult: boolean
  /** @returns the first key at which the change conflicts with a newer one, or undefined */
  conflictingKey (change: ConfigChange, view: RevisionView): string | undefined
}

const firstNewerKey = (keys: readonly string[], change: ConfigChange, view: RevisionView): string | undefined =>
  keys.find(key => (view.entry(key)?.revision ?? -1) > change.base)

const sortedWrites = (change: ConfigChange): string[] => Object.keys(change.writes).sort()

/** Compare-and-set on the whole document: any newer change conflicts. */
export class WholeDocumentControl implements ConcurrencyControl {
  readonly name = 'whole document'
  readonly validatesResult = true

  conflictingKey (change: ConfigChange, view: RevisionView): string | undefined {
    if (view.revision <= change.base) {
      return undefined
    }
    const keys = sortedWrites(change)
    return firstNewerKey(keys, change, view) ?? keys[0]
  }
}

/** The first committer wins per key; rules between keys are checked by the writer only. */
export class PerKeyControl implements ConcurrencyControl {
  readonly name = 'per key'
  readonly validatesResult = false

  conflictingKey (change: ConfigChange, view: RevisionView): string | undefined {
    return firstNewerKey(sortedWrites(change), change, view)
  }
}

/** The first committer wins per written or read key, and the whole resulting configuration must be valid. */
export class PerKeyReadSetControl implements ConcurrencyControl {
  readonly name = 'per key with read set and whole validation'
  readonly validatesResult = true

  conflictingKey (change: ConfigChange, view: RevisionView): string | undefined {
    return firstNewerKey(sortedWrites(change), change, view) ?? firstNewerKey([...change.reads].sort(), change, view)
  }
}
