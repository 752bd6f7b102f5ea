/** Heads and trailers of many small fields: undici keeps objects of some hundred bytes for each. */
import { createServer, type AddressInfo, type Server } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { startAttempt } from './attempt'
import { createKeptBytes } from './kept-bytes'
import { testCodec } from './testing/test-codec'
import { createUpstream } from './upstream'

const test = suite('fields of response heads')

const signed = 'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n'
const chunked = `${signed}transfer-encoding: chunked\r\n`
const fields = (count: number): string => 'a:\r\n'.repeat(count)
let server: Server

/** @returns type of the result for the bytes that the server sends before it keeps the connection open */
async function play (sent: string): Promise<string> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(sent) })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const upstream = createUpstream({ now: () => performance.now(), connections: () => 1 })
  const attempt = startAttempt({
    codec: testCodec,
    kept: createKeptBytes(),
    upstream,
    now: () => performance.now(),
    server: { id: 's1', bornAt: 1, service: 'desk', address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 1, models: [] },
    requestId: 'r1',
    req: { method: 'GET', path: '/', headers: ['x-id', 'r1'], body: null },
    maxBodyBytes: 1024 * 1024,
    warn () {}
  })
  const timer = setTimeout(() => attempt.abort('deadline'), 2000)
  const { type } = await attempt.result
  clearTimeout(timer)
  upstream.close()
  return type
}

test.after.each(() => { server.close() })

for (const [name, sent] of [
  ['a head', `${signed}${fields(2000)}content-length: 1\r\n\r\n`],
  ['a head that is not complete', `${signed}${fields(2000)}`],
  ['an interim head', `HTTP/1.1 103 Early Hints\r\n${fields(2000)}`],
  ['trailers', `${chunked}\r\n1\r\nx\r\n0\r\n${fields(2000)}`]
] as const) {
  // Guards against a few open responses whose fields fill the heap.
  test(`${name} of 2,000 fields is given up`, async () => {
    assert.is(await play(sent), 'failed')
  })
}

test('a head and trailers of 100 fields each are read', async () => {
  assert.is(await play(`${chunked}${fields(100)}\r\n1\r\nx\r\n0\r\n${fields(100)}\r\n`), 'response')
})

test.run()
