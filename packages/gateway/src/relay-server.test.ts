/** Connections to servers that a node opens for another one. */
import { once } from 'node:events'
import { request } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { createDecisionLog } from './decision-log'
import { relayedFramesHeader, relayedFramesVersion } from './relay-frames'
import { createRelayServer, relayedServerHeader, relayedStartHeader, type RelayServer, type RelayServerOptions } from './relay-server'

const test = suite('relay server')

/** Turns of the event loop within which a connection that is closed counts as such. */
const maxTurns = 1000
/** Connections that the server resets: whether data and reset are read together depends on the moment. */
const resetAttempts = 20
const pieceBytes = 8 * 1024
/** Time in which the relay reads a piece, in ms. */
const pieceGapMs = 1
/** Pieces that the relay keeps while the node is blocked. */
const piecesBehind = 3
/** The last frame of a response whose server has ended its connection regularly. */
const endFrame = Buffer.alloc(4)

let relay: RelayServer
let upstream: Server
let accepted: Socket[]
let backend: BackendServer
let open: Socket[]

async function listen (server: Pick<Server, 'listen' | 'address'>): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return (server.address() as AddressInfo).port
}

async function start (changes: Partial<RelayServerOptions> = {}): Promise<void> {
  relay = createRelayServer({
    log: createDecisionLog('n1', { write () {}, flush: async () => {}, dropped: () => 0 }),
    isPeer: () => true,
    leaving: () => false,
    isCut: () => false,
    server: ({ id, bornAt }) => id === backend.id && bornAt === backend.bornAt ? backend : undefined,
    hasRoom: () => true,
    ...changes
  })
  await listen(relay.server)
}

/** @returns the status, and the connection if it is relayed */
async function ask (start = { id: 's 1', bornAt: 1 }, framed = false): Promise<{ status: number, socket: Socket }> {
  const { port } = relay.server.address() as AddressInfo
  const req = request({ host: '127.0.0.1', port, method: 'CONNECT', path: 'any:1', agent: false, headers: { [relayedServerHeader]: encodeURIComponent(start.id), [relayedStartHeader]: start.bornAt, ...(framed ? { [relayedFramesHeader]: relayedFramesVersion } : {}) } })
  req.end()
  const [res, socket] = await once(req, 'connect') as [{ statusCode: number }, Socket]
  socket.on('error', () => {})
  open.push(socket)
  return { status: res.statusCode, socket }
}

test.before.each(async () => {
  accepted = []
  open = []
  upstream = createServer(socket => {
    socket.on('error', () => {})
    accepted.push(socket)
  })
  const port = await listen(upstream)
  backend = { id: 's 1', bornAt: 1, service: 'desk', address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 4, models: [] }
})
test.after.each(() => {
  for (const socket of [...open, ...accepted]) socket.destroy()
  relay.close()
  relay.server.close()
  upstream.close()
})

test('bytes are passed on in both directions', async () => {
  await start()
  const { status, socket } = await ask()
  assert.is(status, 200)
  socket.write('question')
  assert.is(String((await once(accepted[0]!, 'data'))[0]), 'question')
  accepted[0]!.write('answer')
  assert.is(String((await once(socket, 'data'))[0]), 'answer')
  assert.is(relay.running(), 1)
})

// Guards against a response that was cut off and looks complete at the node that asked.
test('a reset of the server is passed on as a reset', async () => {
  await start()
  const { socket } = await ask()
  socket.resume()
  const failed = once(socket, 'error')
  accepted[0]!.resetAndDestroy()
  assert.is(((await failed)[0] as NodeJS.ErrnoException).code, 'ECONNRESET')
})

// Guards against a response without a length that ends regularly at the node that asked, because data and reset were read together.
test('a reset of the server right behind its data is not passed on as a regular close', async () => {
  await start()
  for (let attempt = 0; attempt < resetAttempts; attempt++) {
    const { socket } = await ask()
    socket.resume()
    const server = accepted[attempt]!
    server.write('part', () => { server.resetAndDestroy() })
    const isReset = new Promise<boolean>(resolve => {
      socket.once('error', () => resolve(true))
      socket.once('end', () => resolve(socket.remotePort === undefined))
    })
    assert.ok(await isReset, `the connection of attempt ${attempt} ended regularly`)
  }
})

// Guards against a complete response that fails, because its end is judged when the connection to the server is long closed.
test('a regular close of the server is told as one to a node that reads late', async () => {
  await start()
  const connections: Socket[] = []
  relay.server.on('connection', socket => { connections.push(socket) })
  const { socket } = await ask(undefined, true)
  const server = accepted[0]!
  const send = async (): Promise<void> => {
    server.write(Buffer.alloc(pieceBytes, 'x'))
    await sleep(pieceGapMs)
  }
  // Small pieces, so that the end of the server is read though the node is blocked.
  while (!connections[0]!.writableNeedDrain) await send()
  for (let count = 0; count < piecesBehind; count++) await send()
  server.end()
  server.resume()
  await once(server, 'close')
  let last = Buffer.alloc(0)
  socket.on('data', (bytes: Buffer) => { last = Buffer.concat([last, bytes]).subarray(-endFrame.length) })
  await once(socket, 'end')
  assert.equal(last, endFrame)
})

test('a regular close of the server is passed on as one', async () => {
  await start()
  const { socket } = await ask()
  socket.resume()
  accepted[0]!.end()
  await once(socket, 'end')
})

async function untilNoneIsRelayed (): Promise<void> {
  for (let turns = 0; relay.running() > 0 && turns < maxTurns; turns++) await nextTurn()
  assert.is(relay.running(), 0)
}

for (const framed of [false, true]) {
  const form = framed ? 'in frames' : 'as they are'

  // Guards against servers that stay at work on a request that was given up.
  test(`the connection to the server ends with that of the node, bytes ${form}`, async () => {
    await start()
    const { socket } = await ask(undefined, framed)
    accepted[0]!.resume()
    accepted[0]!.write('answer')
    await once(socket, 'data')
    socket.destroy()
    await once(accepted[0]!, 'close')
    await untilNoneIsRelayed()
  })

  // Guards against room for relayed connections that runs out.
  test(`a connection that its server has ended counts no longer once the node has closed it, bytes ${form}`, async () => {
    await start()
    const { socket } = await ask(undefined, framed)
    socket.resume()
    accepted[0]!.resume()
    accepted[0]!.end('answer')
    await once(socket, 'end')
    socket.destroy()
    await untilNoneIsRelayed()
  })
}

for (const [name, status, changes] of [
  ['a client that is no node', 403, { isPeer: () => false }],
  ['others while the node leaves', 503, { leaving: () => true }],
  ['others without room', 503, { hasRoom: () => false }],
  ['others while its own links are cut', 503, { isCut: () => true }],
  ['requests to a server that accepts none', 409, { server: () => undefined }]
] as const) {
  test(`a node does not relay for ${name}`, async () => {
    await start(changes)
    assert.is((await ask()).status, status)
    assert.is(accepted.length, 0)
  })
}

test('another start of the server is not reached', async () => {
  await start()
  assert.is((await ask({ id: 's 1', bornAt: 2 })).status, 409)
})

test('a server that cannot be reached is said to be so', async () => {
  await start()
  upstream.close()
  await once(upstream, 'close')
  assert.is((await ask()).status, 502)
  assert.is(relay.running(), 0)
})

test.run()
