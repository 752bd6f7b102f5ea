/** Calls of plain services: the core decides on orders, idempotent calls included. */
import { randomUUID } from 'node:crypto'
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import type { ServiceResponse } from '@yuccawharf/clients'
import type { Settings } from '@yuccawharf/schema'
import type { CoreAction, CoreEvent, Order } from './core/core-events'
import { readBody } from './http-body'
import type { Route, RouteContext } from './http-router'
import { createProblem, invalidProblem, refusalProblem, sendProblem, type Problem } from './problem'

export type ServiceRoutesEnv = {
  now (): number
  services: NonNullable<Settings['services']>
  requestBytes: number
  maxRunning: number
  report (event: CoreEvent): void
  accepting (): boolean
}

export type ServiceRoutes = {
  routes: Route[]
  /** Answers the caller of an order. */
  complete (action: CoreAction & { type: 'order-result' }): void
  running (): number
  /** Refuses orders whose deadline has passed without a result. */
  sweep (): void
}

type PendingOrder = { res: ServerResponse, order: Order }

const keyPattern = /^[0-9]+\.[0-9]+-[0-9A-Za-z-]{1,64}$/
const defaultTimeoutMs = 10_000
/** Time after the deadline in which the core can still state the outcome, in ms. */
const graceMs = 1000
/** Headers that describe the caller's connection and are not passed on. */
const connectionHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'host', 'content-length', 'expect'])

function forwardedHeaders (headers: IncomingHttpHeaders | Record<string, string>): Record<string, string> {
  const kept: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !connectionHeaders.has(name)) kept[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return kept
}

/** Whether a route `METHOD /prefix` covers the call. */
function covers (rule: string, method: string, path: string): boolean {
  const space = rule.indexOf(' ')
  const prefix = rule.slice(space + 1)
  if (rule.slice(0, space) !== method || !path.startsWith(prefix)) return false
  const next = path[prefix.length]
  return prefix.endsWith('/') || next === undefined || next === '/' || next === '?'
}

function sendResponse (res: ServerResponse, response: ServiceResponse): void {
  res.writeHead(response.status, { ...forwardedHeaders(response.headers), 'content-length': response.body.length })
  res.end(response.body)
}

/** Creates the routes under `/v1/services/`. */
export function createServiceRoutes (env: ServiceRoutesEnv): ServiceRoutes {
  const pending = new Map<string, PendingOrder>()

  function checkKey (group: string, method: string, path: string, key: string | undefined): Problem | undefined {
    const rules = env.services[group]?.nonIdempotent ?? []
    const required = rules.some(rule => covers(rule, method, path))
    if (required && key === undefined) return invalidProblem([{ field: 'Idempotency-Key', message: 'is required for this route; it starts with the orderKeyPrefix of /v1/addresses' }])
    if (key !== undefined && required && !keyPattern.test(key)) return invalidProblem([{ field: 'Idempotency-Key', message: 'must be the orderKeyPrefix of /v1/addresses followed by a UUID' }])
    return undefined
  }

  /** Non-idempotent routes only: a key on other routes is passed on and has no meaning here. */
  function orderKey (group: string, method: string, path: string, key: string | undefined): string | undefined {
    const rules = env.services[group]?.nonIdempotent ?? []
    return rules.some(rule => covers(rule, method, path)) ? key : undefined
  }

  function refuse (group: string): Problem | undefined {
    if (env.services[group] === undefined) return createProblem(404, 'invalid', 'Not found', `there is no plain service ${group}`)
    if (!env.accepting()) return { ...createProblem(503, 'not-run', 'Not run', 'the node is leaving; ask for other addresses'), retryAfterMs: 1000 }
    if (pending.size >= env.maxRunning) return { ...createProblem(503, 'not-run', 'Not run', 'the node holds its largest number of calls'), retryAfterMs: 1000 }
    return undefined
  }

  async function handle ({ req, res, url, params: [group = ''] }: RouteContext): Promise<void> {
    const refused = refuse(group)
    if (refused !== undefined) return sendProblem(res, refused)
    const method = req.method ?? 'GET'
    // The path is passed on as the caller wrote it, so that escapes keep their meaning.
    const path = url.pathname.slice(`/v1/services/${encodeURIComponent(group)}`.length) || '/'
    const header = req.headers['idempotency-key']
    const key = Array.isArray(header) ? header[0] : header
    const badKey = checkKey(group, method, path, key)
    if (badKey !== undefined) return sendProblem(res, badKey)
    const body = await readBody(req, env.requestBytes)
    if (body.err) return sendProblem(res, body.val)
    const timeoutMs = env.services[group]?.timeoutMs ?? defaultTimeoutMs
    const order: Order = {
      orderId: randomUUID(),
      group,
      key: orderKey(group, method, path, key),
      req: { method, path: path + url.search, headers: forwardedHeaders(req.headers), body: body.val },
      deadline: env.now() + timeoutMs
    }
    pending.set(order.orderId, { res, order })
    env.report({ type: 'order', order })
  }

  return {
    routes: [{ method: '*', pattern: /^\/v1\/services\/([^/]+)(?:\/.*)?$/, handle }],
    complete ({ orderId, result }) {
      const entry = pending.get(orderId)
      if (entry === undefined) return
      pending.delete(orderId)
      if (entry.res.destroyed) return
      if (result.type === 'ok') sendResponse(entry.res, result.response)
      else sendProblem(entry.res, refusalProblem(result.refusal))
    },
    running: () => pending.size,
    sweep () {
      const now = env.now()
      for (const [orderId, { res, order }] of pending) {
        if (now < order.deadline + graceMs) continue
        pending.delete(orderId)
        const detail = order.key === undefined ? 'the service did not answer in time' : `the outcome of ${order.key} is not known yet; ask again with the same key`
        sendProblem(res, createProblem(504, 'unknown', 'Outcome unknown', detail))
      }
    }
  }
}
