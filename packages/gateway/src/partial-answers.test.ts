/** Servers that answer before they have read the request, and then break off, or whose status is none. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { createHttpClient } from '@yuccawharf/clients'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { startAttempt, type AttemptResult } from './attempt'
import type { BackendServer } from './cluster-types'
import { createKeptBytes } from './kept-bytes'
import { testCodec } from './testing/test-codec'
import { createUpstream, type Upstream } from './upstream'

const test = suite('partial answers')

/** More than the buffers of a connection hold, so that it is still being written when the answer comes. */
const upload = Buffer.alloc(4 * 1024 * 1024, 'x')
const head = (status: string, more = ''): string => `HTTP/1.1 ${status}\r\nx-id: r1\r\nx-seal: s\r\n${more}\r\n`

let server: Server
let upstream: Upstream | undefined
let address: string

/** Answers at the first bytes of a request. */
async function listen (answer: (socket: Socket) => void): Promise<void> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => {
      socket.pause()
      answer(socket)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** @param stream - forwards events instead of keeping the body */
async function attempt (body: Buffer | null, stream = false): Promise<AttemptResult> {
  upstream = createUpstream({ now: () => performance.now(), connections: () => 4 })
  const backend: BackendServer = { id: 's1', service: 'desk', address, zone: 'a', state: 'ready', slots: 4, bornAt: 1 } as unknown as BackendServer
  return await startAttempt({
    codec: testCodec,
    upstream,
    now: () => performance.now(),
    server: backend,
    requestId: 'r1',
    req: { method: 'POST', path: '/x', headers: ['host', 'a.example'], body },
    ...(stream ? { stream: { head () {}, events: () => true } } : {}),
    maxBodyBytes: 1_000_000,
    kept: createKeptBytes(10_000_000),
    warn () {}
  }).result
}

test.after.each(() => {
  upstream?.close()
  upstream = undefined
  server.close()
})

const cuts: Record<string, (socket: Socket) => void> = {
  'resets at once': socket => { socket.write(`${head('200 OK')}part`, () => { socket.resetAndDestroy() }) },
  'resets later': socket => { socket.write(`${head('200 OK')}part`, () => { setTimeout(() => { socket.resetAndDestroy() }, 50) }) },
  'closes with unread bytes': socket => { socket.write(`${head('200 OK')}part`, () => { setTimeout(() => { socket.destroy() }, 50) }) }
}

// Guards against a part of a response that a client gets as the whole.
for (const [name, cut] of Object.entries(cuts)) {
  for (const stream of [false, true]) {
    test(`an answer during the upload of a server that ${name} is not complete${stream ? ' as a stream' : ''}`, async () => {
      await listen(cut)
      for (let round = 0; round < 5; round++) assert.is((await attempt(upload, stream)).type, 'failed')
    })
  }
  test(`an answer during the upload of a server that ${name} is not complete for the own mode`, async () => {
    await listen(cut)
    const client = createHttpClient({ baseUrl: `http://${address}` })
    for (let round = 0; round < 5; round++) assert.is((await client.exchange({ method: 'POST', path: '/x', body: upload })).type, 'unknown')
    await client.close()
  })
}

// Guards against a status that is none in a response to a client.
for (const status of ['000', '099', '600', '999', '2xx', '20', '1000']) {
  test(`the status ${status} is not passed on`, async () => {
    await listen(socket => { socket.end(`${head(`${status} Odd`, 'content-length: 4\r\n')}body`) })
    assert.is((await attempt(null)).type, 'failed')
    const client = createHttpClient({ baseUrl: `http://${address}` })
    assert.is((await client.exchange({ method: 'GET', path: '/x' })).type, 'unknown')
    const streamed = await client.stream({ method: 'GET', path: '/x' })
    assert.is(streamed.type, 'unknown')
    await client.close()
  })
}

test.run()
