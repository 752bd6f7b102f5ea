/** Table output of the benchmark. */
import type { Comparison } from './compare'

const columns = ['policy', 'class', 'n', 'attained', 'refused', 'stall p50', 'p95', 'p99 ms', 'total s', 'first p95', 'longest ms', 'batch', 'loads', 'evict', 'reload<1m', 'unfinished', 'end s']

const rowsOf = ({ results }: Comparison): string[][] => Object.entries(results).flatMap(([policy, result]) =>
  Object.entries(result.classes).map(([name, cls], index) => [
    index === 0 ? policy : '',
    name,
    cls.requests,
    cls.attained.toFixed(3),
    cls.refused,
    cls.stallP50Ms,
    cls.stallP95Ms,
    cls.stallP99Ms,
    cls.stallSeconds.toFixed(0),
    cls.firstTokenP95Ms,
    cls.longestWaitMs,
    ...(index === 0 ? [result.batchEfficiency.toFixed(3), result.loads, result.evictions, result.reloadsWithinMinute, result.unfinished, result.endSeconds] : ['', '', '', '', '', ''])
  ].map(String)))

/** @returns one run of all policies as aligned text */
export const formatTable = (comparison: Comparison): string => {
  const rows = [columns, ...rowsOf(comparison)]
  const widths = columns.map((_, column) => Math.max(...rows.map((row) => row[column]!.length)))
  const lines = rows.map((row) => row.map((cell, column) => column < 2 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  ').trimEnd())
  return [`${comparison.workload}, seed ${comparison.seed}`, ...lines].join('\n')
}
