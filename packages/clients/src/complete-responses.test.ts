import { createServer, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { buildConnector } from 'undici'
import { createCheckedAgent } from './complete-responses'
import { createSocketConnector } from './server-connection'

const test = suite('complete responses')

// Guards against an exception of a consumer that ends the process instead of the request.
test('an exception while data is passed on fails the request', async () => {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\na') })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const agent = createCheckedAgent({}, createSocketConnector(buildConnector({})))
  const { port } = server.address() as AddressInfo
  const message = await new Promise<string>(resolve => {
    agent.dispatch({ origin: `http://127.0.0.1:${port}`, path: '/', method: 'GET' }, {
      onRequestStart () {},
      onResponseData () { throw new Error('refused') },
      onResponseError (_controller, err) { resolve(err.message) }
    })
  })
  assert.is(message, 'refused')
  await agent.close()
  server.close()
})

test.run()
