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

async function start (node: string, received: string[], now = (): number => performance.now()): Promise<{ link: PeerLink, address: string }> {
  const port = await freePort()
  const link = createPeerLink({ self: { node, incarnation: 1 }, host: '127.0.0.1', port, now, position: () => -1, peerPosition () {}, received: (from, { kind }) => { received.push(`${from.node} ${kind}`) }, onError () {} })
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

// Guards against keeping the numbers of each process that ever was a peer.
test('a process that has ended is forgotten when another one appears, and others are not', async () => {
  const received: string[] = []
  let now = 0
  const receiver = await start('n2', received, () => now)
  const [host, port] = receiver.address.split(':') as [string, string]
  const raw = createSocket('udp4')
  const send = async (...texts: string[]): Promise<void> => {
    for (const text of texts) raw.send(text, Number(port), host)
    await sleep(50)
  }
  await send('["n1",1,7,"first",null]', '["n3",1,7,"other",null]')
  now = 500_000
  await send('["n3",1,8,"other again",null]', '["n1",2,7,"second",null]', '["n1",1,7,"first",null]')
  assert.equal(received.splice(0), ['n1 first', 'n3 other', 'n3 other again', 'n1 second'])
  now = 1_099_000
  await send('["n1",3,7,"third",null]', '["n3",1,7,"other",null]', '["n1",1,7,"first",null]')
  assert.equal(received.splice(0), ['n1 third'])
  now = 1_900_000
  await send('["n1",4,7,"fourth",null]', '["n1",1,7,"first",null]')
  assert.equal(received, ['n1 fourth', 'n1 first'], 'the numbers of the first process were dropped')
  raw.close()
  receiver.link.close()
})

test.run()
