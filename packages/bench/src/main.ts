/** `npm run bench`: compares the policies on a workload file. */
import { readFileSync, writeFileSync } from 'node:fs'
import meow from 'meow'
import { evaluateAims, compare } from './compare'
import { formatHtml } from './html-report'
import { policies } from './policies'
import { formatTable } from './table'
import { WorkloadError, parseWorkload } from './workload'

const cli = meow(`
  Usage
    $ npm run bench -- --workload FILE.toml

  Options
    --workload FILE  workload file
    --policy NAME    run one policy: ${Object.keys(policies).join(', ')}
    --seed N         first seed (default 1)
    --seeds N        number of seeds; with more than one, the aims are compared with the medians
    --json           JSON instead of a table
    --report FILE    HTML report with plots of the first seed
`, {
  importMeta: import.meta,
  flags: {
    workload: { type: 'string', isRequired: true },
    policy: { type: 'string', choices: Object.keys(policies) },
    seed: { type: 'number', default: 1 },
    seeds: { type: 'number', default: 1 },
    json: { type: 'boolean', default: false },
    report: { type: 'string' }
  }
})

const run = (): void => {
  const { workload: file, policy, seed, seeds, json, report } = cli.flags
  const workload = parseWorkload(readFileSync(file, 'utf8'), file)
  const names = policy === undefined ? Object.keys(policies) : [policy]
  const runs = Array.from({ length: seeds }, (_, index) => compare(workload, seed + index, names))
  const aimResults = policy === undefined ? evaluateAims(runs, workload.class[0]!.name) : []
  if (report !== undefined) {
    writeFileSync(report, formatHtml(runs[0]!, workload.seconds))
  }
  if (json) {
    console.log(JSON.stringify({ runs, aims: aimResults }, null, 2))
    return
  }
  runs.forEach((entry) => console.log(`${formatTable(entry)}\n`))
  aimResults.forEach(({ aim, bound, measured: value, met }) => console.log(`${met ? 'met   ' : 'missed'}  ${aim}: ${value} (bound ${bound})`))
}

try {
  run()
} catch (err) {
  if (!(err instanceof WorkloadError)) {
    throw err
  }
  console.error(err.message)
  process.exitCode = 2
}
