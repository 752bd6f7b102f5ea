/** Ring buffer of the last events of a run, which are formatted only after a violation. */

type Entry = { at: number, kind: string, parts: unknown[] }

export type Trace = {
  add (at: number, kind: string, ...parts: unknown[]): void
  /** @returns the last lines, oldest first: faults, and events that mention one of the words or a request related to them */
  relevantLines (words: readonly string[], maxLines: number): string[]
}

const requestPattern = /\br\d{6}\b/g
const maxEntries = 20_000

const formatEntry = ({ at, kind, parts }: Entry): string =>
  `${at.toFixed(1).padStart(10)} ${kind} ${parts.map(part => typeof part === 'string' ? part : JSON.stringify(part)).join(' ')}`

/** @returns a trace that records nothing, for a first run; a seed that fails runs again with a trace */
export const createNullTrace = (): Trace => ({ add () {}, relevantLines: () => [] })

/** @returns an empty trace that retains the last {@link maxEntries} events */
export const createTrace = (): Trace => {
  const ring: Entry[] = []
  let next = 0

  const ordered = (): Entry[] => [...ring.slice(next), ...ring.slice(0, next)]

  return {
    add (at, kind, ...parts) {
      ring[next] = { at, kind, parts }
      next = (next + 1) % maxEntries
    },
    relevantLines (words, maxLines) {
      const lines = ordered().map(entry => ({ isFault: entry.kind === 'fault', line: formatEntry(entry) }))
      const direct = lines.filter(({ line }) => words.some(word => line.includes(word)))
      // Requests that occur in a line with one of the words, for example those dispatched to a handle.
      const related = new Set(direct.flatMap(({ line }) => line.match(requestPattern) ?? []))
      const searchWords = [...words, ...related]
      return lines
        .filter(({ isFault, line }) => isFault || searchWords.some(word => line.includes(word)))
        .slice(-maxLines)
        .map(({ line }) => line)
    }
  }
}
