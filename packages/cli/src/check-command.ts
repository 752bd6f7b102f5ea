/** `check`: reports all findings in settings and configuration files. */
import { formatFinding, loadSettings, type CompleteSettings, type TomlFinding } from '@yuccawharf/node/settings'
import { findingAt, readTomlFile } from '@yuccawharf/node/toml-findings'
import { exitCode, printJson, type Command, type CommandContext, type ExitCode } from './command'
import { loadConfigFile } from './config-file'

type LoadedSettings = { file: string, settings: CompleteSettings }

/** @returns a finding for each id and address that an earlier file already uses */
function findDuplicates (loaded: LoadedSettings[]): TomlFinding[] {
  return (['id', 'address'] as const).flatMap(name => {
    const firstFiles = new Map<string, string>()
    return loaded.flatMap(({ file, settings }) => {
      const value = settings.node[name]
      const firstFile = firstFiles.get(value)
      firstFiles.set(value, firstFile ?? file)
      if (firstFile === undefined) return []
      return [findingAt(readTomlFile(file).unwrapOr(''), file, ['node', name], `is ${value} as in ${firstFile}, but each node needs its own`)]
    })
  })
}

function checkSettings (files: string[]): TomlFinding[] {
  const results = files.map(file => ({ file, result: loadSettings(file) }))
  const loaded = results.flatMap(({ file, result }) => result.ok ? [{ file, settings: result.val }] : [])
  return [...results.flatMap(({ result }) => result.ok ? [] : result.val), ...findDuplicates(loaded)]
}

function checkConfigFile (file: string): TomlFinding[] {
  const result = loadConfigFile(file)
  return result.ok ? [] : result.val
}

async function run ({ input, flags, terminal }: CommandContext): Promise<ExitCode> {
  const files = [...new Set(input)]
  const findings = flags.config === true ? files.flatMap(checkConfigFile) : checkSettings(files)
  if (flags.json === true) printJson(terminal, { files, findings })
  else for (const finding of findings) terminal.out(formatFinding(finding))
  if (flags.json !== true) terminal.err(`files: ${files.length}, findings: ${findings.length}`)
  return findings.length === 0 ? exitCode.done : exitCode.refused
}

export const checkCommand: Command = {
  name: 'check',
  summary: 'Check settings files, or configuration files with --config.',
  usage: 'FILE...',
  help: `
Reports all findings of all files at once, each with file, line, path and allowed values.
Nodes whose settings are checked together must not share an id or an address.

Options
  --config  check configuration files for \`config apply\` instead of node settings
  --json    print the findings as JSON

Exit codes
  0 no findings, 1 findings, 2 usage error`,
  flags: { config: { type: 'boolean' }, json: { type: 'boolean' } },
  argumentRange: [1, Infinity],
  run
}
