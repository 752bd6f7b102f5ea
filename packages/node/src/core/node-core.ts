/** Composes the decision logic of one node. It performs no I/O: events and the time are passed in, actions are returned. */
import { createCompletions } from './completions'
import { createConfiguration, type Configuration } from './configuration'
import type { CoreHooks, NodeCoreConfig } from './core-config'
import { createCoreContext } from './core-context'
import { createEngines } from './engines'
import { createInstances } from './instances'
import { createLogStreams } from './log-streams'
import type { CoreAction, CoreEvent, Envelope, NodeCore, AgedLoadHint } from './core-events'
import { createOrders } from './orders'
import type { CoreMessage } from './peer-messages'
import { createPeers, type NodeInfo, type Peers } from './peers'
import { createPermits } from './permits'
import { createRouting, type EngineRoute } from './routing'

export type AddressQuery = { model?: string, class?: string, zone?: string, service?: string }

export type AddressResponse = {
  addresses: { address: string, zone: string }[]
  /** Time for which callers may cache the response, in ms. */
  keepForMs: number
  revision: number
  orderKeyPrefix?: string
}

export type NodeStatus = {
  node: string
  incarnation: number
  revision: number
  leaving: boolean
  engines: { engine: string, term: number, running: number, queued: number, accepting: boolean }[]
  members: { id: string, zone: string, region: string }[]
  ordersInProgress: number
}

/** A core with queries that change no state apart from soft hints. */
export type QueryableCore = NodeCore & {
  step (event: CoreEvent, now: number): CoreAction[]
  /** @returns engines of the model and their owners, best first */
  route (model: string, adapter: string, className: string, now: number): EngineRoute[]
  addresses (query: AddressQuery, now: number): AddressResponse
  /** Current configuration revision; -1 before the first. */
  revision (): number
  status (now: number): NodeStatus
  /** Engines whose reports this node needs. */
  watchedEngines (): string[]
  /** Load of this node's engines, for nodes that forward requests here. */
  loadHints (now: number): AgedLoadHint[]
  readonly configuration: Pick<Configuration, 'state' | 'outcome'>
}

const addressCacheMs = 5_000
/** Enough alternatives for a caller when some nodes fail, in a system of hundreds of nodes. */
const maxAddresses = 8
const hintIntervalMs = 1_000
/** Maximum time that a leaving node waits for its successors to acknowledge the end of its terms. */
const maxHandoverMs = 10_000
/** Less than the 2 s of suspicion after which other nodes declare a silent node dead. */
const maxSilenceMs = 1_500

const parseModelName = (model: string): { model: string, adapter: string, version: string } => {
  const [base = '', rest = ''] = model.split(':')
  const [adapter = '', version = ''] = rest.split('@')
  return { model: base, adapter, version }
}

/** @param hooks - disable single rules in tests; the daemon passes none */
export const createNodeCore = (cfg: NodeCoreConfig, hooks: CoreHooks = {}): QueryableCore => {
  const ctx = createCoreContext(cfg, hooks)
  const streams = createLogStreams(ctx)
  const configuration: Configuration = createConfiguration(ctx, streams, () => peers, now => engines.currentOwners().forEach(owner => owner.classesChanged(now)))
  const peers: Peers = createPeers(ctx, { revision: () => configuration.revision })
  const instances = createInstances(ctx, peers, (instance, isLeaving, now) => leavingChanged(instance, isLeaving, now))
  const permits = createPermits(ctx, peers, (engine, permitId, expiresAt, now) => {
    const owner = engines.currentOwner(engine)
    if (owner === undefined) {
      permits.release(permitId, true, now)
    } else {
      owner.permitGranted(permitId, expiresAt, now)
    }
  })
  const pendingCommands = new Map<number, (result: Extract<CoreEvent, { type: 'engine-command-result' }>['result'], now: number) => void>()
  const engines = createEngines(ctx, streams, peers, {
    command (engine, command, fence, done) {
      lastCommandToken += 1
      pendingCommands.set(lastCommandToken, done)
      ctx.emit({ type: 'engine-command', engine, token: lastCommandToken, command, fence })
    },
    requestPermit: permits.request,
    returnPermit: permits.release,
    classes: configuration.classes,
    resubmit: (entry, now) => completions.resubmit(entry, now),
    isLeaving: instances.isLeaving
  })
  const routing = createRouting(ctx, configuration, instances, engines, peers)
  const completions = createCompletions(ctx, configuration, routing, engines, peers, (engine, now) => instances.receiveLeaving(engine, -1, now))
  const orders = createOrders(ctx, streams, peers, instances)
  const engineIncarnations = new Map<string, number>()
  let lastCommandToken = 0
  let hintsUpdatedAt = -Infinity
  let drainedAt: number | undefined
  let exiting = false
  let lastStepAt: number | undefined
  let lastMessageAt: number | undefined

  /** After a pause or a time without messages from peers, other nodes may have declared this node dead. */
  const checkContinuity = (now: number): void => {
    const wasPaused = lastStepAt !== undefined && now - lastStepAt > maxSilenceMs
    const isIsolated = peers.live().length > 1 && now - (lastMessageAt ?? now) > maxSilenceMs
    lastMessageAt ??= now
    lastStepAt = now
    if (wasPaused || isIsolated) {
      orders.invalidateReads(now)
    }
  }

  const leavingChanged = (instance: string, isLeaving: boolean, now: number): void => {
    if (hooks.ignoreLeaving === true) {
      return
    }
    if (isLeaving) {
      engines.currentOwner(instance)?.pause('leaving', now)
    } else {
      engines.currentOwner(instance)?.unpause('leaving')
    }
  }

  const recordIncarnation = (engine: string, incarnation: number, now: number): void => {
    const previous = engineIncarnations.get(engine)
    engineIncarnations.set(engine, incarnation)
    if (previous !== undefined && previous !== incarnation) {
      instances.instanceRestarted(engine, now)
    }
  }

  const receive = (envelope: Envelope, now: number): void => {
    const { from, incarnation } = envelope
    const message = envelope.message as CoreMessage
    lastMessageAt = now
    configuration.revisionSeen(from, envelope.revision, now)
    switch (message.type) {
      case 'membership': return peers.receive(envelope, now)
      case 'term-ended': return engines.receiveTermEnded({ node: from, incarnation }, message, now)
      case 'term-ended-ack': return engines.receiveTermEndedAck(message)
      case 'permit-ask': return permits.receiveRequest(from, message.engine, message.urgency, now)
      case 'permit-grant': return permits.receiveGrant(message.engine, message.permitId, message.remainingMs, now)
      case 'permit-return': return permits.receiveReturn(message.permitId, message.unused, now)
      case 'config-request': return configuration.receiveRequest(from)
      case 'config-state': return configuration.receiveState(message.state, now)
      case 'leaving': return instances.receiveLeaving(message.instance, message.asOf, now)
      case 'claim-heads': return orders.receiveHeads(message.heads)
      case 'order': return orders.receiveOrder(from, message.order, now)
      case 'key-query': return orders.receiveKeyQuery(from, message.orderId, message.key)
      case 'key-answer': return orders.receiveKeyReply(from, message.orderId, message.seen)
      case 'order-confirm': return orders.receiveConfirmRequest(from, message.orderId)
      case 'order-confirmed': return orders.receiveConfirmation(message.orderId, message.wanted, now)
      case 'order-reply': return orders.receiveReply(from, message.orderId, message.reply)
    }
  }

  /** Updates the load of the node's own engines; that of other engines arrives with responses to forwarded requests. */
  const updateHints = (now: number): void => {
    if (now < hintsUpdatedAt + hintIntervalMs) {
      return
    }
    hintsUpdatedAt = now
    engines.currentOwners().flatMap(owner => owner.loadHint(now) ?? []).forEach(hint => routing.applyHint(hint, now))
  }

  const isFinished = (now: number): boolean => {
    const hasWork = engines.allOwners().some(owner => owner.running().length > 0 || (owner.queued > 0 && owner.accepting))
    if (hasWork || completions.unroutedCount > 0 || orders.pendingCount > 0) {
      return false
    }
    const waitsForSuccessor = engines.hasOtherCandidates && streams.reachable && (engines.currentOwners().length > 0 || engines.hasUnacknowledgedNotice)
    return !waitsForSuccessor || now - (drainedAt ?? now) > maxHandoverMs
  }

  const checkExit = (now: number): void => {
    if (drainedAt !== undefined && !exiting && isFinished(now)) {
      exiting = true
      completions.close()
      ctx.emit({ type: 'ready-to-exit' })
    }
  }

  const tick = (now: number): void => {
    peers.tick(now)
    configuration.tick(now)
    engines.tick(now)
    permits.tick(now)
    completions.tick(now)
    orders.tick(now)
    updateHints(now)
    checkExit(now)
  }

  const drain = (now: number): void => {
    if (drainedAt === undefined) {
      drainedAt = now
      ctx.record('drain', {})
      peers.leave(now)
    }
  }

  const commandFinished = ({ token, result }: Extract<CoreEvent, { type: 'engine-command-result' }>, now: number): void => {
    const handler = pendingCommands.get(token)
    pendingCommands.delete(token)
    handler?.(result, now)
  }

  const handleEvent = (event: CoreEvent, now: number): void => {
    switch (event.type) {
      case 'start': return ctx.record('start', {}, cfg.node)
      case 'tick': return tick(now)
      case 'log-page': return streams.receivePage(event.stream, event.page, now)
      case 'log-expired': return streams.receiveExpired(event.stream, event.first, event.next, now)
      case 'log-read-failed': return streams.readFailed(event.stream, now)
      case 'append-result': return streams.appendFinished(event.token, event.result, now)
      case 'instance-list':
        instances.applyList(event.snapshot, now)
        peers.applyList(event.snapshot, now)
        return engines.setListed(instances.ofKind('engine'), now)
      case 'message': return receive(event.envelope, now)
      case 'load-hints': return event.hints.forEach(({ ageMs, ...hint }) => routing.applyHint({ ...hint, at: now - ageMs }, now))
      case 'submit': return completions.submit(event.completion, event.forwarded === true, now)
      case 'cancel': return completions.cancel(event.requestId, now)
      case 'order': return orders.submit(event.order, exiting || peers.superseded ? 'the node is leaving' : configuration.refusalReason(now), now)
      case 'engine-report':
        recordIncarnation(event.report.engine, event.report.incarnation, now)
        return engines.applyReport(event.report, now)
      case 'engine-unreachable': return
      case 'engine-command-result': return commandFinished(event, now)
      case 'first-token': return completions.firstToken(event.requestId, event.handle, now)
      case 'request-ended':
        return completions.requestEnded(event, now)
      case 'service-result': return orders.serviceFinished(event.orderId, event.result, now)
      case 'drain': return drain(now)
    }
  }

  /** @returns owners of the engines that rank first for the adapter, or nodes of the region if there are none */
  const nodesFor = (query: AddressQuery, now: number): NodeInfo[] => {
    const nodes = peers.accepting()
    const routes = query.model === undefined ? [] : routing.preferredRoutes(parseModelName(query.model), now)
    const owners = new Set(routes.map(({ node }) => node))
    const owning = [...owners].flatMap(owner => nodes.find(({ id }) => id === owner) ?? []).slice(0, maxAddresses)
    return owning.length > 0 ? owning : nodes.filter(({ region }) => region === cfg.region).slice(0, maxAddresses)
  }

  return {
    step (event, now) {
      checkContinuity(now)
      handleEvent(event, now)
      streams.poll(now)
      return ctx.takeActions()
    },
    route: (model, adapter, className, now) => routing.routes({ requestId: '', model, adapter, version: '', class: className, prompt: '', maxTokens: 0, deadline: now }, now),
    addresses (query, now) {
      const nodes = nodesFor(query, now).map(({ address, zone }) => ({ address, zone }))
      const sameZone = nodes.filter(({ zone }) => zone === query.zone)
      const otherZones = nodes.filter(({ zone }) => zone !== query.zone)
      const prefix = query.service === undefined ? undefined : orders.keyPrefix()
      return { addresses: [...sameZone, ...otherZones], keepForMs: addressCacheMs, revision: configuration.revision, ...(prefix === undefined ? {} : { orderKeyPrefix: prefix }) }
    },
    revision: () => configuration.revision,
    status: () => ({
      node: cfg.node,
      incarnation: cfg.incarnation,
      revision: configuration.revision,
      leaving: peers.leaving,
      engines: engines.currentOwners().map(owner => ({ engine: owner.engine, term: owner.term, running: owner.running().length, queued: owner.queued, accepting: owner.accepting })),
      members: peers.live().map(({ id, zone, region }) => ({ id, zone, region })),
      ordersInProgress: orders.pendingCount
    }),
    watchedEngines: engines.watchedEngines,
    loadHints: now => engines.currentOwners().flatMap(owner => owner.loadHint(now) ?? []).map(({ at, ...hint }) => ({ ...hint, ageMs: now - at })),
    configuration
  }
}
