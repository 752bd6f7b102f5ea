/** What all cases have in common: the record, the exit code, and the end of all that was started. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Longest time that a case may take, in ms. */
const longestMs = 110_000

/** Whether the disruption is brought about. */
export const trouble = process.env.TROUBLE !== '0'

/**
 * Runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 *
 * @param url - URL of the case's file; the record is written beside it
 * @param play - returns what broke the rule, one line each; `own` registers what ends something that was started
 */
export async function runCase (url, play) {
  const startedAt = performance.now()
  const lines = []
  const endings = []
  const folder = mkdtempSync(join(tmpdir(), 'case-'))
  const record = (event, fields = {}) => {
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${event} ${JSON.stringify(fields)}`)
  }
  const own = ending => { endings.push(ending) }
  const late = new Promise((resolve, reject) => { setTimeout(() => reject(new Error('the case takes too long')), longestMs) })
  let code = 2
  record('begin', { trouble })
  try {
    const broken = await Promise.race([play({ record, own, folder }), late])
    for (const line of broken) record('broken', { line })
    code = broken.length > 0 ? 1 : 0
  } catch (err) {
    record('failed', { reason: err.stack ?? String(err) })
  }
  for (const ending of endings.reverse()) {
    try {
      await ending()
    } catch (err) {
      record('ending-failed', { reason: err.message })
    }
  }
  record('end', { code })
  rmSync(folder, { recursive: true, force: true })
  const text = `${lines.join('\n')}\n`
  writeFileSync(fileURLToPath(new URL('record.txt', url)), text)
  process.stdout.write(lines.filter(line => / (broken|failed|end) /.test(line)).join('\n') + '\n')
  process.exit(code)
}
