import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { createLogClient } from './log-client'
import type { AppendResult, ReadResult } from './interfaces'
import { httpResponse, startRawServer, type AfterBytes } from './raw-server.test-helper'

/** Longer than a busy process is held up; only appends without a whole response take as long as their timeout. */
const respondingMs = 5000
const withoutResponseMs = 1000

async function appendTo (bytes: string, after: AfterBytes, timeoutMs = respondingMs, count = 2): Promise<AppendResult> {
  const server = await startRawServer(bytes, after)
  const client = createLogClient({ baseUrl: server.url, timeoutMs, maxBytes: 4096 })
  const result = await client.append('s', Array.from({ length: count }, (_, at) => at))
  assert.is(server.requests(), 1, 'an append is sent once')
  await client.close()
  await server.close()
  return result
}

async function readFrom (bytes: string, from = 5, limit = 3): Promise<ReadResult> {
  const server = await startRawServer(bytes, 'end')
  const client = createLogClient({ baseUrl: server.url, timeoutMs: respondingMs, maxBytes: 4096 })
  const result = await client.read('s', from, limit, 0)
  await client.close()
  await server.close()
  return result
}

// Guards against `failed` for an append that may have taken effect: the writer would append the records again.
test('an append whose response is cut at any byte is unknown', async () => {
  const fullResponse = httpResponse(200, '{"offsets":[4,5]}')
  assert.equal(await appendTo(fullResponse, 'hang'), { type: 'ok', offsets: [4, 5] })
  for (let length = 0; length < fullResponse.length; length++) {
    const after = length % 2 === 0 ? 'reset' : 'end'
    assert.is((await appendTo(fullResponse.slice(0, length), after)).type, 'unknown', `${after} after ${length} bytes`)
  }
})

test('an append without a response in time is unknown', async () => {
  assert.is((await appendTo('', 'hang', withoutResponseMs)).type, 'unknown')
  assert.is((await appendTo('HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n{"off', 'hang', withoutResponseMs)).type, 'unknown')
})

test('a refusal proves that nothing was appended, a server error does not', async () => {
  for (const status of [400, 413, 429, 503]) assert.is((await appendTo(httpResponse(status, '{}'), 'hang')).type, 'failed', String(status))
  for (const status of [408, 409, 500, 502, 504]) assert.is((await appendTo(httpResponse(status, '{}'), 'hang')).type, 'unknown', String(status))
})

// Guards against offsets of a faulty log reaching the reducers.
test('malformed, oversized or contradictory responses to an append are unknown', async () => {
  const bodies = ['', 'null', '{"offsets":[4]}', '{"offsets":[4,6]}', '{"offsets":[-1,0]}', '{"offsets":["4","5"]}', '{"offsets":[4.5,5.5]}', '{"offsets":[4,5]', `{"offsets":[4,5],"x":"${'x'.repeat(5000)}"}`]
  for (const body of bodies) assert.is((await appendTo(httpResponse(200, body), 'hang')).type, 'unknown', body.slice(0, 40))
  assert.is((await appendTo('SSH-2.0-OpenSSH\r\n', 'hang')).type, 'unknown')
})

test('a connection that is refused proves that nothing was appended', async () => {
  const server = await startRawServer('', 'hang')
  await server.close()
  const client = createLogClient({ baseUrl: server.url })
  assert.is((await client.append('s', [1])).type, 'failed')
  await client.close()
})

test('pages with wrong offsets or too many records are failures', async () => {
  const record = (offset: number) => ({ offset, time: 1, value: null })
  const page = (first: number, next: number, offsets: number[]): string => JSON.stringify({ first, next, records: offsets.map(record) })
  assert.is((await readFrom(httpResponse(200, page(0, 9, [5, 6, 7])))).type, 'ok')
  assert.is((await readFrom(httpResponse(200, page(0, 5, [])))).type, 'ok')
  for (const body of [page(0, 9, [6, 7]), page(0, 9, [5, 7]), page(0, 9, [5, 6, 7, 8]), page(0, 6, [5, 6]), page(9, 5, []), page(6, 9, [5]), '{"first":0,"next":9}']) {
    assert.is((await readFrom(httpResponse(200, body))).type, 'failed', body)
  }
  assert.equal(await readFrom(httpResponse(410, '{"first":7,"next":9}')), { type: 'expired', first: 7, next: 9 })
  assert.is((await readFrom(httpResponse(410, '{"first":2,"next":9}'))).type, 'failed')
  assert.is((await readFrom(httpResponse(410, ''))).type, 'failed')
})

// Guards against responses that cause exceptions or results that their bytes don't prove. Seed 3, 300 responses.
test('mutated responses never throw and never result in offsets that the response does not state', async () => {
  const random = xoroshiro128plus(3)
  const below = (bound: number): number => unsafeUniformIntDistribution(0, bound - 1, random)
  const fullResponse = httpResponse(200, '{"offsets":[4,5]}')
  for (let round = 0; round < 300; round++) {
    const bytes = [...fullResponse]
    for (let edits = 1 + below(3); edits > 0; edits--) bytes.splice(below(bytes.length), below(3), String.fromCharCode(below(128)))
    const text = bytes.join('')
    const result = await appendTo(text, below(2) === 0 ? 'end' : 'reset')
    if (result.type === 'ok') assert.ok(text.includes(`${result.offsets[0]},`) && result.offsets.length === 2, JSON.stringify(text))
    if (result.type === 'failed') assert.match(text, /^HTTP\/1\.[01] (400|401|403|404|405|413|415|422|429|503)/, JSON.stringify(text))
  }
})

test.run()
