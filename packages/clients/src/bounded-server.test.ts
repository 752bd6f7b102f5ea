/** Requests behind one that the server answers itself on the same connection. */
import { once } from 'node:events'
import type { Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBoundedServer, maxUnanswered } from './bounded-server'
import { headTimeMs } from './connection-room'

const test = suite('bounded server')

/** Time in which the first request is answered, in ms. */
const answerMs = 200

const requestText = (path: string, headers = 'host: a\r\n'): string => `GET ${path} HTTP/1.1\r\n${headers}\r\n`

// Guards against a request that runs although a response before it closes its connection, so that it gets none.
test('a request behind one without a host does not run', async () => {
  const handled: string[] = []
  const server = createBoundedServer((req, res) => {
    handled.push(req.url ?? '')
    setTimeout(() => { res.end() }, answerMs)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let received = ''
  client.on('data', chunk => { received += String(chunk) })
  client.write(requestText('/first') + requestText('/no-host', '') + requestText('/behind'))
  await once(client, 'close')
  server.close()
  assert.equal(handled, ['/first'])
  assert.equal([...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status), ['200', '400'])
})

// Guards against requests in progress that end without a response because their client sends more of them on the connection.
test('requests before too many on one connection are answered, and none behind them runs', async () => {
  const handled: string[] = []
  const server = createBoundedServer((req, res) => {
    handled.push(req.url ?? '')
    setTimeout(() => { res.end(req.url) }, answerMs)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let received = ''
  client.on('data', chunk => { received += String(chunk) })
  const paths = Array.from({ length: maxUnanswered + 8 }, (_, index) => `/${index}`)
  client.write(paths.map(path => requestText(path)).join(''))
  client.once('connect', () => { setTimeout(() => { client.write(requestText('/late')) }, answerMs / 2) })
  await once(client, 'close')
  server.close()
  assert.equal(handled, paths.slice(0, maxUnanswered))
  assert.equal([...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status), [...handled.map(() => '200'), '503'])
  assert.equal([...received.matchAll(/^\/\d+/gm)].map(([path]) => path.replace(/HTTP.*/, '')), handled)
})

/** Longest time until something happens, in ms. */
const eventMs = 10_000

async function until (what: string, happened: () => boolean): Promise<void> {
  for (const endsAt = performance.now() + eventMs; !happened(); await sleep(5)) assert.ok(performance.now() < endsAt, `never: ${what}`)
}

/** @returns the connections and what each has received; undefined once it is closed */
async function openConnections (port: number, count: number): Promise<{ sockets: Socket[], received: (string | undefined)[] }> {
  const received = Array.from({ length: count }, (): string | undefined => '')
  const sockets: Socket[] = []
  for (let index = 0; index < count; index++) {
    const socket = connect(port, '127.0.0.1')
    socket.on('data', chunk => { received[index] = `${received[index] ?? ''}${String(chunk)}` })
    socket.on('error', () => {})
    socket.once('close', () => { received[index] = undefined })
    await once(socket, 'connect')
    sockets.push(socket)
  }
  return { sockets, received }
}

// Guards against clients that hold all descriptors of the process, and against requests that end with them.
test('a connection beyond the bound takes the place of the one that was idle for longest', async () => {
  const waiting: (() => void)[] = []
  const closed: string[] = []
  let open = 0
  const server = createBoundedServer((_req, res) => { waiting.push(() => res.end('answer')) }, {}, {
    maxConnections: 3,
    connectionsChanged (count) { open = count },
    closedForRoom (connection) { closed.push(connection) }
  })
  const accepted: Socket[] = []
  server.on('connection', (socket: Socket) => { accepted.push(socket) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const { sockets, received } = await openConnections(port, 3)
  sockets[0]!.write(requestText('/in-progress'))
  sockets[1]!.write('GET /arriving HTTP/1.1\r\nhos')
  const sent = requestText('/in-progress').length + 'GET /arriving HTTP/1.1\r\nhos'.length
  await until('both requests are read', () => waiting.length === 1 && accepted.reduce((sum, socket) => sum + socket.bytesRead, 0) === sent)
  const first = await openConnections(port, 1)
  await until('the idle connection is closed', () => received[2] === undefined)
  assert.equal(closed, ['idle'])
  first.sockets[0]!.write(requestText('/other'))
  await until('the request of the new connection is read', () => waiting.length === 2)
  const second = await openConnections(port, 1)
  await until('the connection beyond the bound is closed', () => second.received[0] === undefined)
  assert.equal(closed, ['idle', 'new'])
  assert.is(open, 3)
  sockets[1]!.write('t: a\r\n\r\n')
  await until('the request that was arriving is read', () => waiting.length === 3)
  for (const respond of waiting) respond()
  await until('all requests are answered', () => [received[0], received[1], first.received[0]].every(text => text?.endsWith('answer')))
  for (const socket of [...sockets, ...first.sockets]) socket.destroy()
  server.close()
})

/** Longest time until connections without a request may be closed for new ones, in ms. */
const crowdedMs = 2 * headTimeMs + 200

async function listen (server: Server): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return (server.address() as AddressInfo).port
}

// Guards against a client whose request has arrived but is unread when its kept connection is closed for a new one.
test('a request that arrives behind a new connection is answered', async () => {
  const server = createBoundedServer((_req, res) => { res.end('answer') }, {}, { maxConnections: 8 })
  const port = await listen(server)
  const { sockets, received } = await openConnections(port, 8)
  await sleep(crowdedMs)
  const kept = received.findIndex(text => text !== undefined)
  const fresh = connect(port, '127.0.0.1')
  // The new connection is accepted before the request is read.
  process.nextTick(() => { sockets[kept]!.write(requestText('/next')) })
  await once(fresh, 'connect')
  await sleep(answerMs)
  assert.match(received[kept] ?? 'closed', /answer$/)
  for (const socket of [...sockets, fresh]) socket.destroy()
  server.close()
})

// Guards against clients that send parts of heads and so keep new connections away until the header timeout.
test('connections with a part of a head leave places for new ones', async () => {
  const closed: string[] = []
  const server = createBoundedServer((_req, res) => { res.end('answer') }, {}, { maxConnections: 8, closedForRoom: connection => { closed.push(connection) } })
  const port = await listen(server)
  const parts = await openConnections(port, 8)
  for (const socket of parts.sockets) socket.write('GET / HTTP/1.1\r\nhos')
  await sleep(crowdedMs)
  const fresh = await openConnections(port, 1)
  await sleep(answerMs)
  fresh.sockets[0]!.write(requestText('/'))
  await sleep(answerMs)
  assert.match(fresh.received[0] ?? 'closed', /answer$/)
  assert.equal([...new Set(closed)], ['receiving'])
  for (const socket of [...parts.sockets, ...fresh.sockets]) socket.destroy()
  server.close()
})

// Guards against a request that is cut because its first part arrived before the response to the one before.
test('a connection with a part of the next request is not idle', async () => {
  const waiting: (() => void)[] = []
  const server = createBoundedServer((_req, res) => { waiting.push(() => res.end('answer')) }, {}, { maxConnections: 1 })
  const port = await listen(server)
  const { sockets: [socket], received } = await openConnections(port, 1)
  socket!.write(requestText('/first'))
  await until('the first request is read', () => waiting.length === 1)
  socket!.write('GET /second HTTP/1.1\r\nhos')
  await sleep(answerMs)
  waiting[0]!()
  await until('the first request is answered', () => received[0]?.endsWith('answer') === true)
  const fresh = await openConnections(port, 1)
  await sleep(answerMs)
  socket!.write('t: a\r\n\r\n')
  await until('the second request is read, or cut', () => waiting.length === 2 || received[0] === undefined)
  assert.is.not(received[0], undefined)
  for (const each of [socket!, ...fresh.sockets]) each.destroy()
  server.close()
})

// Guards against a request in progress whose connection is cut because its client sends CONNECT behind it.
test('a request before CONNECT is answered, and then CONNECT is refused', async () => {
  const body = 'x'.repeat(8 * 1024 * 1024)
  const handled: string[] = []
  const server = createBoundedServer((req, res) => {
    handled.push(req.url ?? '')
    setTimeout(() => { if (!res.write(body)) res.once('drain', () => res.end('answer')) }, answerMs)
  })
  const port = await listen(server)
  const { sockets: [socket], received } = await openConnections(port, 1)
  let text = ''
  socket!.on('data', chunk => { text += String(chunk) })
  socket!.write(requestText('/first') + 'CONNECT b:1 HTTP/1.1\r\nhost: b:1\r\n\r\n' + requestText('/behind'))
  await until('the connection ends', () => received[0] === undefined)
  server.close()
  assert.equal(handled, ['/first'])
  assert.equal([...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status), ['200', '501'])
  assert.ok(text.includes('answer'))
})

// Guards against a request that goes on for a client that has left.
test('a request before CONNECT ends when its client leaves', async () => {
  let closed = false
  const server = createBoundedServer((_req, res) => { res.once('close', () => { closed = true }) })
  const port = await listen(server)
  const { sockets: [socket] } = await openConnections(port, 1)
  socket!.write(requestText('/first') + 'CONNECT b:1 HTTP/1.1\r\nhost: b:1\r\n\r\n')
  await sleep(answerMs)
  assert.not.ok(closed)
  socket!.end()
  await until('the response is closed', () => closed)
  server.close()
})

test.run()
