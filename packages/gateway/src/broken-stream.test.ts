/** Streams whose server breaks off; none of them may reach the client as complete. */
import { createServer, type Server, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createKeptBytes } from './kept-bytes'
import { startAttempt, type AttemptResult } from './attempt'
import type { BackendServer } from './cluster-types'
import { testCodec } from './testing'
import { createUpstream, type Upstream } from './upstream'

const test = suite('broken streams')

let server: Server
let upstream: Upstream

async function stream (respond: (socket: Socket) => void, streaming = true): Promise<{ result: AttemptResult, forwarded: string }> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => respond(socket))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  const backend: BackendServer = { id: 's1', bornAt: 1, service: 'llm', address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 4, models: [] }
  upstream = createUpstream({ now: () => performance.now(), connections: () => 4 })
  let forwarded = ''
  const result = await startAttempt({
    codec: testCodec,
    kept: createKeptBytes(),
    upstream,
    now: () => performance.now(),
    server: backend,
    requestId: 'r1',
    req: { method: 'POST', path: '/', headers: ['X-Id', 'r1'], body: null },
    ...(streaming ? { stream: { head () {}, events (bytes: Buffer) { forwarded += bytes.toString(); return true } } } : {}),
    maxBodyBytes: 1e6,
    warn () {}
  }).result
  return { result, forwarded }
}

test.after.each(() => {
  upstream.close()
  server.close()
})

const head = (framing = ''): string => `HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n${framing}\r\n`
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
const first = 'id: 1\ndata: a\n\n'
const broken = 'id: 2\ndata: b'

const ends: [name: string, response: string][] = [
  ['without a length', `${head('Connection: close\r\n')}${first}${broken}`],
  ['without a length, after a line of the event', `${head('Connection: close\r\n')}${first}${broken}\n`],
  ['without a length, inside the first event', `${head('Connection: close\r\n')}${broken}`],
  ['with a length', `${head(`Content-Length: ${first.length + broken.length}\r\n`)}${first}${broken}`],
  ['in chunks', `${head('Transfer-Encoding: chunked\r\n')}${chunk(first)}${chunk(broken)}0\r\n\r\n`]
]

for (const [name, response] of ends) {
  test(`a stream that ends inside an event is not complete: ${name}`, async () => {
    const { result, forwarded } = await stream(socket => { socket.end(response) })
    assert.is(result.type, 'failed')
    assert.is(forwarded, response.includes(first) ? first : '')
  })
}

// Guards against a server that ends after the head of its response: the client would get a complete stream of no events.
test('a stream without a length that ends before its first event is not complete', async () => {
  const { result } = await stream(socket => { socket.end(head('Connection: close\r\n')) })
  assert.is(result.type, 'failed')
})

test('an empty stream with a length is complete', async () => {
  const { result } = await stream(socket => { socket.end(head('Content-Length: 0\r\n')) })
  assert.is(result.type, 'streamed')
})

test('a stream without a length that ends after an event is complete', async () => {
  const { result, forwarded } = await stream(socket => { socket.end(`${head('Connection: close\r\n')}${first}id: 2\r\ndata: b\r\n\r\n`) })
  assert.is(result.type, 'streamed')
  assert.is(forwarded, `${first}id: 2\r\ndata: b\r\n\r\n`)
})

test('a line end after the last event does not make a stream incomplete', async () => {
  const { result, forwarded } = await stream(socket => {
    socket.write(`${head('Connection: close\r\n')}${first}`, () => { setTimeout(() => socket.end('\n'), 30) })
  })
  assert.is(result.type, 'streamed')
  assert.is(forwarded, `${first}\n`)
})

test('a response that is no event stream is forwarded whole', async () => {
  const body = '{"error":"none"}'
  const { result, forwarded } = await stream(socket => {
    socket.end(`HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
  })
  assert.ok(result.type === 'response' ? result.body.toString() === body : forwarded === body && result.type === 'streamed')
})

const brokenHeads: [name: string, response: string][] = [
  ['in the status line', 'HTTP/1.1 200 O'],
  ['in a header name', 'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Se'],
  ['in a header value', 'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s'],
  ['after a header', 'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n'],
  ['after a header that closes the connection', 'HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: r1\r\nX-Seal: s\r\n'],
  ['before its last byte', 'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r'],
  ['in HTTP/1.0', 'HTTP/1.0 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n'],
  ['after an interim response', 'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n'],
  ['after an interim response that closes the connection', 'HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n'],
  ['after a 100 in HTTP/1.0', 'HTTP/1.0 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n'],
  ['before anything', '']
]

// Guards against a response with an empty or short body that looks complete.
for (const [name, response] of brokenHeads) {
  for (const streaming of [true, false]) {
    test(`a response that ends inside its head has failed: ${name}, ${streaming ? 'streaming' : 'plain'}`, async () => {
      const { result } = await stream(socket => { socket.end(response) }, streaming)
      assert.is(result.type, 'failed')
    })
  }
}

test.run()
