/** Checks of single fields of messages and records. */

export type Fields = Record<string, unknown>

export function isFields (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null
}

export const isText = (value: unknown): value is string => typeof value === 'string'
export const isName = (value: unknown): value is string => isText(value) && value !== ''
export const isNumber = (value: unknown): value is number => Number.isFinite(value)
export const isCount = (value: unknown): value is number => isNumber(value) && value >= 0
/** Whether the value is a position in a topic, a version or a time in whole ms. */
export const isPosition = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0

export function isListOf<Item> (value: unknown, isItem: (item: unknown) => item is Item): value is Item[] {
  return Array.isArray(value) && value.every(isItem)
}

export const isTextList = (value: unknown): value is string[] => isListOf(value, isText)

export type FieldChecks<Type> = { [Field in keyof Type]-?: (value: unknown) => boolean }

/** @returns a check of an object whose fields all pass theirs */
export function fieldsCheck<Type> (checks: FieldChecks<Type>): (value: unknown) => value is Type {
  const entries = Object.entries(checks) as [string, (value: unknown) => boolean][]
  return (value): value is Type => isFields(value) && entries.every(([field, check]) => check(value[field]))
}

/** @returns a check that an absent field passes too */
export function optional (check: (value: unknown) => boolean): (value: unknown) => boolean {
  return value => value === undefined || check(value)
}

export function isOneOf (values: readonly unknown[]): (value: unknown) => boolean {
  return value => values.includes(value)
}
