/** Responses that state a length without having a body. */
import { createServer, type AddressInfo, type Server } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { startAttempt } from './attempt'
import { createKeptBytes } from './kept-bytes'
import { testCodec } from './testing/test-codec'
import { createUpstream, type Upstream } from './upstream'

const test = suite('responses without a body')
let server: Server
let upstream: Upstream

test.before.each(async () => {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', () => { socket.write('HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 50000000\r\n\r\n') })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  upstream = createUpstream({ now: () => performance.now(), connections: () => 10 })
})
test.after.each(() => {
  upstream.close()
  server.close()
})

// Guards against a response that is given up for the length of a body that it does not have.
test('a response to HEAD may state any length', async () => {
  const { port } = server.address() as AddressInfo
  const result = await startAttempt({
    codec: testCodec,
    kept: createKeptBytes(),
    upstream,
    now: () => performance.now(),
    server: { id: 's1', bornAt: 1, service: 'desk', address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 1, models: [] },
    requestId: 'r1',
    req: { method: 'HEAD', path: '/', headers: ['x-id', 'r1'], body: null },
    maxBodyBytes: 16 * 1024 * 1024,
    warn () {}
  }).result
  assert.is(result.type, 'response', JSON.stringify(result))
})

test.run()
