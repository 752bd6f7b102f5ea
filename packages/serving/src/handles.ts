/** Handles: names of loaded adapters, `ADAPTER@VERSION~TERM.COUNTER`, unique per load. */

export type ParsedHandle = { adapter: string, version: string, term: number, counter: number }

const handlePattern = /^(.+)@([^@~]+)~(-?\d+)\.(\d+)$/

/**
 * @param term fencing token of the owner that issues the load
 * @param counter number of the load within the term
 */
export const formatHandle = (adapter: string, version: string, term: number, counter: number): string =>
  `${adapter}@${version}~${term}.${counter}`

/** @returns undefined when the text is not a handle */
export const parseHandle = (handle: string): ParsedHandle | undefined => {
  const match = handlePattern.exec(handle)
  if (match === null) {
    return undefined
  }
  const [, adapter = '', version = '', term, counter] = match
  return { adapter, version, term: Number(term), counter: Number(counter) }
}

export const adapterKey = (adapter: string, version: string): string => `${adapter}@${version}`
