/** `node`: runs one node. */
import { formatFinding, loadSettings } from '@yuccawharf/node/settings'
import { exitCode, textFlag, type Command, type CommandContext, type ExitCode } from './command'

async function run ({ flags, terminal }: CommandContext): Promise<ExitCode> {
  const settings = loadSettings(textFlag(flags, 'settings')!)
  if (settings.err) {
    for (const finding of settings.val) terminal.err(formatFinding(finding))
    return exitCode.refused
  }
  const { runNode } = await import('@yuccawharf/node')
  await runNode(settings.val)
  return exitCode.done
}

export const nodeCommand: Command = {
  name: 'node',
  summary: 'Run one node.',
  usage: '--settings FILE',
  help: `
Runs until SIGTERM or SIGINT, then shuts down gracefully: it accepts no new work, completes running requests
and transfers its engines to other nodes.

Options
  --settings FILE  settings of the node, see docs/settings.md

Exit codes
  0 graceful shutdown, 1 findings in the settings or the node could not start, 2 usage error`,
  flags: { settings: { type: 'string', isRequired: true } },
  argumentRange: [0, 0],
  run
}
