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
  updateFor (records: readonly FeedRecord<ServerRecord>[], from: number, next: number, returnedAgoMs: number | undefined): ServerUpdate
}

/** Bytes of a datagram for the frame around the news. */
const frameReserveBytes = 150

/** What a node does with a server, in comparable form. */
function contentOf (value: ServerRecord | undefined): string {
  if (value === undefined) return ''
  if (value.type !== 'server') return value.type
  const { id, bornAt, service, address, zone, state, slots, models } = value.server
  return JSON.stringify([id, bornAt, service, address, zone, state, slots, models.map(({ name }) => name)])
}

export function createServerRelay (): ServerRelay {
  const contents = new Map<string, string>()

  function recordChange ({ key, value }: FeedRecord<ServerRecord>): boolean {
    const content = contentOf(value)
    if (contents.get(key) === content) return false
    if (value === undefined) return contents.delete(key)
    contents.set(key, content)
    return true
  }

  return {
    seen (records) {
      records.forEach(recordChange)
    },
    updateFor (records, from, next, returnedAgoMs) {
      const recovery = returnedAgoMs === undefined ? {} : { returnedAgoMs: Math.round(returnedAgoMs) }
      const update = { from, next, records: records.filter(recordChange), ...recovery }
      return JSON.stringify(update).length <= maxDatagramBytes - frameReserveBytes ? update : { from: next, next, records: [], ...recovery }
    }
  }
}

export function isServerUpdate (value: unknown): value is ServerUpdate {
  const update = value as Partial<ServerUpdate> | null
  return typeof update === 'object' && update !== null && Number.isSafeInteger(update.from) && Number.isSafeInteger(update.next) && Array.isArray(update.records)
}

/**
 * @param members - the other nodes
 * @returns whether the node should read for its zone
 */
export function isZoneReader (self: { name: string, zone: string }, members: readonly FleetMember[]): boolean {
  const others = members.filter(({ zone, state }) => zone === self.zone && state === 'alive')
  return rankNodes('servers-reader', [self, ...others].map(({ name }) => ({ id: name })))[0]!.id === self.name
}
