/** Servers in trouble that send bytes without end; the connection must be closed at a limit, with a true outcome. */
import { createServer, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createKeptBytes } from './kept-bytes'
import { startAttempt, type AttemptResult } from './attempt'
import type { BackendServer } from './cluster-types'
import { testCodec } from './testing/test-codec'
import { createUpstream } from './upstream'

const test = suite('responses without end')

const signedHead = 'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n'
const filler = 'x'.repeat(16 * 1024)
/** Bytes that may be in buffers of the sockets beyond the limits of this process. */
const socketBufferBytes = 8 * 1024 * 1024
const maxBodyBytes = 1024 * 1024

type Endless = { name: string, first: string, repeated: string, stream: boolean }

const cases: Endless[] = [
  { name: 'a head without end', first: signedHead, repeated: `x-a: ${'y'.repeat(1000)}\r\n`.repeat(16), stream: false },
  { name: 'a header line without end', first: `${signedHead}x-a: `, repeated: filler, stream: false },
  { name: 'interim responses without end', first: '', repeated: 'HTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\n'.repeat(400), stream: false },
  { name: 'a status line without end', first: 'HTTP/1.1 200 ', repeated: filler, stream: false },
  { name: 'bytes that are no response', first: '', repeated: filler, stream: false },
  { name: 'a body without length or end', first: `${signedHead}\r\n`, repeated: filler, stream: false },
  { name: 'chunks without end', first: `${signedHead}transfer-encoding: chunked\r\n\r\n`, repeated: `4000\r\n${filler}\r\n`, stream: false },
  { name: 'chunk extensions without end', first: `${signedHead}transfer-encoding: chunked\r\n\r\n`, repeated: `1;a=${'b'.repeat(1000)}\r\nx\r\n`.repeat(16), stream: false },
  { name: 'an event without end', first: `${signedHead}content-type: text/event-stream\r\n\r\ndata: `, repeated: filler, stream: true },
  { name: 'an event without end after a complete one', first: `${signedHead}content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\ndata: `, repeated: filler, stream: true },
  { name: 'trailers without end', first: `${signedHead}transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n`, repeated: `x-a: ${'y'.repeat(1000)}\r\n`.repeat(16), stream: false }
]

type Played = { result: AttemptResult, written: number, forwarded: number, closed: boolean }

async function play ({ first, repeated, stream }: Endless, timeLimitMs: number, kept = createKeptBytes()): Promise<Played> {
  let written = 0
  let closed = false
  let markClosed: () => void = () => {}
  const closing = new Promise<void>(resolve => { markClosed = resolve })
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('close', () => {
      closed = true
      markClosed()
    })
    socket.once('data', () => {
      socket.write(first)
      const fill = (): void => {
        if (socket.destroyed || repeated === '') return
        written += repeated.length
        if (socket.write(repeated)) setImmediate(fill)
        else socket.once('drain', fill)
      }
      fill()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const backend: BackendServer = { id: 's1', bornAt: 1, service: 'desk', address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 1, models: [] }
  const upstream = createUpstream({ now: () => performance.now(), connections: () => 4 })
  let forwarded = 0
  const attempt = startAttempt({
    codec: testCodec,
    kept,
    upstream,
    now: () => performance.now(),
    server: backend,
    requestId: 'r1',
    req: { method: 'POST', path: '/', headers: ['host', 'a'], body: Buffer.from('b') },
    ...(stream ? { stream: { head () {}, events: (bytes: Buffer) => { forwarded += bytes.length; return true } } } : {}),
    maxBodyBytes,
    warn () {}
  })
  const timer = setTimeout(() => attempt.abort('deadline'), timeLimitMs)
  const result = await attempt.result
  clearTimeout(timer)
  await Promise.race([closing, new Promise(resolve => setTimeout(resolve, 1000))])
  upstream.close()
  server.close()
  return { result, written, forwarded, closed }
}

// Guards against memory and connections that a server in trouble takes until the client's deadline.
for (const endless of cases) {
  test(`${endless.name} fails at a limit, and the connection is closed`, async () => {
    const { result, written, forwarded, closed } = await play(endless, 20_000)
    assert.is(result.type, 'failed', `the attempt ended as ${JSON.stringify(result).slice(0, 200)}`)
    assert.ok(closed, 'the connection is still open')
    assert.ok(written < maxBodyBytes + socketBufferBytes, `${written} bytes were read`)
    assert.ok(forwarded < 100, 'bytes of an incomplete event reached the client')
  })
}

// Guards against reading megabytes of a response that is known to be too large.
test('a response that states more than the limit fails with its head', async () => {
  const { result, written, closed } = await play({ name: 'a stated length', first: `${signedHead}content-length: ${maxBodyBytes + 1}\r\n\r\n`, repeated: 'x', stream: false }, 5000)
  assert.is(result.type === 'failed' && result.reason, 'response is too large')
  assert.ok(closed, 'the connection is still open')
  assert.ok(written < maxBodyBytes, `${written} bytes were read`)
})

// Guards against heads that fill the heap: each field is kept as objects of some hundred bytes while the response is open.
for (const [name, first] of [
  ['a head', `${signedHead}${'a:\r\n'.repeat(15_000)}transfer-encoding: chunked\r\n\r\n`],
  ['trailers', `${signedHead}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n${'a:\r\n'.repeat(15_000)}`]
] as const) {
  test(`${name} of many short lines fails at a limit`, async () => {
    const { result } = await play({ name, first, repeated: name === 'a head' ? '1\r\nx\r\n' : '', stream: false }, 5000)
    assert.match(result.type === 'failed' ? result.reason : result.type, /lines without a response/)
  })
}

// Guards against a stream that takes the thread until the client's deadline.
test('events with long chunk extensions without end fail at a limit, and the connection is closed', async () => {
  const { result, written, closed } = await play({
    name: 'events with long chunk extensions',
    first: `${signedHead}transfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n\r\n`,
    repeated: `5;a=${'b'.repeat(1000)}\r\na:b\n\n\r\n`.repeat(16),
    stream: true
  }, 20_000)
  assert.is(result.type, 'failed', `the attempt ended as ${JSON.stringify(result).slice(0, 200)}`)
  assert.ok(closed, 'the connection is still open')
  assert.ok(written < maxBodyBytes + socketBufferBytes, `${written} bytes were read`)
})

// Guards against a node that runs out of memory when a service of many servers fails in this way.
test('64 connections with an event without end take a bounded amount of memory', async () => {
  const endless = cases.find(({ name }) => name === 'an event without end')!
  const before = process.memoryUsage().arrayBuffers
  let peak = 0
  const timer = setInterval(() => { peak = Math.max(peak, process.memoryUsage().arrayBuffers - before) }, 5)
  const results = await Promise.all(Array.from({ length: 64 }, async () => await play(endless, 20_000)))
  clearInterval(timer)
  assert.ok(results.every(({ result }) => result.type === 'failed'))
  assert.ok(peak < 192 * 1024 * 1024, `${peak} bytes`)
})

test.run()
