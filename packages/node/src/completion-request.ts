/** Parses the body and headers of a completion request and reports all faults together. */
import { randomUUID } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { Err, Ok, type Result } from 'ts-results/result.js'
import { validateCompletionBody, type CompletionBody, type Validator } from '@yuccawharf/schema'
import type { Completion } from './core/core-events'
import { invalidProblem, type Finding, type Problem } from './problem'

export type CompletionRequest = { completion: Completion, stream: boolean }

const requestIdPattern = /^[A-Za-z0-9._:-]{1,128}$/
const classPattern = /^[A-Za-z0-9._-]{1,64}$/

/** Deadline of a request that states none. A day leaves room for long-running work. */
export const defaultDeadlineMs = 24 * 3600 * 1000
const maxDeadlineMs = 7 * defaultDeadlineMs
/** The OpenAI default. */
const defaultMaxTokens = 16

/** @returns the errors of a generated validator as findings */
export function schemaFindings (validate: Validator, value: unknown, root: string): Finding[] {
  if (validate(value)) return []
  return (validate.errors ?? []).map(error => {
    const extra = (error.params as { additionalProperty?: string }).additionalProperty
    const field = `${root}${error.instancePath}${extra === undefined ? '' : `/${extra}`}`
    return { field, message: extra === undefined ? error.message ?? 'is not valid' : 'is not a known field' }
  })
}

function headerText (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value.join(',') : value
}

function checkRequestId (id: string | undefined, findings: Finding[]): string {
  if (id === undefined) return randomUUID()
  if (!requestIdPattern.test(id)) findings.push({ field: 'X-Request-Id', message: 'must be 1 to 128 of the characters A-Z a-z 0-9 . _ : -' })
  return id
}

function checkClass (name: string | undefined, findings: Finding[]): string {
  if (name === undefined) findings.push({ field: 'X-Class', message: 'is required' })
  else if (!classPattern.test(name)) findings.push({ field: 'X-Class', message: 'must be 1 to 64 of the characters A-Z a-z 0-9 . _ -' })
  return name ?? ''
}

function checkDeadline (text: string | undefined, findings: Finding[]): number {
  if (text === undefined) return defaultDeadlineMs
  const deadlineMs = /^\d{1,12}$/.test(text) ? Number(text) : 0
  if (deadlineMs >= 1 && deadlineMs <= maxDeadlineMs) return deadlineMs
  findings.push({ field: 'X-Deadline-Ms', message: `must be a whole number of ms from 1 to ${maxDeadlineMs}` })
  return defaultDeadlineMs
}

/** @returns the parts of `BASE:ADAPTER@VERSION` */
export function parseModel (name: string): { model: string, adapter: string, version: string } {
  const colon = name.indexOf(':')
  const at = name.lastIndexOf('@')
  return { model: name.slice(0, colon), adapter: name.slice(colon + 1, at), version: name.slice(at + 1) }
}

/**
 * @param now time of the core's clock in ms
 * @returns the completion, or a problem that lists all findings
 */
export function parseCompletionRequest (body: unknown, headers: IncomingHttpHeaders, now: number): Result<CompletionRequest, Problem> {
  const findings = schemaFindings(validateCompletionBody, body, 'body')
  const requestId = checkRequestId(headerText(headers, 'x-request-id'), findings)
  const className = checkClass(headerText(headers, 'x-class'), findings)
  const deadlineMs = checkDeadline(headerText(headers, 'x-deadline-ms'), findings)
  if (findings.length > 0) return Err(invalidProblem(findings))
  const fields = body as CompletionBody
  const completion: Completion = {
    requestId,
    ...parseModel(fields.model),
    class: className,
    prompt: fields.prompt,
    maxTokens: fields.max_tokens ?? defaultMaxTokens,
    deadline: now + deadlineMs
  }
  return Ok({ completion, stream: fields.stream ?? false })
}

/** @returns the event id to resume after, from `Last-Event-ID`; 0 when the header is absent */
export function parseLastEventId (headers: IncomingHttpHeaders): Result<number, Problem> {
  const text = headerText(headers, 'last-event-id')
  if (text === undefined || text === '') return Ok(0)
  if (/^\d{1,9}$/.test(text)) return Ok(Number(text))
  return Err(invalidProblem([{ field: 'Last-Event-ID', message: 'must be the id of an event, a whole number' }]))
}
