/** Tables in plain text. */

/** @returns lines with columns padded to their widest cell */
export function formatTable (head: string[], rows: string[][]): string[] {
  const widths = head.map((title, column) => Math.max(title.length, ...rows.map(row => (row[column] ?? '').length)))
  return [head, ...rows].map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
}
