import { createSocket } from 'node:dgram'
import { createServer, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findFreePorts, firstPort, portCount } from './free-address'

const test = suite('free addresses')

// Guards against tests that fail at their start because a port is taken for UDP and was only checked for TCP.
test('ports that are taken for TCP or UDP are not returned, nor any port twice', async () => {
  const socket = createSocket('udp4')
  const server = createServer()
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const taken = [socket.address().port, (server.address() as AddressInfo).port]
  const repeated = Math.random()
  // The middle of the interval of numbers that lead to a port.
  const numbers = [...taken.map(port => (port - firstPort + 0.5) / portCount), repeated, repeated]
  try {
    const ports = await findFreePorts(2, () => numbers.shift() ?? Math.random())
    assert.is(numbers.length, 0)
    assert.equal(ports.filter(port => taken.includes(port)), [])
    assert.is(new Set(ports).size, 2)
  } finally {
    socket.close()
    server.close()
  }
})

test.run()
