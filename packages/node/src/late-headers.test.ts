/** Requests of slow callers of the product's own interface. */
import { connect, type AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpServer } from './http-router'

const limits = { headerBytes: 16_384, headersMs: 200, requestMs: 60_000, keepAliveMs: 5000 }
/** Longer than the header timeout and the interval of its check, in ms. */
const lateMs = 4000

// Guards against a request that runs after its caller was told that it has not run.
test('a request whose head is completed after its refusal does not reach the handler', async () => {
  const handled: string[] = []
  const received: string[] = []
  const server = createHttpServer((req, res) => {
    handled.push(req.url ?? '')
    res.end()
  }, limits)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
  socket.on('data', chunk => { received.push(chunk.toString('latin1')) })
  socket.on('error', () => {})
  socket.write('GET /late HTTP/1.1\r\nhost: a.exa')
  for (const end = performance.now() + lateMs; received.length === 0 && performance.now() < end;) await sleep(20)
  socket.write('mple\r\n\r\n')
  await sleep(300)
  socket.destroy()
  server.closeAllConnections()
  server.close()
  assert.match(received.join(''), /^HTTP\/1\.1 408 /)
  assert.equal(handled, [])
})

test.run()
