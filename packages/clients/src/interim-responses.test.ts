import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createHttpClient } from './http-client'
import { httpResponse, startRawServer } from './raw-server.test-helper'

const test = suite('interim responses')

// Guards against an assertion of undici that fails at the second head, and takes the thread of a minified program for its message.
test('a response after an interim one is read', async () => {
  const server = await startRawServer(`HTTP/1.1 103 Early Hints\r\n\r\n${httpResponse(200, 'answer')}`, 'end')
  const client = createHttpClient({ baseUrl: server.url })
  const result = await client.exchange({ method: 'GET', path: '/' })
  await client.close()
  await server.close()
  assert.is(result.type === 'ok' && result.response.body.toString(), 'answer', JSON.stringify(result))
})

test.run()
