/** Line numbers of the keys of a TOML file, for findings about their values. */

const keyPart = '(?:"(?:[^"\\\\]|\\\\.)*"|\'[^\']*\'|[A-Za-z0-9_-]+)'
const dottedKey = `${keyPart}(?:\\s*\\.\\s*${keyPart})*`
const tableLine = new RegExp(`^\\s*\\[\\[?\\s*(${dottedKey})\\s*\\]`)
const keyLine = new RegExp(`^\\s*(${dottedKey})\\s*=`)
const parts = new RegExp(keyPart, 'g')

function unquote (part: string): string {
  if (part.startsWith("'")) return part.slice(1, -1)
  if (!part.startsWith('"')) return part
  try {
    return JSON.parse(part) as string
  } catch {
    return part.slice(1, -1)
  }
}

function splitKey (key: string): string[] {
  return (key.match(parts) ?? []).map(unquote)
}

/** Whether the line opens or closes a multi-line string: it has an odd number of the delimiters. */
function togglesString (line: string): boolean {
  return ['"""', "'''"].some(quote => line.split(quote).length % 2 === 0)
}

/**
 * Finds the first line of each key and table. Keys inside inline tables have no entry.
 * @returns line numbers, from 1, by the path as JSON
 */
export function findLines (text: string): Map<string, number> {
  const lines = new Map<string, number>()
  let table: string[] = []
  let insideString = false
  const recordLine = (path: string[], line: number): void => {
    const key = JSON.stringify(path)
    if (!lines.has(key)) lines.set(key, line)
  }
  text.split(/\r?\n/).forEach((line, at) => {
    const wasInside = insideString
    if (togglesString(line)) insideString = !insideString
    if (wasInside) return
    const header = tableLine.exec(line)?.[1]
    if (header !== undefined) {
      table = splitKey(header)
      table.forEach((_part, length) => recordLine(table.slice(0, length + 1), at + 1))
      return
    }
    const key = keyLine.exec(line)?.[1]
    if (key === undefined) return
    const path = splitKey(key)
    path.forEach((_part, length) => recordLine([...table, ...path.slice(0, length + 1)], at + 1))
  })
  return lines
}

/** @returns the line of a path or, for a missing value or one in an inline table, of its closest known parent */
export function lineOf (lines: Map<string, number>, path: string[]): number | undefined {
  for (let length = path.length; length > 0; length--) {
    const line = lines.get(JSON.stringify(path.slice(0, length)))
    if (line !== undefined) return line
  }
  return undefined
}
