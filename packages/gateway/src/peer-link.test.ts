import { createSocket } from 'node:dgram'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createPeerLink, type PeerLink } from './peer-link'

const test = suite('peer link')

async function freePort (): Promise<number> {
  const socket = createSocket('udp4')
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve))
  const { port } = socket.address()
  await new Promise<void>(resolve => socket.close(() => resolve()))
  return port
}

async function start (node: string, received: string[]): Promise<{ link: PeerLink, address: string }> {
  const port = await freePort()
  const link = createPeerLink({ self: { node, incarnation: 1 }, host: '127.0.0.1', port, now: () => performance.now(), position: () => -1, peerPosition () {}, received: (from, { kind }) => { received.push(`${from.node} ${kind}`) }, onError () {} })
  await link.listen()
  return { link, address: `127.0.0.1:${port}` }
}

test('delivers a message once and reports the acknowledgement', async () => {
  const received: string[] = []
  const sender = await start('n1', [])
  const receiver = await start('n2', received)
  assert.is(await sender.link.deliver(receiver.address, { kind: 'hello', payload: 1 }), true)
  assert.equal(received, ['n1 hello'])
  sender.link.close()
  receiver.link.close()
})

// Guards against counting a grant as delivered although the requesting node has failed.
test('reports a message that no peer has acknowledged', async () => {
  const sender = await start('n1', [])
  assert.is(await sender.link.deliver(`127.0.0.1:${await freePort()}`, { kind: 'hello', payload: 1 }), false)
  sender.link.close()
})

// Guards against handling a retransmitted datagram twice when its acknowledgement was lost.
test('passes on a retransmitted message only once, and ignores malformed datagrams', async () => {
  const received: string[] = []
  const receiver = await start('n2', received)
  const [host, port] = receiver.address.split(':') as [string, string]
  const raw = createSocket('udp4')
  for (const text of ['["n1",1,7,"hello",null]', '["n1",1,7,"hello",null]', 'nonsense', '["n1",1]', '["n1",1,8,"more",null]']) raw.send(text, Number(port), host)
  await sleep(50)
  assert.equal(received, ['n1 hello', 'n1 more'])
  raw.close()
  receiver.link.close()
})

// Guards against a stopping process that ends with an error, because a request ends after the link was closed.
test('messages after the link was closed are not delivered and throw nothing', async () => {
  const { link } = await start('n1', [])
  link.close()
  link.notify('127.0.0.1:9', { kind: 'hello', payload: 1 })
  assert.is(await link.deliver('127.0.0.1:9', { kind: 'hello', payload: 1 }), false)
})

test.run()
