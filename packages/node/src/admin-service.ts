/** Admin API of a node for the command-line tool: configuration, its history, status and timeline. */
import type { Dispatcher } from 'undici'
import { createConfigReducer, validateConfig, type ChangeOutcome } from '@yuccawharf/coordination'
import { createLogClient } from '@yuccawharf/clients'
import { createTimelineRecorder } from '@yuccawharf/timeline'
import type { ConfigApplyReply, ConfigApplyRequest, HistoryEntry, StatusReply } from '@yuccawharf/schema'
import type { QueryableCore } from './core/node-core'
import type { AdminPort, ShellView } from './daemon'
import { createProblem, type Problem } from './problem'

export type AdminServiceConfig = {
  node: string
  zone: string
  region: string
  incarnation: number
  logUrl: string
  timelineEvents: number
}

/** Longest wait for the outcome of a configuration change after its append, in ms. */
const outcomeWaitMs = 5000
const outcomePollMs = 20
const revisionPollMs = 100
const statusTimeoutMs = 1000
const historyPage = 1000

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

function replyOf (outcome: Exclude<ChangeOutcome, { type: 'duplicate' }>): ConfigApplyReply {
  if (outcome.type === 'accepted') return { type: 'accepted', revision: outcome.revision, behind: [] }
  if (outcome.type === 'invalid') return { type: 'invalid', findings: outcome.findings.map(({ key, detail }) => ({ path: key, message: detail })) }
  const { key, revision, theirs, yours } = outcome
  const conflict = { key, revision, current: theirs ?? null, ...(yours === undefined ? {} : { yours }) }
  // The generated types don't express that values may be null and `yours` may be absent.
  return { type: 'conflict', conflicts: [conflict] } as unknown as ConfigApplyReply
}

export function createAdminService (cfg: AdminServiceConfig, core: QueryableCore, view: ShellView, dispatcher: Dispatcher): AdminPort {
  const log = createLogClient({ baseUrl: cfg.logUrl, dispatcher })
  const timeline = createTimelineRecorder({ process: cfg.node, capacity: cfg.timelineEvents, clock: view.clock })

  async function outcomeOf (id: string): Promise<ChangeOutcome | undefined> {
    const until = view.now() + outcomeWaitMs
    for (;;) {
      const outcome = core.configuration.outcome(id)
      if (outcome !== undefined || view.now() >= until) return outcome
      await pause(outcomePollMs)
    }
  }

  async function revisionOf (address: string): Promise<number> {
    try {
      const response = await dispatcher.request({ origin: `http://${address}`, path: '/admin/status', method: 'GET', signal: AbortSignal.timeout(statusTimeoutMs) })
      const body = await response.body.json() as { revision?: unknown }
      return typeof body.revision === 'number' ? body.revision : -1
    } catch {
      return -1
    }
  }

  /** Waits until every live node has applied the revision. @returns the nodes that haven't when the wait ends */
  async function nodesBehind (revision: number, waitMs: number): Promise<{ node: string, revision: number }[]> {
    const until = view.now() + waitMs
    for (;;) {
      const live = core.status(view.now()).members.filter(({ id }) => id !== cfg.node)
      const reported = await Promise.all(live.map(async ({ id }) => ({ node: id, revision: await revisionOf(view.directory.address(id) ?? '') })))
      const behind = reported.filter(node => node.revision < revision)
      if (behind.length === 0 || view.now() >= until) return behind
      await pause(revisionPollMs)
    }
  }

  async function applyConfig ({ waitMs = 0, ...change }: ConfigApplyRequest): Promise<ConfigApplyReply | Problem> {
    const { id } = change
    const result = await log.append('config', [{ type: 'change', ...change }])
    if (result.type === 'failed') return { ...createProblem(503, 'not-run', 'Not run', `the log did not take the change: ${result.reason}`), retryAfterMs: 1000 }
    const outcome = await outcomeOf(id)
    if (outcome === undefined || outcome.type === 'duplicate') return { type: 'unknown', id, reason: 'the outcome is not known yet; send the same change with the same id again, which applies it once' }
    const reply = replyOf(outcome)
    if (reply.type !== 'accepted' || waitMs === 0) return reply
    return { ...reply, behind: await nodesBehind(reply.revision, waitMs) }
  }

  function historyEntry (record: { offset: number, time: number, value: unknown }, outcome: ChangeOutcome): HistoryEntry {
    const change = record.value as ConfigApplyRequest
    const type = outcome.type === 'duplicate' ? 'accepted' : outcome.type
    return { offset: record.offset, time: record.time, id: change.id, by: change.by, base: change.base, keys: Object.keys(change.writes), outcome: type }
  }

  /** Replays the retained log records, because nodes keep no history in memory. */
  async function configHistory (limit: number): Promise<unknown> {
    const reducer = createConfigReducer({ validate: validateConfig })
    const changes: HistoryEntry[] = []
    let from = 0
    for (;;) {
      const read = await log.read('config', from, historyPage, 0)
      if (read.type === 'failed') break
      if (read.type === 'expired') {
        reducer.skipTo(read.first)
        from = read.first
        continue
      }
      for (const record of read.page.records) {
        for (const reduced of reducer.apply(record)) {
          if (reduced.type === 'change' && reduced.id === (record.value as ConfigApplyRequest).id && reduced.outcome.type !== 'duplicate') changes.push(historyEntry(record, reduced.outcome))
        }
      }
      from += read.page.records.length
      if (read.page.records.length === 0 || from >= read.page.next) break
    }
    return { revision: core.revision(), changes: changes.slice(-limit) }
  }

  function engineStatus (): StatusReply['engines'] {
    const now = view.now()
    const own = new Map(core.status(now).engines.map(engine => [engine.engine, engine]))
    const entries = core.configuration.state()?.entries ?? []
    const models = entries.filter(entry => entry.key.startsWith('model/') && entry.value !== null).map(entry => entry.key.slice('model/'.length))
    const owners = new Map(models.flatMap(model => core.route(model, '', '', now)).map(route => [route.engine, route.node]))
    return view.directory.list('engine').map(({ id, state }) => {
      const mine = own.get(id)
      const report = view.engineReport(id)
      const reachable = mine === undefined || report !== undefined
      return {
        id,
        owner: mine === undefined ? owners.get(id) ?? null : cfg.node,
        term: mine?.term ?? -1,
        state: reachable ? state : 'unreachable',
        slots: report?.slots ?? 0,
        resident: mine === undefined ? null : report?.resident.length ?? null,
        running: mine?.running ?? null,
        queued: mine?.queued ?? null
      }
    })
  }

  function classStatus (): StatusReply['classes'] {
    const entries = core.configuration.state()?.entries ?? []
    return entries.filter(entry => entry.key.startsWith('class/') && entry.value !== null).map(entry => {
      const { attainment } = entry.value as { attainment: number }
      return { name: entry.key.slice('class/'.length), target: attainment, ...view.attained(entry.key.slice('class/'.length), entry.value) }
    })
  }

  function status (): StatusReply {
    const state = core.status(view.now())
    const revision = core.revision()
    const live = new Set(state.members.map(({ id }) => id))
    const nodes = view.directory.list('node').map(({ id, address, zone, state: listed }) => {
      const alive = live.has(id) || id === cfg.node
      const nodeState = !alive ? 'dead' as const : listed
      return { id, address, zone, state: nodeState, revision: id === cfg.node ? revision : -1 }
    })
    return {
      node: cfg.node,
      zone: cfg.zone,
      region: cfg.region,
      incarnation: cfg.incarnation,
      state: view.draining() ? 'draining' : revision < 0 ? 'starting' : 'live',
      revision,
      logContactAgeMs: view.logContactAgeMs(),
      nodes,
      engines: engineStatus(),
      classes: classStatus()
    }
  }

  return {
    status,
    applyConfig,
    configHistory,
    readConfig () {
      const entries = core.configuration.state()?.entries ?? []
      return { revision: core.revision(), entries: entries.filter(entry => entry.value !== null) }
    },
    timeline: timeline.list,
    record: ({ kind, ids, detail }) => timeline.record(view.now(), kind, ids, detail)
  }
}
