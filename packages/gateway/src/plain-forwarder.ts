/** Forwards requests to plain services: chooses a server and retries where the route allows it. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { RetryBudget } from '@yuccawharf/coordination'
import { runOutcomeOf, startAttempt, type Attempt, type AttemptResult } from './attempt'
import type { ClientExchange } from './client-exchange'
import type { BackendServer } from './cluster-types'
import type { DecisionLog } from './decision-log'
import type { KeptBytes } from './kept-bytes'
import type { HeaderCodec } from './platform-interface'
import type { BlockedRequest, RequestRuns } from './request-crashes'
import type { ResponseEnd, ResponseFacts } from './response-end'
import { statedWaits, type ServerRestrictions } from './server-restrictions'
import type { AttemptOutcome, ServicePool } from './service-pool'
import { softwareVersionOf } from './software-versions'
import type { StreamProgress } from './stream-versions'
import type { Upstream } from './upstream'

export type PlainForwarderEnv = {
  now (): number
  random (): number
  zone: string
  codec: HeaderCodec
  upstream: Upstream
  kept: KeptBytes
  log: DecisionLog
  /** A response is complete, which this has shown. */
  responseEnded (end: ResponseEnd): void
  /** What servers ask of this node in their responses. */
  restrictions: Pick<ServerRestrictions, 'record' | 'acquire' | 'waitMs'>
  servers (service: string): BackendServer[]
  pool (service: string): ServicePool
  budget (service: string): RetryBudget
  /** The only software version at which the request may run, because a client takes up a stream that began there. */
  softwareVersion: string | undefined
  /** Remembers where the stream began. */
  progress: StreamProgress
  /** Sendings of this request, which may crash its servers. */
  runs: RequestRuns
  /** @returns why the request is refused, if it is blocked */
  blocked (): BlockedRequest | undefined
}

/** Attempts that fail before anything is sent cost no server work; more failures than this indicate a persistent fault. */
const maxUnsentAttempts = 4
/** Minimum time until the deadline for a retry, in ms. */
const minRetryMs = 50
/** Time without a response after which an idempotent request is retried on another server, as a multiple of the latency objective. */
const slowAfterObjectives = 1.2
/** Retry-After when all servers are full, in ms: about the duration of one request. */
const serversFullRetryAfterMs = 150
const noServerRetryAfterMs = 500
/** Share of the latency objective for which a request waits for the last server that may take it. */
const permitWaitObjectives = 0.5
const maxResponseBytes = 16 * 1024 * 1024

/** The server had not answered in time, and a retry on another one was taken from the budget. */
type SlowResult = { type: 'slow' }

type Step =
  | { type: 'done' }
  | { type: 'retry' }

/** @param unavailable - time until servers that accept no requests now may be asked, in ms */
export function refusalWithoutServer (unavailable: ReadonlyMap<string, number>): { reason: string, retryAfterMs: number } {
  if (unavailable.size === 0) return { reason: 'no server', retryAfterMs: noServerRetryAfterMs }
  return { reason: 'servers accept no requests for a while', retryAfterMs: Math.min(...unavailable.values()) }
}

export async function forwardPlain (exchange: ClientExchange, env: PlainForwarderEnv): Promise<void> {
  const { route, service, metadata } = exchange
  const pool = env.pool(service.name)
  const budget = env.budget(service.name)
  const idempotent = route.kind === 'idempotent'
  const sentTo = new Set<string>()
  const unreachable = new Set<string>()
  /** Time until a server that has got what it accepts, or wants no requests, may be asked, in ms. */
  const unavailable = new Map<string, number>()
  let unsent = 0
  /** An earlier attempt may have run. */
  let maybeRun = false
  /** No part of a server's response came in time. Its connection may be silent, and others that were opened before as well. */
  let avoidOpenConnections = false
  /** An error of a server, passed on if no other server can be tried. */
  let unusedResponse: AttemptResult & { type: 'response' } | undefined
  let releaseUnused: () => void = () => {}
  let releasePermit: () => void = () => {}
  let current: Attempt | undefined
  /** Of the last attempt. */
  let facts: ResponseFacts = { bytes: 0 }
  let deadlinePassed = false

  budget.recordAttempt()
  exchange.onDisconnect(() => { current?.abort('client left') })
  const deadline = setTimeout(() => {
    // The server may be running the current attempt.
    if (current !== undefined) maybeRun = true
    deadlinePassed = true
    current?.abort('deadline')
    giveUp('deadline')
  }, Math.max(0, exchange.deadlineAt - env.now()))

  function giveUp (reason: string, retryAfterMs?: number): void {
    if (exchange.ended) return
    env.log.info('request-refused', { id: metadata.id, service: service.name, reason, maybeRun, sentTo: [...sentTo], afterMs: Math.round(env.now() - exchange.arrivedAt) })
    if (maybeRun) exchange.refuse({ status: reason === 'deadline' ? 504 : 502, outcome: 'unknown' }, reason)
    else exchange.refuse({ status: 503, outcome: 'not-run' }, reason, retryAfterMs ?? noServerRetryAfterMs)
  }

  function usableServers (): BackendServer[] {
    const servers = env.servers(service.name)
    return env.softwareVersion === undefined ? servers : servers.filter(server => softwareVersionOf(server) === env.softwareVersion)
  }

  /** @returns whether the request was refused because it crashes servers */
  function refuseIfBlocked (): boolean {
    const blocked = env.blocked()
    if (blocked === undefined) return false
    giveUp(blocked.reason, blocked.remainingMs)
    return true
  }

  /** @param responded - whether the response had begun */
  function outcomeOf (result: AttemptResult, responded: boolean): AttemptOutcome {
    if (result.type === 'response') return result.status < 500 ? 'ok' : 'failed'
    if (result.type === 'not-run') return result.status === 421 ? 'failed' : 'full'
    if (result.type === 'failed' && result.linksCut === true) return 'aborted'
    if (result.type !== 'aborted') return 'failed'
    // A response without end takes its request to the deadline. Without any response, the request may just have come late.
    return deadlinePassed && responded ? 'failed' : 'aborted'
  }

  /** Takes a retry from the budget, if the request may be retried on another server. */
  function tryRetry (): boolean {
    return idempotent && sentTo.size < route.attempts && exchange.deadlineAt - env.now() > minRetryMs && usableServers().some(({ id }) => !sentTo.has(id)) && budget.tryTake()
  }

  async function send (server: BackendServer): Promise<AttemptResult | SlowResult> {
    const startedAt = env.now()
    unusedResponse = undefined
    releaseUnused()
    sentTo.add(server.id)
    pool.started(server.id, startedAt)
    let responded = false
    const run = env.runs.start(server)
    const attempt = startAttempt({
      codec: env.codec,
      upstream: env.upstream,
      now: env.now,
      server,
      requestId: metadata.id,
      req: {
        method: exchange.req.method ?? 'GET',
        path: exchange.req.url ?? '/',
        headers: env.codec.attempt(metadata, { instanceId: server.id, remainingMs: exchange.deadlineAt - startedAt }),
        body: exchange.body,
        newConnection: avoidOpenConnections,
        repeatable: idempotent
      },
      maxBodyBytes: maxResponseBytes,
      kept: env.kept,
      responded (status, response, sentAt, through) {
        responded = true
        run.responded()
        env.restrictions.record(server, metadata.id, { status, identified: response.requestId === metadata.id, sentAt, statements: response.statements, ...(through === undefined ? {} : { through }) })
      },
      complete: env.responseEnded,
      warn: env.log.warn
    })
    current = attempt
    let slow = false
    const retryElsewhere = (): void => {
      // Without another server the response may still come.
      if (!tryRetry()) return
      slow = true
      attempt.abort('slow server')
    }
    const canRetry = idempotent && sentTo.size < route.attempts
    const slowTimer = canRetry ? setTimeout(retryElsewhere, Math.min(route.objectiveMs * slowAfterObjectives, (exchange.deadlineAt - startedAt) / 2)) : undefined
    const result = await attempt.result
    facts = attempt.facts()
    releasePermit()
    clearTimeout(slowTimer)
    current = undefined
    avoidOpenConnections ||= slow && !responded
    run.ended(runOutcomeOf(result))
    pool.ended(server.id, slow ? 'failed' : outcomeOf(result, responded), env.now() - startedAt, env.now())
    return slow && result.type === 'aborted' && !exchange.ended ? { type: 'slow' } : result
  }

  function handle (server: BackendServer, result: AttemptResult | SlowResult): Step {
    if (exchange.ended || result.type === 'aborted') return { type: 'done' }
    env.log.info('attempt-ended', { id: metadata.id, service: service.name, server: server.id, result: result.type, status: 'status' in result ? result.status : undefined, reason: 'reason' in result ? result.reason : undefined, connectionLost: 'connectionLost' in result ? result.connectionLost : undefined, ...facts, afterMs: Math.round(env.now() - exchange.arrivedAt) })
    switch (result.type) {
      case 'not-sent':
        sentTo.delete(server.id)
        unreachable.add(server.id)
        unsent += 1
        if (unsent <= maxUnsentAttempts) return { type: 'retry' }
        giveUp('no server could be reached')
        return { type: 'done' }
      case 'not-run':
        // The request has not run, but it counts towards the route's attempts.
        if (sentTo.size < route.attempts && budget.tryTake()) return { type: 'retry' }
        giveUp(result.status === 421 ? 'server was replaced' : 'servers are full', serversFullRetryAfterMs)
        return { type: 'done' }
      case 'slow':
        maybeRun = true
        return { type: 'retry' }
      case 'failed':
        maybeRun = true
        if (tryRetry()) return { type: 'retry' }
        giveUp(result.reason)
        return { type: 'done' }
      case 'response':
        if (result.status >= 500 && tryRetry()) {
          maybeRun = true
          unusedResponse = result
          releaseUnused = env.kept.hold(result.body.length)
          return { type: 'retry' }
        }
        if (route.resumable) env.progress.began(server)
        exchange.respond(result.status, result.headers, result.body)
        return { type: 'done' }
      default:
        return { type: 'done' }
    }
  }

  /** @returns whether the request may be sent to the server now */
  async function obtainPermit (server: BackendServer, isLast: boolean): Promise<boolean> {
    const maxWaitMs = isLast ? Math.min(route.objectiveMs * permitWaitObjectives, exchange.deadlineAt - env.now() - minRetryMs) : 0
    const result = await env.restrictions.acquire(server, Math.max(0, maxWaitMs), exchange.deadlineAt - env.now())
    if (result.type === 'denied') {
      unavailable.set(server.id, result.retryAfterMs)
      env.log.info('permit-denied', { id: metadata.id, server: server.id, reason: result.reason, retryAfterMs: Math.round(result.retryAfterMs) })
      return false
    }
    releasePermit = result.release
    const startInMs = (result.permit.read(env.now())?.value.startAt ?? -Infinity) - env.now()
    if (startInMs > 0) await sleep(startInMs)
    const isUsable = result.permit.read(env.now()) !== undefined && env.restrictions.waitMs(server) === 0 && usableServers().some(({ id }) => id === server.id)
    if (!isUsable) releasePermit()
    if (!isUsable) unavailable.set(server.id, Math.max(serversFullRetryAfterMs, env.restrictions.waitMs(server)))
    return isUsable
  }

  function giveUpWithoutServer (): void {
    if (unusedResponse !== undefined) return exchange.respond(unusedResponse.status, unusedResponse.headers, unusedResponse.body)
    const { reason, retryAfterMs } = refusalWithoutServer(unavailable)
    giveUp(reason, retryAfterMs)
  }

  try {
    while (!exchange.ended) {
      if (refuseIfBlocked()) return
      const servers = usableServers()
      for (const [id, waitMs] of statedWaits(servers, env.restrictions.waitMs)) unavailable.set(id, waitMs)
      const excluded = new Set([...sentTo, ...unreachable, ...unavailable.keys()])
      const server = pool.choose(servers, env.zone, excluded, env.random(), env.now())
      if (server === undefined) return giveUpWithoutServer()
      if (!await obtainPermit(server, servers.filter(({ id }) => !excluded.has(id)).length === 1)) continue
      if (exchange.ended || refuseIfBlocked()) return releasePermit()
      if (handle(server, await send(server)).type === 'done') return
    }
  } finally {
    clearTimeout(deadline)
    releaseUnused()
    env.progress.ended(exchange.outcome() === 'answered')
  }
}
