/** Values of the configuration stream and of its reduced state. */
import type { ChangeRecord } from '@yuccawharf/schema'

/** Value of a key; null marks a deleted key, kept so that its revision still causes conflicts. */
export type ConfigValue = unknown

export type ConfigEntry = { revision: number, value: ConfigValue }

/** A problem with a configuration, at a key. */
export type ConfigFinding = { key: string, detail: string }

/** Result of a change, the same on every node. */
export type ChangeOutcome =
  | { type: 'accepted', revision: number }
  /** `theirs` is in effect since `revision`; `yours` is undefined for a key that was only read. */
  | { type: 'conflict', key: string, yours: ConfigValue | undefined, theirs: ConfigValue | undefined, revision: number }
  | { type: 'invalid', findings: ConfigFinding[] }
  /** An earlier record had the same id; its outcome applies. */
  | { type: 'duplicate', first: number }

/** Read access to a configuration. */
export type ConfigView = {
  /** @returns undefined for a missing or deleted key */
  get (key: string): ConfigValue | undefined
  keys (): Iterable<string>
}

/**
 * Validates a configuration that differs from a valid one only in some keys.
 *
 * @param next - the whole configuration after the change
 * @param changed - keys that the change wrote
 * @returns all findings; empty when the configuration is valid
 */
export type ConfigValidator = (next: ConfigView, changed: readonly string[]) => ConfigFinding[]

/** State as plain data, for snapshots and peers. */
export type ConfigState = {
  /** Offset of the next record to reduce. */
  position: number
  entries: { key: string, revision: number, value: ConfigValue }[]
  /** Ids of recent changes with the offset of the first record that carried each. */
  ids: { id: string, offset: number }[]
}

export type ConfigChange = ChangeRecord
