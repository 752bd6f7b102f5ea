/** `check`: all findings of settings and configuration files. */
import { formatFinding, loadSettings, type TomlFinding } from '@yuccawharf/node/settings'
import { exitCode, printJson, type Command, type CommandContext, type ExitCode } from './command'
import { loadConfigFile } from './config-file'

async function run ({ input, flags, terminal }: CommandContext): Promise<ExitCode> {
  const findings = input.flatMap((file): TomlFinding[] => {
    const result = flags.config === true ? loadConfigFile(file) : loadSettings(file)
    return result.ok ? [] : result.val
  })
  if (flags.json === true) printJson(terminal, { files: input, findings })
  else for (const finding of findings) terminal.out(formatFinding(finding))
  if (flags.json !== true) terminal.err(`files: ${input.length}, findings: ${findings.length}`)
  return findings.length === 0 ? exitCode.done : exitCode.refused
}

export const checkCommand: Command = {
  name: 'check',
  summary: 'Check settings files, or configuration files with --config.',
  usage: 'FILE...',
  help: `
Reports all findings of all files at once, each with file, line, place and what is allowed.

Options
  --config  the files are configurations for \`config apply\`, not settings of nodes
  --json    print the findings as JSON

Exit codes
  0 no findings, 1 findings, 2 wrong use`,
  flags: { config: { type: 'boolean' }, json: { type: 'boolean' } },
  arguments: [1, Infinity],
  run
}
