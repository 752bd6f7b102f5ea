/** Runs a case: writes its record, ends what it started, and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
import { closeSync, openSync, writeFileSync, writeSync } from 'node:fs'
import { join } from 'node:path'

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/**
 * @param folder - of the case
 * @param trouble - whether the case plays its disruption
 * @param limitMs - time after which the case could not run
 * @param play - receives `record` and `onEnd`, returns whether the rule was broken and a sentence on what was seen
 */
export async function runCase (folder, trouble, limitMs, play) {
  const file = join(folder, 'record.txt')
  writeFileSync(file, '')
  const fd = openSync(file, 'a')
  const startedAt = performance.now()
  const ends = []
  const record = (event, fields = {}) => writeSync(fd, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${event} ${JSON.stringify(fields)}\n`)
  const finish = (code, text) => {
    record('result', { code, text })
    for (const end of ends) end()
    closeSync(fd)
    console.log(`${code === 1 ? 'rule broken' : code === 0 ? 'rule held' : 'could not run'}: ${text}`)
    process.exit(code)
  }
  setTimeout(() => finish(2, `no result after ${limitMs} ms`), limitMs)
  process.on('SIGTERM', () => finish(2, 'stopped'))
  process.on('SIGINT', () => finish(2, 'stopped'))
  record('trouble', { on: trouble })
  try {
    const { broken, text } = await play({ record, onEnd: end => ends.push(end) })
    finish(broken ? 1 : 0, text)
  } catch (err) {
    finish(2, err.stack ?? String(err))
  }
}

/** Polls until the check holds. @throws after the time */
export async function until (check, ms, what) {
  const end = performance.now() + ms
  while (!(await check())) {
    if (performance.now() > end) throw new Error(`${what}: not within ${ms} ms`)
    await sleep(100)
  }
}
