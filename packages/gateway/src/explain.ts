/**
 * Tells where a request would go now and why, without sending or counting anything. It asks the
 * modules that decide for requests of clients, and adds no rule of its own.
 */
import type { BackendServer, Route } from './cluster-types'
import type { EngineCandidate } from './engine-choice'
import type { EngineUse } from './engine-scheduler'
import { noOwnerRetryAfterMs, type GrantClient } from './grant-client'
import { refusalWithoutServer } from './plain-forwarder'
import type { HeaderCodec, RawHeaders, RequestMetadata } from './platform-interface'
import { cacheScope, sharedPartIds } from './prompt-cache'
import { admitRequest, chooseService, type EarlyRefusal } from './request-admission'
import type { BlockedRequest } from './request-crashes'
import { requestDigest } from './request-digest'
import type { RouteTable } from './route-table'
import { statedWaits } from './server-restrictions'
import type { PoolCandidate, ServicePool } from './service-pool'
import { softwareVersionOf } from './software-versions'

/** A request as a client would send it. `headers` are names and values in turn, without the host. */
export type ExplainQuestion = { method: string, host: string, url: string, headers: RawHeaders, body: Buffer }

/** `retryAfter` is the header's text. */
export type ExplainedRefusal = Omit<EarlyRefusal, 'type' | 'retryAfterMs'> & { retryAfter?: string }

/** `ruledOut` says why the server does not take part in the choice. Times in ms; infinite ages are absent. */
export type ExplainedCandidate = { id: string, zone: string, ruledOut?: string, figures: Record<string, number | string | boolean> }

export type Explanation = {
  node: string
  zone: string
  configVersion?: number
  request: { id: string, host: string, path: string, model?: string, adapter?: string }
  route?: Pick<Route, 'name' | 'kind' | 'attempts' | 'objectiveMs' | 'timeoutMs'>
  /** The quota is the configured one; what is left of it is not looked up. */
  account?: { name: string, priority: number, quota?: object }
  service?: string
  /** Newest announced version of the adapter. */
  adapterVersion?: number
  candidates: ExplainedCandidate[]
  /** Owners are asked in this order; the first that replies decides. */
  choice?: { server?: string, owners?: string[], withoutOwner?: string }
  refusal?: ExplainedRefusal
  notes: string[]
}

export type ExplainEnv = {
  node: string
  zone: string
  now (): number
  random (): number
  codec: HeaderCodec
  routes (): RouteTable | undefined
  closed (): boolean
  configIsCurrent (): boolean
  servers (service: string): BackendServer[]
  engines (service: string): EngineCandidate[]
  /** @returns how this node uses an engine, if it owns the engine */
  engineUse (engine: string): EngineUse | undefined
  pool (service: string): ServicePool
  waitMs (server: BackendServer): number
  grants: Pick<GrantClient, 'explain'>
  newestVersion (scope: string): number | undefined
  blocked (digest: string, parts: readonly string[]): BlockedRequest | undefined
}

const round = (value: number): number => Math.round(value * 100) / 100

/** @returns the values that are known; JSON has no infinite numbers */
function figuresOf (values: Record<string, number | string | boolean | undefined>): ExplainedCandidate['figures'] {
  return Object.fromEntries(Object.entries(values).flatMap(([name, value]): [string, number | string | boolean][] => {
    if (typeof value === 'number') return Number.isFinite(value) ? [[name, round(value)]] : []
    return value === undefined || value === '' ? [] : [[name, value]]
  }))
}

function plainCandidate ({ server, available, use, ejectedForMs, fullForMs, inProgress, serviceMs, waitMs, measuredAgeMs, share }: PoolCandidate, statedWaitMs: number | undefined): ExplainedCandidate {
  const reason = statedWaitMs !== undefined
    ? `states that it wants no requests for ${Math.round(statedWaitMs)} ms`
    : ejectedForMs > 0
      ? `ejected after failures for ${Math.round(ejectedForMs)} ms`
      : use === 'probation' && inProgress > 0 ? 'on probation after failures, with a request in progress' : `was full, skipped for ${Math.round(fullForMs)} ms`
  return { id: server.id, zone: server.zone, ...(available ? {} : { ruledOut: reason }), figures: figuresOf({ slots: server.slots, softwareVersion: softwareVersionOf(server), use, inProgress, serviceMs, waitMs, measuredAgeMs, share }) }
}

function engineCandidate ({ server, owner, commandable, limited, scopes, backlogMs, running, loadWaitMs, ageMs }: EngineCandidate, scope: string | undefined, statedWaitMs: number | undefined, engineUse: EngineUse | undefined): ExplainedCandidate {
  const hasAdapter = scope === undefined || scopes.has(scope)
  const reason = statedWaitMs !== undefined
    ? `states that it wants no requests for ${Math.round(statedWaitMs)} ms`
    : engineUse !== undefined && engineUse.avoidedForMs > 0 ? `avoided after failures for ${Math.round(engineUse.avoidedForMs)} ms` : undefined
  return { id: server.id, zone: server.zone, ...(reason === undefined ? {} : { ruledOut: reason }), figures: figuresOf({ owner, use: engineUse?.use, softwareVersion: softwareVersionOf(server), hasAdapter, commandable, limited, backlogMs, running, loadWaitMs, ageMs }) }
}

/** Removes the key from what the client wrote, in case it is also there. */
function withoutKey (text: string, { key }: RequestMetadata): string {
  return key === undefined || key === '' ? text : text.replaceAll(key, '[key]')
}

export function explainRequest (question: ExplainQuestion, env: ExplainEnv): Explanation {
  const metadata = env.codec.request(question.headers)
  const table = env.routes()
  const { demand } = metadata
  const shown = (text: string): string => withoutKey(text, metadata)
  const explanation: Explanation = {
    node: env.node,
    zone: env.zone,
    ...(table === undefined ? {} : { configVersion: table.config.version }),
    request: { id: shown(metadata.id), host: shown(question.host), path: shown(question.url.split('?')[0]!), ...(demand === undefined ? {} : { model: shown(demand.model), ...(demand.adapter === undefined ? {} : { adapter: shown(demand.adapter) }) }) },
    candidates: [],
    notes: []
  }
  const refuse = ({ status, outcome, reason, retryAfterMs }: Omit<EarlyRefusal, 'type'>): Explanation => ({ ...explanation, refusal: { status, outcome, reason, ...(retryAfterMs === undefined ? {} : { retryAfter: env.codec.retryAfter(retryAfterMs) }) } })
  const notRun = (reason: string, retryAfterMs: number): Explanation => refuse({ status: 503, outcome: 'not-run', reason, retryAfterMs })

  const admission = admitRequest({ table, closed: env.closed(), headerBytes: question.headers.reduce((sum, text) => sum + text.length + 2, 0), host: question.host, url: question.url, metadata, configIsCurrent: env.configIsCurrent })
  if (admission.type === 'refused') return refuse(admission)
  const { route, account } = admission
  const { name, kind, attempts, objectiveMs, timeoutMs } = route
  explanation.route = { name, kind, attempts, objectiveMs, timeoutMs }
  if (account !== undefined) explanation.account = { name: account.name, priority: admission.table.accounts.priority(account, route), ...(account.quota === undefined ? {} : { quota: account.quota }) }
  if (question.body.length > admission.table.config.limits.bodyBytes) return refuse({ status: 413, outcome: 'invalid', reason: `the body exceeds ${admission.table.config.limits.bodyBytes} bytes` })
  const target = chooseService(admission.table, route, metadata.id)
  if (target.type === 'refused') return refuse(target)
  const { service } = target
  explanation.service = service.name
  if (metadata.resumes !== undefined || metadata.lastEventId !== undefined) explanation.notes.push('the request takes up a stream; the software version that it needs is not looked up')

  const headers = Object.fromEntries(question.headers.flatMap((header, index) => index % 2 === 0 ? [[header.toLowerCase(), question.headers[index + 1]]] : []))
  const digest = requestDigest({ req: { method: question.method, url: question.url, headers: { ...headers, host: question.host } }, body: question.body.length === 0 ? null : question.body, demand })
  const blocked = env.blocked(digest, demand === undefined ? [] : sharedPartIds(demand))
  const servers = env.servers(service.name)
  const waits = statedWaits(servers, env.waitMs)

  if (service.engine !== undefined && demand !== undefined) {
    const scope = demand.adapter === undefined ? undefined : cacheScope(demand)
    const version = scope === undefined ? undefined : env.newestVersion(scope)
    if (version !== undefined) explanation.adapterVersion = version
    explanation.candidates = env.engines(service.name).map(engine => engineCandidate(engine, scope, waits.get(engine.server.id), env.engineUse(engine.server.id)))
    if (blocked !== undefined) return notRun(blocked.reason, blocked.remainingMs)
    if (servers.length > 0 && waits.size === servers.length) return notRun('engines accept no requests for a while', Math.min(...waits.values()))
    const { owners, withoutOwner } = env.grants.explain({ service: service.name, demand, requestId: metadata.id, excluded: [...waits.keys()] })
    explanation.choice = { owners, ...(withoutOwner === undefined ? {} : { withoutOwner: withoutOwner.id }) }
    if (owners.length === 0 && withoutOwner === undefined) return notRun('no-owner', noOwnerRetryAfterMs)
    explanation.notes.push('an owner decides from its own queue when it is asked, and may refuse')
    return explanation
  }
  const { chosen, candidates } = env.pool(service.name).explain(servers, env.zone, new Set(waits.keys()), env.random(), env.now())
  explanation.candidates = candidates.map(candidate => plainCandidate(candidate, waits.get(candidate.server.id)))
  if (blocked !== undefined) return notRun(blocked.reason, blocked.remainingMs)
  if (chosen === undefined) {
    const { reason, retryAfterMs } = refusalWithoutServer(waits)
    return notRun(reason, retryAfterMs)
  }
  explanation.choice = { server: chosen.id }
  return explanation
}
