/**
 * The newest records of the store's feeds as this node knows them, for peers that the store turns
 * away: a node that starts, or that missed a change, takes them from another node.
 */
import { createServer, type Server } from 'node:http'
import { createHttpClient, parseJson } from '@yuccawharf/clients'
import type { FeedRecord, FleetRecord, OperatorRecord, ServerRecord, UnreadableRecord } from './platform-interface'

type FeedValues = { operator: OperatorRecord, servers: ServerRecord, fleet: FleetRecord | UnreadableRecord }
export type FeedName = keyof FeedValues
type CachedFeed<Name extends FeedName> = { next: number, records: FeedRecord<FeedValues[Name]>[] }
export type PeerSnapshot = { [Name in FeedName]: CachedFeed<Name> }

export type FeedCache = {
  /** Keeps records that were read from the store. */
  update<Name extends FeedName> (feed: Name, records: readonly FeedRecord<FeedValues[Name]>[], next: number): void
  /** Forgets what is kept, because `records` are the newest of all keys. */
  replace<Name extends FeedName> (feed: Name, records: readonly FeedRecord<FeedValues[Name]>[], next: number): void
  /** @returns undefined while a feed has not been read */
  snapshot (): PeerSnapshot | undefined
}

const statePath = '/state'
/** A peer that answers at all does so within a few ms. */
const fetchTimeoutMs = 500

export function createFeedCache (): FeedCache {
  const feeds = new Map<FeedName, { next: number, records: Map<string, FeedRecord<unknown>> }>()

  const update: FeedCache['update'] = (feed, records, next) => {
    const cached = feeds.get(feed) ?? { next, records: new Map<string, FeedRecord<unknown>>() }
    feeds.set(feed, cached)
    cached.next = Math.max(cached.next, next)
    for (const record of records) {
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
      feeds.delete(feed)
      update(feed, records, next)
    },
    snapshot () {
      const [operator, servers, fleet] = [cachedFeed('operator'), cachedFeed('servers'), cachedFeed('fleet')]
      return operator === undefined || servers === undefined || fleet === undefined ? undefined : { operator, servers, fleet }
    }
  }
}

/** Serves the snapshot to peers. */
export function createSnapshotServer (cache: FeedCache): Server {
  return createServer((req, res) => {
    const snapshot = req.url === statePath ? cache.snapshot() : undefined
    if (snapshot === undefined) {
      res.writeHead(req.url === statePath ? 503 : 404).end()
      return
    }
    res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(snapshot))
  })
}

function isSnapshot (value: unknown): value is PeerSnapshot {
  const snapshot = value as Partial<PeerSnapshot> | null | undefined
  return [snapshot?.operator, snapshot?.servers, snapshot?.fleet].every(feed => Array.isArray(feed?.records) && Number.isSafeInteger(feed.next))
}

/** @returns the snapshot of the peer at the address, or undefined */
export async function fetchPeerSnapshot (address: string): Promise<PeerSnapshot | undefined> {
  const client = createHttpClient({ baseUrl: `http://${address}`, timeoutMs: fetchTimeoutMs })
  try {
    const result = await client.exchange({ method: 'GET', path: statePath })
    if (result.type !== 'ok' || result.response.status !== 200) return undefined
    const value = parseJson(result.response.body)
    return isSnapshot(value) ? value : undefined
  } finally {
    await client.close()
  }
}
