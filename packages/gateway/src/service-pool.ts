/**
 * Choice of a server of a plain service: fewest requests of this node in progress, own zone first,
 * and no server whose recent requests failed. The load that this answers is a service with a few
 * slots per server, shared by nodes that do not see each other's requests.
 */
import type { BackendServer } from './cluster-types'

/** Failures without a success between them after which a server is set aside; one may be the fault of a single connection. */
const failuresToEject = 2
/** First time that a server is set aside, in ms; it doubles with each further failure. */
const ejectMs = 1000
const maxEjectMs = 8000
/** A server that refuses because it is full is passed over for this time, in ms: about one request's work. */
const fullMs = 60
/** Requests in progress that a server of the own zone may have more than one of another zone. */
const zonePreference = 2
/** Weight of the newest duration in the moving average. */
const durationWeight = 0.2
/** A server this many times slower than the fastest counts as having one more request in progress per multiple. */
const slowFactor = 2

export type AttemptOutcome = 'ok' | 'failed' | 'full'

export type ServicePool = {
  /** @param excluded - ids that this request has been sent to */
  choose (servers: readonly BackendServer[], zone: string, excluded: ReadonlySet<string>, random: number, now: number): BackendServer | undefined
  started (id: string): void
  ended (id: string, outcome: AttemptOutcome, durationMs: number, now: number): void
  inProgress (id: string): number
  /** Forgets servers that are gone. */
  retain (ids: ReadonlySet<string>): void
}

type ServerState = { inProgress: number, failures: number, ejectedUntil: number, fullUntil: number, durationMs: number }

export function createServicePool (): ServicePool {
  const states = new Map<string, ServerState>()

  function stateOf (id: string): ServerState {
    const existing = states.get(id)
    if (existing !== undefined) return existing
    const created = { inProgress: 0, failures: 0, ejectedUntil: -Infinity, fullUntil: -Infinity, durationMs: 0 }
    states.set(id, created)
    return created
  }

  function effectiveLoad (server: BackendServer, zone: string, fastestMs: number): number {
    const { inProgress, durationMs } = stateOf(server.id)
    const slowness = fastestMs > 0 && durationMs > 0 ? Math.max(0, durationMs / fastestMs - slowFactor) : 0
    return inProgress + slowness + (server.zone === zone ? 0 : zonePreference)
  }

  function available (servers: readonly BackendServer[], now: number): readonly BackendServer[] {
    const notEjected = servers.filter(({ id }) => stateOf(id).ejectedUntil <= now)
    const notFull = notEjected.filter(({ id }) => stateOf(id).fullUntil <= now)
    if (notFull.length > 0) return notFull
    // With every server set aside, trying one is better than refusing all requests.
    return notEjected.length > 0 ? notEjected : servers
  }

  return {
    choose (servers, zone, excluded, random, now) {
      const candidates = available(servers.filter(({ id }) => !excluded.has(id)), now)
      const durations = candidates.map(({ id }) => stateOf(id).durationMs).filter(ms => ms > 0)
      const fastestMs = durations.length > 0 ? Math.min(...durations) : 0
      // The start of the search is random, so that nodes with equal views do not all choose the same server.
      const start = Math.floor(random * candidates.length)
      let best: BackendServer | undefined
      let bestLoad = Infinity
      for (let offset = 0; offset < candidates.length; offset++) {
        const server = candidates[(start + offset) % candidates.length]!
        const serverLoad = effectiveLoad(server, zone, fastestMs)
        if (serverLoad < bestLoad) {
          best = server
          bestLoad = serverLoad
        }
      }
      return best
    },
    started (id) {
      stateOf(id).inProgress += 1
    },
    ended (id, outcome, durationMs, now) {
      const state = stateOf(id)
      state.inProgress = Math.max(0, state.inProgress - 1)
      if (outcome === 'full') {
        state.fullUntil = now + fullMs
        return
      }
      if (outcome === 'ok') {
        state.failures = 0
        state.durationMs = state.durationMs === 0 ? durationMs : state.durationMs + durationWeight * (durationMs - state.durationMs)
        return
      }
      state.failures += 1
      if (state.failures >= failuresToEject) state.ejectedUntil = now + Math.min(maxEjectMs, ejectMs * 2 ** (state.failures - failuresToEject))
    },
    inProgress: id => states.get(id)?.inProgress ?? 0,
    retain (ids) {
      for (const id of states.keys()) {
        if (!ids.has(id)) states.delete(id)
      }
    }
  }
}
