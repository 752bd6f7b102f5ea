import { connect } from 'node:net'
import { createSocket } from 'node:dgram'
import { maxUnanswered } from '@yuccawharf/clients'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { defaultHttpLimits } from './http-router'
import { startCluster, type Cluster } from './testing/cluster'

let cluster: Cluster
let url = ''

test.before(async () => {
  const httpLimits = { ...defaultHttpLimits, headerBytes: 4096, headersMs: 300, requestMs: 600 }
  cluster = await startCluster({ nodes: ['n1', 'n2'], owners: { e1: 'n1' }, placement: { 'red@1': 'e1' }, httpLimits })
  url = cluster.url.n1 as string
})
test.after(async () => { await cluster.close() })

type Refused = { status: number, outcome: string, detail: string, findings: { field: string, message: string }[] }

async function send (path: string, init: RequestInit = {}): Promise<Refused> {
  const response = await fetch(url + path, init)
  const body = await response.json() as Partial<Refused>
  assert.is(response.headers.get('content-type'), 'application/problem+json', path)
  assert.is(body.status, response.status)
  return { status: response.status, outcome: body.outcome ?? '', detail: body.detail ?? '', findings: body.findings ?? [] }
}

async function complete (body: unknown, headers: Record<string, string> = {}): Promise<Refused> {
  const text = typeof body === 'string' ? body : JSON.stringify(body)
  return await send('/v1/completions', { method: 'POST', body: text, headers: { 'x-class': 'chat', ...headers } })
}

const valid = { model: 'base:red@1', prompt: 'hello' }

test('all faults of a completion are reported together', async () => {
  // Guards against reporting only the first fault, so that callers find them one by one.
  const refused = await complete({ model: 'base', max_tokens: 0, stream: 'yes', temperature: 1 }, { 'x-class': 'a b', 'x-request-id': 'a b', 'x-deadline-ms': '-5' })
  assert.is(refused.status, 400)
  assert.is(refused.outcome, 'invalid')
  assert.equal(refused.findings.map(finding => finding.field).sort(), ['X-Class', 'X-Deadline-Ms', 'X-Request-Id', 'body', 'body/max_tokens', 'body/model', 'body/stream', 'body/temperature'])
})

test('malformed and oversized bodies are refused', async () => {
  // Guards against crashes and unbounded memory use.
  for (const body of ['', '{', 'null', '[]', '"text"', '\u0000', '{"model":"base:red@1","prompt":5}']) {
    const refused = await complete(body)
    assert.equal([refused.status, refused.outcome], [400, 'invalid'], body)
  }
  const large = await complete({ ...valid, prompt: 'x'.repeat(5000) })
  assert.equal([large.status, large.outcome], [413, 'invalid'])
  const chunked = await send('/v1/completions', { method: 'POST', headers: { 'x-class': 'chat' }, body: new Blob(['y'.repeat(6000)]).stream(), duplex: 'half' } as RequestInit)
  assert.equal([chunked.status, chunked.outcome], [413, 'invalid'])
})

test('a connection with many requests without a response is closed, once those within the bound are answered', async () => {
  // Guards against a heap that is full of the requests of callers that send many at once.
  const { hostname, port } = new URL(url)
  const received = await new Promise<string>((resolve, reject) => {
    let text = ''
    const socket = connect(Number(port), hostname, () => socket.write('GET /none HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(1000)))
    socket.setTimeout(1000, () => socket.destroy())
    socket.on('data', chunk => { text += chunk.toString('latin1') })
    socket.on('error', err => { if ((err as NodeJS.ErrnoException).code !== 'ECONNRESET') reject(err) })
    socket.on('close', () => resolve(text))
  })
  const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status))
  assert.equal(statuses, [...Array<number>(maxUnanswered).fill(404), 503])
})

test('unknown adapters, versions and classes are refused as invalid', async () => {
  // Guards against such requests being queued or running with another adapter.
  for (const model of ['base:green@1', 'base:red@2']) {
    const refused = await complete({ ...valid, model })
    assert.equal([refused.status, refused.outcome], [400, 'invalid'])
    assert.match(refused.detail, /is not known/)
  }
  const refused = await complete(valid, { 'x-class': 'unknown' })
  assert.equal([refused.status, refused.outcome], [400, 'invalid'])
  const missing = await send('/v1/completions', { method: 'POST', body: JSON.stringify(valid) })
  assert.equal(missing.findings, [{ field: 'X-Class', message: 'is required' }])
})

test('unknown paths, methods, escapes and parameters are refused', async () => {
  // Guards against requests that silently do something other than the caller intended.
  assert.is((await send('/v2/completions')).status, 404)
  assert.is((await send('/v1/completions', { method: 'PUT', body: '{}' })).status, 405)
  assert.is((await send('/v1/completions/%zz')).status, 400)
  assert.is((await send('/v1/addresses?colour=red')).findings[0]?.field, 'query/colour')
  assert.is((await send('/v1/addresses?zone=a&zone=b')).status, 400)
  assert.is((await send('/v1/addresses?model=base:red@1&service=desk')).status, 400)
  assert.is((await send(`/v1/addresses?zone=${'z'.repeat(500)}`)).status, 400)
  assert.is((await send('/admin/config?history=0')).status, 400)
  assert.is((await send('/admin/timeline?node=n1')).status, 400)
  assert.is((await send('/v1/completions/none')).status, 404)
  assert.is((await send('/v1/completions/none', { headers: { 'last-event-id': 'x' } })).status, 400)
})

test('resuming after an event beyond the end of a response is refused', async () => {
  // Guards against a resumed stream that waits forever.
  const response = await fetch(`${url}/v1/completions`, { method: 'POST', headers: { 'x-class': 'chat', 'x-request-id': 'short' }, body: JSON.stringify({ ...valid, max_tokens: 3 }) })
  assert.is(response.status, 200)
  assert.is((await send('/v1/completions/short', { headers: { 'last-event-id': '9' } })).status, 400)
})

test('bad configuration changes are refused with findings', async () => {
  // Guards against a malformed change reaching the log.
  assert.is((await send('/admin/config', { method: 'POST', body: '{' })).status, 400)
  const refused = await send('/admin/config', { method: 'POST', body: JSON.stringify({ id: 'x', base: 'y', extra: 1 }) })
  assert.is(refused.outcome, 'invalid')
  assert.ok(refused.findings.length >= 4)
})

test('service calls without a key, with a bad key or for an unknown group are refused', async () => {
  // Guards against orders that run twice.
  assert.is((await send('/v1/services/none/x')).status, 404)
  const missing = await send('/v1/services/desk/orders', { method: 'POST', body: '{}' })
  assert.is(missing.findings[0]?.field, 'Idempotency-Key')
  const bad = await send('/v1/services/desk/orders/7', { method: 'POST', body: '{}', headers: { 'idempotency-key': 'mine' } })
  assert.is(bad.findings[0]?.field, 'Idempotency-Key')
  assert.is(cluster.service.totalExecutions(), 0)
})

test('malformed input from other nodes is refused', async () => {
  // Guards against a faulty or older peer crashing this node.
  const forwarded = await send('/peer/v1/completions', { method: 'POST', body: JSON.stringify({ requestId: 'a b' }) })
  assert.equal([forwarded.status, forwarded.outcome], [400, 'invalid'])
  assert.is((await send('/peer/v1/completions/none')).status, 404)
  for (const body of ['', '{', 'null', '{"from":1}', JSON.stringify({ from: 'x', to: 'n1', incarnation: 'y', revision: 1, message: {} })]) {
    const response = await fetch(`${url}/peer/trpc/deliver`, { method: 'POST', headers: { 'content-type': 'application/json' }, body })
    assert.is(response.status, 400, body)
    await response.body?.cancel()
  }
  const unknown = await fetch(`${url}/peer/trpc/none`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: '{}' })
  assert.is(unknown.status, 404)
  const socket = createSocket('udp4')
  const port = Number(new URL(url).port)
  for (const bytes of ['', '{', 'null', '\u0000\u0001', JSON.stringify({ from: 'x', to: 'n1', incarnation: 1, revision: 1, message: 5 })]) {
    await new Promise(resolve => { socket.send(Buffer.from(bytes), port, '127.0.0.1', resolve) })
  }
  socket.close()
  assert.is(cluster.cores.n1?.events.filter(event => event.type === 'message').length, 0)
})

/** Sends bytes on a new connection and reads until the node closes it. */
async function raw (...parts: string[]): Promise<string> {
  return await new Promise(resolve => {
    const socket = connect(Number(new URL(url).port), '127.0.0.1', () => parts.forEach(part => socket.write(part)))
    let text = ''
    socket.on('data', chunk => { text += chunk.toString() })
    socket.on('error', () => resolve(text))
    socket.on('close', () => resolve(text))
  })
}

test('input that is not HTTP, too large or too slow gets an error response and the connection is closed', async () => {
  // Guards against connections held open by slow or malformed senders.
  assert.match(await raw('nonsense\r\n\r\n'), /^HTTP\/1.1 400 .*application\/problem\+json/s)
  assert.match(await raw(`GET / HTTP/1.1\r\nhost: x\r\nx-long: ${'y'.repeat(9000)}\r\n\r\n`), /^HTTP\/1.1 431 /)
  assert.match(await raw('POST /v1/completions HTTP/1.1\r\nhost: x\r\n'), /^HTTP\/1.1 408 /)
  assert.match(await raw('POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-class: chat\r\ncontent-length: 100\r\n\r\n{'), /408 /)
  assert.match(await raw('GET /v1/addresses HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'), /^HTTP\/1.1 200 /)
})

test('the node still serves requests after all invalid input', async () => {
  // Guards against a fault in one request affecting the next.
  const response = await fetch(`${url}/v1/completions`, { method: 'POST', headers: { 'x-class': 'chat' }, body: JSON.stringify(valid) })
  assert.is(response.status, 200)
  assert.match(await response.text(), /"completion_tokens":16/)
})

test.run()
