import { EventEmitter } from 'node:events'
import type { IncomingMessage } from 'node:http'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { readBody } from './http-body'

const test = suite('request body')

function takenBytes (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

// Guards against pieces kept one by one, of which the memory is a multiple of their bytes.
test('a body in pieces of one byte takes about the memory of its bytes, also if it is too large', async () => {
  const bodyBytes = 256 * 1024
  for (const [maxBytes, status] of [[bodyBytes, undefined], [bodyBytes - 1, 413]] as const) {
    const req = Object.assign(new EventEmitter(), { headers: {}, complete: true })
    const before = takenBytes()
    const reading = readBody(req as unknown as IncomingMessage, maxBytes)
    for (let count = 0; count < bodyBytes; count++) req.emit('data', Buffer.from('x'))
    const growth = takenBytes() - before
    req.emit('end')
    const body = await reading
    assert.is(body.err ? body.val.status : undefined, status)
    if (body.ok) assert.is(body.val.toString(), 'x'.repeat(bodyBytes))
    assert.ok(growth < 4 * bodyBytes, `${growth} bytes for ${bodyBytes}`)
  }
})

test.run()
