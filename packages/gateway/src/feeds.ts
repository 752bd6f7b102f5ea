/** Follows the store's feeds for one node: the operator's records, the servers' entries and the fleet log. */
import type { Suspensions } from './dated-fact'
import type { DecisionLog } from './decision-log'
import type { FleetMember } from './engine-ownership'
import { followFeed, type Follower, type FollowerEvents, type FollowerOptions } from './feed-follower'
import type { GatewayMetrics } from './gateway-metrics'
import type { FeedCache } from './peer-state'
import type { FeedRecord, FleetRecord, OperatorRecord, Platform, ServerRecord, UnreadableRecord } from './platform-interface'
import { createStoreOutage } from './store-outage'
import { rewriteMs } from './server-registry'
import { createServerRelay, parseServerUpdate, zoneReader, type ServerUpdate } from './server-relay'

export type FeedsOptions = {
  platform: Platform
  log: DecisionLog
  metrics: GatewayMetrics
  cache: FeedCache
  now (): number
  suspensions: Suspensions
  /** Time of the newest turn of the event loop that has read the sockets, in ms. */
  lastTurn (): number
  random (): number
  ownsEngines (): boolean
  /** Time after which no request with a removed key may run, in ms; undefined if it is not bounded. */
  revokeMs (): number | undefined
  /** Whether this node has to read the operator's records now, because its knowledge of them is too old. */
  needsOperatorRead (): boolean
  /** The other nodes; the same array until they change. */
  members (): FleetMember[]
  /** Sends what was read of the servers' entries to the other nodes of the zone. */
  sendToZone (update: ServerUpdate): void
  /** @param writtenAfter - time after which the records were written, in ms; -Infinity if unknown */
  operator (records: FeedRecord<OperatorRecord>[], writtenAfter: number): void
  /** The operator's records were read to their end, which is at least as recent as `asOf`. */
  operatorRead (asOf: number): void
  /** @param complete - whether the last entry of a server that is removed is among these records or earlier ones */
  servers (records: FeedRecord<ServerRecord>[], complete: boolean): void
  /** Receives the newest record of each key; they replace all earlier records. */
  serversReplaced (records: FeedRecord<ServerRecord>[], next: number): void
  /** Called after each successful read of the servers' entries, which is at least as recent as `asOf`. */
  serversLoaded (asOf: number): void
  fleet (records: FeedRecord<FleetRecord | UnreadableRecord>[]): void
  /** Receives the newest record of each key. */
  fleetReplaced (records: FeedRecord<FleetRecord | UnreadableRecord>[]): void
  fleetRead (asOf: number, next: number): void
  /** The store became reachable again `agoMs` ago, for this node or for the node that relays it. */
  storeRecovered (agoMs: number): void
}

export type Feeds = {
  start (): void
  stop (): void
  /** Offsets up to which this process has read; undefined before the first read. */
  operatorNext (): number | undefined
  fleetNext (): number | undefined
  /** Whether the operator's records can currently be read. */
  operatorReachable (): boolean
  /** Reads the fleet log now, because records were appended to it. */
  appended (): void
  /** A peer has read up to this offset of the fleet log, or of the operator's records. */
  peerFleetNext (next: number): void
  peerOperatorNext (next: number): void
  /** Reads the operator's records now if the knowledge of them is too old, in place of a long poll that may be stalled. */
  refreshOperator (): void
  /** Name of the node that reads the servers' entries for the zone. */
  serverReader (): string
  /** Reads the servers' entries now. */
  readServers (): void
  /** A server that was removed seems to be back; its next entry is needed, which the zone's reader may leave out. */
  confirmServers (): void
  /** Handles an update of the servers' entries from the zone's reader. */
  receiveServerUpdate (payload: unknown): void
}

/**
 * Interval between reads of the servers' entries, as a share of the drain time. A draining server must
 * get no more requests after that time, and two intervals fit into it in case a message is lost.
 */
const serverReadShare = 0.4
/** Shortest interval between reads of the servers' entries, in ms: a short drain time must not make them a load for the store. */
const minServerReadMs = 100
/** Read intervals without an update from the zone's reader after which a node reads the store itself. */
const silentIntervals = 1.5
/** A long poll returns at once on a change. Peers and the reads of the servers' entries show a stalled connection long before it ends. In ms. */
const longWaitMs = 25_000
/** Long polls of owners are shorter, in ms, because a completed read proves that the owner has seen the end of the log. */
const ownerWaitMs = 800
const ownerConfigWaitMs = 2500
/** Wait of the zone's reader for operator records, as a share of the time after which removed keys must not be used: the end of the read is evidence for the zone. */
const revokeWaitShare = 0.2
/** Pause after a read of the fleet log by a node without engines, in ms per node: nodes that start together append one record each. */
const fleetPausePerNodeMs = 10
const fleetPauseMaxMs = 1000
/** Time after an outage of the store during which updates to the zone state when it ended, in ms. */
const recoveryRelayMs = 3000
/** Time within which a server that lives writes its next entry, in ms: servers write about every 1.2 s. */
const nextEntryMs = 2000

export function createFeeds (options: FeedsOptions): Feeds {
  const { platform, log, cache, now } = options
  const { settings } = platform
  const relay = createServerRelay()
  const outage = createStoreOutage()
  let operator: Follower | undefined
  let servers: Follower | undefined
  let fleet: Follower | undefined
  let operatorReachable = false
  let recoveredAt = -Infinity
  let rewriteTimer: NodeJS.Timeout | undefined
  let confirmTimer: NodeJS.Timeout | undefined
  /** Whether every entry since a read of the newest ones was read by this node; the zone's reader leaves some out. */
  let entriesComplete = false

  /** Entries that expired during an outage or are missing in a copy count as removed if a read after this time does not find them. */
  function serversRecovered (agoMs: number): void {
    options.storeRecovered(agoMs)
    clearTimeout(rewriteTimer)
    rewriteTimer = setTimeout(() => servers?.wake(), Math.max(0, rewriteMs - agoMs))
  }

  /** A long poll whose connection stalled in the outage would not end before its wait does. */
  function restartOthers (feed: string): void {
    for (const [name, follower] of [['operator', operator], ['servers', servers], ['fleet', fleet]] as const) {
      if (name !== feed) follower?.restart()
    }
  }

  /** @param recovered - the store is back after an outage, perhaps from a copy */
  function outageEvents (feed: string, recovered: () => void): Pick<FollowerEvents<never>, 'lost' | 'regained' | 'restored' | 'failed' | 'aborted' | 'stalled' | 'call'> {
    return {
      lost (reason) {
        log.warn('dependency-lost', { dependency: feed, reason })
        outage.lost(feed)
      },
      regained (lostForMs) {
        log.info('dependency-regained', { dependency: feed, lostForMs: Math.round(lostForMs) })
        outage.succeeded(feed)
        restartOthers(feed)
        recovered()
      },
      restored (era) {
        log.warn('store-restored', { feed, era })
        restartOthers(feed)
        recovered()
      },
      failed (reason, failures, afterMs) {
        log.info('store-read-failed', { feed, reason, failures, afterMs: Math.round(afterMs) })
      },
      aborted (cause, afterMs) {
        log.info('store-read-aborted', { feed, cause, afterMs: Math.round(afterMs) })
      },
      stalled () {
        log.info('store-connections-renewed', { feed })
        platform.renewStoreConnections()
        restartOthers(feed)
      },
      call: result => { options.metrics.storeCall(feed, result) }
    }
  }

  let rankedMembers: FleetMember[] | undefined
  let reader = settings.name

  function serverReader (): string {
    const members = options.members()
    if (members !== rankedMembers) {
      rankedMembers = members
      reader = zoneReader(settings, members)
    }
    return reader
  }

  function isServerReader (): boolean {
    return serverReader() === settings.name
  }

  function operatorWaitMs (): number {
    if (options.needsOperatorRead()) return 0
    const revokeMs = options.revokeMs()
    const readerWaitMs = revokeMs === undefined || !isServerReader() ? Infinity : revokeMs * revokeWaitShare
    return Math.min(options.ownsEngines() ? ownerConfigWaitMs : longWaitMs, readerWaitMs)
  }

  function serverPauseMs (): number {
    return Math.max(minServerReadMs, settings.bounds.drainMs * serverReadShare) * (isServerReader() ? 1 : silentIntervals)
  }

  function relayServers (records: FeedRecord<ServerRecord>[], next: number): void {
    const from = servers?.position()
    if (from === undefined || !isServerReader()) return relay.seen(records)
    // This node has just become the reader. The other nodes depend on it for the last entry of a server.
    if (!entriesComplete) servers?.readNewest()
    const agoMs = now() - recoveredAt
    options.sendToZone(relay.updateFor(records, from, next, agoMs < recoveryRelayMs ? agoMs : undefined, entriesComplete))
  }

  return {
    start () {
      const base = (feed: string): Pick<FollowerOptions, 'now' | 'lastTurn' | 'retryPauseMs'> => ({ now, lastTurn: options.lastTurn, retryPauseMs: failures => outage.failed(feed, failures, options.random()) })
      operator = followFeed(platform.operator, {
        ...outageEvents('operator', () => {}),
        replaced (records, next) {
          cache.replace('operator', records, next)
          options.operator(records, -Infinity)
        },
        changed (records, next, writtenAfter) {
          cache.update('operator', records, next)
          // The monotonic clock stands still in a suspension, so a time before it says nothing about the time since.
          options.operator(records, writtenAfter <= options.suspensions.endedAt() ? -Infinity : writtenAfter)
        },
        succeeded (_asOf, _next, provenAsOf) {
          operatorReachable = true
          options.operatorRead(provenAsOf)
        },
        lost (reason) {
          operatorReachable = false
          log.warn('dependency-lost', { dependency: 'operator', reason })
          outage.lost('operator')
        }
      }, { ...base('operator'), waitMs: operatorWaitMs, pauseMs: () => 0 })
      servers = followFeed(platform.servers, {
        ...outageEvents('servers', () => {
          recoveredAt = now()
          serversRecovered(0)
        }),
        replaced (records, next) {
          cache.replace('servers', records, next)
          relay.replaced(records, next)
          entriesComplete = true
          options.serversReplaced(records, next)
        },
        changed (records, next) {
          cache.update('servers', records, next)
          relayServers(records, next)
          options.servers(records, entriesComplete)
        },
        succeeded: options.serversLoaded
      }, { ...base('servers'), waitMs: () => 0, pauseMs: serverPauseMs })
      fleet = followFeed(platform.fleet, {
        ...outageEvents('fleet', () => {}),
        replaced (records, next) {
          cache.replace('fleet', records, next)
          options.fleetReplaced(records)
        },
        changed (records, next) {
          cache.update('fleet', records, next)
          options.fleet(records)
        },
        succeeded: options.fleetRead
      }, {
        ...base('fleet'),
        waitMs: () => options.ownsEngines() ? ownerWaitMs : longWaitMs,
        pauseMs: () => options.ownsEngines() ? 0 : Math.min(fleetPauseMaxMs, fleetPausePerNodeMs * options.members().length)
      })
    },
    stop () {
      clearTimeout(rewriteTimer)
      clearTimeout(confirmTimer)
      for (const follower of [operator, servers, fleet]) follower?.stop()
    },
    operatorNext: () => operator?.position(),
    fleetNext: () => fleet?.position(),
    operatorReachable: () => operatorReachable && !outage.active(),
    appended: () => fleet?.wake(),
    peerFleetNext: next => fleet?.behind(next),
    peerOperatorNext: next => operator?.behind(next),
    refreshOperator: () => operator?.refresh(),
    serverReader,
    readServers: () => servers?.wake(),
    confirmServers () {
      clearTimeout(confirmTimer)
      confirmTimer = setTimeout(() => servers?.readNewest(), nextEntryMs)
    },
    receiveServerUpdate (payload) {
      const update = parseServerUpdate(payload)
      if (update === undefined || update.unusable > 0) log.warn('peer-message-failed', { reason: `server update is malformed${update === undefined ? '' : ` in ${update.unusable} records`}` })
      if (update === undefined) return
      const { from, next, records, returnedAgoMs, complete } = update
      if (update.unusable > 0) {
        // This node reads the rest from the store, at the latest when its pause ends, so its position stays.
        const position = servers?.position()
        if (position !== undefined && from <= position && position <= next) options.servers(records, false)
        return
      }
      if (servers?.advance(from, next) !== true) return
      entriesComplete = false
      if (returnedAgoMs !== undefined) serversRecovered(returnedAgoMs)
      cache.update('servers', records, next)
      relay.seen(records)
      options.servers(records, complete === true)
    }
  }
}
