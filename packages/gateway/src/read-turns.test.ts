/** Responses whose framing takes most of their bytes share the thread with other connections. */
import { createServer, type AddressInfo, type Server } from 'node:net'
import { sharedReads } from '@yuccawharf/clients'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { startAttempt, type Attempt } from './attempt'
import { createKeptBytes } from './kept-bytes'
import { testCodec } from './testing/test-codec'
import { createUpstream, type Upstream } from './upstream'

const test = suite('turns of reads')

const head = (id: string, fields: string): string => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n${fields}\r\n`
const smallPieces = Buffer.from('1\r\nx\r\n'.repeat(10_000))
const bodyBytes = 4 * 1024 * 1024
let server: Server
let upstream: Upstream

/** Answers requests with `endless` in their id in small pieces without end, and others with a large body. */
test.before.each(async () => {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', bytes => {
      const id = /x-id: (\S+)/i.exec(bytes.toString('latin1'))?.[1] ?? ''
      if (!id.startsWith('endless')) {
        socket.end(head(id, `content-length: ${bodyBytes}\r\n`) + 'x'.repeat(bodyBytes))
        return
      }
      socket.write(head(id, 'transfer-encoding: chunked\r\n'))
      const fill = (): void => {
        if (socket.destroyed) return
        if (socket.write(smallPieces)) setImmediate(fill)
        else socket.once('drain', fill)
      }
      fill()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  upstream = createUpstream({ now: () => performance.now(), connections: () => 10 })
})
test.after.each(() => {
  upstream.close()
  server.close()
})

function send (id: string): Attempt {
  const { port } = server.address() as AddressInfo
  return startAttempt({
    codec: testCodec,
    kept: createKeptBytes(),
    upstream,
    now: () => performance.now(),
    server: { id: 's1', bornAt: 1, service: 'desk', address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 1, models: [] },
    requestId: id,
    req: { method: 'GET', path: '/', headers: ['x-id', id], body: null },
    maxBodyBytes: 16 * 1024 * 1024,
    warn () {}
  })
}

// Guards against a node whose thread parses the small pieces of some responses while all others wait.
test('responses in small pieces wait for their turn, and others are read on', async () => {
  const endless = ['endless1', 'endless2', 'endless3'].map(send)
  let mostWaiting = 0
  const timer = setInterval(() => { mostWaiting = Math.max(mostWaiting, sharedReads.waiting()) }, 1)
  const hasWaited = (): boolean => mostWaiting > 0
  while (!hasWaited()) {
    const result = await send('sound').result
    assert.is(result.type, 'response')
    if (result.type === 'response') assert.is(result.body.length, bodyBytes)
    if (upstream.traffic.totals().pieces > 2_000_000) break
  }
  clearInterval(timer)
  for (const attempt of endless) attempt.abort('test')
  assert.ok(mostWaiting > 0, 'no connection waited for its turn')
})

// Guards against a response of small pieces that is never read to its end.
test('a response that ends is complete, however small its pieces are', async () => {
  server.removeAllListeners('connection')
  const pieces = 200_000
  server.on('connection', socket => { socket.once('data', () => { socket.end(head('r1', 'transfer-encoding: chunked\r\n') + '1\r\nx\r\n'.repeat(pieces) + '0\r\n\r\n') }) })
  const result = await send('r1').result
  assert.is(result.type, 'response')
  if (result.type === 'response') assert.is(result.body.length, pieces)
})

// Guards against a sound server whose connection waits for its turn after each of many small responses.
test('many small responses on one connection do not wait', async () => {
  server.removeAllListeners('connection')
  server.on('connection', socket => {
    socket.on('error', () => {})
    socket.on('data', () => { socket.write(head('r1', `x-a: ${'y'.repeat(1000)}\r\ncontent-length: 1\r\n`) + 'x') })
  })
  for (let count = 0; count < 300; count++) {
    assert.is((await send('r1').result).type, 'response')
    assert.is(sharedReads.waiting(), 0)
  }
})

test.run()
