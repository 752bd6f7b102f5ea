/** `config get` and `config history`. */
import { validateConfigHistoryReply, validateConfigReply, type ConfigHistoryReply, type ConfigReply } from '@yuccawharf/schema'
import { exitCode, listFlag, printJson, type Command, type CommandContext, type ExitCode, type Terminal } from './command'
import { formatConfig } from './config-file'
import { createNodeClient, selectNodes, type NodeReply } from './node-client'

export const nodeFlags = { node: { type: 'string', isMultiple: true } } as const
export const nodeHelp = '  --node ADDRESS  node to connect to, may be repeated; else YUCCAWHARF_NODE, else 127.0.0.1:7400'

/** Prints the reason of a failed request. @returns the exit code */
export function reportFailure (terminal: Terminal, reply: Exclude<NodeReply<unknown>, { type: 'ok' }>): ExitCode {
  terminal.err(`yuccawharf: ${reply.message}`)
  return reply.type === 'unknown' ? exitCode.unknown : exitCode.refused
}

async function get ({ input, flags, terminal }: CommandContext): Promise<ExitCode> {
  const reply = await createNodeClient(selectNodes(listFlag(flags, 'node'))).get<ConfigReply>('/admin/config', validateConfigReply)
  if (reply.type !== 'ok') return reportFailure(terminal, reply)
  const { revision, entries } = reply.body
  const selected = input.length === 0 ? entries : entries.filter(entry => input.includes(entry.key))
  const missing = input.filter(key => !entries.some(entry => entry.key === key))
  if (flags.json === true) {
    printJson(terminal, { revision, entries: selected })
  } else {
    terminal.out(`# revision ${revision}`)
    if (selected.length > 0) terminal.out(formatConfig(selected.map(entry => [entry.key, entry.value] as const)))
  }
  for (const key of missing) terminal.err(`yuccawharf: ${key} is not configured`)
  return missing.length === 0 ? exitCode.done : exitCode.refused
}

export const configGetCommand: Command = {
  name: 'config get',
  summary: 'Print the configuration in force on a node.',
  usage: '[KEY...]',
  help: `
Prints TOML that \`config apply\` reads, with the revision in a comment. A key is class/NAME, model/NAME
or adapter/NAME.

Options
${nodeHelp}
  --json          print JSON with the revision of each key`,
  flags: { ...nodeFlags, json: { type: 'boolean' } },
  argumentRange: [0, Infinity],
  run: get
}

async function history ({ flags, terminal }: CommandContext): Promise<ExitCode> {
  const limit = Math.max(1, Number(flags.limit ?? 20))
  const reply = await createNodeClient(selectNodes(listFlag(flags, 'node'))).get<ConfigHistoryReply>(`/admin/config?history=${limit}`, validateConfigHistoryReply)
  if (reply.type !== 'ok') return reportFailure(terminal, reply)
  const changes = flags.id === undefined ? reply.body.changes : reply.body.changes.filter(change => change.id === flags.id)
  if (flags.json === true) {
    printJson(terminal, { ...reply.body, changes })
  } else {
    for (const change of changes) {
      terminal.out(`${change.offset} ${new Date(change.time).toISOString()} ${change.outcome} by ${JSON.stringify(change.by)} base ${change.base} id ${change.id}: ${change.keys.join(', ')}`)
    }
  }
  if (flags.id !== undefined && changes.length === 0) {
    terminal.err(`yuccawharf: no change with id ${String(flags.id)} among the latest ${limit}`)
    return exitCode.refused
  }
  return exitCode.done
}

export const configHistoryCommand: Command = {
  name: 'config history',
  summary: 'List the latest changes of the configuration with their results.',
  usage: '',
  help: `
Changes are listed in log order, oldest first, as far as the log retains them.

Options
  --limit N       number of changes, 20 by default
  --id ID         only the change with this id; exit code 1 when it is not listed
${nodeHelp}
  --json          print JSON`,
  flags: { ...nodeFlags, limit: { type: 'number' }, id: { type: 'string' }, json: { type: 'boolean' } },
  argumentRange: [0, 0],
  run: history
}
