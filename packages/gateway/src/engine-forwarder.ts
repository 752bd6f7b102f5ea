/** Requests to model engines: a place, the stream of events, and its continuation at another engine where the route allows it. */
import type { RetryBudget } from '@yuccawharf/coordination'
import { startAttempt, type Attempt, type AttemptResult } from './attempt'
import type { ClientExchange } from './client-exchange'
import type { DecisionLog } from './decision-log'
import type { RunOutcome } from './engine-scheduler'
import type { HeaderCodec, RawHeaders } from './platform-interface'
import type { Grant, GrantClient } from './grant-client'
import type { Upstream } from './upstream'

export type EngineForwarderEnv = {
  now (): number
  codec: HeaderCodec
  upstream: Upstream
  places: GrantClient
  log: DecisionLog
  budget (service: string): RetryBudget
  firstEvent (service: string, seconds: number): void
}

/** Places that one request may ask for: an engine may refuse it while its adapter is still arriving. */
const maxPlaces = 6
const maxResponseBytes = 16 * 1024 * 1024
const noPlaceRetryMs = 700
/** Least urgent rank that engines know. */
const maxPriority = 9

export async function forwardToEngine (exchange: ClientExchange, env: EngineForwarderEnv): Promise<void> {
  const { metadata: facts, route, service } = exchange
  const demand = facts.demand
  if (demand === undefined) return exchange.refuse({ status: 400, outcome: 'invalid' }, 'the request names no model')
  const budget = env.budget(service.name)
  const sentTo = new Set<string>()
  const excluded = new Set<string>()
  const resumable = route.resumable || route.kind === 'idempotent'
  let placeCount = 0
  let maybeRun = false
  let lastEventId = facts.lastEventId
  let eventsBegun = false
  /** Arrival of the request, or the last event that the client got. */
  let waitingSince = exchange.arrivedAt
  let firstEventAfterMs: number | undefined
  let longestPauseMs = 0
  /** Sent with the first event, so that a server that fails before it can still be replaced. */
  let head: { status: number, headers: RawHeaders } | undefined
  let current: { place: Grant, attempt: Attempt } | undefined
  let waitingFor: string | undefined

  budget.recordAttempt()

  function stop (reason: string): void {
    if (waitingFor !== undefined) env.places.abandon(waitingFor)
    current?.attempt.abort(reason)
  }

  exchange.onDisconnect(() => stop('client left'))
  const deadline = setTimeout(() => {
    if (current !== undefined) maybeRun = true
    stop('deadline')
    giveUp('deadline')
  }, Math.max(0, exchange.deadlineAt - env.now()))

  function giveUp (reason: string, retryAfterMs = noPlaceRetryMs): void {
    if (exchange.ended) return
    env.log.info('request-refused', { id: facts.id, service: service.name, reason, maybeRun, sentTo: [...sentTo], places: placeCount, afterMs: Math.round(env.now() - exchange.arrivedAt), deadlineInMs: Math.round(exchange.deadlineAt - env.now()) })
    if (exchange.headersSent) exchange.abort()
    else if (maybeRun) exchange.refuse({ status: reason === 'deadline' ? 504 : 502, outcome: 'unknown' }, reason)
    else exchange.refuse({ status: 503, outcome: 'not-run' }, reason, retryAfterMs)
  }

  async function findPlace (): Promise<Grant | undefined> {
    placeCount += 1
    const placeId = `${facts.id}#${placeCount}`
    waitingFor = placeId
    const answer = await env.places.acquire({
      grantId: placeId,
      requestId: facts.id,
      service: service.name,
      demand: demand!,
      priority: route.priority,
      objectiveAt: exchange.arrivedAt + route.objectiveMs,
      startBy: Math.min(exchange.deadlineAt, waitingSince + route.patienceMs),
      ...(route.pauseMs === undefined ? {} : { pauseMs: route.pauseMs }),
      deadlineAt: exchange.deadlineAt,
      excluded: [...excluded],
      ...(sentTo.size >= route.attempts ? { only: [...sentTo] } : {})
    })
    waitingFor = undefined
    if (answer.type === 'granted') return answer.grant
    giveUp(answer.reason, answer.retryAfterMs)
    return undefined
  }

  function sendHead (): void {
    if (head !== undefined && !exchange.headersSent) exchange.head(head.status, head.headers)
  }

  function pass (place: Grant, bytes: Buffer, lastId: string | undefined): boolean {
    if (exchange.ended) return true
    if (!eventsBegun) {
      eventsBegun = true
      sendHead()
      env.firstEvent(service.name, (env.now() - exchange.arrivedAt) / 1000)
    }
    const at = env.now()
    if (firstEventAfterMs === undefined) firstEventAfterMs = Math.round(at - exchange.arrivedAt)
    else longestPauseMs = Math.max(longestPauseMs, Math.round(at - waitingSince))
    waitingSince = at
    if (lastId !== undefined) lastEventId = lastId
    if (exchange.write(bytes)) return true
    exchange.onDrain(() => { if (current?.place === place) current.attempt.resume() })
    return false
  }

  async function send (place: Grant): Promise<AttemptResult> {
    const { server } = place
    sentTo.add(server.id)
    let begun = false
    const attempt = startAttempt({
      codec: env.codec,
      upstream: env.upstream,
      now: env.now,
      server,
      requestId: facts.id,
      req: {
        method: exchange.req.method ?? 'POST',
        path: exchange.req.url ?? '/',
        headers: env.codec.attempt(facts, {
          instanceId: server.id,
          remainingMs: exchange.deadlineAt - env.now(),
          priority: Math.min(maxPriority, route.priority),
          ...(place.version === undefined ? {} : { version: place.version }),
          ...(lastEventId === undefined ? {} : { lastEventId })
        }),
        body: exchange.body
      },
      streamed: {
        head: (status, headers) => { head = { status, headers } },
        events (bytes, lastId) {
          if (!begun) env.places.firstEvent(place)
          begun = true
          return pass(place, bytes, lastId)
        }
      },
      maxBodyBytes: maxResponseBytes,
      warn: env.log.warn
    })
    current = { place, attempt }
    const result = await attempt.result
    current = undefined
    return result
  }

  function outcomeOf (result: AttemptResult): RunOutcome {
    switch (result.type) {
      case 'not-sent': return 'unreachable'
      case 'not-run': return result.status === 421 ? 'misdirected' : 'not-run'
      case 'streamed': return 'ok'
      case 'response': return result.status < 500 ? 'ok' : 'failed'
      case 'aborted': return 'cancelled'
      default: return 'failed'
    }
  }

  /** @returns whether another place should be looked for */
  function handle (place: Grant, result: AttemptResult): boolean {
    const { server } = place
    env.log.info('attempt-ended', {
      id: facts.id,
      service: service.name,
      server: server.id,
      owner: place.owner,
      result: result.type,
      status: 'status' in result ? result.status : undefined,
      reason: 'reason' in result ? result.reason : undefined,
      version: place.version,
      firstEventAfterMs,
      longestPauseMs: firstEventAfterMs === undefined ? undefined : longestPauseMs,
      afterMs: Math.round(env.now() - exchange.arrivedAt)
    })
    if (exchange.ended) return false
    switch (result.type) {
      case 'not-sent':
        sentTo.delete(server.id)
        excluded.add(server.id)
        return placeCount < maxPlaces || (giveUp('no engine could be reached'), false)
      case 'not-run':
        if (placeCount < maxPlaces && budget.tryTake()) return true
        giveUp('engines refused the request')
        return false
      case 'streamed':
        sendHead()
        exchange.end()
        return false
      case 'response':
        if (result.status >= 500 && mayRepeat(server.id)) return true
        if (exchange.headersSent) {
          exchange.abort()
          return false
        }
        exchange.respond(result.status, result.headers, result.body)
        return false
      case 'failed':
        maybeRun = true
        if (mayRepeat(server.id)) return true
        giveUp(result.reason)
        return false
      default:
        return false
    }
  }

  function mayRepeat (server: string): boolean {
    if (!resumable || sentTo.size >= route.attempts || placeCount >= maxPlaces || !budget.tryTake()) return false
    maybeRun = true
    excluded.add(server)
    return true
  }

  try {
    while (!exchange.ended) {
      const place = await findPlace()
      if (place === undefined) return
      if (exchange.ended) {
        env.places.ended(place, 'cancelled')
        return
      }
      const result = await send(place)
      env.places.ended(place, outcomeOf(result))
      if (!handle(place, result)) return
    }
  } finally {
    clearTimeout(deadline)
  }
}
