import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { requestDigest, type DigestedRequest } from './request-digest'

const test = suite('request digest')

const mib = 1024 * 1024
const pieceBytes = 4 * mib

function digest (overrides: { method?: string, url?: string, headers?: Record<string, string>, body?: Buffer | null, demand?: DigestedRequest['demand'] } = {}): string {
  const { method = 'POST', url = '/orders/7?page=2', headers = {}, body = Buffer.from('item=7'), demand } = overrides
  return requestDigest({ req: { method, url, headers: { host: 'a.example', authorization: 'Bearer 1', ...headers } }, body, demand })
}

// Guards against a repeated request that is taken for another one.
test('a request that comes again has the same digest, whatever its id and deadline', () => {
  assert.is(digest({ headers: { 'x-id': 'r1', 'x-deadline': '900' } }), digest({ headers: { 'x-id': 'r2', 'x-deadline': '500' } }))
  assert.is(digest({ body: null }), digest({ body: Buffer.alloc(0) }))
})

const demand = { model: 'base', promptTokens: 10, outputTokens: 10, parts: [{ id: 'p1', tokens: 5 }, { id: 'last', tokens: 5 }] }
const others: Record<string, Parameters<typeof digest>[0]> = {
  method: { method: 'PUT' },
  host: { headers: { host: 'b.example' } },
  path: { url: '/orders/8?page=2' },
  query: { url: '/orders/7?page=3' },
  caller: { headers: { authorization: 'Bearer 2' } },
  cookie: { headers: { cookie: 'session=2' } },
  body: { body: Buffer.from('item=8') },
  'body, where path and body can be confused': { url: '/orders/7?page=2"', body: Buffer.from('tem=7') },
  prompt: { demand },
  adapter: { demand: { ...demand, adapter: 'a1' } }
}

// Guards against refusing sound requests beside one that crashes servers.
test('requests that differ for the server have different digests', () => {
  const digests = [digest(), ...Object.values(others).map(digest)]
  assert.is(new Set(digests).size, digests.length)
})

// Guards against a node that is held up by digests of large bodies, and against sound uploads of the same length.
test('a large body costs a bounded time and counts at its beginning, middle and end', () => {
  const body = Buffer.alloc(200 * mib)
  const startedAt = performance.now()
  const first = digest({ body })
  assert.ok(performance.now() - startedAt < 100)
  for (const start of [0, body.length / 2, body.length - pieceBytes]) {
    body.fill(1, start, start + pieceBytes)
    assert.is.not(digest({ body }), first)
    body.fill(0, start, start + pieceBytes)
  }
  assert.is.not(first, digest({ body: body.subarray(0, body.length - 1) }))
})

test.run()
