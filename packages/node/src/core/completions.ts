/** Routes completions to engines of this node or to their owners on other nodes; without an owner they wait for one. */
import type { Configuration } from './configuration'
import type { CoreContext } from './core-context'
import type { EngineOwner, RequestEntry } from './engine-owner-types'
import type { Engines } from './engines'
import type { Completion, CoreEvent, Refusal } from './core-events'
import type { Peers } from './peers'
import type { EngineRoute, Routing } from './routing'

export type Completions = {
  submit (completion: Completion, forwarded: boolean, now: number): void
  /** Routes a request again that its engine's owner did not run. */
  resubmit (entry: RequestEntry, now: number): void
  cancel (requestId: string, now: number): void
  firstToken (requestId: string, handle: string | undefined, now: number): void
  requestEnded (event: Extract<CoreEvent, { type: 'request-ended' }>, now: number): void
  tick (now: number): void
  /** Refuses all further requests. */
  close (): void
  readonly unroutedCount: number
}

type UnroutedRequest = RequestEntry & { waitingSince: number }

/** Covers a takeover, which takes up to about 5 s. */
const maxOwnerWaitMs = 6_000
const maxUnrouted = 2_000
const retryAfterMs = 1_000

/** @param engineLeaving - called when an engine itself reports that it accepts no new work */
export const createCompletions = (ctx: CoreContext, configuration: Configuration, routing: Routing, engines: Engines, peers: Peers, engineLeaving: (engine: string, now: number) => void): Completions => {
  const { cfg } = ctx
  const unrouted = new Map<string, UnroutedRequest>()
  let closed = false

  const refuse = (requestId: string, refusal: Refusal): void => {
    ctx.record('refuse', { request: requestId }, refusal.reason)
    ctx.emit({ type: 'refuse', requestId, refusal })
  }

  const refuseNotRun = (requestId: string, reason: string): void => refuse(requestId, { outcome: 'not-run', reason, retryAfterMs })

  const addUnrouted = (entry: RequestEntry, now: number): void => {
    if (unrouted.size >= maxUnrouted) {
      return refuseNotRun(entry.completion.requestId, 'too many requests wait for an owner')
    }
    unrouted.set(entry.completion.requestId, { ...entry, waitingSince: now })
  }

  const localOwner = (routes: EngineRoute[]): EngineOwner | undefined => {
    const localRoute = routes.find(({ node }) => node === cfg.node)
    return localRoute === undefined ? undefined : engines.currentOwner(localRoute.engine)
  }

  const routeForwarded = (entry: RequestEntry, routes: EngineRoute[], now: number): void => {
    const owner = localOwner(routes)
    if (owner === undefined) {
      return refuse(entry.completion.requestId, { outcome: 'not-run', reason: 'this node owns no engine for the request', misdirected: true })
    }
    owner.submit(entry, now)
  }

  /** @returns false when no engine has an owner */
  const tryRoute = (entry: RequestEntry, now: number): boolean => {
    const [best] = routing.routes(entry.completion, now)
    const owner = best === undefined ? undefined : engines.currentOwner(best.engine)
    if (best === undefined) {
      return false
    }
    if (best.node === cfg.node) {
      owner?.submit(entry, now)
      return owner !== undefined
    }
    ctx.record('forward', { request: entry.completion.requestId, engine: best.engine }, best.node)
    ctx.emit({ type: 'forward', requestId: entry.completion.requestId, node: best.node, address: best.address })
    return true
  }

  const routeOrWait = (entry: RequestEntry, now: number): void => {
    if (entry.forwarded) {
      routeForwarded(entry, routing.routes(entry.completion, now), now)
    } else if (!tryRoute(entry, now)) {
      addUnrouted(entry, now)
    }
  }

  const retryUnrouted = (entry: UnroutedRequest, now: number): void => {
    const { requestId, deadline } = entry.completion
    const refusalReason = configuration.refusalReason(now)
    if (refusalReason === undefined && tryRoute(entry, now)) {
      unrouted.delete(requestId)
    } else if (now >= deadline || now - entry.waitingSince >= maxOwnerWaitMs) {
      unrouted.delete(requestId)
      refuseNotRun(requestId, refusalReason ?? 'no engine for the request has an owner')
    }
  }

  const ownerOf = (requestId: string): EngineOwner | undefined => engines.allOwners().find(owner => owner.has(requestId))

  return {
    submit (completion, forwarded, now) {
      const { requestId } = completion
      if (ownerOf(requestId) !== undefined || unrouted.has(requestId)) {
        return
      }
      const refusalReason = configuration.refusalReason(now)
      if (peers.superseded || closed) {
        return refuseNotRun(requestId, 'the node is leaving')
      }
      if (refusalReason !== undefined) {
        return refuseNotRun(requestId, refusalReason)
      }
      const invalidReason = routing.invalidReason(completion)
      if (invalidReason !== undefined) {
        return refuse(requestId, { outcome: 'invalid', reason: invalidReason })
      }
      routeOrWait({ completion, forwarded }, now)
    },
    resubmit (entry, now) {
      const { requestId, deadline } = entry.completion
      ctx.record('resubmit', { request: requestId })
      if (now >= deadline) {
        return refuseNotRun(requestId, 'deadline-passed')
      }
      routeOrWait(entry, now)
    },
    cancel (requestId, now) {
      if (unrouted.delete(requestId)) {
        return refuseNotRun(requestId, 'cancelled')
      }
      ownerOf(requestId)?.cancel(requestId, now)
    },
    firstToken: (requestId, handle, now) => ownerOf(requestId)?.firstToken(requestId, handle, now),
    requestEnded (event, now) {
      const owner = ownerOf(event.requestId)
      if (event.outcome === 'not-run' && event.reason?.includes('draining') === true && owner !== undefined) {
        engineLeaving(owner.engine, now)
      }
      if (owner !== undefined) {
        owner.requestEnded(event, now)
      } else {
        engines.currentOwners().forEach(other => other.requestEnded(event, now))
      }
    },
    tick (now) {
      for (const entry of unrouted.values()) {
        retryUnrouted(entry, now)
      }
    },
    close () {
      closed = true
    },
    get unroutedCount () {
      return unrouted.size
    }
  }
}
