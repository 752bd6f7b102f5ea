/** Path benchmark: latency and CPU cost of relaying tokens through nodes. */
import meow from 'meow'
import { measureLatency } from './path-latency'
import { measureComparison, measureThroughput, type ThroughputRow } from './path-throughput'

const cli = meow(`
  Usage
    npm run bench:path [-- --only latency|throughput] [--streams N] [--step MS] [--seconds S]
`, {
  importMeta: import.meta,
  flags: {
    only: { type: 'string' },
    streams: { type: 'number', default: 400 },
    step: { type: 'number', default: 20 },
    seconds: { type: 'number', default: 6 },
    cpuProf: { type: 'boolean', default: false }
  }
})

function cell (value: number, digits: number, width = 9): string {
  return value.toFixed(digits).padStart(width)
}

async function printLatency (): Promise<void> {
  const rows = await measureLatency()
  const direct = rows[0]
  if (direct === undefined) return
  console.log('added latency, ms      first token                    later tokens')
  console.log('                     median      95 %      99 %    median      95 %      99 %')
  for (const { path, firstToken, laterTokens } of rows) {
    const base = path === 'direct' ? { first: { median: 0, p95: 0, p99: 0 }, later: { median: 0, p95: 0, p99: 0 } } : { first: direct.firstToken, later: direct.laterTokens }
    const label = path === 'direct' ? 'direct (total)' : `+ ${path}`
    console.log(label.padEnd(18) + cell(firstToken.median - base.first.median, 2) + cell(firstToken.p95 - base.first.p95, 2, 10) + cell(firstToken.p99 - base.first.p99, 2, 10) +
      cell(laterTokens.median - base.later.median, 2, 10) + cell(laterTokens.p95 - base.later.p95, 2, 10) + cell(laterTokens.p99 - base.later.p99, 2, 10))
  }
}

function printThroughput (rows: ThroughputRow[]): void {
  console.log('relay                    streams   tokens/s     cores   tokens/s per core')
  for (const row of rows) console.log(row.path.padEnd(24) + cell(row.streams, 0, 8) + cell(row.tokensPerSecond, 0, 11) + cell(row.cores, 2, 10) + cell(row.tokensPerCoreSecond, 0, 20))
}

const { only, streams, step, seconds, cpuProf } = cli.flags
if (only !== 'throughput') await printLatency()
if (only !== 'latency') {
  const options = { streams, stepMs: step, runMs: seconds * 1000, nodeArgs: cpuProf ? ['--cpu-prof'] : [] }
  printThroughput([await measureThroughput(options), await measureComparison('bare', options), await measureComparison('trpc', options)])
}
process.exit(0)
