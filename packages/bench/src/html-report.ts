/** HTML report of the benchmark: the table and SVG plots over time. */
import type { Comparison } from './compare'
import type { Sample } from './metrics'
import { formatTable } from './table'

const width = 860
const height = 200
const margin = 44
const colours = ['#b2182b', '#ef8a62', '#7570b3', '#1b7837', '#2166ac', '#666666']

const escape = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')

type Plot = { title: string, value: (sample: Sample) => number }

const plots: Plot[] = [
  { title: 'Requests waiting for a load', value: ({ stalled }) => stalled },
  { title: 'Requests waiting', value: ({ waiting }) => waiting },
  { title: 'Batch utilization', value: ({ batch }) => batch },
  { title: 'Loads started per 10 s', value: ({ loads }) => loads }
]

const path = (series: Sample[], value: Plot['value'], end: number, top: number): string => series
  .filter(({ seconds }) => seconds <= end)
  .map((sample, index) => {
    const x = margin + (width - 2 * margin) * sample.seconds / end
    const y = height - margin / 2 - (height - margin) * value(sample) / top
    return `${index === 0 ? 'M' : 'L'}${x.toFixed(1)} ${y.toFixed(1)}`
  })
  .join('')

const svg = ({ title, value }: Plot, { results }: Comparison, end: number): string => {
  const entries = Object.entries(results)
  const top = Math.max(1e-9, ...entries.flatMap(([, { series }]) => series.filter(({ seconds }) => seconds <= end).map(value)))
  const lines = entries.map(([name, { series }], index) =>
    `<path fill="none" stroke="${colours[index % colours.length]}" d="${path(series, value, end, top)}"><title>${escape(name)}</title></path>`)
  const legend = entries.map(([name], index) =>
    `<text x="${margin + index * 140}" y="14" fill="${colours[index % colours.length]}">${escape(name)}</text>`)
  return `<h2>${escape(title)}</h2><svg viewBox="0 0 ${width} ${height}" width="${width}" height="${height}" font-size="12">
<rect x="${margin}" y="${margin / 2}" width="${width - 2 * margin}" height="${height - margin}" fill="none" stroke="#ccc"/>
${[...lines, ...legend].join('\n')}
<text x="2" y="${margin / 2 + 10}">${top.toFixed(top < 10 ? 2 : 0)}</text><text x="${margin}" y="${height - 6}">0 s</text><text x="${width - margin - 40}" y="${height - 6}">${end} s</text></svg>`
}

/** @param seconds end of the plots */
export const formatHtml = (comparison: Comparison, seconds: number): string => `<!doctype html>
<html lang="en"><meta charset="utf-8"><title>${escape(comparison.workload)}</title>
<body style="font-family: sans-serif"><h1>${escape(comparison.workload)}, seed ${comparison.seed}</h1>
<pre>${escape(formatTable(comparison))}</pre>
${plots.map((plot) => svg(plot, comparison, seconds)).join('\n')}
</body></html>
`
