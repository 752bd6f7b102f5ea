/**
 * Forwards requests to model engines: acquires a grant, streams the events and, where the route allows
 * it, continues an interrupted stream on another engine.
 */
import type { RetryBudget } from '@yuccawharf/coordination'
import type { AdapterVersions } from './adapter-versions'
import { runOutcomeOf, startAttempt, type Attempt, type AttemptResult } from './attempt'
import { withoutLength, type ClientExchange } from './client-exchange'
import type { BackendServer } from './cluster-types'
import type { DecisionLog } from './decision-log'
import type { Grant, GrantClient } from './grant-client'
import type { KeptBytes } from './kept-bytes'
import type { HeaderCodec, RawHeaders } from './platform-interface'
import { cacheScope } from './prompt-cache'
import type { BlockedRequest, RequestRuns } from './request-crashes'
import type { ResponseEnd, ResponseFacts } from './response-end'
import { statedWaits, type ServerRestrictions } from './server-restrictions'
import { softwareVersionOf } from './software-versions'
import type { StreamProgress } from './stream-versions'
import type { Upstream } from './upstream'

export type EngineForwarderEnv = {
  now (): number
  codec: HeaderCodec
  upstream: Upstream
  kept: KeptBytes
  grants: GrantClient
  versions: Pick<AdapterVersions, 'versionToName'>
  log: DecisionLog
  /** A response is complete, which this has shown. */
  responseEnded (end: ResponseEnd): void
  /** Engines that accept requests according to the store. */
  engines (service: string): BackendServer[]
  /** What engines ask of this node in their responses. */
  restrictions: Pick<ServerRestrictions, 'record' | 'waitMs'>
  budget (service: string): RetryBudget
  firstEvent (service: string, seconds: number): void
  /** The only software version at which the request may run, because a client takes up a stream that began there. */
  softwareVersion: string | undefined
  /** Remembers where the stream began. */
  progress: StreamProgress
  /** Sendings of this request, which may crash its engines. */
  runs: RequestRuns
  /** @returns why the request is refused, if it or a part of its prompt is blocked */
  blocked (): BlockedRequest | undefined
}

/** Maximum number of grants that one request acquires: an engine may refuse it while the adapter is still loading. */
const maxGrants = 6
const maxResponseBytes = 16 * 1024 * 1024
const noGrantRetryAfterMs = 700
/** Delay suggested to clients while no engine of the stream's software version serves, in ms: one that ended is back within seconds. */
const noVersionRetryAfterMs = 2000
/** Highest priority value that engines support; it is the least urgent. */
const maxPriority = 9

export async function forwardToEngine (exchange: ClientExchange, env: EngineForwarderEnv): Promise<void> {
  const { metadata, route, service } = exchange
  const demand = metadata.demand
  if (demand === undefined) return exchange.refuse({ status: 400, outcome: 'invalid' }, 'the request names no model')
  const budget = env.budget(service.name)
  const sentTo = new Set<string>()
  const excluded = new Set<string>()
  /** Engines that refused this request. A late copy of the refusal has the request's id too, so it must not be taken for another response. */
  const refusedBy = new Set<string>()
  const resumable = route.resumable || route.kind === 'idempotent'
  let grantCount = 0
  let maybeRun = false
  let lastEventId = metadata.lastEventId
  let responseStarted = false
  /** Software version of the engine that sent the stream's first event. */
  let softwareVersion = env.softwareVersion
  /** Time at which the request arrived, then at which the last event was sent to the client. */
  let waitingSince = exchange.arrivedAt
  let firstEventAfterMs: number | undefined
  let longestPauseMs = 0
  /** Sent with the first event, so that the request can still be retried if the server fails before that. */
  let head: { status: number, headers: RawHeaders } | undefined
  let current: { grant: Grant, attempt: Attempt } | undefined
  /** Of the last attempt. */
  let facts: ResponseFacts = { bytes: 0 }
  /** Version that the last attempt named. */
  let version: number | undefined
  let pendingGrantId: string | undefined

  budget.recordAttempt()

  function stop (reason: string): void {
    if (pendingGrantId !== undefined) env.grants.abandon(pendingGrantId)
    current?.attempt.abort(reason)
  }

  exchange.onDisconnect(() => stop('client left'))
  const deadline = setTimeout(() => {
    if (current !== undefined) maybeRun = true
    stop('deadline')
    giveUp('deadline')
  }, Math.max(0, exchange.deadlineAt - env.now()))

  function giveUp (reason: string, retryAfterMs = noGrantRetryAfterMs): void {
    if (exchange.ended) return
    env.log.info('request-refused', { id: metadata.id, service: service.name, reason, maybeRun, sentTo: [...sentTo], places: grantCount, afterMs: Math.round(env.now() - exchange.arrivedAt), deadlineInMs: Math.round(exchange.deadlineAt - env.now()) })
    if (exchange.headersSent) exchange.abort()
    else if (maybeRun) exchange.refuse({ status: reason === 'deadline' ? 504 : 502, outcome: 'unknown' }, reason)
    else exchange.refuse({ status: 503, outcome: 'not-run' }, reason, retryAfterMs)
  }

  /** @returns whether the request was refused because it or a part of its prompt crashes engines */
  function refuseIfBlocked (): boolean {
    const blocked = env.blocked()
    if (blocked === undefined) return false
    giveUp(blocked.reason, blocked.remainingMs)
    return true
  }

  function isOfVersion (server: BackendServer): boolean {
    return softwareVersion === undefined || softwareVersionOf(server) === softwareVersion
  }

  /** Engines that want no requests from this node, with the time until they may be asked. */
  function waitingEngines (): Map<string, number> {
    return statedWaits(env.engines(service.name), env.restrictions.waitMs)
  }

  /** @returns whether the request was refused because no engine that may take it wants requests */
  function refuseIfAllWait (waiting: ReadonlyMap<string, number>): boolean {
    const candidates = sentTo.size >= route.attempts ? [...sentTo] : env.engines(service.name).filter(isOfVersion).map(({ id }) => id).filter(id => !excluded.has(id))
    if (waiting.size === 0 || candidates.length === 0 || candidates.some(id => !waiting.has(id))) return false
    giveUp('engines accept no requests for a while', Math.min(...candidates.map(id => waiting.get(id)!)))
    return true
  }

  /** @returns whether the request was refused because no engine can go on with its stream */
  function refuseIfVersionGone (): boolean {
    if (softwareVersion === undefined || env.engines(service.name).some(isOfVersion)) return false
    giveUp('no engine of the stream\'s software version', noVersionRetryAfterMs)
    return true
  }

  async function acquireGrant (): Promise<Grant | undefined> {
    const waiting = waitingEngines()
    if (refuseIfBlocked() || refuseIfVersionGone() || refuseIfAllWait(waiting)) return undefined
    grantCount += 1
    const grantId = `${metadata.id}#${grantCount}`
    pendingGrantId = grantId
    const result = await env.grants.acquire({
      grantId,
      requestId: metadata.id,
      service: service.name,
      demand: demand!,
      priority: exchange.priority,
      ...(exchange.account === undefined ? {} : { account: exchange.account.name }),
      objectiveAt: exchange.arrivedAt + route.objectiveMs,
      startBy: Math.min(exchange.deadlineAt, waitingSince + route.patienceMs),
      ...(route.pauseMs === undefined ? {} : { pauseMs: route.pauseMs }),
      deadlineAt: exchange.deadlineAt,
      excluded: [...excluded, ...waiting.keys()],
      ...(sentTo.size >= route.attempts ? { only: [...sentTo] } : {}),
      ...(softwareVersion === undefined ? {} : { softwareVersion })
    })
    pendingGrantId = undefined
    if (result.type === 'granted') return result.grant
    giveUp(result.reason, result.retryAfterMs)
    return undefined
  }

  function sendHead (): void {
    if (head === undefined || exchange.headersSent) return
    // Another engine may continue the stream with another number of bytes.
    exchange.head(head.status, resumable ? withoutLength(head.headers) : head.headers)
  }

  function forwardEvents (grant: Grant, bytes: Buffer, lastId: string | undefined): boolean {
    if (exchange.ended) return true
    if (!responseStarted) {
      responseStarted = true
      softwareVersion = softwareVersionOf(grant.server)
      if (resumable) env.progress.began(grant.server)
      sendHead()
      env.firstEvent(service.name, (env.now() - exchange.arrivedAt) / 1000)
    }
    const eventAt = env.now()
    if (firstEventAfterMs === undefined) firstEventAfterMs = Math.round(eventAt - exchange.arrivedAt)
    else longestPauseMs = Math.max(longestPauseMs, Math.round(eventAt - waitingSince))
    waitingSince = eventAt
    if (lastId !== undefined) lastEventId = lastId
    if (exchange.write(bytes)) return true
    exchange.onDrain(() => { if (current?.grant === grant) current.attempt.resume() })
    return false
  }

  async function send (grant: Grant): Promise<AttemptResult> {
    const { server } = grant
    sentTo.add(server.id)
    let firstEventSeen = false
    version = env.versions.versionToName(cacheScope(demand!), grant.version, env.now())
    const run = env.runs.start(server)
    const attempt = startAttempt({
      codec: env.codec,
      upstream: env.upstream,
      now: env.now,
      server,
      requestId: metadata.id,
      req: {
        method: exchange.req.method ?? 'POST',
        path: exchange.req.url ?? '/',
        headers: env.codec.attempt(metadata, {
          instanceId: server.id,
          remainingMs: exchange.deadlineAt - env.now(),
          priority: Math.min(maxPriority, exchange.priority),
          ...(version === undefined ? {} : { version }),
          ...(lastEventId === undefined ? {} : { lastEventId })
        }),
        body: exchange.body,
        newConnection: refusedBy.has(server.id),
        repeatable: resumable
      },
      stream: {
        head: (status, headers) => { head = { status, headers } },
        events (bytes, lastId) {
          if (!firstEventSeen) {
            env.grants.firstEvent(grant)
            run.responded()
          }
          firstEventSeen = true
          return forwardEvents(grant, bytes, lastId)
        }
      },
      maxBodyBytes: maxResponseBytes,
      kept: env.kept,
      responded: (status, response, sentAt, through) => env.restrictions.record(server, metadata.id, { status, identified: response.requestId === metadata.id, sentAt, statements: response.statements, ...(through === undefined ? {} : { through }) }),
      complete: env.responseEnded,
      warn: env.log.warn
    })
    current = { grant, attempt }
    const result = await attempt.result
    facts = attempt.facts()
    current = undefined
    run.ended(runOutcomeOf(result))
    return result
  }

  /** @returns whether to retry with another grant */
  function handle (grant: Grant, result: AttemptResult): boolean {
    const { server } = grant
    env.log.info('attempt-ended', {
      id: metadata.id,
      service: service.name,
      server: server.id,
      softwareVersion: grant.server.version,
      owner: grant.owner,
      result: result.type,
      status: 'status' in result ? result.status : undefined,
      reason: 'reason' in result ? result.reason : undefined,
      connectionLost: 'connectionLost' in result ? result.connectionLost : undefined,
      ...facts,
      version,
      firstEventAfterMs,
      longestPauseMs: firstEventAfterMs === undefined ? undefined : longestPauseMs,
      afterMs: Math.round(env.now() - exchange.arrivedAt)
    })
    if (exchange.ended) return false
    switch (result.type) {
      case 'not-sent':
        sentTo.delete(server.id)
        excluded.add(server.id)
        return grantCount < maxGrants || (giveUp('no engine could be reached'), false)
      case 'not-run':
        refusedBy.add(server.id)
        if (grantCount < maxGrants && budget.tryTake()) return true
        giveUp('engines refused the request')
        return false
      case 'streamed':
        sendHead()
        exchange.end()
        return false
      case 'response':
        if (result.status >= 500 && tryRetry(server.id)) return true
        if (exchange.headersSent) {
          exchange.abort()
          return false
        }
        exchange.respond(result.status, result.headers, result.body)
        return false
      case 'failed':
        maybeRun = true
        if (tryRetry(server.id)) return true
        giveUp(result.reason)
        return false
      default:
        return false
    }
  }

  /** Takes a retry from the budget and excludes the server, if the request may be retried. */
  function tryRetry (server: string): boolean {
    if (!resumable || sentTo.size >= route.attempts || grantCount >= maxGrants || !budget.tryTake()) return false
    maybeRun = true
    excluded.add(server)
    return true
  }

  try {
    while (!exchange.ended) {
      const grant = await acquireGrant()
      if (grant === undefined) return
      if (exchange.ended) {
        env.grants.ended(grant, 'cancelled')
        return
      }
      if (refuseIfBlocked()) {
        env.grants.ended(grant, 'cancelled')
        return
      }
      if (env.restrictions.waitMs(grant.server) > 0) {
        env.grants.ended(grant, 'cancelled')
        if (grantCount < maxGrants) continue
        return giveUp('engines accept no requests for a while', env.restrictions.waitMs(grant.server))
      }
      if (!isOfVersion(grant.server)) {
        // The owner has an older entry of the engine.
        env.grants.ended(grant, 'cancelled')
        excluded.add(grant.server.id)
        if (grantCount < maxGrants) continue
        return giveUp('no engine of the stream\'s software version', noVersionRetryAfterMs)
      }
      const result = await send(grant)
      env.grants.ended(grant, runOutcomeOf(result))
      if (!handle(grant, result)) return
    }
  } finally {
    clearTimeout(deadline)
    env.progress.ended(exchange.outcome() === 'answered')
  }
}
