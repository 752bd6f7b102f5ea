/** `config apply`: applies one change to the configuration. */
import { randomUUID } from 'node:crypto'
import { userInfo } from 'node:os'
import { formatFinding } from '@yuccawharf/node/settings'
import { validateConfigApplyReply, type ConfigApplyReply, type ConfigApplyRequest } from '@yuccawharf/schema'
import { exitCode, listFlag, printJson, textFlag, type Command, type CommandContext, type ExitCode, type Terminal } from './command'
import { nodeFlags, nodeHelp } from './config-commands'
import { loadConfigFile, type ConfigEntries } from './config-file'
import { createNodeClient, selectNodes, type NodeReply } from './node-client'

/** Target for the time until a change is in force on every node. */
const defaultWaitMs = 9000
/** Timeout of the append, in addition to the wait for other nodes. */
const applyTimeoutMs = 15_000

function operatorName (): string {
  try {
    return userInfo().username
  } catch {
    return 'unknown'
  }
}

function printReply (terminal: Terminal, reply: ConfigApplyReply): void {
  switch (reply.type) {
    case 'accepted':
      terminal.out(`accepted as revision ${reply.revision}`)
      for (const node of reply.behind) terminal.out(`not yet in force on ${node.node}, which has revision ${node.revision}`)
      return
    case 'conflict':
      terminal.out('conflict, nothing was applied')
      for (const { key, revision, current, yours } of reply.conflicts) {
        terminal.out(`${key} was changed at revision ${revision}`)
        terminal.out(`  in force: ${JSON.stringify(current)}`)
        if (yours !== undefined) terminal.out(`  yours:    ${JSON.stringify(yours)}`)
      }
      terminal.err('Read the new values with `yuccawharf config get`, then apply again with the new revision as --base.')
      return
    case 'invalid':
      terminal.out('invalid, nothing was applied')
      for (const finding of reply.findings) terminal.out(`${finding.path}: ${finding.message}`)
      return
    case 'unknown':
      terminal.out(`unknown: ${reply.reason}`)
  }
}

function explainUnknown (terminal: Terminal, id: string): void {
  terminal.err('The change may have been applied, now or later.')
  terminal.err(`Look up the result with: yuccawharf config history --limit 100 --id ${id}`)
  terminal.err(`Or retry the same command with --id ${id}: a change with the same id is applied once.`)
}

function exitCodeFor (reply: ConfigApplyReply): ExitCode {
  if (reply.type === 'accepted') return reply.behind.length === 0 ? exitCode.done : exitCode.behind
  return reply.type === 'unknown' ? exitCode.unknown : exitCode.refused
}

function reportResult (terminal: Terminal, reply: NodeReply<ConfigApplyReply>, id: string, json: boolean): ExitCode {
  if (reply.type === 'not-run' || reply.type === 'invalid') {
    const findings = [{ path: '', message: reply.message }]
    if (json) printJson(terminal, { type: reply.type, id, ...(reply.type === 'invalid' ? { findings } : { reason: reply.message }) })
    else terminal.out(reply.message)
    terminal.err('Nothing was applied.')
    return exitCode.refused
  }
  const body: ConfigApplyReply = reply.type === 'ok' ? reply.body : { type: 'unknown', id, reason: reply.message }
  if (json) printJson(terminal, { ...body, id })
  else printReply(terminal, body)
  if (body.type === 'unknown') explainUnknown(terminal, id)
  return exitCodeFor(body)
}

function createRequest ({ flags }: CommandContext, entries: ConfigEntries): ConfigApplyRequest {
  const deleted = listFlag(flags, 'delete').map(key => [key, null] as const)
  return {
    id: textFlag(flags, 'id') ?? randomUUID(),
    base: Number(flags.base),
    writes: Object.fromEntries([...entries, ...deleted]),
    reads: listFlag(flags, 'read'),
    by: textFlag(flags, 'by') ?? operatorName(),
    ...(flags.wait === true ? { waitMs: Number(flags.waitMs ?? defaultWaitMs) } : {})
  }
}

async function apply (context: CommandContext): Promise<ExitCode> {
  const { input, flags, terminal } = context
  const json = flags.json === true
  const entries = loadConfigFile(input[0]!)
  if (entries.err) {
    if (json) printJson(terminal, { type: 'invalid', findings: entries.val })
    else for (const finding of entries.val) terminal.out(formatFinding(finding))
    terminal.err('Nothing was applied.')
    return exitCode.refused
  }
  const inBoth = listFlag(flags, 'delete').filter(key => entries.val.has(key))
  if (inBoth.length > 0) {
    terminal.err(`yuccawharf: ${inBoth.join(', ')} is both in the file and in --delete`)
    return exitCode.usage
  }
  const change = createRequest(context, entries.val)
  const client = createNodeClient(selectNodes(listFlag(flags, 'node')))
  const reply = await client.post<ConfigApplyReply>('/admin/config', change, validateConfigApplyReply, applyTimeoutMs + (change.waitMs ?? 0))
  return reportResult(terminal, reply, change.id, json)
}

export const configApplyCommand: Command = {
  name: 'config apply',
  summary: 'Apply a change of the configuration.',
  usage: 'FILE --base REVISION',
  help: `
FILE is TOML with tables [class.NAME], [model.NAME] and [adapter.NAME]. Each replaces the complete value of its
key; other keys are unchanged. The change conflicts when one of its keys was changed after the base.

Options
  --base REVISION  revision that the change is based on, from \`config get\`
  --delete KEY     also delete this key, may be repeated
  --read KEY       also conflict when this key was changed after the base, may be repeated
  --wait           wait until the change is in force on every live node
  --wait-ms MS     maximum wait, 9000 by default
  --by NAME        name of the operator in the history, the user name by default
  --id ID          id of the change, to retry one with an unknown result
${nodeHelp}
  --json           print the result as JSON

Results and exit codes
  accepted  0, or 4 when it is not in force on every live node after the wait
  conflict  1, with each key and both values; nothing was applied
  invalid   1, with all findings; nothing was applied
  not run   1, no node or no log accepted the change; nothing was applied
  unknown   3, with the command that looks up the result`,
  flags: {
    ...nodeFlags,
    base: { type: 'number', isRequired: true },
    delete: { type: 'string', isMultiple: true },
    read: { type: 'string', isMultiple: true },
    wait: { type: 'boolean' },
    waitMs: { type: 'number' },
    by: { type: 'string' },
    id: { type: 'string' },
    json: { type: 'boolean' }
  },
  argumentRange: [1, 1],
  run: apply
}
