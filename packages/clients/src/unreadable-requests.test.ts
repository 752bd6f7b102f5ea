/** Connections of an HTTP server on which no request can be read. */
import type { Server } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBoundedServer } from './bounded-server'
import { refuseUnreadable } from './unreadable-requests'

const test = suite('requests that cannot be read')

const refusal = 'HTTP/1.1 400 Refused\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
/** Longest time for which a connection may stay after its refusal, in ms. */
const closedMs = 4000
const pollMs = 50

/** Time after which a request to `/slow` is answered, in ms: longer than the header timeout and the interval of its check. */
const slowMs = 800

let server: Server
/** Time at which the client of a request to `/slow` was seen to leave before its response, in ms. */
let leftAt: number | undefined

function countConnections (): Promise<number> {
  return new Promise((resolve, reject) => {
    server.getConnections((err, count) => err === null ? resolve(count) : reject(err))
  })
}

test.before.each(async () => {
  leftAt = undefined
  server = createBoundedServer((req, res) => {
    if (req.url !== '/slow') return res.end()
    const timer = setTimeout(() => { res.writeHead(200, { 'content-length': 4 }).end('slow') }, slowMs)
    res.once('close', () => {
      clearTimeout(timer)
      if (!res.writableFinished) leftAt = performance.now()
    })
  }, { headersTimeout: 100, connectionsCheckingInterval: 100 })
  refuseUnreadable(server, (_err, socket) => { socket.end(refusal) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
})
test.after.each(() => {
  server.closeAllConnections()
  server.close()
})

const unreadable = [['is late', 'GET / HTTP/1.1\r\nhost: a'], ['is not HTTP', 'none\r\n\r\n'], ['is too large', `GET / HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(20_000)}\r\n\r\n`]] as const

for (const [name, bytes] of unreadable) {
  // Guards against a node without descriptors, because clients keep their side of refused connections open.
  test(`a connection whose request ${name} is closed after its refusal also if its client does not close it`, async () => {
    let received = ''
    const client = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
    client.on('error', () => {})
    client.on('data', chunk => { received += String(chunk) })
    client.write(bytes)
    const isRefusedAndClosed = async (): Promise<boolean> => received !== '' && await countConnections() === 0
    for (let waitedMs = 0; waitedMs < closedMs && !await isRefusedAndClosed(); waitedMs += pollMs) await sleep(pollMs)
    const open = await countConnections()
    client.destroy()
    assert.is(received, refusal)
    assert.is(open, 0)
  })
}

for (const [name, bytes] of unreadable.filter(([reason]) => reason !== 'is not HTTP')) {
  // Guards against a request that runs and gets no response, because the connection is closed for what its client sends behind it.
  test(`a request before one that ${name} is answered`, async () => {
    let received = ''
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
    client.on('error', () => {})
    client.on('data', chunk => { received += String(chunk) })
    client.write(`GET /slow HTTP/1.1\r\nhost: a\r\n\r\n${bytes}`)
    for (let waitedMs = 0; waitedMs < closedMs && !client.destroyed; waitedMs += pollMs) {
      await sleep(pollMs)
      // Later parts of the input are refused once.
      if (waitedMs < slowMs / 2) client.write('x')
    }
    assert.match(received, /^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nslowHTTP\/1\.1 400 Refused\r\n/)
    assert.is(received.split('Refused').length, 2)
    assert.ok(client.destroyed)
  })

  // Guards against servers that work for a client that has left, because the connection is no longer read.
  test(`a client that leaves after a request that ${name} is seen to leave`, async () => {
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
    client.on('error', () => {})
    client.write(`GET /slow HTTP/1.1\r\nhost: a\r\n\r\n${bytes}`)
    await sleep(slowMs / 2)
    client.end()
    const endedAt = performance.now()
    await sleep(slowMs / 4)
    assert.ok(leftAt !== undefined && leftAt - endedAt < slowMs / 4, `left at ${leftAt}`)
  })
}

test.run()
