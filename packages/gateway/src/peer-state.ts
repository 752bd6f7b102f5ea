/**
 * Cache of the newest records of the store's feeds, served to peers that cannot reach the store. A
 * node that starts or has missed a change fetches them from another node.
 */
import type { Server } from 'node:http'
import { createBoundedServer, createHttpClient, parseJson, type ServerBounds } from '@yuccawharf/clients'
import type { DecisionLog } from './decision-log'
import { isPosition } from './field-checks'
import { usableFleetRecords, usableOperatorRecords, usableServers } from './peer-records'
import type { FeedRecord, FleetLog, FleetRecord, OperatorRecord, ServerRecord, UnreadableRecord } from './platform-interface'
import type { Departure } from './server-registry'

type FeedValues = { operator: OperatorRecord, servers: ServerRecord, fleet: FleetRecord | UnreadableRecord }
export type FeedName = keyof FeedValues
type CachedFeed<Name extends FeedName> = { next: number, records: FeedRecord<FeedValues[Name]>[] }
export type PeerSnapshot = { [Name in FeedName]: CachedFeed<Name> }

export type FeedCache = {
  /** Stores records that were read from the store. */
  update<Name extends FeedName> (feed: Name, records: readonly FeedRecord<FeedValues[Name]>[], next: number): void
  /** Replaces all cached records by `records`, the newest record of each key. */
  replace<Name extends FeedName> (feed: Name, records: readonly FeedRecord<FeedValues[Name]>[], next: number): void
  /** @returns undefined until all feeds have been read */
  snapshot (): PeerSnapshot | undefined
}

const statePath = '/state'
const departuresPath = '/departures'
/** Time limit for the start of a response, in ms; a reachable peer responds within a few ms. */
const fetchTimeoutMs = 500
/** Slowest rate at which a response may arrive, in bytes/s: a tenth of a slow link. */
const minFetchRate = 100_000

type Versioned = { type?: string, version?: number, config?: { version: number } }

/** A restored store may have an earlier version of the configuration or of an adapter for a while. */
function isEarlierVersion (value: unknown, cached: unknown): boolean {
  const [next, current] = [value, cached].map(entry => (entry as Versioned | undefined)?.config?.version ?? (entry as Versioned | undefined)?.version)
  return next !== undefined && current !== undefined && next < current
}

export function createFeedCache (): FeedCache {
  const feeds = new Map<FeedName, { next: number, records: Map<string, FeedRecord<unknown>> }>()

  const update: FeedCache['update'] = (feed, records, next) => {
    const cached = feeds.get(feed) ?? { next, records: new Map<string, FeedRecord<unknown>>() }
    feeds.set(feed, cached)
    cached.next = Math.max(cached.next, next)
    for (const record of records) {
      if (isEarlierVersion(record.value, cached.records.get(record.key)?.value)) continue
      if (record.value === undefined) cached.records.delete(record.key)
      else cached.records.set(record.key, record)
    }
  }

  function cachedFeed<Name extends FeedName> (feed: Name): CachedFeed<Name> | undefined {
    const cached = feeds.get(feed)
    return cached === undefined ? undefined : { next: cached.next, records: [...cached.records.values()] as FeedRecord<FeedValues[Name]>[] }
  }

  return {
    update,
    replace (feed, records, next) {
      // The records of operators are never removed, so those that a restored store lacks are still in force.
      if (feed !== 'operator') feeds.delete(feed)
      update(feed, records, next)
    },
    snapshot () {
      const [operator, servers, fleet] = [cachedFeed('operator'), cachedFeed('servers'), cachedFeed('fleet')]
      return operator === undefined || servers === undefined || fleet === undefined ? undefined : { operator, servers, fleet }
    }
  }
}

/** @param departures - servers that have left; undefined if this node cannot tell yet */
export function createSnapshotServer (cache: FeedCache, departures: () => Departure[] | undefined, bounds?: ServerBounds): Server {
  const resources = new Map<string, () => unknown>([[statePath, () => cache.snapshot()], [departuresPath, departures]])
  return createBoundedServer((req, res) => {
    const resource = resources.get(req.url ?? '')
    const value = resource?.()
    if (value === undefined) {
      res.writeHead(resource === undefined ? 404 : 503).end()
      return
    }
    res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(value))
  }, {}, bounds)
}

function isSnapshot (value: unknown): value is Record<FeedName, { next: number, records: unknown[] }> {
  const snapshot = value as Partial<PeerSnapshot> | null | undefined
  return [snapshot?.operator, snapshot?.servers, snapshot?.fleet].every(feed => Array.isArray(feed?.records) && isPosition(feed.next))
}

/**
 * @param value - parsed JSON of a peer
 * @returns the snapshot without the records that cannot be used, or undefined if it is malformed as a whole
 */
export function parseSnapshot (value: unknown, checkFleetRecord: FleetLog['check']): { snapshot: PeerSnapshot, unusable: number } | undefined {
  if (!isSnapshot(value)) return undefined
  const operator = usableOperatorRecords(value.operator.records, value.operator.next)
  const servers = usableServers(value.servers.records, value.servers.next)
  const fleet = usableFleetRecords(value.fleet.records, value.fleet.next, checkFleetRecord)
  return {
    snapshot: {
      operator: { next: value.operator.next, records: operator.records },
      servers: { next: value.servers.next, records: servers.records },
      fleet: { next: value.fleet.next, records: fleet.records }
    },
    unusable: operator.unusable + servers.unusable + fleet.unusable
  }
}

function isDeparture (value: unknown): value is Departure {
  const departure = value as Partial<Departure> | null | undefined
  return typeof departure?.id === 'string' && [departure.bornAt, departure.sequence, departure.era].every(isPosition) && typeof departure.complete === 'boolean'
}

async function fetchFromPeer (address: string, path: string): Promise<unknown> {
  const client = createHttpClient({ baseUrl: `http://${address}`, timeoutMs: fetchTimeoutMs })
  try {
    const result = await client.exchange({ method: 'GET', path, minBodyRate: minFetchRate })
    return result.type === 'ok' && result.response.status === 200 ? parseJson(result.response.body) : undefined
  } finally {
    await client.close()
  }
}

/** @returns servers that have left, or undefined if the peer cannot tell or cannot be reached */
export async function fetchDepartures (address: string): Promise<Departure[] | undefined> {
  const value = await fetchFromPeer(address, departuresPath)
  return Array.isArray(value) ? value.filter(isDeparture) : undefined
}

export type PeerFetcherOptions = {
  log: DecisionLog
  checkFleetRecord: FleetLog['check']
  /** Whether the store is still not reachable. */
  needed (): boolean
  apply (snapshot: PeerSnapshot): void
}

export type PeerFetcher = {
  /** Applies the snapshot of the first of the peers that responds, unless it is no longer needed. One call is carried out at a time; others have no effect. */
  fetch (addresses: readonly string[]): void
}

export function createPeerFetcher ({ log, checkFleetRecord, needed, apply }: PeerFetcherOptions): PeerFetcher {
  let fetching = false

  /** Seeds may be any text; one that is no address must not keep the others from being asked. */
  async function fetchState (address: string): Promise<unknown> {
    try {
      return await fetchFromPeer(address, statePath)
    } catch (err) {
      log.error('peer-state-failed', { peer: address, reason: (err as Error).message })
      return undefined
    }
  }

  async function fetchFirst (addresses: readonly string[]): Promise<void> {
    for (const address of addresses) {
      const parsed = parseSnapshot(await fetchState(address), checkFleetRecord)
      if (parsed === undefined || !needed()) continue
      const { snapshot, unusable } = parsed
      if (unusable > 0) log.warn('peer-state-failed', { peer: address, reason: `${unusable} records cannot be used` })
      log.info('state-from-peer', { peer: address, operatorNext: snapshot.operator.next, servers: snapshot.servers.records.length })
      return apply(snapshot)
    }
  }

  return {
    fetch (addresses) {
      if (fetching) return
      fetching = true
      fetchFirst(addresses).catch(err => { log.error('peer-state-failed', { reason: (err as Error).message }) }).finally(() => { fetching = false })
    }
  }
}
