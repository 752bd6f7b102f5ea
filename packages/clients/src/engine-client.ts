/** HTTP client for one engine. */
import { validateCompletionChunkBody, validateEngineStatusBody, validateErrorBody, type CompletionChunkBody, type EngineStatusBody, type ErrorBody } from '@yuccawharf/schema'
import { classifyError, createHttpClient, decodedBody, parseJson, readBody, type HttpClientOptions, type HttpRequest, type StreamBody } from './http-client'
import { GenerateError, type Engine, type EngineCommandResult, type EngineReport, type GenerateEvent, type GenerateFailure } from './interfaces'
import { createSseParser, type ServerSentEvent } from './sse-parser'

export interface EngineClient extends Engine {
  close (): Promise<void>
}

export type EngineClientOptions = HttpClientOptions & {
  /** Timeout of a load or unload, in ms. */
  commandTimeoutMs?: number
  /** Longest pause within a stream, in ms. This also bounds the time that a request waits in the engine's queue. */
  pauseTimeoutMs?: number
  maxEventBytes?: number
}

/** Error codes with which an engine states that it never ran the request. */
const notRunCodes = new Set(['model_not_found', 'draining', 'overloaded', 'invalid_request'])
const maxErrorBytes = 64 * 1024
const maxTrailerBytes = 1024
const defaultCommandTimeoutMs = 30_000
const defaultPauseTimeoutMs = 30_000

function errorCode (body: Uint8Array): string | undefined {
  const reply = parseJson(body)
  return validateErrorBody(reply) ? (reply as ErrorBody).error.code : undefined
}

function commandResult (status: number, body: Buffer): EngineCommandResult {
  if (status === 200) return { type: 'ok' }
  const code = errorCode(body)
  if (status === 409 && code === 'stale_fencing_number') return { type: 'stale-fence' }
  const refused = code !== undefined && (status === 503 || (status >= 400 && status < 500))
  return refused ? { type: 'refused', reason: code } : { type: 'unknown', reason: `engine answered ${status}` }
}

/** Converts a server-sent event. The caller checks the order of the sequence numbers. @returns undefined for `[DONE]` */
function parseEvent (event: ServerSentEvent): GenerateEvent | undefined {
  if (event.data === '[DONE]') return undefined
  const chunk = parseJson(event.data)
  if (!validateCompletionChunkBody(chunk)) throw new GenerateError({ type: 'broken', reason: 'malformed event' })
  const { choices, usage } = chunk as CompletionChunkBody
  const choice = choices[0]!
  const reason = choice.finish_reason ?? null
  if (reason !== null) {
    if (usage === undefined) throw new GenerateError({ type: 'broken', reason: 'last event without usage' })
    return { type: 'end', count: usage.completion_tokens, reason }
  }
  const seq = /^[1-9][0-9]{0,9}$/.test(event.id) ? Number(event.id) : undefined
  if (seq === undefined) throw new GenerateError({ type: 'broken', reason: 'event without a sequence number' })
  return { type: 'token', seq, text: choice.text }
}

/** @throws {GenerateError} `broken` if the stream is malformed or ends before its last event */
async function * readEvents (body: StreamBody, maxEventBytes?: number): AsyncGenerator<GenerateEvent> {
  const parser = createSseParser(maxEventBytes)
  let complete = false
  try {
    for await (const chunk of body.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      for (const event of parser.push(chunk)) {
        const parsed = parseEvent(event)
        if (parsed === undefined) continue
        complete = parsed.type === 'end'
        yield parsed
        if (complete) return
      }
    }
  } catch (err) {
    if (err instanceof GenerateError) throw err
    throw new GenerateError({ type: 'broken', reason: classifyError(err).reason })
  } finally {
    // Reading the few bytes after the last event allows the next request to reuse the connection.
    if (complete) body.dump({ limit: maxTrailerBytes }).catch(() => {})
    else body.destroy()
  }
  throw new GenerateError({ type: 'broken', reason: 'stream ended early' })
}

export function createEngineClient (options: EngineClientOptions): EngineClient {
  const http = createHttpClient(options)
  const { commandTimeoutMs = defaultCommandTimeoutMs, pauseTimeoutMs = defaultPauseTimeoutMs } = options

  /**
   * @param notSentType type of the failure if the request wasn't sent
   * @param failureOf classifies an error response by its code, which is empty if the body has none
   */
  async function * events (req: HttpRequest, notSentType: 'not-run' | 'broken', failureOf: (code: string, reason: string) => GenerateFailure): AsyncGenerator<GenerateEvent> {
    const result = await http.stream({ ...req, timeoutMs: pauseTimeoutMs })
    if (result.type === 'not-sent') throw new GenerateError({ type: notSentType, reason: result.reason })
    if (result.type === 'unknown') throw new GenerateError({ type: 'broken', reason: result.reason })
    if (result.status === 200) return yield * readEvents(result.body, options.maxEventBytes)
    const body = await readBody(result.body, maxErrorBytes).catch(() => undefined)
    const code = body === undefined ? '' : errorCode(body) ?? ''
    throw new GenerateError(failureOf(code, `engine answered ${result.status} ${code}`.trim()))
  }

  const post = async (path: string, body: unknown, fencingToken: number): Promise<EngineCommandResult> => {
    const headers = { 'content-type': 'application/json', 'x-fencing-number': String(fencingToken) }
    const result = await http.exchange({ method: 'POST', path, headers, body: JSON.stringify(body), timeoutMs: commandTimeoutMs })
    if (result.type === 'not-sent') return { type: 'refused', reason: result.reason }
    if (result.type === 'unknown') return { type: 'unknown', reason: result.reason }
    return commandResult(result.response.status, result.response.body)
  }

  return {
    async status () {
      const result = await http.exchange({ method: 'GET', path: '/status', headers: { 'accept-encoding': 'gzip' } })
      if (result.type !== 'ok' || result.response.status !== 200) return undefined
      const body = decodedBody(result.response)
      const report = body === undefined ? undefined : parseJson(body)
      return validateEngineStatusBody(report) ? report as EngineStatusBody as EngineReport : undefined
    },
    async command (command, fencingToken) {
      if (command.type === 'unload') return await post('/v1/unload_lora_adapter', { lora_name: command.handle }, fencingToken)
      return await post('/v1/load_lora_adapter', { lora_name: command.handle, lora_path: `${command.adapter}@${command.version}` }, fencingToken)
    },
    generate (request, signal) {
      const body = JSON.stringify({ model: request.handle, prompt: request.prompt, max_tokens: request.maxTokens, priority: request.priority, stream: true })
      const headers = { 'content-type': 'application/json', 'x-request-id': request.requestId }
      const req = { method: 'POST', path: '/v1/completions', headers, body, signal }
      return events(req, 'not-run', (code, reason) => ({ type: notRunCodes.has(code) ? 'not-run' : 'broken', reason }))
    },
    resume (requestId, after, signal) {
      const path = `/v1/responses/${encodeURIComponent(requestId)}?stream=true&starting_after=${after}`
      const lost = { lost: true } as const
      return events({ method: 'GET', path, signal }, 'broken', (code, reason) => ({ type: 'broken', reason, ...(code === 'response_not_found' ? lost : {}) }))
    },
    async cancel (requestId) {
      await http.exchange({ method: 'POST', path: `/v1/responses/${encodeURIComponent(requestId)}/cancel`, headers: { 'content-type': 'application/json' }, body: '{}' })
    },
    close: http.close
  }
}
