/** Problem documents (RFC 9457), extended by the outcome of the refused request. */
import type { ServerResponse } from 'node:http'
import type { Refusal } from './core/core-events'

export type Outcome = Refusal['outcome']

/** One fault of a request and the field that has it. */
export type Finding = { field: string, message: string }

export type Problem = {
  type: string
  title: string
  status: number
  detail: string
  outcome: Outcome
  findings?: Finding[]
  /** Like `Retry-After` but in ms; other nodes read it from the document. */
  retryAfterMs?: number
}

/** Status of a refusal by a node that doesn't own the engine of a forwarded request. */
export const misdirectedStatus = 421

const problemType = 'application/problem+json'

/** Creates a problem whose `type` is derived from its title. */
export function createProblem (status: number, outcome: Outcome, title: string, detail: string): Problem {
  const kind = title.toLowerCase().replaceAll(' ', '-')
  return { type: `urn:yuccawharf:problem:${kind}`, title, status, detail, outcome }
}

/** Creates the problem of a request with invalid content; all findings are reported together. */
export function invalidProblem (findings: Finding[], status = 400): Problem {
  const detail = findings.map(finding => `${finding.field}: ${finding.message}`).join('; ')
  return { ...createProblem(status, 'invalid', 'Invalid request', detail), findings }
}

/** Converts a refusal of the core to a problem. */
export function refusalProblem (refusal: Refusal): Problem {
  const { outcome, reason, retryAfterMs } = refusal
  const retry = retryAfterMs === undefined ? {} : { retryAfterMs }
  if (outcome === 'invalid') return { ...createProblem(400, outcome, 'Invalid request', reason), ...retry }
  if (refusal.misdirected === true) return createProblem(misdirectedStatus, outcome, 'Misdirected', reason)
  if (outcome === 'not-run') return { ...createProblem(503, outcome, 'Not run', reason), ...retry }
  return { ...createProblem(502, outcome, 'Outcome unknown', reason), ...retry }
}

/** `Retry-After` in whole seconds, rounded up so that no caller retries too early. */
function retryAfter (problem: Problem): Record<string, string> {
  if (problem.retryAfterMs === undefined) return {}
  return { 'retry-after': String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000))) }
}

/** Sends the problem unless the response has already started. */
export function sendProblem (res: ServerResponse, problem: Problem): void {
  if (res.headersSent || res.writableEnded) return
  const body = problemData(problem)
  res.writeHead(problem.status, { 'content-type': problemType, 'content-length': Buffer.byteLength(body), ...retryAfter(problem) })
  res.end(body)
}

/** Serializes a problem for a response body or for the `error` event that ends a stream. */
export function problemData (problem: Problem): string {
  return JSON.stringify(problem)
}

/** Parses a problem from {@link problemData} or from a peer's refusal; anything else becomes an unknown outcome. */
export function parseProblem (data: string, fallbackStatus = 502): Problem {
  try {
    const value = JSON.parse(data) as Partial<Problem>
    const outcomes: unknown[] = ['not-run', 'unknown', 'invalid']
    if (typeof value.detail === 'string' && typeof value.status === 'number' && outcomes.includes(value.outcome)) return value as Problem
  } catch {}
  return createProblem(fallbackStatus, 'unknown', 'Outcome unknown', 'the back end sent an unreadable refusal')
}
