/** Responses without a body that count as broken off, and with it as a crash of their server; see KNOWN-RED.txt. */
import { createServer, type AddressInfo, type Server } from 'node:net'
import { createHttpClient } from '@yuccawharf/clients'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { runOutcomeOf, startAttempt } from './attempt'
import { createKeptBytes } from './kept-bytes'
import { testCodec } from './testing'
import { createUpstream, type Upstream } from './upstream'

const test = suite('responses without a body')

let server: Server
let upstream: Upstream | undefined

async function listen (head: string): Promise<string> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', () => { socket.write(`HTTP/1.1 ${head}\r\nx-id: r1\r\nx-seal: s\r\n\r\n`) })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function attempt (method: string, head: string, stream: boolean): Promise<string> {
  const address = await listen(head)
  upstream = createUpstream({ now: () => performance.now(), connections: () => 4 })
  const { result } = startAttempt({
    codec: testCodec,
    kept: createKeptBytes(),
    upstream,
    now: () => performance.now(),
    server: { id: 's1', bornAt: 1, service: 'desk', address, zone: 'a', state: 'ready', slots: 4, models: [] },
    requestId: 'r1',
    req: { method, path: '/', headers: ['X-Id', 'r1'], body: null },
    ...(stream ? { stream: { head () {}, events: () => true } } : {}),
    maxBodyBytes: 1e6,
    warn () {}
  })
  return runOutcomeOf(await result)
}

test.after.each(() => {
  upstream?.close()
  server.close()
})

// Guards against a response that is refused, and a server that counts as crashed, although nothing of the response is missing.
for (const stream of [false, true]) {
  test(`a response 304 with the length of a 200 is complete${stream ? ' on a route of streams' : ''}`, async () => {
    assert.is(await attempt('GET', '304 Not Modified\r\ncontent-length: 9', stream), 'ok')
  })
}

test('a response 304 with the length of a 200 is complete for the own mode', async () => {
  const client = createHttpClient({ baseUrl: `http://${await listen('304 Not Modified\r\ncontent-length: 9')}` })
  assert.is((await client.exchange({ method: 'GET', path: '/' })).type, 'ok')
  await client.close()
})

test.run()
