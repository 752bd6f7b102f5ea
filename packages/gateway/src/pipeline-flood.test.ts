/** The heap of a node when many clients send many small requests at once. */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { forkNode } from './testing'

const test = suite('flood of pipelined requests')

const clients = 400
/** More than Node.js reads from a connection at a time. */
const requestsPerClient = 4000
const playMs = 5000

// Guards against a heap that is full of requests that were read before their connections are closed.
for (const [name, request] of [
  ['requests', 'GET /none/x HTTP/1.1\r\nhost: a.example\r\nx-id: r\r\n\r\n'],
  ['requests without a host', 'GET / HTTP/1.1\r\n\r\n'],
  ['requests with an unknown expectation', 'GET / HTTP/1.1\r\nhost: a\r\nexpect: x\r\n\r\n']
] as const) {
  test(`${clients} connections with pipelined ${name} at the same time do not end the node`, async () => {
    const node = await forkNode(['--max-old-space-size=160', '--max-semi-space-size=4'])
    const ended = node.replied('stopped').then(() => false, () => true)
    const requests = request.repeat(requestsPerClient)
    const sockets = Array.from({ length: clients }, () => connect(node.front, '127.0.0.1'))
    for (const socket of sockets) {
      socket.on('error', () => {})
      socket.pause()
      socket.write(requests)
    }
    const hasEnded = await Promise.race([ended, sleep(playMs, false)])
    for (const socket of sockets) socket.destroy()
    assert.not(hasEnded, 'the node has ended')
    await node.stop()
  })
}

test.run()
