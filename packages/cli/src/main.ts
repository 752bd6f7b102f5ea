/** Entry point of the `yuccawharf` command. */
import { exitCode } from './command'
import { run } from './run'

const terminal = {
  out: (line: string): void => { process.stdout.write(`${line}\n`) },
  err: (line: string): void => { process.stderr.write(`${line}\n`) }
}

run(process.argv.slice(2), terminal).then(code => {
  process.exitCode = code
}, (err: unknown) => {
  terminal.err(`yuccawharf: ${err instanceof Error ? err.message : String(err)}`)
  process.exitCode = exitCode.refused
})
