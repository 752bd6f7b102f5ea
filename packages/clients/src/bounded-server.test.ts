/** Requests behind one that the server answers itself on the same connection. */
import { once } from 'node:events'
import { connect, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBoundedServer } from './bounded-server'

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

test.run()
