/** Manages the engines that this node owns: claims them in the fleet log, runs their scheduler and sends its commands. */
import type { Dispatcher } from 'undici'
import type { BlockedParts } from './blocked-parts'
import type { AdapterVersion, BackendServer, EngineCommand, EngineCommandResult } from './cluster-types'
import { createCrashEvidence, type EvidenceAction, type EvidenceMessage } from './crash-evidence'
import type { DecisionLog } from './decision-log'
import { createEngineOwnership, type Claim, type EngineOwnership, type FleetMember } from './engine-ownership'
import { createEngineScheduler, type EngineStatus, type EngineUse, type OwnedEngine, type RunOutcome, type ScheduledRequest, type SchedulerAction } from './engine-scheduler'
import type { GatewayMetrics } from './gateway-metrics'
import type { EngineControl, FleetLog } from './platform-interface'
import type { GrantMessage } from './grant-client'
import { createLogFreshness, type LogFreshness } from './log-freshness'
import { eraOf } from './log-position'
import { createLogProbeSchedule } from './log-probe'
import { sharedPartIds } from './prompt-cache'
import { startKey } from './server-registry'
import { reportServerUse } from './server-use'

export type EngineOwnerOptions = {
  name: string
  zone: string
  incarnation: number
  capacity: number
  leaseMs: number
  versionMs: number
  now (): number
  log: DecisionLog
  metrics: GatewayMetrics
  fleetLog: FleetLog
  /** Offset up to which this process has read the fleet log. */
  logPosition (): number | undefined
  engineControl: EngineControl
  /** Whether this node reaches no engine of the service of this one itself. Only the owner may give commands, so no other node can pass them on. */
  linksCut (engine: string): boolean
  /** Sends questions to the engine through other nodes while this node's links are cut. */
  relay (server: BackendServer): Dispatcher | undefined
  /** Engines of all services that accept requests, with their limits. */
  listEngines (): OwnedEngine[]
  members (): FleetMember[]
  /** Number of nodes, this one included. */
  fleetSize (): number
  /** Asks nodes whether they can read the fleet log: a few random ones, or all nodes, this one included. */
  probeLog (nodes: 'some' | 'all'): void
  /** Tells all nodes up to where this process knows the fleet log; they confirm it. */
  announceLogEnd (): void
  /** Sends a reply to the node that received the request. @returns whether it was delivered */
  send (node: string, message: GrantMessage): Promise<boolean>
  blockedParts: Pick<BlockedParts, 'find' | 'wasBlocked'>
  /** A prompt part crashed several engines, so that no node may send it any more. */
  blockPart (part: string, engines: string[]): void
  /** Tells the other owners of engines what this one has seen of a crash. */
  shareEvidence (message: EvidenceMessage): void
  /** Called after records were appended, so that the log is read at once. */
  appended (): void
}

export type EngineOwner = {
  ownership: EngineOwnership
  freshness: LogFreshness
  receive (from: string, message: GrantMessage): void
  /**
   * Another owner has sent its status.
   *
   * @param logNext - offset up to which it has read the fleet log
   */
  receiveStatus (node: string, logNext: number): void
  /** A node has confirmed that it knows of the fleet log up to `end`. */
  receiveLogEnd (node: string, end: number): void
  /** Applies what another owner has seen of a crash. */
  receiveEvidence (message: EvidenceMessage): void
  /** @param writtenAfter - time after which the version was announced, in ms; -Infinity if unknown */
  setVersion (version: AdapterVersion, writtenAfter: number): void
  nodeLost (node: string): void
  /** Handles claims, deadlines and reports; called every few tens of ms. */
  tick (): void
  /** Called when the engines or their owners may have changed. */
  refresh (): void
  /** Claims no more engines, because this node is leaving. */
  stopClaiming (): void
  /** Gives no more commands, because the process ends. */
  stopCommands (): void
  status (): { engines: (EngineStatus & { commandable: boolean })[], waiting: number }
  /** @returns how this node uses an engine, if it owns the engine */
  engineUse (engine: string): EngineUse | undefined
  ownsEngines (): boolean
}

/** Time for which replies are stored in case the request for a grant arrives again, in ms. */
const replyRetentionMs = 4000
/** Delay between two attempts to claim engines, in ms: long enough for the log to show the first. */
const claimRetryMs = 400
/** The same delay if another node's append came first, in ms: the log is read within a few ms. */
const claimConflictRetryMs = 80

/** Interval at which nodes are told of a claim until most of them have confirmed it, in ms. */
const announceIntervalMs = 250

/** Number of attempts for a command without a response. All state the same expected count, so the engine accepts at most one. */
const maxCommandAttempts = 3

/** A conflict on a retried command means that an earlier attempt was accepted, since no other node gives commands. */
function commandOutcome (result: EngineCommandResult, attempt: number): EngineCommandResult {
  return result === 'conflict' && attempt > 1 ? 'accepted' : result
}

type SentReply = { message: GrantMessage, at: number }

/** A request that waits for a grant. */
type Submission = { node: string, service: string, parts: string[], deadlineAt: number }

export function createEngineOwner (options: EngineOwnerOptions): EngineOwner {
  const { now, log } = options
  const freshness = createLogFreshness()
  const ownership = createEngineOwnership({ name: options.name, incarnation: options.incarnation, zone: options.zone, capacity: options.capacity, leaseMs: options.leaseMs }, now())
  const sentReplies = new Map<string, SentReply>()
  const submissions = new Map<string, Submission>()
  const evidence = createCrashEvidence({
    isBlocked: part => options.blockedParts.find([part], now()) !== undefined,
    wasBlocked: options.blockedParts.wasBlocked
  })
  let claimsStopped = false
  let commandsStopped = false
  let nextClaimAt = 0
  let nextAnnouncementAt = 0
  const probeSchedule = createLogProbeSchedule()
  let nextTimer: NodeJS.Timeout | undefined

  function mayCommand (engine: string, at: number): boolean {
    const from = ownership.commandsFrom(engine)
    return !commandsStopped && !options.linksCut(engine) && from !== undefined && from <= at && freshness.excludesNewOwner(at, options.fleetSize())
  }

  const scheduler = createEngineScheduler({ versionMs: options.versionMs, mayCommand })

  function reply (node: string, message: GrantMessage & { id: string }): void {
    sentReplies.set(message.id, { message, at: now() })
    options.send(node, message).then(delivered => {
      // A node that cannot be reached cannot use the grant.
      if (!delivered && message.kind === 'granted') {
        log.warn('grant-not-delivered', { id: message.id, asker: node })
        perform(scheduler.ended(message.id, 'cancelled', now()))
      }
    }).catch(err => { log.error('grant-failed', { id: message.id, reason: (err as Error).message }) })
  }

  async function command (action: SchedulerAction & { type: 'command' }): Promise<void> {
    const server = options.listEngines().find(({ server }) => server.id === action.engine)?.server
    const term = ownership.term(action.engine)
    if (server === undefined || term === undefined || !mayCommand(action.engine, now())) {
      // The command was not sent, so nothing changed at the engine.
      return perform(scheduler.commandFinished(action.engine, 'conflict', now()))
    }
    const { operation, model, adapter, version, expectedCount } = action.command
    const engineCommand: EngineCommand = {
      operation,
      model,
      ...(adapter === undefined ? {} : { adapter }),
      ...(version === undefined ? {} : { version }),
      expectedCount,
      holder: options.name,
      fencingToken: term.token
    }
    for (let attempt = 1; ; attempt++) {
      const sentAt = now()
      const outcome = await options.engineControl.command(server, engineCommand)
      const result = commandOutcome(outcome, attempt)
      options.metrics.command(operation, result)
      log.info('engine-command', { engine: action.engine, operation, model, adapter, version, expectedCount, attempt, token: term.token, logAgeMs: Math.round(freshness.ageMs(sentAt)), result: outcome, tookMs: Math.round(now() - sentAt) })
      const retry = result === 'unknown' && attempt < maxCommandAttempts && mayCommand(action.engine, now())
      if (!retry) return perform(scheduler.commandFinished(action.engine, result, now()))
    }
  }

  async function report (engine: string): Promise<void> {
    const server = options.listEngines().find(({ server }) => server.id === engine)?.server
    const engineReport = server === undefined ? undefined : await options.engineControl.report(server, options.relay(server))
    log.info('engine-report', { engine, found: engineReport !== undefined, commandCount: engineReport?.commandCount, queued: engineReport?.queued, active: engineReport?.active })
    perform(scheduler.applyReport(engine, engineReport, now()))
  }

  function performEvidence (actions: EvidenceAction[]): void {
    for (const action of actions) {
      if (action.type === 'block') {
        options.blockPart(action.part, action.engines)
        continue
      }
      if (action.type !== 'share') continue
      const { message } = action
      if (message.kind === 'loss') log.info('engine-lost', { ...message.loss })
      options.shareEvidence(message)
    }
  }

  /** Refuses a request whose prompt has a part that crashes engines. @returns whether it was refused */
  function refuseBlockedPart (id: string, { node, parts }: Submission): boolean {
    const blocked = options.blockedParts.find(parts, now())
    if (blocked === undefined) return false
    options.metrics.refused('blocked-part')
    log.info('place-refused', { id, asker: node, reason: 'blocked-part', part: blocked.part, retryAfterMs: Math.round(blocked.remainingMs) })
    reply(node, { kind: 'refused', id, reason: 'blocked-part', retryAfterMs: Math.round(blocked.remainingMs) })
    return true
  }

  /** @returns whether the request may be sent to the engine */
  function startRun (id: string, engine: string): boolean {
    const submission = submissions.get(id)
    submissions.delete(id)
    if (submission === undefined) return true
    if (refuseBlockedPart(id, submission)) return false
    const bornAt = options.listEngines().find(({ server }) => server.id === engine)?.server.bornAt ?? 0
    const { service, parts, deadlineAt } = submission
    evidence.started({ id, service, engine: startKey({ id: engine, bornAt }), parts, deadlineAt })
    return true
  }

  function perform (actions: SchedulerAction[]): void {
    for (const action of actions) {
      switch (action.type) {
        case 'grant':
          if (!startRun(action.request, action.engine)) {
            perform(scheduler.ended(action.request, 'cancelled', now()))
            break
          }
          options.metrics.queueWait(action.waitedMs / 1000)
          log.info('place-granted', { id: action.request, asker: action.node, server: action.engine, version: action.version, waitedMs: Math.round(action.waitedMs), running: action.running, prefillMs: Math.round(action.prefillMs) })
          reply(action.node, { kind: 'granted', id: action.request, engine: action.engine, ...(action.version === undefined ? {} : { version: action.version }) })
          break
        case 'refuse':
          submissions.delete(action.request)
          options.metrics.refused(action.reason)
          log.info('place-refused', { id: action.request, asker: action.node, reason: action.reason, waitedMs: Math.round(action.waitedMs), retryAfterMs: action.retryAfterMs, waiting: scheduler.waitingCount() })
          reply(action.node, { kind: 'refused', id: action.request, reason: action.reason, retryAfterMs: action.retryAfterMs })
          break
        case 'command':
          command(action).catch(err => { log.error('engine-command-failed', { engine: action.engine, reason: (err as Error).message }) })
          break
        case 'report':
          report(action.engine).catch(err => { log.error('engine-report-failed', { engine: action.engine, reason: (err as Error).message }) })
          break
        case 'use':
          reportServerUse(options.listEngines().find(({ server }) => server.id === action.change.server)?.server.service, action.change, log, options.metrics)
      }
    }
    scheduleNext()
  }

  /** Schedules a decision for the time at which the next load should be done, which may be before the next tick. */
  function scheduleNext (): void {
    const at = scheduler.nextDecisionAt(now())
    if (at === undefined || nextTimer !== undefined) return
    nextTimer = setTimeout(() => {
      nextTimer = undefined
      perform(scheduler.tick(now()))
    }, Math.max(1, Math.ceil(at - now())))
  }

  function ownedEngines (): OwnedEngine[] {
    const ids = new Set(ownership.owned().map(({ engine }) => engine))
    return options.listEngines().filter(({ server }) => ids.has(server.id))
  }

  function refresh (): void {
    const owned = ownedEngines()
    perform(scheduler.setEngines(owned, now()))
    options.metrics.gauge('engines_owned', owned.length)
  }

  async function claim (): Promise<void> {
    const position = options.logPosition()
    if (claimsStopped || position === undefined || now() < nextClaimAt) return
    const era = eraOf(position)
    const confirmable = ownership.confirmable(now())
    const lost = ownership.recordedBefore(era).filter(({ engine }) => !confirmable.includes(engine))
    const engines = options.listEngines().map(({ server }) => server)
    const { claims, challenges } = ownership.plan(engines, options.members(), now(), era)
    if (claims.length + confirmable.length + lost.length + challenges.length === 0) return
    nextClaimAt = now() + claimRetryMs
    // With a confirmation, which names no former owner, a new process of this node does not wait for it again.
    const ownerRecords = [...claims, ...lost, ...confirmable.map((engine): Omit<Claim, 'reason'> => ({ engine }))].map(({ engine, after, alone }) => ({
      key: `owner/${engine}`,
      value: { type: 'owner' as const, engine, node: options.name, incarnation: options.incarnation, era, ...(after === undefined ? {} : { after }), ...(alone === undefined ? {} : { alone }) }
    }))
    const records = [...ownerRecords, ...challenges.map(value => ({ key: `challenge/${value.node}`, value }))]
    const result = await options.fleetLog.append(records, position)
    if (challenges.length > 0) log.info('owners-challenged', { challenges, at: position, result: result.val })
    if (ownerRecords.length > 0) log.info('engines-claimed', { engines: claims.map(({ engine }) => engine), reasons: claims.map(({ reason }) => reason), settled: confirmable, recordedAgain: lost.map(({ engine }) => engine), at: position, result: result.val })
    if (result.err && result.val === 'conflict') nextClaimAt = now() + claimConflictRetryMs
    options.appended()
  }

  /** If this node cannot read the log, asks whether other nodes can. */
  function probe (): void {
    if (ownership.owned().length === 0) return
    const nodes = probeSchedule.nodesToAsk(freshness.ageMs(now()), now())
    if (nodes !== 'none') options.probeLog(nodes)
  }

  /** Tells all nodes of a claim that most of them may not know yet. */
  function announce (): void {
    if (now() < nextAnnouncementAt || !ownership.unconfirmed(now())) return
    nextAnnouncementAt = now() + announceIntervalMs
    options.announceLogEnd()
  }

  function dropOldReplies (): void {
    for (const [id, { at }] of sentReplies) {
      if (now() - at < replyRetentionMs) return
      sentReplies.delete(id)
    }
  }

  function acquire (node: string, request: (GrantMessage & { kind: 'acquire' })['place']): void {
    const sent = sentReplies.get(request.id)
    if (sent !== undefined) {
      options.send(node, sent.message).catch(err => { log.error('grant-failed', { id: request.id, reason: (err as Error).message }) })
      return
    }
    const { objectiveInMs, startInMs, deadlineInMs, ...rest } = request
    const submission: Submission = { node, service: request.service, parts: sharedPartIds(request.demand), deadlineAt: now() + deadlineInMs }
    if (refuseBlockedPart(request.id, submission)) return
    submissions.set(request.id, submission)
    const req: ScheduledRequest = { ...rest, node, objectiveAt: now() + objectiveInMs, startBy: now() + startInMs, deadlineAt: now() + deadlineInMs }
    perform(scheduler.submit(req, now()))
  }

  function ended (id: string, outcome: RunOutcome): void {
    submissions.delete(id)
    performEvidence(evidence.ended(id, outcome, now()))
  }

  return {
    ownership,
    freshness,
    receive (from, message) {
      switch (message.kind) {
        case 'acquire': return acquire(from, message.place)
        case 'cancel':
          ended(message.id, 'cancelled')
          return perform(scheduler.cancel(message.id, now()))
        case 'first-event':
          evidence.firstEvent(message.id, now())
          return perform(scheduler.firstEvent(message.id, now()))
        case 'ended': {
          const outcome = message.unusable === undefined ? message.outcome : 'unusable'
          ended(message.id, outcome)
          return perform(scheduler.ended(message.id, outcome, now()))
        }
      }
    },
    receiveStatus (node, logNext) {
      ownership.heard(node, now())
      freshness.peerPosition(logNext)
    },
    receiveLogEnd: (node, end) => ownership.nodeKnows(node, end, options.fleetSize(), now()),
    receiveEvidence: message => performEvidence(evidence.receive(message, now())),
    setVersion: (version, writtenAfter) => perform(scheduler.setVersion(version, writtenAfter, now())),
    nodeLost (node) {
      for (const [id, submission] of submissions) {
        if (submission.node === node) submissions.delete(id)
      }
      perform(scheduler.nodeLost(node, now()))
    },
    tick () {
      dropOldReplies()
      performEvidence(evidence.tick(now()))
      perform(scheduler.tick(now()))
      probe()
      announce()
      claim().catch(err => { log.error('claim-failed', { reason: (err as Error).message }) })
      options.metrics.gauge('waiting', scheduler.waitingCount())
    },
    refresh,
    stopClaiming () {
      claimsStopped = true
    },
    stopCommands () {
      commandsStopped = true
    },
    status: () => ({
      engines: scheduler.status(now()).map(engine => ({ ...engine, commandable: mayCommand(engine.id, now()) })),
      waiting: scheduler.waitingCount()
    }),
    engineUse: engine => scheduler.use(engine, now()),
    ownsEngines: () => ownership.owned().length > 0
  }
}
