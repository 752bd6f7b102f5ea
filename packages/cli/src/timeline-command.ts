/** `timeline`: merges the events of nodes and files. */
import { readFileSync, writeFileSync } from 'node:fs'
import { parseJson } from '@yuccawharf/clients'
import { validateTimelineReply, type TimelineReply } from '@yuccawharf/schema'
import { createTrace, filterNames, formatEvent, matches, mergeTimelines, type TimelineFilter } from '@yuccawharf/timeline'
import { exitCode, listFlag, printJson, textFlag, type Command, type CommandContext, type ExitCode } from './command'
import { nodeFlags, nodeHelp } from './config-commands'
import { createNodeClient, selectNodes } from './node-client'

/** Events of one source, or the reason why they could not be read. */
type Source = { timeline: TimelineReply } | { failure: string }

/** Nodes compare ids exactly, so the adapter filter, which also accepts a name, is not sent but applied after the merge. */
async function readNode (node: string, { adapter, ...filter }: TimelineFilter): Promise<Source> {
  const query = new URLSearchParams(filter as Record<string, string>).toString()
  const path = query === '' ? '/admin/timeline' : `/admin/timeline?${query}`
  const reply = await createNodeClient([node]).get<TimelineReply>(path, validateTimelineReply)
  return reply.type === 'ok' ? { timeline: reply.body } : { failure: reply.message }
}

function readFile (file: string): Source {
  try {
    const value = parseJson(readFileSync(file))
    if (validateTimelineReply(value)) return { timeline: value as TimelineReply }
    const [error] = validateTimelineReply.errors ?? []
    return { failure: `${file} is not a timeline: ${error?.instancePath ?? ''} ${error?.message ?? ''}`.trim() }
  } catch (err) {
    return { failure: `${file} cannot be read: ${(err as Error).message}` }
  }
}

function parseFilter (context: CommandContext): TimelineFilter {
  const given = filterNames.flatMap(name => {
    const value = textFlag(context.flags, name)
    return value === undefined ? [] : [[name, value] as const]
  })
  return Object.fromEntries(given)
}

async function readSources ({ input, flags }: CommandContext, filter: TimelineFilter): Promise<Source[]> {
  const nodeFlag = listFlag(flags, 'node')
  // With files and without --node, no node is queried.
  const nodes = nodeFlag.length === 0 && input.length > 0 ? [] : selectNodes(nodeFlag)
  return [...input.map(readFile), ...await Promise.all(nodes.map(async node => await readNode(node, filter)))]
}

function writeTrace (file: string, trace: unknown): string | undefined {
  try {
    writeFileSync(file, JSON.stringify(trace))
    return undefined
  } catch (err) {
    return `${file} cannot be written: ${(err as Error).message}`
  }
}

async function run (context: CommandContext): Promise<ExitCode> {
  const { flags, terminal } = context
  const filter = parseFilter(context)
  const sources = await readSources(context, filter)
  const timelines = sources.flatMap(source => 'timeline' in source ? [source.timeline] : [])
  const failures = sources.flatMap(source => 'failure' in source ? [source.failure] : [])
  const events = mergeTimelines(timelines).filter(event => matches(event, filter))
  const trace = textFlag(flags, 'trace')
  const traceError = trace === undefined ? undefined : writeTrace(trace, createTrace(events))
  if (traceError !== undefined) failures.push(traceError)
  if (flags.json === true) printJson(terminal, { events, failures, dropped: Object.fromEntries(timelines.map(({ process, dropped }) => [process, dropped])) })
  else if (trace === undefined) for (const event of events) terminal.out(formatEvent(event))
  for (const { process, dropped } of timelines) if (dropped > 0) terminal.err(`${process} no longer has ${dropped} older events`)
  for (const failure of failures) terminal.err(`yuccawharf: ${failure}`)
  if (failures.length === 0) return exitCode.done
  return timelines.length === 0 || traceError !== undefined ? exitCode.refused : exitCode.unknown
}

export const timelineCommand: Command = {
  name: 'timeline',
  summary: 'Merge the events of nodes and files into one timeline.',
  usage: '[FILE...]',
  help: `
Prints one line per event. FILE contains the response of a node's /admin/timeline. With files and without --node,
no node is queried.

Options
  --request ID    only events of this request; the same for --engine and --order
  --adapter NAME  only events of this adapter: NAME, NAME@VERSION or the handle of one load
  --trace FILE    write trace-event JSON for a trace viewer instead of lines
${nodeHelp}
  --json          print JSON

Exit codes
  0 done, 1 no source could be read, 2 usage error, 3 some sources could not be read`,
  flags: {
    ...nodeFlags,
    request: { type: 'string' },
    engine: { type: 'string' },
    adapter: { type: 'string' },
    order: { type: 'string' },
    trace: { type: 'string' },
    json: { type: 'boolean' }
  },
  argumentRange: [0, Infinity],
  run
}
