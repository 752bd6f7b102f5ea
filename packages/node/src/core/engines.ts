/** Ownership of engines at one node: takeovers, the terms that this process holds, and the ones it held. */
import { createOwnershipReducer, createSnapshotSchedule, createTakeoverPolicy, topNode, splitOwnershipSnapshot, rankNodes, takeoverDefaults, type EngineCandidacy, type OwnershipChange, type OwnerTerm, type ProcessId, type RunningRequest, type TailProgress } from '@yuccawharf/coordination'
import type { EngineReport, Instance } from '@yuccawharf/clients'
import type { CoreContext } from './core-context'
import { createEngineOwner } from './engine-owner'
import type { EngineOwner, EngineOwnerEnv } from './engine-owner-types'
import type { LogStreams } from './log-streams'
import type { CoreMessage } from './peer-messages'
import type { NodeView, Peers } from './peers'

export type Engines = {
  tick (now: number): void
  /** Engines of this region in the newest instance list. */
  list (engines: Instance[], now: number): void
  report (report: EngineReport, now: number): void
  acknowledged (from: ProcessId, message: Extract<CoreMessage, { type: 'term-ended' }>, now: number): void
  acknowledgedBy (message: Extract<CoreMessage, { type: 'term-ended-ack' }>): void
  staleFence (engine: string, now: number): void
  owner (engine: string): OwnerTerm | undefined
  own (engine: string): EngineOwner | undefined
  /** Terms that this process holds. */
  held (): EngineOwner[]
  /** Terms of this process, ended ones with running requests included. */
  all (): EngineOwner[]
  /** Engines whose reports this node needs. */
  watched (): string[]
  /** True while a successor has not acknowledged the end of a term of this process. */
  readonly unacknowledged: boolean
  readonly candidatesElsewhere: boolean
}

type Notice = { term: number, to: string, number: number, content: string, sentAt: number, acked: boolean, since: number }

const noticeRetryMs = 1_000
/** Looking at 600 engines takes under a millisecond; this keeps it below 1 % of a core. */
const decideEveryMs = 250
const snapshotMaxRecords = 1_000
const snapshotTurnMs = 5_000

export type EnginesEnv = Omit<EngineOwnerEnv, 'append' | 'staleFence'> & {
  isLeaving (engine: string): boolean
}

export const createEngines = (ctx: CoreContext, streams: LogStreams, peers: Peers, env: EnginesEnv): Engines => {
  const { cfg } = ctx
  const log = createOwnershipReducer()
  const takeover = createTakeoverPolicy({ node: cfg.node, incarnation: cfg.incarnation, ...takeoverDefaults })
  const schedule = createSnapshotSchedule({ self: cfg.node, retentionMs: cfg.logRetentionMs, maxRecords: snapshotMaxRecords, turnMs: snapshotTurnMs })
  const current = new Map<string, EngineOwner>()
  /** Ended terms of this process by engine; a successor needs an acknowledgement even without running requests. */
  const former = new Map<string, EngineOwner[]>()
  const notices = new Map<string, Notice>()
  const confirming = new Map<string, number>()
  const preferred = new Map<string, string | undefined>()
  let preferredVersion = -1
  let listed: Instance[] = []
  let caughtUp = false
  let decideAt = -Infinity

  const isSelf = (process: ProcessId): boolean => process.node === cfg.node && process.incarnation === cfg.incarnation

  const ownerEnv: EngineOwnerEnv = {
    ...env,
    append: (values, done) => streams.append('ownership', values, done),
    staleFence: (engine, now) => staleFence(engine, now)
  }

  const begin = (term: OwnerTerm, now: number): void => {
    const { engine } = term
    ctx.record('term-begins', { engine }, `term ${term.term}`)
    const earlier = former.get(engine)?.at(-1)
    // Requests of an earlier term of this process count like those of any predecessor.
    const own = earlier === undefined ? [] : [{ node: cfg.node, incarnation: cfg.incarnation, term: earlier.term }]
    const owner = createEngineOwner(ctx, ownerEnv, term, [...log.predecessors(engine), ...own], log.unresolvedIntents(engine))
    current.set(engine, owner)
    owner.start(now)
    if (env.isLeaving(engine)) {
      owner.pause('leaving', now)
    }
    provePredecessors(owner, now)
  }

  const end = (engine: string, now: number): void => {
    const owner = current.get(engine)
    if (owner === undefined) {
      return
    }
    ctx.record('term-ends', { engine }, `term ${owner.term}`)
    current.delete(engine)
    former.set(engine, [...former.get(engine) ?? [], owner])
    owner.end(now)
  }

  const ownerChanged = (term: OwnerTerm, now: number): void => {
    confirming.delete(term.engine)
    if (isSelf(term)) {
      end(term.engine, now)
      begin(term, now)
      return
    }
    end(term.engine, now)
    // The new process's own record proves that all earlier ones of its node have ended.
    incarnationSeen(term, now)
  }

  const applyChange = (change: OwnershipChange, now: number): void => {
    switch (change.type) {
      case 'owner': return ownerChanged(change.term, now)
      case 'intent': return current.get(change.intent.engine)?.intentRead(change.intent, change.authorised, now)
      case 'restored': return restored(now)
      default:
    }
  }

  const restored = (now: number): void => {
    for (const owner of [...current.values()].filter(({ engine, term }) => log.owner(engine)?.term !== term)) {
      end(owner.engine, now)
    }
    // A term that this process has ended is not taken up again: its handles must stay unique.
    const isNew = (term: OwnerTerm): boolean => !current.has(term.engine) && former.get(term.engine)?.every(owner => owner.term !== term.term) !== false
    log.ownedBy(cfg.node).filter(term => isSelf(term) && isNew(term)).forEach(term => begin(term, now))
  }

  const noteSnapshot = (value: unknown, now: number): void => {
    const record = value as { type?: unknown, revision?: number, part?: number } | null
    if (record?.type === 'snapshot' && record.part === 0) {
      schedule.snapshotRead(record.revision ?? -1, now)
    }
  }

  const read = ({ gap, records }: TailProgress, now: number): void => {
    if (gap !== undefined) {
      log.skipTo(gap.to).forEach(change => applyChange(change, now))
    }
    for (const entry of records) {
      // One record at a time: a term begins with the predecessors and intents as of its record.
      log.apply(entry).forEach(change => applyChange(change, now))
      noteSnapshot(entry.value, now)
    }
    caughtUp ||= tail.caughtUp && log.complete
    sendNotices(now)
  }

  const tail = streams.follow('ownership', { read: (progress, _bounds, now) => read(progress, now), failed: () => {} })

  const staleFence = (engine: string, now: number): void => {
    // The engine has seen a newer owner than this node has read: no further work until the log tells.
    current.get(engine)?.pause('stale', now)
    tail.requestRead()
  }

  /** Applies what is known about the ends of earlier processes, also from before the term. */
  const provePredecessors = (owner: EngineOwner, now: number): void => {
    for (const process of log.predecessors(owner.engine)) {
      if (peers.hasLeftList(process)) {
        owner.pins.instanceRemoved(process.node, now)
      }
      const member = peers.member(process.node)
      if (member !== undefined && member.incarnation > process.incarnation) {
        owner.pins.incarnationSeen({ node: process.node, incarnation: member.incarnation }, now)
      }
    }
    if (former.has(owner.engine)) {
      owner.pins.acknowledged({ node: cfg.node, incarnation: cfg.incarnation }, owner.term, runningOf(owner.engine), now)
    }
  }

  const incarnationSeen = (process: ProcessId, now: number): void => {
    for (const owner of current.values()) {
      owner.pins.incarnationSeen(process, now)
    }
  }

  const preferredNode = (engine: Instance, nodes: NodeView[]): string | undefined => {
    if (preferredVersion !== peers.version) {
      preferred.clear()
      preferredVersion = peers.version
    }
    if (!preferred.has(engine.id)) {
      preferred.set(engine.id, topNode(engine.id, nodes.map(({ id, zone }) => ({ id, group: zone })), engine.zone)?.id)
    }
    return preferred.get(engine.id)
  }

  const rankOfSelf = (engine: Instance, nodes: NodeView[]): number | undefined => {
    const ranked = rankNodes(engine.id, nodes.map(({ id, zone }) => ({ id, group: zone })), engine.zone)
    const rank = ranked.findIndex(({ id }) => id === cfg.node)
    return rank < 0 ? undefined : rank
  }

  const candidacy = (engine: Instance, nodes: NodeView[], now: number): EngineCandidacy => {
    const owner = log.owner(engine.id)
    const base = { engine: engine.id, latest: owner?.latest ?? -1, term: owner?.term ?? -1 }
    if (owner !== undefined && isSelf(owner)) {
      return { ...base, owner: 'self', rank: undefined }
    }
    const status = owner === undefined ? 'none' : peers.status(owner, now)
    // Live owners lose engines only to the first candidate, so the whole rank is not needed.
    const rank = status === 'live'
      ? (preferredNode(engine, nodes) === cfg.node ? 0 : undefined)
      : rankOfSelf(engine, nodes)
    return { ...base, owner: status, rank }
  }

  const takeOver = (now: number): void => {
    if (!caughtUp || !log.complete || !peers.listed || peers.leaving || peers.superseded) {
      return
    }
    const nodes = peers.accepting().filter(({ region }) => region === cfg.region)
    const records = takeover.decide(listed.map(engine => candidacy(engine, nodes, now)), now)
    if (records.length === 0) {
      return
    }
    records.forEach(record => ctx.record('takeover', { engine: record.engine }, `after ${record.after}`))
    const engines = records.map(({ engine }) => engine)
    streams.append('ownership', records, (result, at) => takeover.appendFinished(engines, result, at))
  }

  /** Clears the predecessors in the log, so that a later owner need not prove their end again. */
  const confirm = (owner: EngineOwner, now: number): void => {
    const { engine } = owner
    const term = log.owner(engine)
    const due = now >= (confirming.get(engine) ?? -Infinity)
    if (term === undefined || log.predecessors(engine).length === 0 || !owner.pins.predecessorsReleased || !due || !streams.reachable) {
      return
    }
    confirming.set(engine, now + 5_000)
    const record = { type: 'owner', engine, node: cfg.node, incarnation: cfg.incarnation, after: term.latest }
    streams.append('ownership', [record], () => {})
  }

  const runningOf = (engine: string): RunningRequest[] => (former.get(engine) ?? []).flatMap(owner => owner.running())

  const noticeFor = (engine: string, term: OwnerTerm, running: RunningRequest[], now: number): Notice => {
    const known = notices.get(engine)
    const content = JSON.stringify(running)
    if (known !== undefined && known.term === term.term && known.content === content) {
      return known
    }
    const number = known?.term === term.term ? known.number + 1 : 1
    const since = known?.term === term.term ? known.since : now
    const notice: Notice = { term: term.term, to: term.node, number, content, sentAt: -Infinity, acked: false, since }
    notices.set(engine, notice)
    return notice
  }

  const sendNotice = (engine: string, now: number): void => {
    const term = log.owner(engine)
    if (term === undefined || isSelf(term)) {
      notices.delete(engine)
      return
    }
    const running = runningOf(engine)
    const notice = noticeFor(engine, term, running, now)
    if (!notice.acked && now - notice.sentAt >= noticeRetryMs) {
      notice.sentAt = now
      peers.send(term.node, { type: 'term-ended', engine, term: term.term, number: notice.number, running })
    }
  }

  const dropIdle = (engine: string): void => {
    const owners = (former.get(engine) ?? []).filter((owner, index, all) => index === all.length - 1 || owner.running().length > 0)
    former.set(engine, owners)
  }

  const sendNotices = (now: number): void => {
    for (const engine of former.keys()) {
      dropIdle(engine)
      sendNotice(engine, now)
    }
  }

  const appendSnapshot = (now: number): void => {
    if (!log.complete || !streams.reachable || !schedule.isDue(log.nextOffset, peers.live(), now)) {
      return
    }
    schedule.appendStarted(now)
    streams.append('ownership', splitOwnershipSnapshot(log.entries(), log.nextOffset - 1, `${cfg.node}/${cfg.incarnation}/${log.nextOffset}`), () => {})
  }

  const decide = (now: number): void => {
    takeOver(now)
    for (const owner of current.values()) {
      provePredecessors(owner, now)
      confirm(owner, now)
    }
    sendNotices(now)
    appendSnapshot(now)
  }

  const predecessorsDown = (engine: string, now: number): boolean => {
    const processes = log.predecessors(engine)
    return processes.length > 0 && processes.every(process => peers.status(process, now) === 'down')
  }

  return {
    tick (now) {
      current.forEach(owner => owner.tick(now))
      if (now >= decideAt) {
        decideAt = now + decideEveryMs
        decide(now)
      }
    },
    list (engines) {
      listed = engines.filter(({ region }) => region === cfg.region)
    },
    report (report, now) {
      current.get(report.engine)?.report(report, predecessorsDown(report.engine, now), now)
    },
    acknowledged (from, message, now) {
      const { engine, term, number, running } = message
      const accepted = current.get(engine)?.pins.acknowledged(from, term, running, now) === true
      // Without the record of the term the notice is not understood yet; the sender repeats it.
      const hasRead = (log.owner(engine)?.term ?? -1) >= term
      const isPredecessor = log.predecessors(engine).some(process => process.node === from.node && process.incarnation === from.incarnation)
      if (accepted || (hasRead && !isPredecessor)) {
        peers.send(from.node, { type: 'term-ended-ack', engine, term, number })
      }
    },
    acknowledgedBy ({ engine, term, number }) {
      const notice = notices.get(engine)
      if (notice?.term === term && notice.number === number) {
        notice.acked = true
      }
    },
    staleFence,
    owner: log.owner,
    own: engine => current.get(engine),
    held: () => [...current.values()],
    all: () => [...current.values(), ...[...former.values()].flat()],
    watched: () => [...current.keys()],
    get unacknowledged () {
      return [...notices.values()].some(({ acked }) => !acked)
    },
    get candidatesElsewhere () {
      return peers.accepting().some(({ id, region }) => id !== cfg.node && region === cfg.region)
    }
  }
}
