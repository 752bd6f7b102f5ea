/** One gateway node: connects the decision modules with clients, backend servers, peers and the store. */
import { createAdapterVersions } from './adapter-versions'
import { createDirectoryServer, createMetricsServer, createReadyServer } from './auxiliary-servers'
import type { ClusterConfig } from './cluster-types'
import type { ConfigPosition } from './config-age'
import { createConfigKnowledge } from './config-knowledge'
import { connectionLimits } from './connection-limits'
import { createConnectionReport } from './connection-report'
import { createCrashBlocking } from './crash-blocking'
import { isEvidenceMessage } from './crash-evidence'
import { createDatedFact } from './dated-fact'
import { createDepartures } from './departures'
import { chooseAddresses, drawSample } from './directory'
import type { EngineCandidate } from './engine-choice'
import type { OwnedEngine } from './engine-scheduler'
import { createEngineOwner } from './engine-owner'
import { createEventLoopTurns } from './event-loop-turns'
import { createExplainResource } from './explain-resource'
import { createFeeds } from './feeds'
import { createFleet, nodeRecordOf } from './fleet'
import { createForwarding } from './forwarding'
import { createFrontServer } from './front-server'
import type { Gateway, GatewayOptions } from './gateway-interface'
import { createGrantClient, type GrantMessage } from './grant-client'
import { isGrantMessage } from './grant-message'
import { createKeptBytes, keptBytesLimit } from './kept-bytes'
import { createListening } from './listening'
import { createLogProbe } from './log-probe'
import { createLogQuestions } from './log-questions'
import { createOperatorRecords } from './operator-records'
import { createOwnRecords } from './own-records'
import { createOwnerStatusCache } from './owner-status-cache'
import { createPeerDelivery, createPeerLink } from './peer-link'
import { createPeerFallback } from './peer-fallback'
import { createFeedCache, createSnapshotServer, type PeerSnapshot } from './peer-state'
import type { FeedRecord, FleetRecord, NodeSettings, UnreadableRecord } from './platform-interface'
import { createProcessUsage } from './process-usage'
import { createQuotas } from './quotas'
import { createRouteTable, type RouteTable } from './route-table'
import { logServerChanges } from './server-change-log'
import { runOnce } from './run-once'
import { createServerDetour } from './server-detour'
import { createServerRestrictions } from './server-restrictions'
import { createServerRegistry, type RegistryChange } from './server-registry'
import { createServicePools } from './service-pool'
import { createServiceShares } from './service-shares'
import { createStatusSender, statusIntervalMs } from './status-sender'
import { createStreamVersions } from './stream-versions'
import { createFactClock } from './suspension-detector'
import { createUpstream } from './upstream'

export type { Gateway, GatewayOptions } from './gateway-interface'

/** Interval at which an owner checks deadlines and requests engine reports, in ms. */
const tickMs = 50
/** The same interval at nodes that own no engines, for claims and delayed removals, in ms: wake-ups cost time on small nodes. */
const idleTickMs = 250
/** Time after the start of a node that covers discovery of the other nodes and a few attempts to claim engines, in ms. */
const startupMs = 3000
/** Interval of membership ticks, in ms. */
const memberTickMs = 200
/** Interval at which the use of memory and the number of requests are checked, in ms. */
const usageIntervalMs = 1000
/** Interval at which a node without a configuration or servers queries its seeds, in ms. */
const seedPollMs = 600
/** Time for which clients cache an address response, in ms; a leaving node accepts requests for longer than that. */
const addressTtlMs = 2000
/** Time for which a leaving node still accepts requests, in ms: until clients have fetched new addresses. */
const leavingAcceptMs = 2500
/** A leaving node ends the remaining requests this long before the platform ends the process, in ms. */
const stopMarginMs = 700
/** Part of that margin in which requests that have arrived are still read and refused, in ms. */
const lastReadMs = 500
/** Requests that arrive at a leaving node have a deadline this long before that, in ms, so that they end like others at their deadline. */
const lastResponseMs = 100
/** Time for which a status shows that its owner is heard, in ms: owners repeat theirs about once a second. */
const statusValidMs = 1500
/** Number of peers that an owner asks first whether they can read the log. */
const logProbeSample = 4

export function createGateway (options: GatewayOptions): Gateway {
  const { platform, log, metrics } = options
  const clock = createFactClock({ now: options.now, wallClock: () => Date.now() })
  const { now } = clock
  const { settings } = platform
  const turns = createEventLoopTurns(now)
  const startedAt = Date.now()
  const startedAtMonotonic = now()
  const registry = createServerRegistry()
  const pools = createServicePools(() => fleet.size(), log, metrics)
  const versions = createAdapterVersions(settings.bounds.versionMs)
  const ownerStatuses = createOwnerStatusCache(clock)
  const feedCache = createFeedCache()
  const timers: NodeJS.Timeout[] = []
  let table: RouteTable | undefined
  let serversLoaded = false
  /** That the servers' entries were read. */
  const entriesRead = createDatedFact<true>(Infinity, clock)
  let fleetLogRead = false
  let leavingSince: number | undefined
  let tickTimer: NodeJS.Timeout | undefined

  const self = nodeRecordOf(settings, startedAt)

  const link = createPeerLink({
    self: { node: self.name, incarnation: self.incarnation },
    host: settings.ip,
    port: settings.peerPorts[0],
    now,
    position: () => feeds.operatorNext() ?? -1,
    peerPosition: position => { feeds.peerOperatorNext(position) },
    received (from, message) {
      const { kind, payload } = message
      if (quotas.receive(from, message) || restrictions.receive(from.node, message) || crashes.receive(from.node, message) || configKnowledge.receive(from.node, message)) return
      if (kind === 'member') fleet.receive(payload)
      else if (kind === 'place' && isGrantMessage(payload)) receiveGrantMessage(from.node, payload)
      else if (kind === 'status') receiveStatus(from.node, payload)
      else if (kind === 'servers') feeds.receiveServerUpdate(payload)
      else if (kind === 'log-probe') logQuestions.receiveQuestion(from.node, payload)
      else if (kind === 'log-state') logQuestions.receiveReply(from.node, payload)
      else if (kind === 'crash-evidence' && isEvidenceMessage(payload)) owner.receiveEvidence(payload)
      else if (kind === 'stopped') owner.ownership.nodeStopped(from.node, from.incarnation, now())
      else log.warn('peer-message-failed', { reason: `message '${kind}' of ${from.node} is unknown or malformed` })
    },
    onError: reason => { log.warn('peer-message-failed', { reason }) }
  })

  const deliverToPeer = createPeerDelivery(link, log)

  const fleet = createFleet({
    self,
    now,
    log,
    notify: (address, payload) => { link.notify(address, { kind: 'member', payload }) },
    nodeLost: node => owner.nodeLost(node)
  })

  const restrictions = createServerRestrictions({
    self,
    now,
    suspensions: clock,
    log,
    metrics,
    fleet,
    link,
    deliver: deliverToPeer,
    plainSlots ({ id }) {
      const server = registry.readyServer(id)
      return server === undefined || table?.service(server.service)?.engine !== undefined ? undefined : server.slots
    },
    engineOwner: id => owner.ownership.term(id)?.node,
    leaving: () => leavingSince !== undefined,
    changed: () => owner.refresh(),
    leave (server) {
      const changes = registry.leave(server)
      applyServers(changes)
      return changes
    }
  })

  const configKnowledge = createConfigKnowledge({
    self,
    now,
    random: options.random,
    suspensions: clock,
    revokeMs: () => table?.accounts.enabled === true ? settings.bounds.revokeMs : undefined,
    own: (): ConfigPosition => ({ next: Math.max(feeds.operatorNext() ?? -1, peerFallback.operatorNext()), version: table?.config.version ?? -1 }),
    fleet,
    link,
    log,
    metrics,
    feeds: () => feeds,
    fetchFrom: node => peerFallback.fetchFrom(node)
  })

  const quotas = createQuotas({ self: { node: self.name, incarnation: self.incarnation }, now, suspensions: clock, after: (delayMs, callback) => { setTimeout(callback, delayMs).unref() }, members: fleet.members, leaving: () => leavingSince !== undefined, tolerance: () => settings.bounds.quota, quota: name => table?.accounts.account(name)?.quota, notify (node, message) { const address = fleet.address(node); if (address !== undefined) link.notify(address, message) }, log, metrics })

  const shares = createServiceShares({ bounds: settings.bounds, fleetSize: () => fleet.size(), maxConnections: service => table?.service(service)?.maxConnections })
  const kept = createKeptBytes(keptBytesLimit(settings.memoryBytes))
  const maxConnections = connectionLimits(settings.maxDescriptors, options.descriptorLimit)
  const detour = createServerDetour({ zone: self.zone, now, random: options.random, log, metrics, fleet, registry, waitMs: restrictions.waitMs, leaving: () => leavingSince !== undefined, maxClients: maxConnections.front, running: () => front.running() })
  const upstream = createUpstream({ now, connections: shares.connections, detour })

  /** Ready engines of all services with their limits. */
  function listEngines (): OwnedEngine[] {
    if (table === undefined) return []
    return table.config.services.flatMap(({ name, engine }) => engine === undefined ? [] : registry.ready(name).map(server => ({ server, spec: engine, requestsPerSecond: restrictions.limit(server), speed: ownerStatuses.sharedSpeed(server, now()) })))
  }

  const ownRecords = createOwnRecords({ fleetLog: platform.fleet, log, random: options.random, leaving: () => leavingSince !== undefined })

  const crashes = createCrashBlocking({
    self: self.name,
    now,
    wallClock: Date.now,
    log,
    metrics,
    fleet,
    deliver: deliverToPeer,
    after: (delayMs, callback) => { setTimeout(callback, delayMs).unref() },
    record: (key, value) => ownRecords.append(key, value, 'block-not-recorded')
  })

  const streamVersions = createStreamVersions({ self, fleetLog: platform.fleet, streamLog: platform.streams, log, metrics, now, wallClock: Date.now, nodes: () => [self.name, ...fleet.peers().map(({ name }) => name)], fleetLogRead: () => fleetLogRead, lacksServers: () => ownerStatuses.announced(now()).some(id => !registry.isKnown(id)), entriesAgeMs: () => entriesRead.read(now())?.ageMs ?? Infinity, readEntries: () => feeds.readServers(), hearsOwners: () => otherOwners().size === 0 || ownerStatuses.heardAgeMs(now()) <= statusValidMs, after: (delayMs, callback) => { setTimeout(callback, delayMs).unref() } })

  const owner = createEngineOwner({
    name: self.name,
    zone: self.zone,
    incarnation: self.incarnation,
    capacity: self.capacity,
    leaseMs: settings.bounds.leaseMs,
    versionMs: settings.bounds.versionMs,
    now,
    log,
    metrics,
    fleetLog: platform.fleet,
    logPosition: () => feeds.fleetNext(),
    engineControl: platform.engines,
    linksCut: detour.isCutFrom,
    relay: upstream.relay,
    listEngines,
    members: () => fleet.members(),
    fleetSize: () => fleet.size(),
    probeLog (nodes) {
      const asked = nodes === 'all' ? fleet.peers() : drawSample(fleet.peers(), logProbeSample, options.random)
      logQuestions.ask(asked.map(({ address }) => address), nodes === 'all')
    },
    announceLogEnd: () => logQuestions.announce(fleet.peers().map(({ address }) => address)),
    send: sendToNode,
    blockedParts: crashes.parts,
    blockPart: crashes.parts.block,
    shareEvidence (message) {
      for (const node of otherOwners()) {
        const address = fleet.address(node)
        if (address !== undefined) deliverToPeer(address, { kind: 'crash-evidence', payload: message })
      }
    },
    appended: () => feeds.appended()
  })

  const grants = createGrantClient({
    now,
    suspensions: clock,
    zone: self.zone,
    engines: enginesOf,
    server: registry.readyServer,
    startingUp: isStartingUp,
    newestVersion: versions.newest,
    send: sendToNode,
    log: log.info
  })

  function isStartingUp (): boolean {
    return now() - startedAtMonotonic < startupMs
  }

  function enginesOf (service: string): EngineCandidate[] {
    const at = now()
    return registry.ready(service).map(server => {
      const term = owner.ownership.term(server.id)
      const alive = term !== undefined && (term.node === self.name || fleet.isAlive(term.node))
      return { server, ...(alive ? { owner: term.node } : {}), limited: restrictions.limit(server) !== undefined, ...ownerStatuses.engineStatus(server.id, at), speed: ownerStatuses.sharedSpeed(server, at)?.speed }
    })
  }

  async function sendToNode (node: string, message: GrantMessage): Promise<boolean> {
    if (node === self.name) {
      // Deferred, so that the caller finishes its current step first.
      setImmediate(() => receiveGrantMessage(self.name, message))
      return true
    }
    const address = fleet.address(node)
    return address === undefined ? false : await link.deliver(address, { kind: 'place', payload: message })
  }

  /** Nodes that own engines, without this one. */
  function otherOwners (): Set<string> {
    const nodes = new Set(listEngines().flatMap(({ server }) => owner.ownership.term(server.id)?.node ?? []))
    nodes.delete(self.name)
    return nodes
  }

  function receiveGrantMessage (from: string, message: GrantMessage): void {
    if (message.kind === 'granted' || message.kind === 'refused') grants.receiveReply(from, message)
    else owner.receive(from, message)
  }

  function receiveStatus (from: string, payload: unknown): void {
    const status = ownerStatuses.receive(from, payload, now())
    if (status === undefined || status.unusable > 0) log.warn('peer-message-failed', { reason: `status of ${from} is malformed${status === undefined ? '' : ` for ${status.unusable} engines`}` })
    if (status === undefined) return
    owner.receiveStatus(from, status.fleetNext)
    feeds.peerFleetNext(status.fleetNext)
    peerFallback.peerPosition(from, status.operatorNext)
  }

  function applySnapshot ({ operator, servers, fleet: nodes }: PeerSnapshot): void {
    applyOperator(operator.records, -Infinity)
    applyServers(registry.apply(servers.records, now()))
    serversLoaded ||= servers.records.length > 0
    fleetLogRead = true
    applyFleet(nodes.records)
  }

  const peerFallback = createPeerFallback({ self, seeds: () => settings.seeds, log, checkFleetRecord: platform.fleet.check, fleet, feeds: () => feeds, isComplete: () => table !== undefined && serversLoaded, lacksVersion: configKnowledge.lacksVersion, apply: applySnapshot, cache: feedCache, applyOperator: records => applyOperator(records, -Infinity) })

  const forward = createForwarding({ now, random: options.random, zone: self.zone, codec: platform.headers, upstream, kept, log, restrictions, budget: shares.retryBudget, crashes: crashes.requests, streamVersions, quotas, configVersion: () => table?.config.version, grants, versions, engines: registry.ready, servers: registry.ready, pool: pools.pool, firstEvent: metrics.firstEvent, responseEnded: metrics.responseEnded })

  const connections = createConnectionReport(maxConnections, log, metrics, settings.readOverheadBytes)
  const front = createFrontServer({
    now,
    codec: platform.headers,
    kept,
    memoryBytes: settings.memoryBytes,
    bounds: { ...connections.bounds('front'), reserved: detour.relayServer.running },
    log,
    routes: () => table,
    configIsCurrent: configKnowledge.isCurrent,
    closing: () => leavingSince !== undefined,
    closed: () => leavingSince !== undefined && now() - leavingSince > leavingAcceptMs,
    relaying: detour.relayServer.running,
    respondsUntil: () => leavingSince === undefined ? Infinity : leavingSince + settings.bounds.graceMs - stopMarginMs - lastResponseMs,
    forward,
    ended (exchange) {
      const afterMs = now() - exchange.arrivedAt
      metrics.requestEnded(exchange.service.name, exchange.outcome(), afterMs / 1000)
      log.info('request-ended', { id: exchange.metadata.id, service: exchange.service.name, outcome: exchange.outcome(), bytes: exchange.sentBytes(), afterMs: Math.round(afterMs) })
    }
  })

  const isReady = (): boolean => table !== undefined && serversLoaded && leavingSince === undefined

  function applyConfig (config: ClusterConfig, offset: number): void {
    if (table !== undefined && config.version <= table.config.version) return
    table = createRouteTable(config)
    front.configure()
    metrics.gauge('config_version', config.version)
    log.info('config-applied', { version: config.version, offset, routes: config.routes.length, services: config.services.length })
    owner.refresh()
  }

  const applyOperator = createOperatorRecords({ now, log, versions, applyConfig, setVersion: owner.setVersion })

  function applyServers (changes: RegistryChange[]): void {
    logServerChanges(changes, log)
    if (changes.some(change => change.type === 'ignored' && change.reason === 'maybe-left')) feeds.confirmServers()
    if (changes.every(({ type }) => type === 'ignored')) return
    upstream.retain(registry.all())
    restrictions.retain(registry.all())
    const ids = new Set(registry.all().map(({ id }) => id))
    pools.retain(ids)
    streamVersions.observe(registry.all())
    ownerStatuses.retain(ids, now())
    owner.refresh()
  }

  function applyFleet (records: FeedRecord<FleetRecord | UnreadableRecord>[]): void {
    fleet.apply(records)
    owner.ownership.apply(records, now())
    crashes.parts.apply(records)
    ownRecords.read(records)
    streamVersions.apply(records)
    if (records.length > 0) owner.refresh()
  }

  const departures = createDepartures({ log, random: options.random, fleet, registry, changed: applyServers })

  const feeds = createFeeds({
    platform,
    log,
    metrics,
    cache: feedCache,
    now,
    suspensions: clock,
    lastTurn: turns.lastAt,
    random: options.random,
    ownsEngines: () => owner.ownsEngines(),
    revokeMs: configKnowledge.revokeMs,
    needsOperatorRead: configKnowledge.needsRead,
    members: () => fleet.members(),
    sendToZone (update) {
      for (const { address, zone } of fleet.peers()) {
        if (zone === settings.zone) link.notify(address, { kind: 'servers', payload: update })
      }
    },
    operator: applyOperator,
    operatorRead: configKnowledge.read,
    servers: (records, complete) => applyServers(registry.apply(records, now(), complete)),
    serversReplaced: (records, next) => applyServers(registry.replace(records, next, now())),
    serversLoaded (asOf) {
      serversLoaded = true
      entriesRead.record(true, asOf)
    },
    fleet: applyFleet,
    fleetReplaced (records) {
      fleetLogRead = true
      streamVersions.recordsReplaced()
      applyFleet(records)
      departures.learn()
      ownRecords.appendMissing(records).catch(err => { log.error('records-missing', { reason: (err as Error).message }) })
    },
    fleetRead: (asOf, next) => owner.freshness.read(asOf, next),
    storeRecovered: agoMs => registry.storeRecovered(now() - agoMs)
  })

  const statusSender = createStatusSender({ self, now, fleet, link, owner, feeds, statuses: ownerStatuses })

  const readyServer = createReadyServer(platform.ingress, isReady, connections.bounds('ready'))
  const metricsServer = createMetricsServer(metrics, options.metricsAddress.path, log, connections.bounds('metrics'), createExplainResource({ node: self.name, zone: self.zone, now, random: options.random, codec: platform.headers, routes: () => table, closed: () => leavingSince !== undefined && now() - leavingSince > leavingAcceptMs, configIsCurrent: configKnowledge.isCurrent, servers: registry.ready, engines: enginesOf, engineUse: owner.engineUse, pool: pools.pool, waitMs: restrictions.waitMs, grants, newestVersion: versions.newest, blocked: crashes.requests.blocked }, log))
  const directoryServer = createDirectoryServer(platform.ingress, ({ zone }) => ({
    addresses: chooseAddresses(fleet.directory(isReady()), zone, options.random),
    keepForMs: Math.min(addressTtlMs, settings.bounds.addressTtlMaxMs)
  }), connections.bounds('directory'))
  const snapshotServer = createSnapshotServer(feedCache, departures.known, connections.bounds('control'))
  const logQuestions = createLogQuestions({
    self,
    now,
    log,
    probe: createLogProbe({ clock, feed: platform.fleet, position: () => feeds.fleetNext(), knownEnd: () => owner.freshness.knownEnd() }),
    freshness: () => owner.freshness,
    confirmed: (node, end) => owner.receiveLogEnd(node, end),
    address: fleet.address,
    notify: link.notify
  })

  const usage = createProcessUsage({ log, metrics, memoryLimitBytes: () => settings.memoryBytes ?? Infinity, keptBytes: () => kept.total() + front.requestBytes(), running: () => front.running(), traffic: upstream.traffic })
  const listening = createListening({ log, stopped: () => leavingSince !== undefined })

  clock.onSuspension(gapMs => {
    log.warn('process-suspended', { gapMs: Math.round(gapMs) })
    owner.freshness.suspended(clock.endedAt())
  })

  function startTimers (): void {
    const tick = (): void => {
      tickTimer = setTimeout(tick, owner.ownsEngines() || isStartingUp() ? tickMs : idleTickMs)
      turns.mark()
      detour.links.tick()
      configKnowledge.tick()
      applyServers(registry.tick(now()))
      owner.tick()
      crashes.requests.tick()
      streamVersions.tick()
    }
    tick()
    timers.push(setInterval(() => fleet.tick(), memberTickMs), setInterval(statusSender.send, statusIntervalMs), setInterval(peerFallback.fetchFromSeeds, seedPollMs))
    for (const check of [usage.check, connections.check, detour.report]) timers.push(setInterval(check, usageIntervalMs))
  }

  function close (): void {
    for (const server of [front.server, directoryServer, readyServer, metricsServer, snapshotServer]) server.close()
    detour.close()
    for (const timer of [...timers, tickTimer]) clearTimeout(timer)
    feeds.stop()
    link.close()
    upstream.close()
  }

  async function leave (): Promise<void> {
    leavingSince = now()
    log.info('stopping', { running: front.running(), graceMs: settings.bounds.graceMs })
    fleet.leave()
    owner.stopClaiming()
    const latestAt = now() + settings.bounds.graceMs - stopMarginMs
    await front.finish(leavingSince + leavingAcceptMs, latestAt)
    owner.stopCommands()
    await Promise.all(fleet.peers().map(({ address }) => link.deliver(address, { kind: 'stopped', payload: null })))
    // A busy machine may have kept the process from reading what has arrived; the close resets it.
    await front.readArrived(latestAt + lastReadMs)
    close()
    connections.check()
    // Connections that were accepted meanwhile.
    await front.readArrived(latestAt + lastReadMs)
    log.info('stopped', {})
    await log.close()
  }

  return {
    async start () {
      log.info('starting', { zone: settings.zone, address: self.address, front: self.front, incarnation: self.incarnation, descriptorLimit: options.descriptorLimit, maxDescriptors: settings.maxDescriptors })
      // A node is known to the others only when it accepts requests.
      await listening.other({ host: settings.ip, port: settings.peerPorts[0] }, link.listen)
      await Promise.all([
        listening.server(front.server, settings.front),
        listening.server(readyServer, settings.ready),
        listening.server(directoryServer, settings.directory),
        listening.server(detour.relayServer.server, { host: settings.ip, port: settings.peerPorts[0] }),
        ...(settings.control === undefined ? [] : [listening.server(snapshotServer, settings.control)])
      ])
      if (leavingSince !== undefined) return
      feeds.start()
      startTimers()
      ownRecords.append(`node/${self.name}`, self, 'registration-failed').catch(err => { log.error('registration-failed', { reason: (err as Error).message }) })
      listening.server(metricsServer, { host: settings.ip, port: options.metricsAddress.port }).catch(err => { log.error('metrics-failed', { reason: (err as Error).message }) })
      log.info('started', {})
    },
    reload (next) {
      const changed = Object.keys(next).filter(key => JSON.stringify(next[key as keyof NodeSettings]) !== JSON.stringify(settings[key as keyof NodeSettings]))
      Object.assign(settings.bounds, next.bounds)
      settings.seeds = next.seeds
      log.info('settings-reloaded', { changed })
    },
    stop: runOnce(leave),
    inProgress: () => front.inProgress(),
    abort () {
      leavingSince = now()
      owner.stopCommands()
      close()
      front.server.closeAllConnections()
    }
  }
}
