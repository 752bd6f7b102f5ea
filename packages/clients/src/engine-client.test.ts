import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEngineClient } from './engine-client'
import { GenerateError, type EngineCommandResult, type GenerateEvent, type GenerateFailure } from './interfaces'
import { httpResponse, startRawServer, type AfterBytes } from './raw-server.test-helper'

type Outcome = { events: GenerateEvent[], failure?: GenerateFailure }
type Start = 'generate' | 'resume'

const request = { requestId: 'r', handle: 'a@1~1.1', prompt: 'p', maxTokens: 2, priority: 0 }
const token = (id: string, text: string): string => `id: ${id}\ndata: {"choices":[{"text":${JSON.stringify(text)},"finish_reason":null}]}\n\n`
const last = 'data: {"choices":[{"text":"","finish_reason":"length"}],"usage":{"completion_tokens":2}}\n\ndata: [DONE]\n\n'
const streamOf = (body: string): string => `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n0\r\n\r\n`

async function run (bytes: string, after: AfterBytes, start: Start = 'generate'): Promise<Outcome> {
  const server = await startRawServer(bytes, after)
  const client = createEngineClient({ baseUrl: server.url, pauseTimeoutMs: 100, maxEventBytes: 1000 })
  const signal = new AbortController().signal
  const outcome: Outcome = { events: [] }
  try {
    for await (const event of start === 'generate' ? client.generate(request, signal) : client.resume('r', 0, signal)) outcome.events.push(event)
  } catch (err) {
    assert.instance(err, GenerateError)
    outcome.failure = (err as GenerateError).failure
  }
  assert.is(server.requests(), 1, 'a request is sent once')
  await client.close()
  await server.close()
  return outcome
}

async function command (bytes: string, after: AfterBytes): Promise<EngineCommandResult> {
  const server = await startRawServer(bytes, after)
  const client = createEngineClient({ baseUrl: server.url, commandTimeoutMs: 100 })
  const result = await client.command({ type: 'unload', handle: 'a@1~1.1' }, 3)
  await client.close()
  await server.close()
  return result
}

const error = (status: number, code: string): string => httpResponse(status, JSON.stringify({ error: { code } }))

// Guards against a truncated stream that looks complete, and against `not-run` for a request that may have run.
test('a stream truncated at any byte is broken after the tokens received so far, without an end', async () => {
  const fullStream = streamOf(token('1', 'ü') + token('2', 'b') + last)
  const complete = await run(fullStream, 'hang')
  assert.equal(complete, { events: [{ type: 'token', seq: 1, text: 'ü' }, { type: 'token', seq: 2, text: 'b' }, { type: 'end', count: 2, reason: 'length' }] })
  const endAt = fullStream.indexOf('data: [DONE]') - 1
  for (let length = 0; length < endAt; length += 3) {
    const { events, failure } = await run(fullStream.slice(0, length), length % 2 === 0 ? 'reset' : 'end')
    assert.is(failure?.type, 'broken', `after ${length} bytes`)
    assert.equal(events, complete.events.slice(0, events.length))
    assert.ok(events.length < 3)
  }
})

test('a stream that pauses for too long is broken', async () => {
  assert.is((await run('', 'hang')).failure?.type, 'broken')
  const { events, failure } = await run(streamOf(token('1', 'a') + last).slice(0, 160), 'hang')
  assert.is(events.length, 1)
  assert.is(failure?.type, 'broken')
})

test('only the stated refusals prove that a request did not run', async () => {
  for (const [status, code] of [[404, 'model_not_found'], [503, 'draining'], [503, 'overloaded']] as const) {
    assert.is((await run(error(status, code), 'hang')).failure?.type, 'not-run', code)
  }
  for (const bytes of [error(409, 'duplicate_request'), error(500, 'internal'), httpResponse(404, 'not found'), httpResponse(503, '{}'), error(404, 'model_not_found').slice(0, -1)]) {
    assert.is((await run(bytes, 'end')).failure?.type, 'broken', bytes)
  }
})

// Guards against a resumption reported as not run: the request did run before the stream broke.
test('a resumption is never reported as not run', async () => {
  assert.equal((await run(error(404, 'response_not_found'), 'hang', 'resume')).failure, { type: 'broken', reason: 'engine answered 404 response_not_found', lost: true })
  for (const code of ['model_not_found', 'draining', 'overloaded']) {
    const { failure } = await run(error(503, code), 'hang', 'resume')
    assert.is(failure?.type === 'broken' && failure.lost === undefined, true, code)
  }
  const server = await startRawServer('', 'hang')
  await server.close()
  const client = createEngineClient({ baseUrl: server.url })
  try {
    for await (const event of client.resume('r', 0, new AbortController().signal)) assert.unreachable(event.type)
  } catch (err) {
    assert.is((err as GenerateError).failure.type, 'broken')
  }
  await client.close()
})

test('malformed and oversized events break the stream', async () => {
  const bad = ['data: {}\n\n', 'id: 1\ndata: not json\n\n', token('', 'a'), token('0', 'a'), token('1e3', 'a'), token('99999999999', 'a'), 'data: {"choices":[{"text":"","finish_reason":"length"}]}\n\n', token('1', 'x'.repeat(2000)), 'data: [DONE]\n\n', '']
  for (const body of bad) {
    const { events, failure } = await run(streamOf(body), 'hang')
    assert.is(failure?.type, 'broken', body.slice(0, 60))
    assert.equal(events, [])
  }
})

// Guards against opening a connection per request, which costs a round trip and a port.
test('the next request reuses the connection of a finished stream', async () => {
  const server = await startRawServer(streamOf(token('1', 'a') + last), 'hang')
  const client = createEngineClient({ baseUrl: server.url })
  for (let round = 0; round < 3; round++) {
    for await (const event of client.generate(request, new AbortController().signal)) assert.ok(event)
    await new Promise(resolve => setTimeout(resolve, 20))
  }
  assert.is(server.requests(), 3)
  assert.is(server.connections(), 1)
  await client.close()
  await server.close()
})

test('aborting the signal ends the stream and the connection', async () => {
  const server = await startRawServer(streamOf(token('1', 'a') + last).slice(0, 160), 'hang')
  const client = createEngineClient({ baseUrl: server.url })
  const abort = new AbortController()
  const seen: string[] = []
  try {
    for await (const event of client.generate(request, abort.signal)) {
      seen.push(event.type)
      abort.abort()
    }
  } catch (err) {
    seen.push((err as GenerateError).failure.type)
  }
  assert.equal(seen, ['token', 'broken'])
  await client.close()
  await server.close()
})

// Guards against `refused` for a command that may have taken effect.
test('a command is refused only by a stated code, and its response cut at any byte is unknown', async () => {
  assert.equal(await command(httpResponse(200, '{}'), 'hang'), { type: 'ok' })
  assert.equal(await command(error(409, 'stale_fencing_number'), 'hang'), { type: 'stale-fence' })
  assert.equal(await command(error(503, 'weight_store_failed'), 'hang'), { type: 'refused', reason: 'weight_store_failed' })
  for (const bytes of [httpResponse(503, ''), error(500, 'internal'), httpResponse(302, '')]) assert.is((await command(bytes, 'hang')).type, 'unknown', bytes)
  const fullResponse = error(409, 'stale_fencing_number')
  for (let length = 0; length < fullResponse.length; length += 2) assert.is((await command(fullResponse.slice(0, length), 'reset')).type, 'unknown', `after ${length} bytes`)
  assert.is((await command('', 'hang')).type, 'unknown')
})

test.run()
