/** What backend servers state about themselves in their responses, as this node knows it. */
import type { ServerStatements } from './platform-interface'
import { startKey, type ServerStart } from './server-registry'

/** A response to one attempt of this node. */
export type StatingResponse = {
  status: number
  /** The response names the request, so it is neither a late copy nor another request's. */
  identified: boolean
  /** Time at which the request was sent. */
  sentAt: number
  statements: ServerStatements
  /** Node that has relayed the request: for the server that node has sent it. */
  through?: string
}

/** The server wants no requests from the node that is told so, for a time. */
export type SharedWait = ServerStart & { waitMs: number }

/** What a server states that restricts all nodes together. */
export type StatedLimit = Pick<ServerStatements, 'requestsPerSecond' | 'rejectionsPerSecond'>

/** Without a limit: the server no longer states one. */
export type SharedLimit = ServerStart & StatedLimit

/** `change` is sent to all nodes; `repeat` to the one that paces the server's requests, which may have started since. */
export type LimitUpdate = { type: 'change' | 'repeat', limit: SharedLimit }

export type ServerStatementsState = {
  /**
   * Applies the statements of a response that is passed on.
   *
   * @returns what other nodes should know
   */
  record (server: ServerStart, response: StatingResponse, now: number): LimitUpdate | undefined
  /**
   * Applies what another node knows.
   *
   * @returns whether this changes what this node knows
   */
  learn (limit: SharedLimit, now: number): boolean
  /** Requests a second that the server accepts from all nodes together, if it states a limit. */
  limit (server: ServerStart): number | undefined
  /** Whether the server ends if it has to turn away a few requests. */
  isBrittle (server: ServerStart): boolean
  /**
   * Applies the time for which the server wants no requests from this node.
   *
   * @returns whether it accepted requests before
   */
  recordWait (server: ServerStart, waitMs: number, now: number): boolean
  /** Time for which the server wants no further requests from this node, in ms; 0 if it accepts them. */
  waitMs (server: ServerStart, now: number): number
  /** Removes what other servers stated. */
  retain (servers: readonly ServerStart[]): void
}

type Entry = { stated: StatedLimit, statedAt: number, shared?: StatedLimit, sharedAt: number }

/** Shortest time between two changes of one server's limit that are shared, in ms. A server may state another limit in each response. */
const minShareIntervalMs = 200
/** Time after which a limit that is still stated is shared again, in ms. */
const repeatIntervalMs = 1000

/** Longest time for which a server may want no requests, in ms. After it, the next response shows whether it still does. */
const maxWaitMs = 3_600_000

function statedIn ({ requestsPerSecond, rejectionsPerSecond }: StatedLimit): StatedLimit | undefined {
  if (requestsPerSecond === undefined && rejectionsPerSecond === undefined) return undefined
  return { ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }), ...(rejectionsPerSecond === undefined ? {} : { rejectionsPerSecond }) }
}

function isSame (one: StatedLimit | undefined, other: StatedLimit): boolean {
  return one?.requestsPerSecond === other.requestsPerSecond && one?.rejectionsPerSecond === other.rejectionsPerSecond
}

export function createServerStatements (): ServerStatementsState {
  const entries = new Map<string, Entry>()
  const waitsUntil = new Map<string, number>()

  function waitMs (server: ServerStart, now: number): number {
    return waitsUntil.size === 0 ? 0 : Math.max(0, (waitsUntil.get(startKey(server)) ?? -Infinity) - now)
  }

  function recordLimit ({ id, bornAt }: ServerStart, stated: StatedLimit, now: number): LimitUpdate | undefined {
    const key = startKey({ id, bornAt })
    const entry: Entry = { sharedAt: -Infinity, ...entries.get(key), stated, statedAt: now }
    entries.set(key, entry)
    const changed = entry.shared === undefined || !isSame(entry.shared, stated)
    if (now - entry.sharedAt < (changed ? minShareIntervalMs : repeatIntervalMs)) return undefined
    entry.shared = stated
    entry.sharedAt = now
    return { type: changed ? 'change' : 'repeat', limit: { id, bornAt, ...stated } }
  }

  return {
    record (server, { status, identified, sentAt, statements }, now) {
      const stated = statedIn(statements)
      if (stated !== undefined) return recordLimit(server, stated, now)
      const { id, bornAt } = server
      const known = entries.get(startKey(server))
      // A response to an earlier request may have been written before the limit was stated, and an error by other code.
      if (known === undefined || !identified || status >= 300 || sentAt <= known.statedAt) return undefined
      entries.delete(startKey(server))
      return { type: 'change', limit: { id, bornAt } }
    },
    learn (limit, now) {
      const key = startKey(limit)
      const stated = statedIn(limit)
      if (stated === undefined) return entries.delete(key)
      const known = entries.get(key)
      const changed = known === undefined || !isSame(known.stated, stated)
      entries.set(key, { stated, statedAt: now, shared: stated, sharedAt: now })
      return changed
    },
    limit: server => entries.size === 0 ? undefined : entries.get(startKey(server))?.stated.requestsPerSecond,
    isBrittle: server => entries.size > 0 && entries.get(startKey(server))?.stated.rejectionsPerSecond !== undefined,
    recordWait (server, statedMs, now) {
      const remainingMs = waitMs(server, now)
      waitsUntil.set(startKey(server), now + Math.max(remainingMs, Math.min(maxWaitMs, statedMs)))
      return remainingMs === 0
    },
    waitMs,
    retain (servers) {
      const keys = new Set(servers.map(startKey))
      for (const state of [entries, waitsUntil]) {
        for (const key of state.keys()) {
          if (!keys.has(key)) state.delete(key)
        }
      }
    }
  }
}

/** @returns whether a message of another node names a start of a server */
export function isServerStart (value: unknown): value is ServerStart {
  const start = value as Partial<ServerStart> | null
  return typeof start === 'object' && start !== null && typeof start.id === 'string' && Number.isSafeInteger(start.bornAt)
}

/** @returns whether a message of another node is about the time for which a server wants no requests from this one */
export function isSharedWait (value: unknown): value is SharedWait {
  if (!isServerStart(value)) return false
  const { waitMs } = value as Partial<SharedWait>
  return Number.isFinite(waitMs) && waitMs! >= 0
}

/** @returns whether a message of another node is about a limit */
export function isSharedLimit (value: unknown): value is SharedLimit {
  if (!isServerStart(value)) return false
  const { requestsPerSecond, rejectionsPerSecond } = value as Partial<SharedLimit>
  const isLimit = requestsPerSecond === undefined || (Number.isFinite(requestsPerSecond) && requestsPerSecond > 0)
  return isLimit && (rejectionsPerSecond === undefined || (Number.isFinite(rejectionsPerSecond) && rejectionsPerSecond >= 0))
}
