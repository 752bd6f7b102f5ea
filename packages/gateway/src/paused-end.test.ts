/** Connections that end or are reset while a client reads more slowly than its response arrives. */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createUpstream } from './upstream'

const test = suite('ends of paused responses')
const bodyBytes = 4 * 1024 * 1024

/** @returns how the response ended and the bytes that were passed on */
async function play (end: (socket: Socket) => void): Promise<{ outcome: string, bytes: number }> {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${'x'.repeat(bodyBytes)}`, () => end(socket)) })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const upstream = createUpstream({ now: () => performance.now(), connections: () => 1 })
  let bytes = 0
  const outcome = await new Promise<string>(resolve => {
    const call = upstream.send({ id: 's1', bornAt: 1, service: 'desk', address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 1, models: [] }, { method: 'GET', path: '/', headers: [], body: null }, {
      headers () {},
      data (chunk) {
        bytes += chunk.length
        call.pause()
        setTimeout(() => { call.resume() }, 2)
      },
      complete () { resolve('complete') },
      failed () { resolve('failed') }
    })
  })
  upstream.close()
  server.close()
  return { outcome, bytes }
}

// Guards against a process that ends because a response without a length ends while its client reads slowly.
test('a response that ends while it is paused is complete', async () => {
  assert.equal(await play(socket => { socket.end() }), { outcome: 'complete', bytes: bodyBytes })
})

// Guards against a process that ends because a server resets the connection of a client that reads slowly.
test('a response that is reset while it is paused fails', async () => {
  assert.is((await play(socket => { socket.resetAndDestroy() })).outcome, 'failed')
})

test.run()
