/**
 * One node of a zone reads the servers' entries often and passes changes on, so that calls to the
 * store do not grow with the number of nodes. The others read themselves when it falls silent or
 * when a message is missing.
 */
import { rankNodes } from '@yuccawharf/coordination'
import type { FleetMember } from './engine-ownership'
import { maxDatagramBytes } from './peer-link'
import type { FeedRecord, ServerRecord } from './platform-interface'

/** Changed entries between two offsets of the feed. */
export type ServerUpdate = {
  from: number
  next: number
  records: FeedRecord<ServerRecord>[]
  /** Time since the sender could reach the store again, in ms; absent when it never lost it. */
  returnedAgoMs?: number
}

export type ServerRelay = {
  /** Learns the current entries without announcing them. */
  seen (records: readonly FeedRecord<ServerRecord>[]): void
  /**
   * What to tell the zone after a read. Entries that only count on are left out; what does not fit
   * into a datagram is announced by its end alone, and the others read it themselves.
   */
  news (records: readonly FeedRecord<ServerRecord>[], from: number, next: number, returnedAgoMs: number | undefined): ServerUpdate
}

/** Bytes of a datagram for the frame around the news. */
const frameBytes = 150

/** What a node does with a server, in comparable form. */
function contentOf (value: ServerRecord | undefined): string {
  if (value === undefined) return ''
  if (value.type !== 'server') return value.type
  const { id, bornAt, service, address, zone, state, slots, models } = value.server
  return JSON.stringify([id, bornAt, service, address, zone, state, slots, models.map(({ name }) => name)])
}

export function createServerRelay (): ServerRelay {
  const known = new Map<string, string>()

  function isNews ({ key, value }: FeedRecord<ServerRecord>): boolean {
    const content = contentOf(value)
    if (known.get(key) === content) return false
    if (value === undefined) return known.delete(key)
    known.set(key, content)
    return true
  }

  return {
    seen (records) {
      records.forEach(isNews)
    },
    news (records, from, next, returnedAgoMs) {
      const returned = returnedAgoMs === undefined ? {} : { returnedAgoMs: Math.round(returnedAgoMs) }
      const news = { from, next, records: records.filter(isNews), ...returned }
      return JSON.stringify(news).length <= maxDatagramBytes - frameBytes ? news : { from: next, next, records: [], ...returned }
    }
  }
}

export function isServerUpdate (value: unknown): value is ServerUpdate {
  const news = value as Partial<ServerUpdate> | null
  return typeof news === 'object' && news !== null && Number.isSafeInteger(news.from) && Number.isSafeInteger(news.next) && Array.isArray(news.records)
}

/**
 * @param members - the other nodes
 * @returns whether the node should read for its zone
 */
export function readsForZone (self: { name: string, zone: string }, members: readonly FleetMember[]): boolean {
  const others = members.filter(({ zone, state }) => zone === self.zone && state === 'alive')
  return rankNodes('servers-reader', [self, ...others].map(({ name }) => ({ id: name })))[0]!.id === self.name
}
