/**
 * Chooses the server of a plain service with the fewest requests of this node in progress, preferably in
 * the node's own zone. Answers fleets with fewer nodes than the service has slots, whose nodes send
 * enough requests for their own to tell the load.
 */
import type { BackendServer } from './cluster-types'
import type { ServerLoads } from './server-loads'

/** Number of requests in progress by which a server of the own zone may exceed one of another zone and still be preferred. */
const zonePreference = 2
/** Weight of the newest duration in the moving average. */
const durationWeight = 0.2
/** Above this multiple of the fastest server's duration, each further multiple counts as one more request in progress. */
const slowFactor = 2
/** Rounds of choices, each of as many as there are servers, for which a slow server is passed over before one request measures it again. */
const roundsToMeasure = 50

export type OwnLoadChoice = Pick<ServerLoads, 'choose' | 'started' | 'ended' | 'measured' | 'retain'> & { copy (): OwnLoadChoice }

/** `passes`: choices in which the server was passed over and counted as slow; `remeasured`: its next duration replaces the average. */
type ServerState = { inProgress: number, durationMs: number, passes: number, remeasured: boolean }

/** @param from - state to start from; it is copied */
export function createOwnLoadChoice (from?: ReadonlyMap<string, ServerState>): OwnLoadChoice {
  const states = new Map([...from ?? []].map(([id, state]): [string, ServerState] => [id, { ...state }]))

  function stateOf (id: string): ServerState {
    const existing = states.get(id)
    if (existing !== undefined) return existing
    const created = { inProgress: 0, durationMs: 0, passes: 0, remeasured: false }
    states.set(id, created)
    return created
  }

  function slownessOf (server: BackendServer, fastestMs: number): number {
    const { durationMs } = stateOf(server.id)
    return fastestMs > 0 && durationMs > 0 ? Math.max(0, durationMs / fastestMs - slowFactor) : 0
  }

  /** @returns whether the server's average is so old that it counts as free and fast, for a single request */
  function isMeasurementDue (server: BackendServer, serverCount: number): boolean {
    const { inProgress, passes } = stateOf(server.id)
    return inProgress === 0 && passes >= roundsToMeasure * serverCount
  }

  function recordChoice (chosen: BackendServer, candidates: readonly BackendServer[], fastestMs: number): void {
    for (const server of candidates) {
      const state = stateOf(server.id)
      if (server === chosen) {
        state.remeasured ||= isMeasurementDue(server, candidates.length)
        state.passes = 0
      } else if (slownessOf(server, fastestMs) > 0) {
        state.passes += 1
      }
    }
  }

  return {
    copy: () => createOwnLoadChoice(states),
    choose (candidates, zone, random) {
      const durations = candidates.map(({ id }) => stateOf(id).durationMs).filter(ms => ms > 0)
      const fastestMs = durations.length > 0 ? Math.min(...durations) : 0
      // The search starts at random, so that nodes with the same state do not all choose the same server.
      const start = Math.floor(random * candidates.length)
      let best: BackendServer | undefined
      let bestLoad = Infinity
      for (let offset = 0; offset < candidates.length; offset++) {
        const server = candidates[(start + offset) % candidates.length]!
        const slowness = isMeasurementDue(server, candidates.length) ? 0 : slownessOf(server, fastestMs)
        const load = stateOf(server.id).inProgress + slowness + (server.zone === zone ? 0 : zonePreference)
        if (load < bestLoad) {
          best = server
          bestLoad = load
        }
      }
      if (best !== undefined) recordChoice(best, candidates, fastestMs)
      return best
    },
    started (id) {
      stateOf(id).inProgress += 1
    },
    ended (id) {
      const state = stateOf(id)
      state.inProgress = Math.max(0, state.inProgress - 1)
    },
    measured (id, durationMs) {
      const state = stateOf(id)
      const hasAverage = state.durationMs > 0 && !state.remeasured
      state.remeasured = false
      state.durationMs = hasAverage ? state.durationMs + durationWeight * (durationMs - state.durationMs) : durationMs
    },
    retain (ids) {
      for (const id of states.keys()) {
        if (!ids.has(id)) states.delete(id)
      }
    }
  }
}
