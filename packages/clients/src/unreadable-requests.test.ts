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

let server: Server

function countConnections (): Promise<number> {
  return new Promise((resolve, reject) => {
    server.getConnections((err, count) => err === null ? resolve(count) : reject(err))
  })
}

test.before.each(async () => {
  server = createBoundedServer((_req, res) => { res.end() }, { headersTimeout: 100, connectionsCheckingInterval: 100 })
  refuseUnreadable(server, (_err, socket) => { socket.end(refusal) })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
})
test.after.each(() => {
  server.closeAllConnections()
  server.close()
})

for (const [name, bytes] of [['is late', 'GET / HTTP/1.1\r\nhost: a'], ['is not HTTP', 'none\r\n\r\n']] as const) {
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

test.run()
