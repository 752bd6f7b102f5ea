/**
 * Permits for adapter loads from the shared weight store. One node, the issuer, grants them to all nodes.
 * While the issuer is unreachable, each node uses a fixed share of the rate in time slots. Permits are
 * soft state: losing them costs speed, never a guarantee.
 */
import { rendezvousRank } from './placement'
import { invariant } from './invariant'

export type PermitLimits = {
  /** Maximum number of loads in flight on all engines. */
  inFlight: number
  /** Loads per second that the weight store sustains. */
  perSecond: number
  /** Time after which a permit that was not returned expires, in ms. */
  expiryMs: number
  /** Whether patient loads leave one token of the rate limit to urgent ones; true by default. */
  reserveForUrgent?: boolean
}

export type PermitIssuerEvent =
  /** A repeated request for the same engine replaces the earlier one. */
  | { type: 'request', engine: string, urgency: number }
  | { type: 'release', permitId: string, unused?: true }
  | { type: 'tick' }

export type PermitGrant = { type: 'grant', engine: string, permitId: string, expiresAt: number }

export type PermitIssuer = {
  step (event: PermitIssuerEvent, now: number): PermitGrant[]
  readonly inFlight: number
  /** Earliest time of the next grant, in ms; undefined when no request waits for the rate limit. */
  nextGrantAt (now: number): number | undefined
}

/** A waiting request is repeated every second; one that is not repeated for this long is dropped. */
const requestTtlMs = 3_000
/** Burst of the rate limit after an idle period: as many loads as the rate allows in this time. */
const burstSeconds = 1

/** Requests below this share of the highest recent urgency are patient. */
const patientShare = 0.05
/** Half-life of the highest recent urgency, so that patient loads get the whole rate when no urgent load has been requested for long. */
const urgencyHalfLifeMs = 30_000

type PendingRequest = { urgency: number, at: number, order: number }

/** @param name prefix of the permit ids; unique to each of successive issuers */
export const createPermitIssuer = (name: string, { inFlight, perSecond, expiryMs, reserveForUrgent = true }: PermitLimits): PermitIssuer => {
  const activePermits = new Map<string, number>()
  const pending = new Map<string, PendingRequest>()
  const burst = Math.max(1, perSecond * burstSeconds)
  let bucketTokens = 1
  let refilledAt: number | undefined
  let counter = 0
  let peakUrgency = 0
  let peakUrgencyAt = 0

  const refill = (now: number): void => {
    bucketTokens = Math.min(burst, bucketTokens + (now - (refilledAt ?? now)) * perSecond / 1000)
    refilledAt = now
  }

  const expire = (now: number): void => {
    for (const [permitId, expiresAt] of activePermits) {
      if (expiresAt <= now) {
        activePermits.delete(permitId)
      }
    }
    for (const [engine, request] of pending) {
      if (request.at + requestTtlMs <= now) {
        pending.delete(engine)
      }
    }
  }

  const mostUrgent = (): string | undefined => {
    let best: string | undefined
    for (const [engine, request] of pending) {
      const other = best === undefined ? undefined : pending.get(best)!
      if (other === undefined || request.urgency > other.urgency || (request.urgency === other.urgency && request.order < other.order)) {
        best = engine
      }
    }
    return best
  }

  const grant = (engine: string, now: number): PermitGrant => {
    pending.delete(engine)
    counter += 1
    bucketTokens -= 1
    const permitId = `${name}.${counter}`
    activePermits.set(permitId, now + expiryMs)
    invariant(activePermits.size <= inFlight, `${activePermits.size} load permits are active, more than the limit`)
    return { type: 'grant', engine, permitId, expiresAt: now + expiryMs }
  }

  const currentPeakUrgency = (now: number): number => peakUrgency * 0.5 ** ((now - peakUrgencyAt) / urgencyHalfLifeMs)

  /** A prefetch (urgency 0) waits until the weight store has been idle; patient loads leave a token to urgent ones. */
  const tokensNeeded = (urgency: number, now: number): number => {
    if (urgency <= 0) {
      return burst
    }
    return reserveForUrgent && urgency < currentPeakUrgency(now) * patientShare ? Math.min(burst, 2) : 1
  }

  const nextEngine = (now: number): string | undefined => {
    const engine = mostUrgent()
    if (engine === undefined || activePermits.size >= inFlight) {
      return undefined
    }
    return bucketTokens >= tokensNeeded(pending.get(engine)!.urgency, now) ? engine : undefined
  }

  const grantAll = (now: number): PermitGrant[] => {
    const grants: PermitGrant[] = []
    for (let engine = nextEngine(now); engine !== undefined; engine = nextEngine(now)) {
      grants.push(grant(engine, now))
    }
    return grants
  }

  return {
    step (event, now) {
      refill(now)
      expire(now)
      if (event.type === 'request') {
        const order = pending.get(event.engine)?.order ?? (counter += 1)
        if (event.urgency > currentPeakUrgency(now)) {
          peakUrgency = event.urgency
          peakUrgencyAt = now
        }
        pending.set(event.engine, { urgency: event.urgency, at: now, order })
      }
      if (event.type === 'release' && activePermits.delete(event.permitId) && event.unused === true) {
        bucketTokens = Math.min(burst, bucketTokens + 1)
      }
      return grantAll(now)
    },
    get inFlight () {
      return activePermits.size
    },
    nextGrantAt (now) {
      if (pending.size === 0 || activePermits.size >= inFlight) {
        return undefined
      }
      const best = pending.get(mostUrgent()!)!
      const needed = tokensNeeded(best.urgency, now)
      return now + Math.max(0, Math.ceil((needed - bucketTokens) * 1000 / perSecond))
    }
  }
}

export type PermitClientEvent =
  /** The engine's scheduler requests a permit. */
  | { type: 'request', engine: string, urgency: number }
  | { type: 'release', permitId: string, unused?: true }
  /** Live nodes of the deployment, this one included. */
  | { type: 'nodes', nodes: string[] }
  | { type: 'granted', engine: string, permitId: string, expiresAt: number }
  /** The issuer did not reply. */
  | { type: 'unreachable', node: string }
  | { type: 'tick' }

export type PermitClientAction =
  | { type: 'request', node: string, engine: string, urgency: number }
  | { type: 'return', node: string, permitId: string, unused?: true }
  | { type: 'permit', engine: string, permitId: string, expiresAt: number }

export type PermitClient = {
  step (event: PermitClientEvent, now: number): PermitClientAction[]
  /** Node that issues the permits; undefined when there are no live nodes. */
  issuer (): string | undefined
  /** Whether the fixed share is in use. */
  isFallback (now: number): boolean
}

/** After a failure, the issuer is tried again after this time; the fixed share is used meanwhile. */
const issuerRetryMs = 2_000
/** Bound on the permits with a recorded issuer: an owner whose term ends never returns its permits. */
const maxIssuers = 1_024
/** Rendezvous key with which all nodes choose the issuer. */
const issuerKey = 'load-permits'

/** @returns the node that issues the load permits */
export const permitIssuerOf = (nodes: readonly string[]): string | undefined => rendezvousRank(issuerKey, nodes)[0]

/** Permits for the engines of one node: from the issuer, or from the node's own time slots. */
export const createPermitClient = (self: string, limits: PermitLimits): PermitClient => {
  let nodes: string[] = [self]
  let unreachableUntil = -Infinity
  let counter = 0
  let lastTimeSlot = -1
  const pending = new Map<string, { urgency: number, at: number }>()
  const ownPermits = new Map<string, number>()
  const issuerOf = new Map<string, string>()

  const issuer = (): string | undefined => permitIssuerOf(nodes)
  const isFallback = (now: number): boolean => now < unreachableUntil

  const expire = (now: number): void => {
    for (const [permitId, expiresAt] of ownPermits) {
      if (expiresAt <= now) {
        ownPermits.delete(permitId)
      }
    }
    for (const [engine, { at }] of pending) {
      if (at + requestTtlMs <= now) {
        pending.delete(engine)
      }
    }
  }

  /** One load per time slot of 1/rate seconds; the nodes take turns. */
  const grantFromOwnShare = (now: number): PermitClientAction[] => {
    const timeSlot = Math.floor(now * limits.perSecond / 1000)
    const isOwnTurn = nodes.indexOf(self) === timeSlot % nodes.length
    const share = Math.max(1, Math.floor(limits.inFlight / nodes.length))
    const best = [...pending].sort(([, a], [, b]) => b.urgency - a.urgency)[0]
    if (!isOwnTurn || timeSlot === lastTimeSlot || ownPermits.size >= share || best === undefined) {
      return []
    }
    lastTimeSlot = timeSlot
    counter += 1
    const permitId = `${self}.share.${counter}`
    const expiresAt = now + limits.expiryMs
    ownPermits.set(permitId, expiresAt)
    invariant(ownPermits.size <= limits.inFlight, `${self} has ${ownPermits.size} loads in flight, more than the limit`)
    pending.delete(best[0])
    return [{ type: 'permit', engine: best[0], permitId, expiresAt }]
  }

  const returnPermit = (permitId: string, unused: true | undefined): PermitClientAction[] => {
    if (ownPermits.delete(permitId)) {
      return []
    }
    const node = issuerOf.get(permitId)
    issuerOf.delete(permitId)
    return node === undefined ? [] : [{ type: 'return', node, permitId, ...(unused ? { unused } : {}) }]
  }

  const acceptGrant = ({ engine, permitId, expiresAt }: Extract<PermitClientEvent, { type: 'granted' }>, now: number): PermitClientAction[] => {
    const node = issuer()
    if (issuerOf.has(permitId) || node === undefined) {
      return []
    }
    issuerOf.set(permitId, node)
    if (issuerOf.size > maxIssuers) {
      issuerOf.delete(issuerOf.keys().next().value!)
    }
    unreachableUntil = -Infinity
    // The scheduler may already have a permit from the fixed share; then this one is returned.
    if (!pending.delete(engine)) {
      return returnPermit(permitId, true)
    }
    return expiresAt <= now ? returnPermit(permitId, true) : [{ type: 'permit', engine, permitId, expiresAt }]
  }

  return {
    step (event, now) {
      expire(now)
      const actions: PermitClientAction[] = []
      switch (event.type) {
        case 'request':
          pending.set(event.engine, { urgency: event.urgency, at: now })
          if (!isFallback(now) && issuer() !== undefined) {
            actions.push({ type: 'request', node: issuer()!, engine: event.engine, urgency: event.urgency })
          }
          break
        case 'release':
          actions.push(...returnPermit(event.permitId, event.unused))
          break
        case 'nodes':
          unreachableUntil = permitIssuerOf(event.nodes) === issuer() ? unreachableUntil : -Infinity
          nodes = [...event.nodes].sort()
          break
        case 'granted':
          actions.push(...acceptGrant(event, now))
          break
        case 'unreachable':
          if (event.node === issuer()) {
            unreachableUntil = now + issuerRetryMs
          }
          break
        case 'tick':
          break
      }
      return isFallback(now) ? [...actions, ...grantFromOwnShare(now)] : actions
    },
    issuer,
    isFallback
  }
}
