/** Registry of the backend servers, built from the records that the servers write about themselves. */
import type { BackendServer } from './cluster-types'
import { eraOf } from './log-position'
import type { FeedRecord, ServerRecord } from './platform-interface'

/** Time after an outage of the store within which entries that expired in it are written again, in ms. */
export const rewriteMs = 2000
/** Time for the read of the servers' entries that starts after it, in ms. */
const lastReadMs = 100

/** One start of a backend server. */
export type ServerStart = Pick<BackendServer, 'id' | 'bornAt'>

/** @returns key that no other start of any server has */
export function startKey ({ id, bornAt }: ServerStart): string {
  return `${id}#${bornAt}`
}

/**
 * By what an entry is older than what is known of its server; `left`: it is not later than the last one
 * before the server was removed; `maybe-left`: that one is not known, so a later one must follow.
 */
export type StaleReason = 'offset' | 'start' | 'sequence' | 'left' | 'maybe-left'

export type RegistryChange =
  | { type: 'added' | 'started-again' | 'draining' | 'removed', server: BackendServer }
  | { type: 'unreadable', key: string, reason: string }
  /** The entry is older than what is known of the server. */
  | { type: 'ignored', key: string, offset: number, sequence: number, reason: StaleReason }

/** Last known entry of a server that was removed; `complete`: no later one was written before the removal. */
export type Departure = { id: string, bornAt: number, sequence: number, era: number, complete: boolean }

export type ServerRegistry = {
  /**
   * Applies records in their order.
   *
   * @param complete - whether the last entry of a server that is removed is among these records or earlier ones
   */
  apply (records: readonly FeedRecord<ServerRecord>[], now: number, complete?: boolean): RegistryChange[]
  /** Applies the newest record of each key, read up to `next`; servers without a record were removed. */
  replace (records: readonly FeedRecord<ServerRecord>[], next: number, now: number): RegistryChange[]
  /** The server has stated itself that it is leaving; its entry may say otherwise, or not exist yet. */
  leave (start: ServerStart): RegistryChange[]
  /** Servers that were removed, to be told to nodes that start. */
  departures (): Departure[]
  /** Applies the removals that another node has seen; a server that has written a later entry is kept. */
  applyDepartures (departures: readonly Departure[]): RegistryChange[]
  /** Starts the delay of removals, because an outage of the store has ended. */
  storeRecovered (now: number): void
  /** Applies delayed removals when the delay has ended. */
  tick (now: number): RegistryChange[]
  /** Whether an entry of the server has been read, also if it was removed since. */
  isKnown (id: string): boolean
  /** @returns the server if it accepts new requests */
  readyServer (id: string): BackendServer | undefined
  /** Servers that accept new requests. */
  ready (service: string): BackendServer[]
  /** All servers, including draining ones. */
  all (): BackendServer[]
}

/** Number of starts that are known to have left, and of servers that were removed; their later entries may be outdated. */
const maxKnownLeft = 4096

type Entry = { server: BackendServer, sequence: number, offset: number, removedAt?: number, complete?: boolean }

export function createServerRegistry (): ServerRegistry {
  const entries = new Map<string, Entry>()
  const ready = new Map<string, BackendServer[]>()
  /** Newest start of each server that has stated that it is leaving. */
  const leavingStarts = new Map<string, number>()
  /** Last known entry of each removed server; a restored store may have an earlier one, and a store that loses responses may write one late. */
  const removed = new Map<string, Omit<Departure, 'id'>>()
  let graceUntil = -Infinity

  /** @returns by what the record is older than the current entry */
  function staleBy (current: Entry, record: ServerRecord & { type: 'server' }, offset: number): StaleReason | undefined {
    if (offset < current.offset) return 'offset'
    if (record.server.bornAt !== current.server.bornAt) return record.server.bornAt < current.server.bornAt ? 'start' : undefined
    return record.sequence < current.sequence ? 'sequence' : undefined
  }

  /**
   * @param newest - the entry is one of the newest of all servers, as opposed to one that was just written
   * @returns why the entry does not bring back a server that was removed
   */
  function staleByRemoval (key: string, { server, sequence }: ServerRecord & { type: 'server' }, offset: number, newest: boolean): StaleReason | undefined {
    const last = removed.get(key)
    if (last === undefined || server.bornAt > last.bornAt) return undefined
    if (newest && server.bornAt === last.bornAt && eraOf(offset) > last.era) {
      // The entry may be from the copy. A server that lives writes another one.
      last.sequence = Math.max(last.sequence, sequence)
      return 'left'
    }
    // Sequences grow with each entry; servers that state none have 0.
    if (server.bornAt < last.bornAt || sequence < last.sequence || (sequence === last.sequence && sequence > 0)) return 'left'
    if (last.complete || sequence === 0) return undefined
    // The server may have written later ones before its removal.
    last.sequence = sequence
    last.complete = true
    return 'maybe-left'
  }

  function put ({ key, offset }: FeedRecord<ServerRecord>, record: ServerRecord & { type: 'server' }, newest: boolean): RegistryChange[] {
    const current = entries.get(key)
    const reason = current !== undefined ? staleBy(current, record, offset) : staleByRemoval(key, record, offset, newest)
    if (reason !== undefined) return [{ type: 'ignored', key, offset, sequence: record.sequence, reason }]
    const sameStart = current !== undefined && current.server.bornAt === record.server.bornAt
    // A draining server becomes ready again only with a new start.
    const isLeaving = leavingStarts.get(key) === record.server.bornAt || (sameStart && current.server.state === 'draining')
    const state = isLeaving ? 'draining' : record.server.state
    const server = { ...record.server, state }
    removed.delete(key)
    entries.set(key, { server, sequence: record.sequence, offset })
    ready.clear()
    if (current === undefined) return [{ type: 'added', server }]
    if (!sameStart) return [{ type: 'started-again', server }]
    return state !== current.server.state ? [{ type: 'draining', server }] : []
  }

  function remove (key: string, offset: number, now: number, complete: boolean): RegistryChange[] {
    const current = entries.get(key)
    if (current === undefined || offset < current.offset) return []
    current.removedAt ??= now
    current.offset = offset
    current.complete = complete
    return now < graceUntil ? [] : drop(key, current)
  }

  function drop (key: string, entry: Entry): RegistryChange[] {
    entries.delete(key)
    recordRemoval(key, { bornAt: entry.server.bornAt, sequence: entry.sequence, era: eraOf(entry.offset), complete: entry.complete === true })
    ready.clear()
    return [{ type: 'removed', server: entry.server }]
  }

  function recordRemoval (key: string, last: Omit<Departure, 'id'>): void {
    removed.set(key, last)
    if (removed.size > maxKnownLeft) removed.delete(removed.keys().next().value!)
  }

  function applyDeparture ({ id, ...last }: Departure): RegistryChange[] {
    const known = removed.get(id)
    const isLater = known === undefined || last.bornAt > known.bornAt || (last.bornAt === known.bornAt && (last.sequence > known.sequence || (last.sequence === known.sequence && last.complete)))
    if (!isLater) return []
    const entry = entries.get(id)
    recordRemoval(id, last)
    if (entry === undefined) return []
    const { server, sequence, offset } = entry
    const reason = staleByRemoval(id, { type: 'server', server, sequence }, offset, false)
    if (reason === undefined) {
      removed.delete(id)
      return []
    }
    entries.delete(id)
    ready.clear()
    return [{ type: 'removed', server }, { type: 'ignored', key: id, offset, sequence, reason }]
  }

  function applyOne (record: FeedRecord<ServerRecord>, now: number, { newest = false, complete = true }: { newest?: boolean, complete?: boolean }): RegistryChange[] {
    if (record.value === undefined) return remove(record.key, record.offset, now, complete)
    if (record.value.type === 'server') return put(record, record.value, newest)
    // A server with an unreadable entry must not be used.
    return [{ type: 'unreadable', key: record.key, reason: record.value.reason }, ...remove(record.key, record.offset, now, complete)]
  }

  return {
    apply: (records, now, complete = true) => records.flatMap(record => applyOne(record, now, { complete })),
    replace (records, next, now) {
      const present = new Set(records.map(({ key }) => key))
      const missing = [...entries.keys()].filter(key => !present.has(key))
      // Entries between the last read and the removal were not read.
      return [...records.flatMap(record => applyOne(record, now, { newest: true, complete: false })), ...missing.flatMap(key => remove(key, next - 1, now, false))]
    },
    leave ({ id, bornAt }) {
      leavingStarts.delete(id)
      leavingStarts.set(id, bornAt)
      if (leavingStarts.size > maxKnownLeft) leavingStarts.delete(leavingStarts.keys().next().value!)
      const entry = entries.get(id)
      if (entry === undefined || entry.server.bornAt !== bornAt || entry.server.state === 'draining') return []
      entry.server = { ...entry.server, state: 'draining' }
      ready.clear()
      return [{ type: 'draining', server: entry.server }]
    },
    departures: () => [...removed].map(([id, last]) => ({ id, ...last })),
    applyDepartures: departures => departures.flatMap(applyDeparture),
    storeRecovered (now) {
      graceUntil = now + rewriteMs + lastReadMs
    },
    tick (now) {
      if (now < graceUntil) return []
      return [...entries].flatMap(([key, entry]) => entry.removedAt === undefined ? [] : drop(key, entry))
    },
    isKnown: id => entries.has(id) || removed.has(id),
    readyServer (id) {
      const server = entries.get(id)?.server
      return server?.state === 'ready' ? server : undefined
    },
    ready (service) {
      const cached = ready.get(service)
      if (cached !== undefined) return cached
      const servers = [...entries.values()].map(({ server }) => server).filter(server => server.service === service && server.state === 'ready')
      ready.set(service, servers)
      return servers
    },
    all: () => [...entries.values()].map(({ server }) => server)
  }
}
