/** Engine ownership at one node: takeovers, and the current and former terms of this process. */
import { createOwnershipReducer, createSnapshotSchedule, createTakeoverPolicy, topNode, splitOwnershipSnapshot, rankNodes, takeoverDefaults, type TakeoverInput, type OwnershipChange, type OwnerTerm, type ProcessId, type RunningRequest, type TailProgress } from '@yuccawharf/coordination'
import type { EngineReport, Instance } from '@yuccawharf/clients'
import type { CoreContext } from './core-context'
import { createEngineOwner } from './engine-owner'
import type { EngineOwner, EngineOwnerEnv } from './engine-owner-types'
import type { LogStreams } from './log-streams'
import type { CoreMessage } from './peer-messages'
import type { NodeInfo, Peers } from './peers'

export type Engines = {
  tick (now: number): void
  /** Sets the engines of the newest instance list; engines of other regions are ignored. */
  setListed (engines: Instance[], now: number): void
  applyReport (report: EngineReport, now: number): void
  receiveTermEnded (from: ProcessId, message: Extract<CoreMessage, { type: 'term-ended' }>, now: number): void
  receiveTermEndedAck (message: Extract<CoreMessage, { type: 'term-ended-ack' }>): void
  staleFenceSeen (engine: string, now: number): void
  ownerTerm (engine: string): OwnerTerm | undefined
  currentOwner (engine: string): EngineOwner | undefined
  /** Owners of the current terms of this process. */
  currentOwners (): EngineOwner[]
  /** Owners of all terms of this process, including ended ones with running requests. */
  allOwners (): EngineOwner[]
  /** Engines whose reports this node needs. */
  watchedEngines (): string[]
  /** True while a successor has not acknowledged the end of a term of this process. */
  readonly hasUnacknowledgedNotice: boolean
  readonly hasOtherCandidates: boolean
}

type TermEndNotice = { term: number, to: string, version: number, content: string, sentAt: number, isAcknowledged: boolean, since: number }

const noticeRetryMs = 1_000
/** Decisions for 600 engines take less than 1 ms; this interval keeps them below 1 % of a CPU core. */
const decisionIntervalMs = 250
const snapshotMaxRecords = 1_000
const snapshotTurnMs = 5_000

export type EnginesEnv = Omit<EngineOwnerEnv, 'append' | 'staleFenceSeen'> & {
  isLeaving (engine: string): boolean
}

export const createEngines = (ctx: CoreContext, streams: LogStreams, peers: Peers, env: EnginesEnv): Engines => {
  const { cfg } = ctx
  const ownership = createOwnershipReducer()
  const takeoverPolicy = createTakeoverPolicy({ node: cfg.node, incarnation: cfg.incarnation, ...takeoverDefaults })
  const schedule = createSnapshotSchedule({ self: cfg.node, retentionMs: cfg.logRetentionMs, maxRecords: snapshotMaxRecords, turnMs: snapshotTurnMs })
  const currentTerms = new Map<string, EngineOwner>()
  /** Ended terms of this process by engine. A successor needs an acknowledgement even if no requests are running. */
  const formerTerms = new Map<string, EngineOwner[]>()
  const notices = new Map<string, TermEndNotice>()
  const nextClearAt = new Map<string, number>()
  const preferredNodes = new Map<string, string | undefined>()
  let preferredVersion = -1
  let listedEngines: Instance[] = []
  let caughtUp = false
  let nextDecisionAt = -Infinity

  const isSelf = (process: ProcessId): boolean => process.node === cfg.node && process.incarnation === cfg.incarnation

  const ownerEnv: EngineOwnerEnv = {
    ...env,
    append: (values, done) => streams.append('ownership', values, done),
    staleFenceSeen: (engine, now) => staleFenceSeen(engine, now)
  }

  const beginTerm = (term: OwnerTerm, now: number): void => {
    const { engine } = term
    ctx.record('term-begins', { engine }, `term ${term.term}`)
    const earlierOwner = formerTerms.get(engine)?.at(-1)
    // Requests of an earlier term of this process are treated like those of any predecessor.
    const ownPredecessors = earlierOwner === undefined ? [] : [{ node: cfg.node, incarnation: cfg.incarnation, term: earlierOwner.term }]
    const owner = createEngineOwner(ctx, ownerEnv, term, [...ownership.predecessors(engine), ...ownPredecessors], ownership.unresolvedIntents(engine))
    currentTerms.set(engine, owner)
    owner.start(now)
    if (env.isLeaving(engine)) {
      owner.pause('leaving', now)
    }
    applyPredecessorEnds(owner, now)
  }

  const endTerm = (engine: string, now: number): void => {
    const owner = currentTerms.get(engine)
    if (owner === undefined) {
      return
    }
    ctx.record('term-ends', { engine }, `term ${owner.term}`)
    currentTerms.delete(engine)
    formerTerms.set(engine, [...formerTerms.get(engine) ?? [], owner])
    owner.end(now)
  }

  const ownerChanged = (term: OwnerTerm, now: number): void => {
    nextClearAt.delete(term.engine)
    if (isSelf(term)) {
      endTerm(term.engine, now)
      beginTerm(term, now)
      return
    }
    endTerm(term.engine, now)
    // The record of a new process proves that all earlier processes of its node have ended.
    incarnationSeen(term, now)
  }

  const applyChange = (change: OwnershipChange, now: number): void => {
    switch (change.type) {
      case 'owner': return ownerChanged(change.term, now)
      case 'intent': return currentTerms.get(change.intent.engine)?.intentRead(change.intent, change.authorised, now)
      case 'restored': return reconcileTerms(now)
      default:
    }
  }

  const reconcileTerms = (now: number): void => {
    for (const owner of [...currentTerms.values()].filter(({ engine, term }) => ownership.owner(engine)?.term !== term)) {
      endTerm(owner.engine, now)
    }
    // A term that this process has ended is not begun again, because its handles must stay unique.
    const isNew = (term: OwnerTerm): boolean => !currentTerms.has(term.engine) && formerTerms.get(term.engine)?.every(owner => owner.term !== term.term) !== false
    ownership.ownedBy(cfg.node).filter(term => isSelf(term) && isNew(term)).forEach(term => beginTerm(term, now))
  }

  const recordSnapshot = (value: unknown, now: number): void => {
    const record = value as { type?: unknown, revision?: number, part?: number } | null
    if (record?.type === 'snapshot' && record.part === 0) {
      schedule.snapshotRead(record.revision ?? -1, now)
    }
  }

  const applyRecords = ({ gap, records }: TailProgress, now: number): void => {
    if (gap !== undefined) {
      ownership.skipTo(gap.to).forEach(change => applyChange(change, now))
    }
    for (const entry of records) {
      // Records are applied one at a time, because a term begins with the predecessors and intents as of its record.
      ownership.apply(entry).forEach(change => applyChange(change, now))
      recordSnapshot(entry.value, now)
    }
    caughtUp ||= tail.caughtUp && ownership.complete
    sendNotices(now)
  }

  const tail = streams.follow('ownership', { read: (progress, _bounds, now) => applyRecords(progress, now), readFailed: () => {} })

  const staleFenceSeen = (engine: string, now: number): void => {
    // The engine has seen a newer owner that this node has not read yet, so the owner pauses until the log shows it.
    currentTerms.get(engine)?.pause('stale', now)
    tail.requestRead()
  }

  /** Passes evidence that earlier processes have ended to the pins, including evidence from before the term. */
  const applyPredecessorEnds = (owner: EngineOwner, now: number): void => {
    for (const process of ownership.predecessors(owner.engine)) {
      if (peers.hasLeftList(process)) {
        owner.pins.instanceRemoved(process.node, now)
      }
      const member = peers.member(process.node)
      if (member !== undefined && member.incarnation > process.incarnation) {
        owner.pins.incarnationSeen({ node: process.node, incarnation: member.incarnation }, now)
      }
    }
    if (formerTerms.has(owner.engine)) {
      owner.pins.acknowledged({ node: cfg.node, incarnation: cfg.incarnation }, owner.term, runningOf(owner.engine), now)
    }
  }

  const incarnationSeen = (process: ProcessId, now: number): void => {
    for (const owner of currentTerms.values()) {
      owner.pins.incarnationSeen(process, now)
    }
  }

  const preferredNode = (engine: Instance, nodes: NodeInfo[]): string | undefined => {
    if (preferredVersion !== peers.version) {
      preferredNodes.clear()
      preferredVersion = peers.version
    }
    if (!preferredNodes.has(engine.id)) {
      preferredNodes.set(engine.id, topNode(engine.id, nodes.map(({ id, zone }) => ({ id, group: zone })), engine.zone)?.id)
    }
    return preferredNodes.get(engine.id)
  }

  const rankOfSelf = (engine: Instance, nodes: NodeInfo[]): number | undefined => {
    const ranked = rankNodes(engine.id, nodes.map(({ id, zone }) => ({ id, group: zone })), engine.zone)
    const rank = ranked.findIndex(({ id }) => id === cfg.node)
    return rank < 0 ? undefined : rank
  }

  const takeoverInput = (engine: Instance, nodes: NodeInfo[], now: number): TakeoverInput => {
    const owner = ownership.owner(engine.id)
    const base = { engine: engine.id, latest: owner?.latest ?? -1, term: owner?.term ?? -1 }
    if (owner !== undefined && isSelf(owner)) {
      return { ...base, owner: 'self', rank: undefined }
    }
    const status = owner === undefined ? 'none' : peers.status(owner, now)
    // A live owner loses an engine only to the first-ranked node, so the full ranking is not needed.
    const rank = status === 'live'
      ? (preferredNode(engine, nodes) === cfg.node ? 0 : undefined)
      : rankOfSelf(engine, nodes)
    return { ...base, owner: status, rank }
  }

  const takeOver = (now: number): void => {
    if (!caughtUp || !ownership.complete || !peers.hasInstanceList || peers.leaving || peers.superseded) {
      return
    }
    const nodes = peers.accepting().filter(({ region }) => region === cfg.region)
    const records = takeoverPolicy.decide(listedEngines.map(engine => takeoverInput(engine, nodes, now)), now)
    if (records.length === 0) {
      return
    }
    records.forEach(record => ctx.record('takeover', { engine: record.engine }, `after ${record.after}`))
    const engines = records.map(({ engine }) => engine)
    streams.append('ownership', records, (result, finishedAt) => takeoverPolicy.appendFinished(engines, result, finishedAt))
  }

  /** Clears the predecessors in the log, so that a later owner does not need evidence of their end again. */
  const clearPredecessors = (owner: EngineOwner, now: number): void => {
    const { engine } = owner
    const term = ownership.owner(engine)
    const due = now >= (nextClearAt.get(engine) ?? -Infinity)
    if (term === undefined || ownership.predecessors(engine).length === 0 || !owner.pins.predecessorsReleased || !due || !streams.reachable) {
      return
    }
    nextClearAt.set(engine, now + 5_000)
    const record = { type: 'owner', engine, node: cfg.node, incarnation: cfg.incarnation, after: term.latest }
    streams.append('ownership', [record], () => {})
  }

  const runningOf = (engine: string): RunningRequest[] => (formerTerms.get(engine) ?? []).flatMap(owner => owner.running())

  const noticeFor = (engine: string, term: OwnerTerm, running: RunningRequest[], now: number): TermEndNotice => {
    const previous = notices.get(engine)
    const content = JSON.stringify(running)
    if (previous !== undefined && previous.term === term.term && previous.content === content) {
      return previous
    }
    const version = previous?.term === term.term ? previous.version + 1 : 1
    const since = previous?.term === term.term ? previous.since : now
    const notice: TermEndNotice = { term: term.term, to: term.node, version, content, sentAt: -Infinity, isAcknowledged: false, since }
    notices.set(engine, notice)
    return notice
  }

  const sendNotice = (engine: string, now: number): void => {
    const term = ownership.owner(engine)
    if (term === undefined || isSelf(term)) {
      notices.delete(engine)
      return
    }
    const running = runningOf(engine)
    const notice = noticeFor(engine, term, running, now)
    if (!notice.isAcknowledged && now - notice.sentAt >= noticeRetryMs) {
      notice.sentAt = now
      peers.send(term.node, { type: 'term-ended', engine, term: term.term, number: notice.version, running })
    }
  }

  const dropIdleTerms = (engine: string): void => {
    const owners = (formerTerms.get(engine) ?? []).filter((owner, index, all) => index === all.length - 1 || owner.running().length > 0)
    formerTerms.set(engine, owners)
  }

  const sendNotices = (now: number): void => {
    for (const engine of formerTerms.keys()) {
      dropIdleTerms(engine)
      sendNotice(engine, now)
    }
  }

  const appendSnapshot = (now: number): void => {
    if (!ownership.complete || !streams.reachable || !schedule.isDue(ownership.nextOffset, peers.live(), now)) {
      return
    }
    schedule.appendStarted(now)
    streams.append('ownership', splitOwnershipSnapshot(ownership.entries(), ownership.nextOffset - 1, `${cfg.node}/${cfg.incarnation}/${ownership.nextOffset}`), () => {})
  }

  const decide = (now: number): void => {
    takeOver(now)
    for (const owner of currentTerms.values()) {
      applyPredecessorEnds(owner, now)
      clearPredecessors(owner, now)
    }
    sendNotices(now)
    appendSnapshot(now)
  }

  const predecessorsDown = (engine: string, now: number): boolean => {
    const processes = ownership.predecessors(engine)
    return processes.length > 0 && processes.every(process => peers.status(process, now) === 'down')
  }

  return {
    tick (now) {
      currentTerms.forEach(owner => owner.tick(now))
      if (now >= nextDecisionAt) {
        nextDecisionAt = now + decisionIntervalMs
        decide(now)
      }
    },
    setListed (engines) {
      listedEngines = engines.filter(({ region }) => region === cfg.region)
    },
    applyReport (report, now) {
      currentTerms.get(report.engine)?.applyReport(report, predecessorsDown(report.engine, now), now)
    },
    receiveTermEnded (from, message, now) {
      const { engine, term, number, running } = message
      const accepted = currentTerms.get(engine)?.pins.acknowledged(from, term, running, now) === true
      // A notice for a term whose record has not been read is not acknowledged; the sender repeats it.
      const hasRead = (ownership.owner(engine)?.term ?? -1) >= term
      const isPredecessor = ownership.predecessors(engine).some(process => process.node === from.node && process.incarnation === from.incarnation)
      if (accepted || (hasRead && !isPredecessor)) {
        peers.send(from.node, { type: 'term-ended-ack', engine, term, number })
      }
    },
    receiveTermEndedAck ({ engine, term, number }) {
      const notice = notices.get(engine)
      if (notice?.term === term && notice.version === number) {
        notice.isAcknowledged = true
      }
    },
    staleFenceSeen,
    ownerTerm: ownership.owner,
    currentOwner: engine => currentTerms.get(engine),
    currentOwners: () => [...currentTerms.values()],
    allOwners: () => [...currentTerms.values(), ...[...formerTerms.values()].flat()],
    watchedEngines: () => [...currentTerms.keys()],
    get hasUnacknowledgedNotice () {
      return [...notices.values()].some(({ isAcknowledged }) => !isAcknowledged)
    },
    get hasOtherCandidates () {
      return peers.accepting().some(({ id, region }) => id !== cfg.node && region === cfg.region)
    }
  }
}
