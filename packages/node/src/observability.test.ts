/** Logs that cannot be written. */
import { spawnSync } from 'node:child_process'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const test = suite('log of a node')

const endMs = 30_000
/** Logs on both streams, several times, since a stream reports a failed write later. */
const script = `
const { createLogger } = await import(${JSON.stringify(new URL('observability.ts', import.meta.url).href)})
const logger = createLogger('info')
for (let line = 0; line < 3; line++) {
  logger.info('line')
  logger.error('line')
  await new Promise(resolve => setTimeout(resolve, 50))
}
process.exit(7)`

const outputs = {
  'standard output on a full disk': '> /dev/full',
  'standard error on a full disk': '2> /dev/full',
  'standard output open for reading only': '1< /dev/null',
  'standard output in a pipe that nobody reads': '| true'
}

for (const [name, redirection] of Object.entries(outputs)) {
  test(`a node with ${name} does not end`, () => {
    const { stdout } = spawnSync('sh', ['-c', `exec 4>&1; { "$@"; echo "status $?" >&4; } ${redirection}`, 'sh', process.execPath, '--import', 'tsx', '--input-type=module', '--eval', script], { encoding: 'utf8', timeout: endMs })
    assert.match(stdout, 'status 7')
  })
}

test.run()
