/**
 * Permits for requests to plain servers that state a limit for all nodes together. One node, the pacer
 * of the server, gives them, because a share of a small limit for each of many nodes would leave most
 * of it unused. Engines need none: their owner paces the grants.
 */
import { topNode } from '@yuccawharf/coordination'
import type { BackendServer } from './cluster-types'
import { createDatedFact, type DatedFact, type Suspensions } from './dated-fact'
import { fieldsCheck, isName, isNumber, isOneOf, optional } from './field-checks'
import { createRequestPace, paceWaitMs, recordRequest, type RequestPace } from './request-pace'
import { startKey, type ServerStart } from './server-registry'
import { isSharedLimit } from './server-statements'

/** Requests a second that all nodes together may send to a server; `burst`: number of them that may come at once, if that is restricted too. */
export type RequestLimit = { requestsPerSecond: number, burst?: number }

export type PermitMessage =
  | { kind: 'acquire', id: string, limit: ServerStart & Partial<RequestLimit>, maxWaitMs: number }
  | { kind: 'permitted', id: string, startInMs: number }
  | { kind: 'denied', id: string, retryAfterMs: number }

const isLimit = (value: unknown): value is ServerStart & Partial<RequestLimit> => isSharedLimit(value) && optional(isNumber)((value as Partial<RequestLimit>).burst)

const isAcquire = fieldsCheck<PermitMessage & { kind: 'acquire' }>({ kind: isOneOf(['acquire']), id: isName, limit: isLimit, maxWaitMs: isNumber })
const isPermitted = fieldsCheck<PermitMessage & { kind: 'permitted' }>({ kind: isOneOf(['permitted']), id: isName, startInMs: isNumber })
const isDenied = fieldsCheck<PermitMessage & { kind: 'denied' }>({ kind: isOneOf(['denied']), id: isName, retryAfterMs: isNumber })

/** @param value - parsed JSON of a peer */
export function isPermitMessage (value: unknown): value is PermitMessage {
  return isAcquire(value) || isPermitted(value) || isDenied(value)
}

export type PermitResult =
  /** The request must be sent within {@link permitValidMs} of `startAt`; the permit is read again then. */
  | { type: 'permitted', permit: DatedFact<{ startAt: number }> }
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
   */
  acquire (server: BackendServer, maxWaitMs: number): Promise<PermitResult>
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

/**
 * @param asOf - earliest time at which the permit can have been given
 * @returns a permit for one request
 */
export function createPermit (startAt: number, asOf: number, suspensions: Suspensions): PermitResult {
  const permit = createDatedFact<{ startAt: number }>(startAt - asOf + permitValidMs, suspensions)
  permit.record({ startAt }, asOf)
  return { type: 'permitted', permit }
}

type Decision = { type: 'permitted', startInMs: number } | { type: 'denied', reason: 'limit', retryAfterMs: number }

export function createRequestPermits (options: RequestPermitsOptions): RequestPermits {
  const { self, now, suspensions } = options
  /** Pace of each server that this node paces, and the limit that it follows. */
  const paces = new Map<string, { pace: RequestPace, requestsPerSecond: number }>()
  /** Time until which the pacer gives no permit for a server under a limit. */
  const denials = new Map<string, { until: number, requestsPerSecond: number }>()
  const pending = new Map<string, (decision: Decision) => void>()
  let lastId = 0

  function paceOf (server: ServerStart, { requestsPerSecond, burst }: RequestLimit): RequestPace {
    const key = startKey(server)
    const existing = paces.get(key)
    if (existing?.requestsPerSecond === requestsPerSecond) return existing.pace
    const pace = createRequestPace(requestsPerSecond, now(), existing?.pace, burst)
    paces.set(key, { pace, requestsPerSecond })
    return pace
  }

  /** @param stated - limit as the asking node knows it; this node may have started since it was stated */
  function issue (server: ServerStart, stated: RequestLimit, maxWaitMs: number): Decision {
    const pace = paceOf(server, options.limit(server) ?? stated)
    const waitMs = paceWaitMs(pace, now())
    if (waitMs > maxWaitMs) return { type: 'denied', reason: 'limit', retryAfterMs: waitMs }
    recordRequest(pace, now())
    return { type: 'permitted', startInMs: waitMs }
  }

  function pacer ({ id }: ServerStart): string {
    const peers = options.peers()
    const names = options.leaving() && peers.length > 0 ? peers : [self, ...peers]
    return topNode(`pacer/${id}`, names.map(name => ({ id: name })))!.id
  }

  function resultOf (decision: Decision, askedAt: number): PermitResult {
    return decision.type === 'denied' ? decision : createPermit(now() + decision.startInMs, askedAt, suspensions)
  }

  function ask (node: string, limit: ServerStart & RequestLimit, maxWaitMs: number): Promise<PermitResult> {
    return new Promise(resolve => {
      const id = `${options.incarnation}.${++lastId}`
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
      pending.set(id, decision => question.read(now()) === undefined ? noPacer() : finish(resultOf(decision, askedAt)))
      options.send(node, { kind: 'acquire', id, limit, maxWaitMs: Math.round(maxWaitMs) })
        .then(acknowledged => { if (!acknowledged) noPacer() })
        .catch(err => {
          options.onError((err as Error).message)
          noPacer()
        })
    })
  }

  return {
    pacer,
    async acquire (server, maxWaitMs) {
      const limit = options.limit(server)
      if (limit === undefined) return createPermit(now(), now(), suspensions)
      const { requestsPerSecond } = limit
      const denial = denials.get(startKey(server))
      const deniedMs = denial?.requestsPerSecond === requestsPerSecond ? denial.until - now() : 0
      if (deniedMs > maxWaitMs) return { type: 'denied', reason: 'limit', retryAfterMs: deniedMs }
      const node = pacer(server)
      const { id, bornAt } = server
      const result = node === self ? resultOf(issue(server, limit, maxWaitMs), now()) : await ask(node, { id, bornAt, ...limit }, maxWaitMs)
      if (result.type === 'denied') denials.set(startKey(server), { until: now() + result.retryAfterMs, requestsPerSecond })
      return result
    },
    receive (from, message) {
      if (message.kind === 'acquire') {
        const { id, limit } = message
        const decision = issue(limit, { ...limit, requestsPerSecond: limit.requestsPerSecond ?? Infinity }, message.maxWaitMs)
        const reply: PermitMessage = decision.type === 'permitted' ? { kind: 'permitted', id, startInMs: decision.startInMs } : { kind: 'denied', id, retryAfterMs: decision.retryAfterMs }
        options.send(from, reply).catch(err => options.onError((err as Error).message))
        return
      }
      const finish = pending.get(message.id)
      if (message.kind === 'permitted') finish?.({ type: 'permitted', startInMs: message.startInMs })
      else finish?.({ type: 'denied', reason: 'limit', retryAfterMs: message.retryAfterMs })
    },
    retain (servers) {
      const keys = new Set(servers.map(startKey))
      for (const state of [paces, denials]) {
        for (const key of state.keys()) {
          if (!keys.has(key)) state.delete(key)
        }
      }
    }
  }
}
