import { connect, createServer, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createKeptBytes } from './kept-bytes'
import { runOutcomeOf, startAttempt, type Attempt, type AttemptOptions, type AttemptResult } from './attempt'
import type { BackendServer } from './cluster-types'
import { testCodec } from './testing'
import { createUpstream, type Upstream } from './upstream'

const test = suite('attempt')

/** Time in which what belongs to a request that was given up has ended, in ms. */
const afterAbortMs = 200
/** More than the buffers of two sockets take. */
const uploadBytes = 12 * 1024 * 1024
/** Uploads whose server resets the connection, each a ms later than the one before. */
const resetUploads = 30

type ConnectionHandler = (socket: Socket, requestText: string, count: number) => void

let server: Server
let upstream: Upstream
let backend: BackendServer

async function listen (handle: ConnectionHandler): Promise<void> {
  server = createServer(socket => {
    let count = 0
    socket.on('error', () => {})
    socket.on('data', bytes => {
      count += 1
      handle(socket, bytes.toString('latin1'), count)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  backend = { id: 's1', bornAt: 1, service: 'svc', address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 4, models: [] }
  upstream = createUpstream({ now: () => performance.now(), connections: () => 4 })
}

/** Replaces the upstream by that of a node whose links may be cut; connections that are relayed lead to the same server. */
function detour (isCut: () => boolean): void {
  upstream.close()
  upstream = createUpstream({
    now: () => performance.now(),
    connections: () => 4,
    detour: {
      links: { isCut, onCut () {}, notConnected: async () => isCut(), sent: () => () => {}, received () {} },
      relays: { open: async ({ address }) => ({ socket: connect(Number(address.split(':')[1]), '127.0.0.1'), node: 'n2', framed: false }) }
    }
  })
}

test.after.each(() => {
  upstream?.close()
  server?.close()
})

function start (requestId: string, overrides: Partial<AttemptOptions> = {}): Attempt {
  return startAttempt({
    codec: testCodec,
    kept: createKeptBytes(),
    upstream,
    now: () => performance.now(),
    server: backend,
    requestId,
    req: { method: 'GET', path: '/x?q=%20a', headers: ['X-Id', requestId], body: null },
    maxBodyBytes: 1e6,
    warn () {},
    ...overrides
  })
}

async function run (requestId: string, overrides: Partial<AttemptOptions> = {}): Promise<AttemptResult> {
  return await start(requestId, overrides).result
}

const head = (id: string, more: string): string => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n${more}\r\n`

// Guards against a changed path or query, which the server would treat as a different request.
test('forwards method, path and query unchanged and returns the complete body', async () => {
  let seen = ''
  await listen((socket, text) => {
    seen = text.split('\r\n')[0]!
    socket.write(head('r1', 'Content-Length: 2\r\n') + 'ok')
  })
  const result = await run('r1')
  assert.is(seen, 'GET /x?q=%20a HTTP/1.1')
  assert.ok(result.type === 'response' && result.body.toString() === 'ok')
})

// Guards against a truncated response that looks complete to the client.
test('fails when the connection ends inside a body with a length', async () => {
  await listen(socket => { socket.end(head('r1', 'Content-Length: 10\r\n') + 'short') })
  assert.is((await run('r1')).type, 'failed')
})

test('accepts a body without a length as complete when the connection closes regularly', async () => {
  await listen(socket => { socket.end(head('r1', 'Connection: close\r\n') + 'whole') })
  const result = await run('r1')
  assert.ok(result.type === 'response' && result.body.toString() === 'whole')
})

// Guards against accepting a body without a length as complete when its connection is reset.
test('fails when a body without a length ends with a reset', async () => {
  await listen(socket => {
    socket.write(head('r1', 'Connection: close\r\n') + 'part')
    setTimeout(() => socket.resetAndDestroy(), 30)
  })
  assert.is((await run('r1')).type, 'failed')
})

// Guards against a reset that is read together with the last bytes, which Node.js reports as a regular close.
test('fails when the reset arrives together with the preceding bytes', async () => {
  await listen(socket => {
    socket.write(head('r1', 'Connection: close\r\n') + 'part', () => { socket.resetAndDestroy() })
  })
  assert.is((await run('r1')).type, 'failed')
})

// Guards against sending a client the response to another client's request.
test('rejects a response with another request id, and does not reuse connections for a while', async () => {
  const usedBy: Socket[] = []
  await listen((socket, text) => {
    usedBy.push(socket)
    const id = /X-Id: (\w+)/.exec(text)?.[1] ?? ''
    socket.write(head(id === 'r2' ? 'r1' : id, 'Content-Length: 2\r\n') + 'ok')
  })
  assert.is((await run('r1')).type, 'response')
  assert.is((await run('r2')).type, 'failed')
  await run('r3')
  await run('r4')
  const [first, second, third, fourth] = usedBy
  assert.is(new Set([third, fourth]).size, 2)
  assert.not.ok([first, second].includes(third) || [first, second].includes(fourth))
})

// Guards against parsing bytes after a complete response as the response to the next request.
test('does not treat extra bytes after a response as the next response', async () => {
  await listen((socket, text) => {
    const id = /X-Id: (\w+)/.exec(text)?.[1] ?? ''
    socket.write(head(id, 'Content-Length: 2\r\n') + 'ok' + head('r2', 'Content-Length: 3\r\n') + 'bad')
  })
  assert.is((await run('r1')).type, 'response')
  const second = await run('r2')
  assert.not.ok(second.type === 'response' && second.body.toString() === 'bad')
})

test('rejects a success response without the server signature', async () => {
  await listen(socket => { socket.write('HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok') })
  assert.is((await run('r1')).type, 'failed')
})

// Guards against reporting a request as not run when the server has not confirmed it.
test('treats a refusal as not run only if the server confirms it', async () => {
  await listen((socket, text) => {
    const proof = text.includes('r1') ? 'X-Not-Run: 1\r\n' : ''
    socket.write(`HTTP/1.1 503 Busy\r\nX-Id: ${text.includes('r1') ? 'r1' : 'r2'}\r\n${proof}Content-Length: 0\r\n\r\n`)
  })
  assert.is((await run('r1')).type, 'not-run')
  assert.is((await run('r2')).type, 'failed')
})

test('reports a refused connection as not sent', async () => {
  await listen(() => {})
  await new Promise(resolve => server.close(resolve))
  assert.is((await run('r1')).type, 'not-sent')
})

// Guards against a partial event reaching the client before the stream continues on another server.
test('forwards complete events only and reports an interrupted stream', async () => {
  await listen(socket => {
    socket.write(head('r1', 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n') + '18\r\nid: 1\ndata: a\n\nid: 2\ndat\r\n')
    setTimeout(() => socket.resetAndDestroy(), 30)
  })
  const events: string[] = []
  const result = await run('r1', { stream: { head () {}, events (bytes) { return events.push(bytes.toString()) > 0 } } })
  assert.equal(events, ['id: 1\ndata: a\n\n'])
  assert.ok(result.type === 'failed' && result.eventsSent)
})

// Guards against engines that are avoided, and requests that are blocked as crashing them, because a node is cut off.
test('a request that ends because links are cut says nothing about its server', async () => {
  let isCut = false
  let cut: (service: string) => void = () => {}
  await listen(() => { setImmediate(() => cut('svc')) })
  upstream.close()
  upstream = createUpstream({
    now: () => performance.now(),
    connections: () => 4,
    detour: {
      links: { isCut: () => isCut, onCut (listener) { cut = listener }, notConnected: async () => isCut, sent: () => () => {}, received () {} },
      relays: { open: async () => { throw new Error('no node') } }
    }
  })
  const given = await run('r1', { req: { method: 'GET', path: '/', headers: ['X-Id', 'r1'], body: null, repeatable: true } })
  assert.is(given.type, 'failed')
  assert.is(runOutcomeOf(given), 'cancelled')
  isCut = true
  const unsent = await run('r2')
  assert.is(unsent.type, 'not-sent')
  assert.is(runOutcomeOf(unsent), 'cancelled')
})

// Guards against a request that its node has given up and that reaches the server once the link works again.
test('a request that is given up on a cut link leaves a connection that is reset', async () => {
  let isCut = false
  const left = new Promise<string>(resolve => {
    listen(socket => {
      socket.once('error', err => resolve((err as NodeJS.ErrnoException).code ?? err.message))
      socket.once('end', () => resolve('regular end'))
      isCut = true
      attempt.abort('given up')
    }).then(() => {
      detour(() => isCut)
      attempt = start('r1')
    }, () => {})
  })
  let attempt: Attempt
  assert.is(await left, 'ECONNRESET')
})

// Guards against a reset that undici learns of from a write, and takes for the end of the response.
test('a response without a length fails when it is reset while the request is written', async () => {
  for (let count = 0; count < resetUploads; count++) {
    await listen(socket => {
      socket.pause()
      socket.write(head('r1', 'Connection: close\r\n') + 'part')
      setTimeout(() => socket.resetAndDestroy(), count)
    })
    const result = await run('r1', { req: { method: 'POST', path: '/', headers: ['X-Id', 'r1'], body: Buffer.alloc(uploadBytes) } })
    assert.is(result.type, 'failed', `reset after ${count} ms`)
    upstream.close()
    server.close()
  }
})

for (const way of ['a link that is cut meanwhile', 'a relayed connection'] as const) {
  // Guards against a process that ends, with all its requests, because one client leaves a stream while the links of its node are cut.
  test(`a stream without a length on ${way} can be given up`, async () => {
    let isCut = way === 'a relayed connection'
    let left: () => void = () => {}
    const serverIsLeft = new Promise<void>(resolve => { left = resolve })
    await listen(socket => {
      isCut = true
      const timer = setInterval(() => { socket.write('id: 1\ndata: a\n\n') }, 5)
      socket.on('close', () => {
        clearInterval(timer)
        left()
      })
      socket.write(head('r1', 'Content-Type: text/event-stream\r\nConnection: close\r\n') + 'id: 1\ndata: a\n\n')
    })
    detour(() => isCut)
    const attempt = start('r1', {
      stream: {
        head () {},
        events () {
          attempt.abort('client left')
          return true
        }
      }
    })
    assert.is((await attempt.result).type, 'aborted')
    await serverIsLeft
    // The rest of what has arrived, and the end of the connection, come in later turns.
    await sleep(afterAbortMs)
  })
}

for (const [name, end] of [
  ['later', socket => { setTimeout(() => socket.resetAndDestroy(), 30) }],
  ['right behind it', socket => { socket.resetAndDestroy() }]
] as [string, (socket: Socket) => void][]) {
  for (const way of ['a link that is cut meanwhile', 'a relayed connection'] as const) {
    // Guards against a part of a response that comes to the client as a whole one while the links of its node are cut.
    test(`a response without a length on ${way} fails when it is reset ${name}`, async () => {
      let isCut = way === 'a relayed connection'
      await listen(socket => {
        isCut = true
        socket.write(head('r1', 'Connection: close\r\n') + 'part', () => { end(socket) })
      })
      detour(() => isCut)
      assert.is((await run('r1')).type, 'failed')
    })
  }
}

// Guards against a response that this node gave up and that counts as a crash, or as an error of a single request.
test('a response that was given up is told apart from a lost connection and from one that cannot be trusted', () => {
  const failed = { type: 'failed', reason: 'r', eventsSent: false, connectionLost: false } as const
  assert.equal([failed, { ...failed, connectionLost: true }, { ...failed, unusable: true } as const].map(runOutcomeOf), ['failed', 'disconnected', 'unusable'])
})

test.run()
