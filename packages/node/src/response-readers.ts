/** Writes a relayed response to a caller's HTTP response, as a stream of events or as one JSON document. */
import type { ServerResponse } from 'node:http'
import type { ResponseEnd } from '@yuccawharf/serving'
import type { RelayedResponse, ResponseReader } from './relayed-response'
import { writeChunk } from './chunk-writer'
import { createProblem, parseProblem, sendProblem, type Problem } from './problem'

export type ReaderEnv = {
  now (): number
  /** Called when the caller's connection closes before the whole response was written. */
  disconnected (response: RelayedResponse): void
  /** Opens the response a second time after an event that the relay has evicted; undefined if that is not possible. */
  reopen (response: RelayedResponse, after: number): RelayedResponse | undefined
  /** Headers computed when the HTTP response starts. */
  responseHeaders? (): Record<string, string>
}

const streamHeaders = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' }

function evictedProblem (first: number): Problem {
  return createProblem(410, 'unknown', 'Events no longer kept', `the earliest event that is kept is ${first}`)
}

function aheadProblem (last: number): Problem {
  return createProblem(400, 'invalid', 'Invalid request', `Last-Event-ID: the last event so far is ${last}`)
}

function connectReader (response: RelayedResponse, res: ServerResponse, reader: ResponseReader, env: ReaderEnv): void {
  res.on('close', () => {
    response.detach(reader, env.now())
    if (!res.writableFinished) env.disconnected(response)
  })
  response.attach(reader)
}

/**
 * Streams the response as server-sent events. The status line is sent with the first event, so that
 * an earlier refusal can be sent as a problem document with its own status.
 * @param after id of the last event that the caller has received, 0 for none
 */
export function streamResponse (response: RelayedResponse, res: ServerResponse, after: number, env: ReaderEnv): void {
  let position = after
  let blocked = false

  function end (problem?: Problem): void {
    if (problem !== undefined && !res.headersSent) {
      for (const [name, value] of Object.entries(env.responseHeaders?.() ?? {})) res.setHeader(name, value)
      sendProblem(res, problem)
    } else if (problem !== undefined) {
      // A regular end would say that the stream is complete; its caller may take it up after the last event that it has.
      res.destroy()
    } else res.end()
  }

  function start (): void {
    if (!res.headersSent) res.writeHead(200, { ...streamHeaders, 'x-request-id': response.requestId, ...env.responseHeaders?.() })
  }

  function failedBeforeStart (): ResponseEnd & { type: 'failed' } | undefined {
    const ended = response.relay.end()
    return ended?.type === 'failed' && !res.headersSent && response.relay.lastSeq() === 0 ? ended : undefined
  }

  function write (parts: Uint8Array[]): void {
    const started = res.headersSent
    start()
    for (const part of parts) {
      if (!writeChunk(res, part, started)) blocked = true
    }
    if (blocked) (res.socket ?? res).once('drain', unblock)
  }

  function unblock (): void {
    blocked = false
    notify()
    response.adjustFlow()
  }

  function switchToReopened (first: number): void {
    const other = env.reopen(response, position)
    if (other === undefined) {
      end(evictedProblem(first))
      return
    }
    response.detach(reader, env.now())
    streamResponse(other, res, position, env)
  }

  function notify (): void {
    if (blocked || res.writableEnded || res.destroyed) return
    const failed = failedBeforeStart()
    if (failed !== undefined) {
      end(parseProblem(failed.data))
      return
    }
    const result = response.relay.replay(position)
    if (result.type === 'evicted') return switchToReopened(result.first)
    if (result.type === 'ahead') {
      end(aheadProblem(result.last))
      return
    }
    position = result.last
    if (result.bytes.length > 0) write(result.bytes)
    if (result.ended) end()
  }

  const reader: ResponseReader = { position: () => position, blocked: () => blocked, notify }
  connectReader(response, res, reader, env)
}

/** @returns the text of the tokens in complete events, or undefined if an event is malformed */
function tokenTexts (parts: Uint8Array[]): string | undefined {
  let text = ''
  try {
    for (const line of Buffer.concat(parts).toString('utf8').split('\n')) {
      if (!line.startsWith('data: {')) continue
      const chunk = JSON.parse(line.slice(6)) as { choices?: { text?: string }[] }
      text += chunk.choices?.[0]?.text ?? ''
    }
    return text
  } catch {
    return undefined
  }
}

/** Sends the complete response as one OpenAI completion document. @param model model name from the request */
export function sendCompleteResponse (response: RelayedResponse, res: ServerResponse, model: string, promptTokens: number, env: ReaderEnv): void {
  let position = 0
  let text = ''

  function finish (ended: ResponseEnd): void {
    if (ended.type === 'failed') {
      sendProblem(res, parseProblem(ended.data))
      return
    }
    const usage = { prompt_tokens: promptTokens, completion_tokens: ended.count, total_tokens: promptTokens + ended.count }
    const choices = [{ index: 0, text, logprobs: null, finish_reason: ended.reason }]
    const body = JSON.stringify({ id: response.requestId, object: 'text_completion', created: Math.floor(env.now() / 1000), model, choices, usage })
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'x-request-id': response.requestId })
    res.end(body)
  }

  function read (): void {
    const result = response.relay.replay(position)
    if (result.type !== 'ok') {
      sendProblem(res, evictedProblem(result.type === 'evicted' ? result.first : result.last))
      return
    }
    const ended = response.relay.end()
    const added = ended?.type === 'failed' ? '' : tokenTexts(result.bytes)
    if (added === undefined) {
      sendProblem(res, createProblem(502, 'unknown', 'Outcome unknown', 'the engine sent an unreadable event'))
      return
    }
    text += added
    position = result.last
    if (result.ended && ended !== undefined) finish(ended)
  }

  const reader: ResponseReader = {
    position: () => position,
    blocked: () => false,
    notify () {
      if (!res.writableEnded && !res.destroyed) read()
    }
  }
  connectReader(response, res, reader, env)
}
