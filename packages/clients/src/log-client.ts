/** HTTP client for the log service. */
import { validateAppendReplyBody, validateLogExpiredBody, validateLogPageBody, type AppendReplyBody, type LogExpiredBody, type LogPageBody } from '@yuccawharf/schema'
import { createHttpClient, parseJson, type HttpClientOptions } from './http-client'
import type { AppendResult, LogPage, LogService, ReadResult } from './interfaces'

/** Statuses with which the log refuses a request before applying any of it. */
const refusingStatuses = new Set([400, 401, 403, 404, 405, 413, 415, 422, 429, 503])
/** Time added to the log's own wait for records before a read times out, in ms. */
const readSlackMs = 3000

export interface LogClient extends LogService {
  close (): Promise<void>
}

function contiguous (offsets: number[], count: number): boolean {
  return offsets.length === count && offsets.every((offset, at) => offset === offsets[0]! + at)
}

/** Checks what the schema can't express: contiguous offsets within the bounds that the page states. */
function validPage (page: LogPage, from: number, limit: number): boolean {
  if (page.first > from || page.first > page.next || page.records.length > limit) return false
  return page.records.every((record, at) => record.offset === from + at && record.offset < page.next)
}

export function createLogClient (options: HttpClientOptions): LogClient {
  const http = createHttpClient(options)
  const pathOf = (stream: string): string => `/streams/${encodeURIComponent(stream)}/records`

  const appendResult = (status: number, body: Buffer, count: number): AppendResult => {
    if (refusingStatuses.has(status)) return { type: 'failed', reason: `log answered ${status}` }
    if (status !== 200) return { type: 'unknown', reason: `log answered ${status}` }
    const reply = parseJson(body)
    if (!validateAppendReplyBody(reply)) return { type: 'unknown', reason: 'malformed response to an append' }
    const { offsets } = reply as AppendReplyBody
    return contiguous(offsets, count) ? { type: 'ok', offsets } : { type: 'unknown', reason: 'offsets are not contiguous' }
  }

  const readResult = (status: number, body: Buffer, from: number, limit: number): ReadResult => {
    const reply = parseJson(body)
    if (status === 410 && validateLogExpiredBody(reply)) {
      const { first, next } = reply as LogExpiredBody
      return from < first && first <= next ? { type: 'expired', first, next } : { type: 'failed', reason: 'contradictory 410 response' }
    }
    if (status !== 200) return { type: 'failed', reason: `log answered ${status}` }
    if (!validateLogPageBody(reply)) return { type: 'failed', reason: 'malformed page' }
    const page = reply as LogPageBody as LogPage
    return validPage(page, from, limit) ? { type: 'ok', page } : { type: 'failed', reason: 'page with wrong offsets' }
  }

  return {
    async append (stream, values) {
      const result = await http.exchange({
        method: 'POST',
        path: pathOf(stream),
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ records: values })
      })
      if (result.type === 'not-sent') return { type: 'failed', reason: result.reason }
      if (result.type === 'unknown') return { type: 'unknown', reason: result.reason }
      return appendResult(result.response.status, result.response.body, values.length)
    },
    async read (stream, from, limit, waitMs) {
      const path = `${pathOf(stream)}?from=${from}&limit=${limit}&wait=${waitMs}`
      const result = await http.exchange({ method: 'GET', path, timeoutMs: waitMs + readSlackMs })
      if (result.type !== 'ok') return { type: 'failed', reason: result.reason }
      return readResult(result.response.status, result.response.body, from, limit)
    },
    close: http.close
  }
}
