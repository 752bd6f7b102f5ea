/** `explain`: where a request would go now, and why. */
import { createHttpClient, parseJson } from '@yuccawharf/clients'
import { exitCode, listFlag, printJson, textFlag, type Command, type CommandContext, type ExitCode } from './command'
import { formatTable } from './table'

/** Address of the metrics server of a node, which explains requests. */
const defaultAddress = '127.0.0.1:9464'
const timeoutMs = 10_000

type Candidate = { id: string, zone: string, ruledOut?: string, figures: Record<string, unknown> }

type Explanation = {
  node: string
  zone: string
  configVersion?: number
  request: Record<string, string>
  route?: Record<string, unknown>
  account?: { name: string, priority: number, quota?: Record<string, unknown> }
  service?: string
  adapterVersion?: number
  candidates: Candidate[]
  choice?: { server?: string, owners?: string[], withoutOwner?: string }
  refusal?: { status: number, outcome: string, reason: string, retryAfter?: string }
  notes: string[]
}

function isExplanation (value: unknown): value is Explanation {
  const fields = value as Partial<Explanation> | undefined
  return typeof fields?.node === 'string' && typeof fields.request === 'object' && Array.isArray(fields.candidates) && Array.isArray(fields.notes)
}

const fieldsText = (fields: Record<string, unknown>): string => Object.entries(fields).map(([name, value]) => `${name} ${String(value)}`).join(', ')

function explanationLines ({ node, zone, configVersion, request, route, account, service, adapterVersion, candidates, choice, refusal, notes }: Explanation): string[] {
  return [
    `node ${node} in ${zone}, configuration version ${configVersion ?? 'unknown'}`,
    `request: ${fieldsText(request)}`,
    ...route === undefined ? [] : [`route: ${fieldsText(route)}`],
    ...account === undefined ? [] : [`account: ${account.name}, priority ${account.priority}, ${account.quota === undefined ? 'no quota' : `quota: ${fieldsText(account.quota)}`}`],
    ...service === undefined ? [] : [`service: ${service}`],
    ...adapterVersion === undefined ? [] : [`adapter version: ${adapterVersion}`],
    ...candidates.length === 0 ? [] : ['', ...formatTable(['CANDIDATE', 'ZONE', 'RULED OUT', 'FIGURES'], candidates.map(candidate => [candidate.id, candidate.zone, candidate.ruledOut ?? '-', fieldsText(candidate.figures)])), ''],
    ...choice?.server === undefined ? [] : [`choice: ${choice.server}`],
    ...choice?.owners === undefined ? [] : [`owners asked in turn: ${choice.owners.length === 0 ? 'none' : choice.owners.join(', ')}`, `choice if no owner replies: ${choice.withoutOwner ?? 'none'}`],
    ...refusal === undefined ? [] : [`refused: ${refusal.status}, ${refusal.outcome}, ${refusal.reason}${refusal.retryAfter === undefined ? '' : `, Retry-After ${refusal.retryAfter}`}`],
    ...notes.map(note => `note: ${note}`)
  ]
}

/** @returns names and values in turn, and the numbers of those that are malformed; their text may be a key */
function parseHeaders (texts: string[]): { headers: string[], findings: string[] } {
  const parsed = texts.map(text => /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n]*)$/.exec(text))
  return {
    headers: parsed.flatMap(match => match === null ? [] : [match[1]!, match[2]!]),
    findings: parsed.flatMap((match, index) => match === null ? [`--header number ${index + 1} is not of the form NAME: VALUE`] : [])
  }
}

async function explain ({ input, flags, terminal }: CommandContext): Promise<ExitCode> {
  const { headers, findings } = parseHeaders(listFlag(flags, 'header'))
  const url = URL.canParse(input[0]!) ? new URL(input[0]!) : undefined
  if (url === undefined || !/^https?:$/.test(url.protocol)) findings.push('URL must be of the form http://HOST/PATH')
  if (findings.length > 0 || url === undefined) {
    for (const finding of findings) terminal.err(`yuccawharf: ${finding}`)
    return exitCode.usage
  }
  const [address = defaultAddress] = listFlag(flags, 'node')
  const http = createHttpClient({ baseUrl: `http://${address}`, timeoutMs })
  const body = JSON.stringify({ host: url.host, path: `${url.pathname}${url.search}`, method: textFlag(flags, 'method') ?? 'GET', headers })
  const result = await http.exchange({ method: 'POST', path: '/explain', headers: { 'content-type': 'application/json' }, body })
  await http.close()
  if (result.type !== 'ok') {
    terminal.err(`yuccawharf: ${address} cannot be asked: ${result.reason}`)
    return exitCode.refused
  }
  const reply = parseJson(result.response.body)
  if (result.response.status !== 200 || !isExplanation(reply)) {
    const { errors } = (reply ?? {}) as { errors?: unknown }
    for (const error of Array.isArray(errors) ? errors : ['no explanation']) terminal.err(`yuccawharf: ${address} answered ${result.response.status}: ${String(error)}`)
    return exitCode.refused
  }
  if (flags.json === true) printJson(terminal, reply)
  else for (const line of explanationLines(reply)) terminal.out(line)
  return exitCode.done
}

export const explainCommand: Command = {
  name: 'explain',
  summary: 'Tell where a request would go now from a node, and why.',
  usage: 'URL',
  help: `
Nothing is sent to a server and nothing is counted. The node decides as for a request of a client.
The output holds neither the request's headers nor its key.

Options
  --header "NAME: VALUE"  header of the request, may be repeated; the request needs its id
  --method METHOD         method of the request, GET by default
  --node ADDRESS          metrics address of the node, ${defaultAddress} by default
  --json                  print JSON

Exit codes
  0 explained (also if the request would be refused), 1 the node gave no explanation, 2 usage error`,
  flags: { node: { type: 'string', isMultiple: true }, header: { type: 'string', isMultiple: true }, method: { type: 'string' }, json: { type: 'boolean' } },
  argumentRange: [1, 1],
  run: explain
}
