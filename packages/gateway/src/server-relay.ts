/**
 * One node per zone, the reader, polls the servers' entries and relays changes to the others. Calls to
 * the store thus do not grow with the number of nodes. The others read the store themselves if the
 * reader stops sending or a message is lost.
 */
import { rankNodes } from '@yuccawharf/coordination'
import type { FleetMember } from './engine-ownership'
import { fieldsCheck, isCount, isPosition, optional } from './field-checks'
import { eraOf } from './log-position'
import { maxDatagramBytes } from './peer-link'
import { usableServers } from './peer-records'
import type { FeedRecord, ServerRecord } from './platform-interface'

/** Changed entries between two offsets of the feed. */
export type ServerUpdate = {
  from: number
  next: number
  records: FeedRecord<ServerRecord>[]
  /** Whether the sender has read every entry of the servers that it removes, and sends the last one before each removal. */
  complete?: boolean
  /** Time since the sender's connection to the store recovered, in ms; absent without a recent outage. */
  returnedAgoMs?: number
}

export type ServerRelay = {
  /** Records the newest entry of each server without relaying them; an entry that is missing counts as changed when it is written again, and after a restoration of the store each entry does. */
  replaced (records: readonly FeedRecord<ServerRecord>[], next: number): void
  /** Records changed entries without relaying them. */
  seen (records: readonly FeedRecord<ServerRecord>[]): void
  /**
   * Builds the update for the zone after a read. Entries in which only the sequence changed are left
   * out; the last of them precedes the removal of its server, so that an earlier entry that the store
   * carries out after the removal is known as such. Changes that do not fit into a datagram are
   * announced by their end offset alone, and the other nodes read them from the store.
   *
   * @param complete - whether this node has read every entry since its last read of the newest ones
   */
  updateFor (records: readonly FeedRecord<ServerRecord>[], from: number, next: number, returnedAgoMs: number | undefined, complete?: boolean): ServerUpdate
}

/** Bytes of a datagram that are reserved for the frame around the update. */
const reservedBytes = 150

/** Serializes the fields that nodes use, for comparison. */
function contentOf (value: ServerRecord | undefined): string {
  if (value === undefined) return ''
  if (value.type !== 'server') return value.type
  const { id, bornAt, service, version, address, zone, state, slots, models } = value.server
  return JSON.stringify([id, bornAt, service, version, address, zone, state, slots, models.map(({ name }) => name)])
}

export function createServerRelay (): ServerRelay {
  const contents = new Map<string, string>()
  /** Last entry of each server, if the other nodes have not been told of it. */
  const omitted = new Map<string, FeedRecord<ServerRecord>>()
  let era: number | undefined

  /** @returns whether the content differs from the last recorded one */
  function recordChange (record: FeedRecord<ServerRecord>): boolean {
    const { key, value } = record
    const content = contentOf(value)
    if (contents.get(key) === content) {
      omitted.set(key, record)
      return false
    }
    omitted.delete(key)
    if (value === undefined) {
      contents.delete(key)
      return true
    }
    contents.set(key, content)
    return true
  }

  /** @returns what the other nodes are told of the record */
  function changes (record: FeedRecord<ServerRecord>, complete: boolean): FeedRecord<ServerRecord>[] {
    const last = omitted.get(record.key)
    if (!recordChange(record)) return []
    return complete && record.value === undefined && last !== undefined ? [last, record] : [record]
  }

  return {
    replaced (records, next) {
      const restored = era !== undefined && eraOf(next) !== era
      era = eraOf(next)
      contents.clear()
      omitted.clear()
      if (restored) return
      records.forEach(recordChange)
      for (const record of records) omitted.set(record.key, record)
    },
    seen (records) {
      records.forEach(recordChange)
    },
    updateFor (records, from, next, returnedAgoMs, complete) {
      const recovery = returnedAgoMs === undefined ? {} : { returnedAgoMs: Math.round(returnedAgoMs) }
      const update = { from, next, records: records.flatMap(record => changes(record, complete === true)), ...(complete === true ? { complete } : {}), ...recovery }
      return JSON.stringify(update).length <= maxDatagramBytes - reservedBytes ? update : { from: next, next, records: [], ...recovery }
    }
  }
}

const isServerUpdate = fieldsCheck<Omit<ServerUpdate, 'records'> & { records: unknown[] }>({
  from: isPosition,
  next: isPosition,
  records: Array.isArray,
  complete: optional(value => typeof value === 'boolean'),
  returnedAgoMs: optional(isCount)
})

/**
 * @param value - parsed JSON of a peer
 * @returns the update without the records that cannot be used, or undefined if it is malformed as a whole
 */
export function parseServerUpdate (value: unknown): (ServerUpdate & { unusable: number }) | undefined {
  return isServerUpdate(value) && value.from <= value.next ? { ...value, ...usableServers(value.records, value.next) } : undefined
}

/**
 * @param members - the other nodes
 * @returns name of the node that reads the servers' entries for the zone of this node
 */
export function zoneReader (self: { name: string, zone: string }, members: readonly FleetMember[]): string {
  const others = members.filter(({ zone, state }) => zone === self.zone && state === 'alive')
  return rankNodes('servers-reader', [self, ...others].map(({ name }) => ({ id: name })))[0]!.id
}
