/** Routes for calls to plain services. Each call, idempotent or not, is an order that the core decides on. */
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
  /** Sends the result of an order to its caller. */
  complete (action: CoreAction & { type: 'order-result' }): void
  running (): number
  /** Ends orders that have no result after their deadline; their outcome is unknown. */
  sweep (): void
}

type PendingOrder = { res: ServerResponse, order: Order }

const keyPattern = /^[0-9]+\.[0-9]+-[0-9A-Za-z-]{1,64}$/
const defaultTimeoutMs = 10_000
/** Time after the deadline in which the core can still report the outcome, in ms. */
const graceMs = 1000
/** Headers that apply to a single connection and aren't forwarded. */
const connectionHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'host', 'content-length', 'expect'])

function forwardedHeaders (headers: IncomingHttpHeaders | Record<string, string>): Record<string, string> {
  const kept: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !connectionHeaders.has(name)) kept[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return kept
}

/** Whether a rule `METHOD /prefix` matches the call. The prefix matches whole path segments only. */
function matchesRule (rule: string, method: string, path: string): boolean {
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
    const required = rules.some(rule => matchesRule(rule, method, path))
    if (required && key === undefined) return invalidProblem([{ field: 'Idempotency-Key', message: 'is required for this route; it starts with the orderKeyPrefix of /v1/addresses' }])
    if (key !== undefined && required && !keyPattern.test(key)) return invalidProblem([{ field: 'Idempotency-Key', message: 'must be the orderKeyPrefix of /v1/addresses followed by a UUID' }])
    return undefined
  }

  /** @returns the key of a non-idempotent call; on other routes a key is only forwarded */
  function orderKey (group: string, method: string, path: string, key: string | undefined): string | undefined {
    const rules = env.services[group]?.nonIdempotent ?? []
    return rules.some(rule => matchesRule(rule, method, path)) ? key : undefined
  }

  function refusalOf (group: string): Problem | undefined {
    if (env.services[group] === undefined) return createProblem(404, 'invalid', 'Not found', `there is no plain service ${group}`)
    if (!env.accepting()) return { ...createProblem(503, 'not-run', 'Not run', 'the node is leaving; ask for other addresses'), retryAfterMs: 1000 }
    if (pending.size >= env.maxRunning) return { ...createProblem(503, 'not-run', 'Not run', 'the node holds its largest number of calls'), retryAfterMs: 1000 }
    return undefined
  }

  async function handle ({ req, res, url, params: [group = ''] }: RouteContext): Promise<void> {
    const refused = refusalOf(group)
    if (refused !== undefined) return sendProblem(res, refused)
    const method = req.method ?? 'GET'
    // The path is forwarded as received, so that percent escapes keep their meaning.
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
