/**
 * The newest records of the store's feeds as this node knows them, for peers that the store turns
 * away: a node that starts, or that missed a change, takes them from another node.
 */
import { createServer, type Server } from 'node:http'
import { createHttpClient, parseJson } from '@yuccawharf/clients'
import type { FeedRecord, FleetRecord, OperatorRecord, ServerRecord, UnreadableRecord } from './platform-interface'

type Values = { operator: OperatorRecord, servers: ServerRecord, fleet: FleetRecord | UnreadableRecord }
export type FeedName = keyof Values
type Mirrored<Name extends FeedName> = { next: number, records: FeedRecord<Values[Name]>[] }
export type PeerSnapshot = { [Name in FeedName]: Mirrored<Name> }

export type FeedMirror = {
  /** Keeps records that were read from the store. */
  keep<Name extends FeedName> (feed: Name, records: readonly FeedRecord<Values[Name]>[], next: number): void
  /** Forgets what is kept, because `records` are the newest of all keys. */
  replace<Name extends FeedName> (feed: Name, records: readonly FeedRecord<Values[Name]>[], next: number): void
  /** @returns undefined while a feed has not been read */
  snapshot (): PeerSnapshot | undefined
}

const statePath = '/state'
/** A peer that answers at all does so within a few ms. */
const askTimeoutMs = 500

export function createFeedMirror (): FeedMirror {
  const feeds = new Map<FeedName, { next: number, records: Map<string, FeedRecord<unknown>> }>()

  const keep: FeedMirror['keep'] = (feed, records, next) => {
    const known = feeds.get(feed) ?? { next, records: new Map<string, FeedRecord<unknown>>() }
    feeds.set(feed, known)
    known.next = Math.max(known.next, next)
    for (const record of records) {
      if (record.value === undefined) known.records.delete(record.key)
      else known.records.set(record.key, record)
    }
  }

  function mirrored<Name extends FeedName> (feed: Name): Mirrored<Name> | undefined {
    const known = feeds.get(feed)
    return known === undefined ? undefined : { next: known.next, records: [...known.records.values()] as FeedRecord<Values[Name]>[] }
  }

  return {
    keep,
    replace (feed, records, next) {
      feeds.delete(feed)
      keep(feed, records, next)
    },
    snapshot () {
      const [operator, servers, fleet] = [mirrored('operator'), mirrored('servers'), mirrored('fleet')]
      return operator === undefined || servers === undefined || fleet === undefined ? undefined : { operator, servers, fleet }
    }
  }
}

/** Serves the snapshot to peers. */
export function createStateServer (mirror: FeedMirror): Server {
  return createServer((req, res) => {
    const snapshot = req.url === statePath ? mirror.snapshot() : undefined
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
export async function askPeerState (address: string): Promise<PeerSnapshot | undefined> {
  const client = createHttpClient({ baseUrl: `http://${address}`, timeoutMs: askTimeoutMs })
  try {
    const result = await client.exchange({ method: 'GET', path: statePath })
    if (result.type !== 'ok' || result.response.status !== 200) return undefined
    const value = parseJson(result.response.body)
    return isSnapshot(value) ? value : undefined
  } finally {
    await client.close()
  }
}
