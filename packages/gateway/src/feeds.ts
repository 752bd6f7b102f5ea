/** The store's feeds as one node follows them: the operator's records, the servers' entries, the fleet log. */
import type { DecisionLog } from './decision-log'
import type { FleetMember } from './engine-ownership'
import { followFeed, type Follower, type FollowerEvents } from './feed-follower'
import type { GatewayMetrics } from './gateway-metrics'
import type { FeedCache } from './peer-state'
import type { FeedRecord, FleetRecord, OperatorRecord, Platform, ServerRecord, UnreadableRecord } from './platform-interface'
import { createServerRelay, isServerUpdate, isZoneReader, type ServerUpdate } from './server-relay'

export type FeedsOptions = {
  platform: Platform
  log: DecisionLog
  metrics: GatewayMetrics
  cache: FeedCache
  now (): number
  random (): number
  /** This node owns engines. */
  ownsEngines (): boolean
  /** The other nodes. */
  members (): FleetMember[]
  /** Tells the nodes of the zone what was read of the servers' entries. */
  sendToZone (update: ServerUpdate): void
  /** @param recent - the records were written just now; others may have been in force for a while */
  operator (records: FeedRecord<OperatorRecord>[], recent: boolean): void
  servers (records: FeedRecord<ServerRecord>[]): void
  /** The records are the newest of all keys. */
  serversReplaced (records: FeedRecord<ServerRecord>[]): void
  serversLoaded (): void
  fleet (records: FeedRecord<FleetRecord | UnreadableRecord>[]): void
  fleetRead (asOf: number, next: number): void
  /** The store answers again, `agoMs` after it did so for this node or the one that says so. */
  storeRecovered (agoMs: number): void
}

export type Feeds = {
  start (): void
  stop (): void
  /** Offsets up to which this process has read; undefined before the first answer. */
  operatorNext (): number | undefined
  fleetNext (): number | undefined
  /** The operator's records can be read. */
  operatorReachable (): boolean
  /** Records were appended to the fleet log: it should be read now. */
  appended (): void
  /** A peer has read up to these offsets. */
  behind (fleetNext: number, operatorNext: number): void
  /** What the reader of the zone says of the servers' entries. */
  receivedServerUpdate (payload: unknown): void
}

/** Share of the time in which a leaving server must get no more requests after which its entries are read again: a read and a lost message fit into it twice. */
const serverReadShare = 0.4
/** Intervals without news of the zone's reader after which a node reads itself. */
const silentIntervals = 1.5
/** A waiting read returns at once on a change; its length only bounds what a silent connection hides, in ms. */
const longWaitMs = 25_000
/** Owners prove by their reads that they know the end of the log, in ms. */
const ownerWaitMs = 800
const ownerConfigWaitMs = 2500
/** Pause after a read of the fleet log by a node that owns nothing, in ms for each node: nodes that start together append one record each. */
const fleetPausePerNodeMs = 10
const fleetPauseMaxMs = 1000
/** Time after an outage of the store for which the zone is told of it, in ms. */
const recoveryRelayMs = 3000

export function createFeeds (options: FeedsOptions): Feeds {
  const { platform, log, cache, now } = options
  const { settings } = platform
  const relay = createServerRelay()
  let operator: Follower | undefined
  let servers: Follower | undefined
  let fleet: Follower | undefined
  let operatorReachable = false
  let recoveredAt = -Infinity

  /** The feeds share one store, but a read that waits shows its loss or return only when its wait ends. */
  function restartOthers (feed: string): void {
    for (const [name, follower] of [['operator', operator], ['servers', servers], ['fleet', fleet]] as const) {
      if (name !== feed) follower?.restart()
    }
  }

  function outageEvents (feed: string, regained: () => void): Pick<FollowerEvents<never>, 'lost' | 'regained' | 'call'> {
    return {
      lost (reason) {
        log.warn('dependency-lost', { dependency: feed, reason })
        restartOthers(feed)
      },
      regained (lostForMs) {
        log.info('dependency-regained', { dependency: feed, lostForMs: Math.round(lostForMs) })
        restartOthers(feed)
        regained()
      },
      call: result => { options.metrics.storeCall(feed, result) }
    }
  }

  function isServerReader (): boolean {
    return isZoneReader(settings, options.members())
  }

  function serverPauseMs (): number {
    return settings.bounds.drainMs * serverReadShare * (isServerReader() ? 1 : silentIntervals)
  }

  function relayServers (records: FeedRecord<ServerRecord>[], next: number): void {
    const from = servers?.position()
    if (from === undefined || !isServerReader()) return relay.seen(records)
    const agoMs = now() - recoveredAt
    options.sendToZone(relay.updateFor(records, from, next, agoMs < recoveryRelayMs ? agoMs : undefined))
  }

  return {
    start () {
      const base = { now, random: options.random }
      operator = followFeed(platform.operator, {
        ...outageEvents('operator', () => {}),
        replaced (records, next) {
          cache.replace('operator', records, next)
          options.operator(records, false)
        },
        changed (records, next) {
          cache.update('operator', records, next)
          options.operator(records, operatorReachable)
        },
        succeeded () { operatorReachable = true },
        lost (reason) {
          operatorReachable = false
          log.warn('dependency-lost', { dependency: 'operator', reason })
          restartOthers('operator')
        }
      }, { ...base, waitMs: () => options.ownsEngines() ? ownerConfigWaitMs : longWaitMs, pauseMs: () => 0 })
      servers = followFeed(platform.servers, {
        ...outageEvents('servers', () => {
          recoveredAt = now()
          options.storeRecovered(0)
        }),
        replaced (records, next) {
          cache.replace('servers', records, next)
          relay.seen(records)
          options.serversReplaced(records)
        },
        changed (records, next) {
          cache.update('servers', records, next)
          relayServers(records, next)
          options.servers(records)
        },
        succeeded: options.serversLoaded
      }, { ...base, waitMs: () => 0, pauseMs: serverPauseMs })
      fleet = followFeed(platform.fleet, {
        ...outageEvents('fleet', () => {}),
        replaced (records, next) {
          cache.replace('fleet', records, next)
          options.fleet(records)
        },
        changed (records, next) {
          cache.update('fleet', records, next)
          options.fleet(records)
        },
        succeeded: options.fleetRead
      }, {
        ...base,
        waitMs: () => options.ownsEngines() ? ownerWaitMs : longWaitMs,
        pauseMs: () => options.ownsEngines() ? 0 : Math.min(fleetPauseMaxMs, fleetPausePerNodeMs * options.members().length)
      })
    },
    stop () {
      for (const follower of [operator, servers, fleet]) follower?.stop()
    },
    operatorNext: () => operator?.position(),
    fleetNext: () => fleet?.position(),
    operatorReachable: () => operatorReachable,
    appended: () => fleet?.wake(),
    behind (fleetNext, operatorNext) {
      fleet?.behind(fleetNext)
      operator?.behind(operatorNext)
    },
    receivedServerUpdate (payload) {
      if (!isServerUpdate(payload)) {
        log.warn('peer-message-failed', { reason: 'news of servers cannot be read' })
        return
      }
      const { from, next, records, returnedAgoMs } = payload
      if (servers?.advance(from, next) !== true) return
      if (returnedAgoMs !== undefined) options.storeRecovered(returnedAgoMs)
      cache.update('servers', records, next)
      relay.seen(records)
      options.servers(records)
    }
  }
}
