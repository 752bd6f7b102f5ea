/**
 * Chooses a server of a plain service. Servers whose recent requests failed are left out, and for a
 * moment those that were full; the others get requests by their capacity and load. A server that was
 * left out gets one request at a time until one succeeds.
 */
import type { BackendServer } from './cluster-types'
import type { DecisionLog } from './decision-log'
import type { GatewayMetrics } from './gateway-metrics'
import { createOwnLoadChoice } from './own-load-choice'
import { createServerLoads, type LoadFigures } from './server-loads'
import { reportServerUse, type ServerUse, type ServerUseChange } from './server-use'

/** Consecutive failures after which a server is ejected; a single one may be due to its connection. */
const failuresToEject = 2
/** Duration of the first ejection, in ms; it doubles with each further failure. */
const ejectMs = 1000
const maxEjectMs = 8000
/** Time for which a server that refused because it was full is skipped, in ms: about the duration of one request. */
const fullMs = 60

/** `aborted`: given up for a reason that need not lie with the server. */
export type AttemptOutcome = 'ok' | 'failed' | 'full' | 'aborted'

/** `available`: the server takes part in the choice. Remaining times in ms. */
export type PoolCandidate = { server: BackendServer, available: boolean, use: ServerUse, ejectedForMs: number, fullForMs: number } & LoadFigures

export type ServicePool = {
  /** @returns what `choose` would return, and what it would decide from; nothing changes */
  explain (...args: Parameters<ServicePool['choose']>): { chosen: BackendServer | undefined, candidates: PoolCandidate[] }
  /** @param excluded - ids of servers to which this request was already sent */
  choose (servers: readonly BackendServer[], zone: string, excluded: ReadonlySet<string>, random: number, now: number): BackendServer | undefined
  started (id: string, now: number): void
  ended (id: string, outcome: AttemptOutcome, durationMs: number, now: number): void
  inProgress (id: string): number
  /** Removes the state of all other servers. */
  retain (ids: ReadonlySet<string>): void
}

/**
 * `suspect`: the server was ejected, and no request has succeeded since the end of the ejection.
 * `reported`: what the last change said.
 */
type ServerState = { reported: ServerUse, failures: number, suspect: boolean, ejectedUntil: number, fullUntil: number }

/**
 * @param fleetSize - number of nodes that send requests to the service
 * @param changed - called when the use of a server changes
 */
export function createServicePool (fleetSize = (): number => Infinity, changed: (change: ServerUseChange) => void = () => {}): ServicePool {
  const states = new Map<string, ServerState>()
  const loads = createServerLoads()
  const ownLoads = createOwnLoadChoice()

  /** Whether nodes are so many that the requests of one say little about the load of a server. */
  function isShared (servers: readonly BackendServer[]): boolean {
    return fleetSize() > servers.reduce((sum, { slots }) => sum + slots, 0)
  }

  function stateOf (id: string): ServerState {
    const existing = states.get(id)
    if (existing !== undefined) return existing
    const created: ServerState = { reported: 'in-use', failures: 0, suspect: false, ejectedUntil: -Infinity, fullUntil: -Infinity }
    states.set(id, created)
    return created
  }

  function useOf (id: string, now: number): ServerUse {
    const { suspect, ejectedUntil } = stateOf(id)
    if (ejectedUntil > now) return 'ejected'
    return suspect ? 'probation' : 'in-use'
  }

  function reportUse (id: string, now: number): void {
    const state = stateOf(id)
    const use = useOf(id, now)
    if (use === state.reported) return
    state.reported = use
    changed({ server: id, use, failures: state.failures, ...(use === 'ejected' ? { forMs: state.ejectedUntil - now } : {}) })
  }

  /** Whether a server is neither ejected nor busy with its one request on probation. */
  function isUsable (id: string, now: number): boolean {
    const use = useOf(id, now)
    return use === 'in-use' || (use === 'probation' && loads.inProgress(id) === 0)
  }

  function available (servers: readonly BackendServer[], now: number): readonly BackendServer[] {
    const usable = servers.filter(({ id }) => isUsable(id, now))
    const notFull = usable.filter(({ id }) => stateOf(id).fullUntil <= now)
    if (notFull.length > 0) return notFull
    // If no server is usable, trying one is better than refusing all requests.
    return usable.length > 0 ? usable : servers
  }

  return {
    explain (servers, zone, excluded, random, now) {
      const candidates = available(servers.filter(({ id }) => !excluded.has(id)), now)
      const copy = loads.copy()
      const sharedChoice = copy.choose(candidates, zone, random, now)
      const chosen = isShared(servers) ? sharedChoice : ownLoads.copy().choose(candidates, zone, random, now)
      const remainingMs = (until: number): number => Math.max(0, until - now)
      return {
        chosen,
        candidates: servers.map(server => ({
          server,
          available: candidates.includes(server),
          use: useOf(server.id, now),
          ejectedForMs: remainingMs(states.get(server.id)?.ejectedUntil ?? 0),
          fullForMs: remainingMs(states.get(server.id)?.fullUntil ?? 0),
          ...copy.figures(server.id, now)
        }))
      }
    },
    choose (servers, zone, excluded, random, now) {
      const choice = isShared(servers) ? loads : ownLoads
      return choice.choose(available(servers.filter(({ id }) => !excluded.has(id)), now), zone, random, now)
    },
    started (id, now) {
      reportUse(id, now)
      loads.started(id)
      ownLoads.started(id)
    },
    ended (id, outcome, durationMs, now) {
      const state = stateOf(id)
      loads.ended(id)
      ownLoads.ended(id)
      if (outcome === 'full') {
        state.fullUntil = now + fullMs
        loads.refused(id, now)
        return
      }
      if (outcome === 'ok' || outcome === 'aborted') {
        loads.measured(id, durationMs, now)
        ownLoads.measured(id, durationMs, now)
      }
      if (outcome === 'aborted') return
      if (outcome === 'ok') {
        state.failures = 0
        // A request that was sent before the ejection may succeed during it.
        if (state.ejectedUntil <= now) state.suspect = false
        reportUse(id, now)
        return
      }
      state.failures += 1
      if (state.failures < failuresToEject && !state.suspect) return
      state.suspect = true
      state.ejectedUntil = now + Math.min(maxEjectMs, ejectMs * 2 ** Math.max(0, state.failures - failuresToEject))
      reportUse(id, now)
    },
    inProgress: loads.inProgress,
    retain (ids) {
      loads.retain(ids)
      ownLoads.retain(ids)
      for (const id of states.keys()) {
        if (!ids.has(id)) states.delete(id)
      }
    }
  }
}

/** The pools of all services. */
export type ServicePools = {
  pool (service: string): ServicePool
  retain: ServicePool['retain']
}

export function createServicePools (fleetSize: () => number, log: Pick<DecisionLog, 'info'>, metrics: Pick<GatewayMetrics, 'serverUse'>): ServicePools {
  const pools = new Map<string, ServicePool>()
  return {
    pool (service) {
      const existing = pools.get(service)
      if (existing !== undefined) return existing
      const created = createServicePool(fleetSize, change => reportServerUse(service, change, log, metrics))
      pools.set(service, created)
      return created
    },
    retain (ids) {
      for (const pool of pools.values()) pool.retain(ids)
    }
  }
}
