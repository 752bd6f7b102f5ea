/**
 * Permits for requests to plain servers that state a limit for all nodes together. One node, the pacer
 * of the server, gives them, because a share of a small limit for each of many nodes would leave most
 * of it unused. Engines need none: their owner paces the grants.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { topNode } from '@yuccawharf/coordination'
import type { BackendServer } from './cluster-types'
import { createDatedFact, type DatedFact, type Suspensions } from './dated-fact'
import { fieldsCheck, isName, isNumber, isOneOf, optional } from './field-checks'
import { createRequestPace, paceWaitMs, recordRequest, type RequestPace } from './request-pace'
import { startKey, type ServerStart } from './server-registry'
import { isServerStart, isSharedLimit } from './server-statements'

/** What all nodes together may send to a server: requests a second, and requests in progress at the same time. */
export type RequestLimit = { requestsPerSecond?: number, concurrent?: number }

export type PermitMessage =
  /** `endInMs`: time until the request has ended, if its end is not reported. */
  | { kind: 'acquire', id: string, limit: ServerStart & RequestLimit, maxWaitMs: number, endInMs?: number }
  | { kind: 'permitted', id: string, startInMs: number }
  | { kind: 'denied', id: string, retryAfterMs: number }
  /** The request of a permit has ended. */
  | { kind: 'released', id: string, server: ServerStart }

const isLimit = (value: unknown): value is ServerStart & RequestLimit => isSharedLimit(value) && optional(isNumber)((value as RequestLimit).concurrent)

const isAcquire = fieldsCheck<PermitMessage & { kind: 'acquire' }>({ kind: isOneOf(['acquire']), id: isName, limit: isLimit, maxWaitMs: isNumber, endInMs: optional(isNumber) })
const isPermitted = fieldsCheck<PermitMessage & { kind: 'permitted' }>({ kind: isOneOf(['permitted']), id: isName, startInMs: isNumber })
const isDenied = fieldsCheck<PermitMessage & { kind: 'denied' }>({ kind: isOneOf(['denied']), id: isName, retryAfterMs: isNumber })

const isReleased = fieldsCheck<PermitMessage & { kind: 'released' }>({ kind: isOneOf(['released']), id: isName, server: isServerStart })

/** @param value - parsed JSON of a peer */
export function isPermitMessage (value: unknown): value is PermitMessage {
  return isAcquire(value) || isPermitted(value) || isDenied(value) || isReleased(value)
}

export type PermitResult =
  /** The request must be sent within {@link permitValidMs} of `startAt`; the permit is read again then. `release` is called when the request has ended, or is not sent. */
  | { type: 'permitted', permit: DatedFact<{ startAt: number }>, release (): void }
  | { type: 'denied', reason: 'limit' | 'no-pacer', retryAfterMs: number }

export type RequestPermitsOptions = {
  /** Name of this node. */
  self: string
  /** Start of this process, so that replies to an earlier one are recognised. */
  incarnation: number
  now (): number
  suspensions: Suspensions
  /** Names of the other nodes that are alive and not leaving. */
  peers (): string[]
  /** Whether this node is leaving, so that the others no longer ask it. */
  leaving (): boolean
  /** Limit as this node knows it. */
  limit (server: ServerStart): RequestLimit | undefined
  /** @returns whether the node acknowledged the message */
  send (node: string, message: PermitMessage): Promise<boolean>
  onError (reason: string): void
}

export type RequestPermits = {
  /** Node that gives the permits for a server. */
  pacer (server: ServerStart): string
  /**
   * Obtains a permit for one request; granted at once if the server states no limit.
   *
   * @param maxWaitMs - longest useful time until the request is sent
   * @param endInMs - longest time until the request has ended
   */
  acquire (server: BackendServer, maxWaitMs: number, endInMs: number): Promise<PermitResult>
  receive (from: string, message: PermitMessage): void
  /** Removes the state of all other servers. */
  retain (servers: readonly ServerStart[]): void
}

/** Time after its start in which a permit is valid, in ms. A node that was suspended meanwhile must ask again. */
export const permitValidMs = 250
/** Time to wait for the pacer's reply, in ms: a round trip and the retransmissions of a message. */
const replyTimeoutMs = 400
/** Delay suggested to clients while the pacer does not reply, in ms: it is replaced within about two seconds. */
const noPacerRetryAfterMs = 500
/** Interval at which a request asks again for a place at a server that is full, in ms: a part of the duration of a request. */
const fullRetryMs = 20
/** Time beyond a request's latest end after which its place counts as free, in ms. */
const placeMarginMs = 500

/**
 * @param asOf - earliest time at which the permit can have been given
 * @returns a permit for one request
 */
export function createPermit (startAt: number, asOf: number, suspensions: Suspensions, release = (): void => {}): PermitResult {
  const permit = createDatedFact<{ startAt: number }>(startAt - asOf + permitValidMs, suspensions)
  permit.record({ startAt }, asOf)
  return { type: 'permitted', permit, release }
}

type Decision = { type: 'permitted', startInMs: number } | { type: 'denied', reason: 'limit', retryAfterMs: number }

export function createRequestPermits (options: RequestPermitsOptions): RequestPermits {
  const { self, now, suspensions } = options
  /** Pace of each server that this node paces, and the limit that it follows. */
  const paces = new Map<string, { pace: RequestPace, requestsPerSecond: number }>()
  /** Time until which the pacer gives no permit for a server under a limit. */
  const denials = new Map<string, { until: number, requestsPerSecond: number | undefined }>()
  const pending = new Map<string, (decision: Decision) => void>()
  /** Requests in progress at each server that this node paces, with the time at which each has ended at the latest. */
  const places = new Map<string, Map<string, number>>()
  let lastId = 0

  function paceOf (server: ServerStart, requestsPerSecond: number): RequestPace {
    const key = startKey(server)
    const existing = paces.get(key)
    if (existing?.requestsPerSecond === requestsPerSecond) return existing.pace
    const pace = createRequestPace(requestsPerSecond, now(), existing?.pace)
    paces.set(key, { pace, requestsPerSecond })
    return pace
  }

  /** @param stated - limit as the asking node knows it; this node may have started since it was stated */
  function placesAt (server: ServerStart): Map<string, number> {
    const key = startKey(server)
    const taken = places.get(key) ?? new Map<string, number>()
    places.set(key, taken)
    for (const [id, endsAt] of taken) {
      if (endsAt < now()) taken.delete(id)
    }
    return taken
  }

  /** @param stated - limit as the asking node knows it; this node may have started since it was stated */
  function issue (id: string, server: ServerStart, stated: RequestLimit, maxWaitMs: number, endInMs: number): Decision {
    const { requestsPerSecond, concurrent = Infinity } = options.limit(server) ?? stated
    const taken = placesAt(server)
    if (taken.size >= concurrent) return { type: 'denied', reason: 'limit', retryAfterMs: fullRetryMs }
    const pace = requestsPerSecond === undefined ? undefined : paceOf(server, requestsPerSecond)
    const waitMs = pace === undefined ? 0 : paceWaitMs(pace, now())
    if (waitMs > maxWaitMs) return { type: 'denied', reason: 'limit', retryAfterMs: waitMs }
    if (pace !== undefined) recordRequest(pace, now())
    if (concurrent < Infinity) taken.set(id, now() + waitMs + endInMs + placeMarginMs)
    return { type: 'permitted', startInMs: waitMs }
  }

  function pacer ({ id }: ServerStart): string {
    const peers = options.peers()
    const names = options.leaving() && peers.length > 0 ? peers : [self, ...peers]
    return topNode(`pacer/${id}`, names.map(name => ({ id: name })))!.id
  }

  function resultOf (decision: Decision, askedAt: number, release: () => void): PermitResult {
    return decision.type === 'denied' ? decision : createPermit(now() + decision.startInMs, askedAt, suspensions, release)
  }

  /** Tells the pacer that the request has ended. Without the message its place is free at the latest end of the request. */
  function releaseAt (node: string, id: string, { id: server, bornAt }: ServerStart): void {
    options.send(node, { kind: 'released', id, server: { id: server, bornAt } }).catch(err => options.onError((err as Error).message))
  }

  function ask (node: string, id: string, limit: ServerStart & RequestLimit, maxWaitMs: number, endInMs: number): Promise<PermitResult> {
    const release = limit.concurrent === undefined ? undefined : () => releaseAt(node, id, limit)
    return new Promise(resolve => {
      const askedAt = now()
      const question = createDatedFact<true>(replyTimeoutMs, suspensions)
      question.record(true, askedAt)
      const finish = (result: PermitResult): void => {
        clearTimeout(timer)
        pending.delete(id)
        resolve(result)
      }
      const noPacer = (): void => finish({ type: 'denied', reason: 'no-pacer', retryAfterMs: noPacerRetryAfterMs })
      const timer = setTimeout(noPacer, replyTimeoutMs)
      // After a pause of the process a reply may be handled before the timer.
      pending.set(id, decision => question.read(now()) === undefined ? noPacer() : finish(resultOf(decision, askedAt, release ?? (() => {}))))
      options.send(node, { kind: 'acquire', id, limit, maxWaitMs: Math.round(maxWaitMs), endInMs: Math.round(endInMs) })
        .then(acknowledged => { if (!acknowledged) noPacer() })
        .catch(err => {
          options.onError((err as Error).message)
          noPacer()
        })
    })
  }

  async function acquireOnce (server: BackendServer, maxWaitMs: number, endInMs: number): Promise<PermitResult> {
    const limit = options.limit(server)
    if (limit === undefined) return createPermit(now(), now(), suspensions)
    const { requestsPerSecond, concurrent } = limit
    const denial = denials.get(startKey(server))
    const deniedMs = denial !== undefined && denial.requestsPerSecond === requestsPerSecond ? denial.until - now() : 0
    if (deniedMs > maxWaitMs) return { type: 'denied', reason: 'limit', retryAfterMs: deniedMs }
    const node = pacer(server)
    const place = `${self}/${options.incarnation}.${++lastId}`
    const { id, bornAt } = server
    const release = (): void => { places.get(startKey(server))?.delete(place) }
    const result = node === self ? resultOf(issue(place, server, limit, maxWaitMs, endInMs), now(), release) : await ask(node, place, { id, bornAt, ...limit }, maxWaitMs, endInMs)
    // A place may become free at any time.
    if (result.type === 'denied' && concurrent === undefined) denials.set(startKey(server), { until: now() + result.retryAfterMs, requestsPerSecond })
    return result
  }

  return {
    pacer,
    async acquire (server, maxWaitMs, endInMs) {
      const until = now() + maxWaitMs
      for (;;) {
        const result = await acquireOnce(server, Math.max(0, until - now()), endInMs)
        const isFull = result.type === 'denied' && result.reason === 'limit' && result.retryAfterMs === fullRetryMs
        if (!isFull || now() + fullRetryMs > until) return result
        await sleep(fullRetryMs)
      }
    },
    receive (from, message) {
      if (message.kind === 'acquire') {
        const { id, limit } = message
        const decision = issue(id, limit, limit, message.maxWaitMs, message.endInMs ?? 0)
        const reply: PermitMessage = decision.type === 'permitted' ? { kind: 'permitted', id, startInMs: decision.startInMs } : { kind: 'denied', id, retryAfterMs: decision.retryAfterMs }
        options.send(from, reply).catch(err => options.onError((err as Error).message))
        return
      }
      if (message.kind === 'released') {
        places.get(startKey(message.server))?.delete(message.id)
        return
      }
      const finish = pending.get(message.id)
      if (message.kind === 'permitted') finish?.({ type: 'permitted', startInMs: message.startInMs })
      else finish?.({ type: 'denied', reason: 'limit', retryAfterMs: message.retryAfterMs })
    },
    retain (servers) {
      const keys = new Set(servers.map(startKey))
      for (const state of [paces, denials, places]) {
        for (const key of state.keys()) {
          if (!keys.has(key)) state.delete(key)
        }
      }
    }
  }
}
