/** Routes for address queries of callers and for the admin API of the command-line tool. */
import { validateConfigApplyRequest, type ConfigApplyReply, type ConfigApplyRequest } from '@yuccawharf/schema'
import { schemaFindings } from './completion-request'
import type { CorePort } from './core-port'
import { sendJson } from './completion-routes'
import { readJson } from './http-body'
import type { Route, RouteContext } from './http-router'
import { invalidProblem, sendProblem, type Finding, type Problem } from './problem'

export type ControlRoutesEnv = {
  now (): number
  core: CorePort
  requestBytes: number
  /** Body of `GET /admin/status`. */
  status (): unknown
  /** Appends a configuration change and waits for its outcome. */
  applyConfig (change: ConfigApplyRequest): Promise<ConfigApplyReply | Problem>
  readConfig (): unknown
  configHistory (limit: number): Promise<unknown>
  /** Body of `GET /admin/timeline`. */
  timeline (filter: Record<string, string>): unknown
}

const addressParameters = ['model', 'class', 'zone', 'service']
const timelineParameters = ['request', 'engine', 'adapter', 'order']
const maxParameterLength = 400
const maxHistory = 1000

/** @returns the values of valid query parameters, and findings for the others */
function readQuery (url: URL, allowed: string[]): { values: Record<string, string>, findings: Finding[] } {
  const values: Record<string, string> = {}
  const findings: Finding[] = []
  for (const [name, value] of url.searchParams) {
    if (!allowed.includes(name)) findings.push({ field: `query/${name}`, message: `is not known; possible are ${allowed.join(', ')}` })
    else if (values[name] !== undefined) findings.push({ field: `query/${name}`, message: 'is given more than once' })
    else if (value.length === 0 || value.length > maxParameterLength) findings.push({ field: `query/${name}`, message: `must have 1 to ${maxParameterLength} characters` })
    else values[name] = value
  }
  return { values, findings }
}

/** Creates the routes under `/v1/addresses` and `/admin/`. */
export function createControlRoutes (env: ControlRoutesEnv): Route[] {
  function addresses ({ res, url }: RouteContext): void {
    const { values, findings } = readQuery(url, addressParameters)
    if (values.model !== undefined && values.service !== undefined) findings.push({ field: 'query', message: 'model and service exclude each other' })
    if (findings.length > 0) return sendProblem(res, invalidProblem(findings))
    sendJson(res, 200, env.core.addresses(values, env.now()))
  }

  async function readConfig ({ res, url }: RouteContext): Promise<void> {
    const { values, findings } = readQuery(url, ['history'])
    const limit = values.history === undefined ? undefined : Number(values.history)
    const validLimit = limit === undefined || (Number.isInteger(limit) && limit >= 1 && limit <= maxHistory)
    if (!validLimit) findings.push({ field: 'query/history', message: `must be a whole number from 1 to ${maxHistory}` })
    if (findings.length > 0) return sendProblem(res, invalidProblem(findings))
    sendJson(res, 200, limit === undefined ? env.readConfig() : await env.configHistory(limit))
  }

  async function applyConfig ({ req, res }: RouteContext): Promise<void> {
    const body = await readJson(req, env.requestBytes)
    if (body.err) return sendProblem(res, body.val)
    const findings = schemaFindings(validateConfigApplyRequest, body.val, 'body')
    if (findings.length > 0) return sendProblem(res, invalidProblem(findings))
    const reply = await env.applyConfig(body.val as ConfigApplyRequest)
    if ('status' in reply) sendProblem(res, reply)
    else sendJson(res, 200, reply)
  }

  function timeline ({ res, url }: RouteContext): void {
    const { values, findings } = readQuery(url, timelineParameters)
    if (findings.length > 0) return sendProblem(res, invalidProblem(findings))
    sendJson(res, 200, env.timeline(values))
  }

  return [
    { method: 'GET', pattern: /^\/v1\/addresses$/, handle: addresses },
    { method: 'GET', pattern: /^\/admin\/config$/, handle: readConfig },
    { method: 'POST', pattern: /^\/admin\/config$/, handle: applyConfig },
    { method: 'GET', pattern: /^\/admin\/status$/, handle: ({ res }) => sendJson(res, 200, env.status()) },
    { method: 'GET', pattern: /^\/admin\/timeline$/, handle: timeline }
  ]
}
