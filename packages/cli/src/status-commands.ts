/** `status` and `addresses`. */
import { validateAddressesReply, validateStatusReply, type AddressesReply, type StatusReply } from '@yuccawharf/schema'
import { exitCode, listFlag, printJson, textFlag, type Command, type CommandContext, type ExitCode } from './command'
import { nodeFlags, nodeHelp, reportFailure } from './config-commands'
import { createNodeClient, selectNodes } from './node-client'
import { formatTable } from './table'

function percent (fraction: number | null): string {
  return fraction === null ? '-' : `${(fraction * 100).toFixed(1)} %`
}

function count (value: number | null): string {
  return value === null ? '-' : String(value)
}

function statusLines (status: StatusReply): string[] {
  const contact = status.logContactAgeMs === null ? 'never' : `${Math.round(status.logContactAgeMs)} ms ago`
  return [
    `node ${status.node} in ${status.zone} (${status.region}) is ${status.state}, started ${new Date(status.incarnation).toISOString()}`,
    `configuration revision ${status.revision}, last response of the log ${contact}`,
    '',
    ...formatTable(['NODE', 'ADDRESS', 'ZONE', 'STATE', 'REVISION'], status.nodes.map(node => [node.id, node.address, node.zone, node.state, node.revision < 0 ? '-' : String(node.revision)])),
    '',
    ...formatTable(['ENGINE', 'OWNER', 'TERM', 'STATE', 'SLOTS', 'RESIDENT', 'RUNNING', 'QUEUED'], status.engines.map(engine => [
      engine.id, engine.owner ?? '-', engine.term < 0 ? '-' : String(engine.term), engine.state, engine.resident === null ? '-' : String(engine.slots), count(engine.resident), count(engine.running), count(engine.queued)
    ])),
    '',
    ...formatTable(['CLASS', 'TARGET', 'ATTAINED', 'REQUESTS'], status.classes.map(row => [row.name, percent(row.target), percent(row.attained), String(row.requests)]))
  ]
}

async function status ({ flags, terminal }: CommandContext): Promise<ExitCode> {
  const reply = await createNodeClient(selectNodes(listFlag(flags, 'node'))).get<StatusReply>('/admin/status', validateStatusReply)
  if (reply.type !== 'ok') return reportFailure(terminal, reply)
  if (flags.json === true) printJson(terminal, reply.body)
  else for (const line of statusLines(reply.body)) terminal.out(line)
  return exitCode.done
}

export const statusCommand: Command = {
  name: 'status',
  summary: 'Show nodes, engines and attained targets as one node sees them.',
  usage: '',
  help: `
Only the owner of an engine shows its counts; other nodes show "-".

Options
${nodeHelp}
  --json          print JSON`,
  flags: { ...nodeFlags, json: { type: 'boolean' } },
  argumentRange: [0, 0],
  run: status
}

async function addresses ({ flags, terminal }: CommandContext): Promise<ExitCode> {
  const names = ['model', 'class', 'zone', 'service'].filter(name => textFlag(flags, name) !== undefined)
  const query = new URLSearchParams(names.map((name): [string, string] => [name, textFlag(flags, name)!]))
  const path = names.length === 0 ? '/v1/addresses' : `/v1/addresses?${query.toString()}`
  const reply = await createNodeClient(selectNodes(listFlag(flags, 'node'))).get<AddressesReply>(path, validateAddressesReply)
  if (reply.type !== 'ok') return reportFailure(terminal, reply)
  const { body } = reply
  if (flags.json === true) {
    printJson(terminal, body)
    return exitCode.done
  }
  for (const line of formatTable(['ADDRESS', 'ZONE'], body.addresses.map(entry => [entry.address, entry.zone]))) terminal.out(line)
  terminal.out(`keep for ${body.keepForMs} ms, revision ${body.revision}`)
  if (body.orderKeyPrefix !== undefined) terminal.out(`idempotency keys start with ${body.orderKeyPrefix}`)
  return exitCode.done
}

export const addressesCommand: Command = {
  name: 'addresses',
  summary: 'Show which addresses a caller should use.',
  usage: '',
  help: `
Options
  --model BASE:ADAPTER@VERSION  owners of engines for this adapter come first
  --class NAME                  class of the requests
  --zone ZONE                   zone of the caller
  --service GROUP               group of plain services
${nodeHelp}
  --json          print JSON`,
  flags: { ...nodeFlags, model: { type: 'string' }, class: { type: 'string' }, zone: { type: 'string' }, service: { type: 'string' }, json: { type: 'boolean' } },
  argumentRange: [0, 0],
  run: addresses
}
