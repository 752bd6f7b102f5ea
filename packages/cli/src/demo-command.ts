/** `demo`: runs nodes and stand-ins for the platform in one process. */
import { exitCode, type Command, type CommandContext, type ExitCode } from './command'

async function run ({ flags, terminal }: CommandContext): Promise<ExitCode> {
  if (flags.serve === true) {
    const { serveDemo } = await import('./demo-serve')
    await serveDemo(terminal.out)
    return exitCode.done
  }
  const { runDemo } = await import('./demo')
  const guaranteesHeld = await runDemo({ out: terminal.out })
  return guaranteesHeld ? exitCode.done : exitCode.refused
}

export const demoCommand: Command = {
  name: 'demo',
  summary: 'Run a demo on loopback, with stand-ins for the platform.',
  usage: '[--serve]',
  help: `
Runs three nodes in three zones, engines and a plain service in one process. Sends a surge
of requests for many adapters while an engine restarts and a node leaves, and compares each response,
token by token, with the expected output of its adapter and version. Takes about 20 s.

Options
  --serve  print example curl commands and serve until interrupted

Exit codes
  0 all guarantees held, 1 a guarantee was violated, 2 usage error`,
  flags: { serve: { type: 'boolean' } },
  argumentRange: [0, 0],
  run
}
