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
  summary: 'Show the system at work on loopback, with stand-ins for the platform.',
  usage: '[--serve]',
  help: `
Runs three nodes in three zones, engines and a plain service in one process. A surge of requests
over many adapters runs while an engine restarts and a node leaves; each answer is checked token
by token against what its adapter and version must give. Takes about 20 s.

Options
  --serve  keep the nodes running and print curl lines to try

Exit codes
  0 every guarantee held, 1 a guarantee was broken, 2 wrong use`,
  flags: { serve: { type: 'boolean' } },
  argumentRange: [0, 0],
  run
}
