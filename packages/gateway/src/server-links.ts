/**
 * Decides whether a node's links to all backend servers of a service are cut, from what becomes of its
 * connections. A single server that cannot be reached says little: it may have ended. A node that suspects its links
 * therefore connects to a few servers, and counts as cut if it reaches none of them.
 */

/** `checking`: connections to a few servers are being tried. */
export type LinkState = 'connected' | 'checking' | 'cut'

/**
 * What has begun a check: a connection that could not be opened, cut links to another service, no byte of
 * any server, or the interval while the links are cut.
 */
export type CheckReason = 'not-connected' | 'other-service' | 'silence' | 'interval'

/** Connections to try to the servers with these ids. */
export type LinkCheck = { reason: CheckReason, servers: string[] }

export type ServerLinks = {
  state (): LinkState
  /** A request was sent on a link. @returns to be called when it has ended */
  sent (now: number): () => void
  /** Bytes of a server have arrived on a link. */
  received (now: number): void
  /** A connection to the server could not be opened. */
  notConnected (server: string): void
  /** The links to another service are cut. */
  suspect (): void
  /**
   * @param servers - ids of all servers that accept requests, in random order
   * @returns what to try now, if a check is due; each result goes to `tried`
   */
  check (servers: readonly string[], now: number): LinkCheck | undefined
  /** A connection of the current check was opened, or could not be. */
  tried (server: string, connected: boolean, now: number): void
}

/** Number of servers that are tried before a node counts as cut. */
const serversToTry = 3
/** Time without a byte of any server, while requests wait for one, after which the links are checked, in ms. */
const silenceMs = 400
/** Shortest time between two checks of links that work, in ms. */
const checkIntervalMs = 1000
/** Interval at which a server is tried while the links are cut, in ms. */
const cutIntervalMs = 500

export function createServerLinks (): ServerLinks {
  let state: LinkState = 'connected'
  let nextCheckAt = -Infinity
  let lastByteAt = -Infinity
  let suspected = false
  /** Servers to which no connection could be opened since the last check. */
  const failed = new Set<string>()
  /** Servers of the current check without a result. */
  const trying = new Set<string>()
  const waiting = new Map<object, number>()

  function enter (next: LinkState, now: number): void {
    state = next
    if (next === 'checking') return
    nextCheckAt = now + (next === 'cut' ? cutIntervalMs : checkIntervalMs)
    suspected = false
    failed.clear()
    trying.clear()
  }

  function isSilent (now: number): boolean {
    const [oldestSentAt] = waiting.values()
    return oldestSentAt !== undefined && now - Math.max(oldestSentAt, lastByteAt) >= silenceMs
  }

  function reasonToCheck (now: number): CheckReason | undefined {
    if (trying.size > 0 || now < nextCheckAt) return undefined
    if (state === 'cut') return 'interval'
    if (failed.size > 0) return 'not-connected'
    if (suspected) return 'other-service'
    return isSilent(now) ? 'silence' : undefined
  }

  return {
    state: () => state,
    sent (now) {
      const entry = {}
      waiting.set(entry, now)
      return () => { waiting.delete(entry) }
    },
    received (now) {
      lastByteAt = now
    },
    notConnected (server) {
      if (state === 'connected') failed.add(server)
    },
    suspect () {
      if (state === 'connected') suspected = true
    },
    check (servers, now) {
      const reason = reasonToCheck(now)
      if (reason === undefined) return undefined
      const untried = servers.filter(id => !failed.has(id))
      const chosen = untried.slice(0, reason === 'interval' ? 1 : Math.max(1, serversToTry - failed.size))
      for (const id of chosen) trying.add(id)
      if (reason !== 'interval') enter(chosen.length === 0 ? 'cut' : 'checking', now)
      return { reason, servers: chosen }
    },
    tried (server, connected, now) {
      if (!trying.delete(server)) return
      if (connected) enter('connected', now)
      else if (trying.size === 0) enter('cut', now)
    }
  }
}
