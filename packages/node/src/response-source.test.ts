import type { Dispatcher } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { openResponseSource } from './response-source'

const test = suite('response source')

// Guards against characters that are lost because a piece of a refusal ends inside them.
test('a refusal is the same however it is split', () => {
  const text = '{"error":{"code":"überlastet"}}'
  for (const pieceBytes of [1, 2, 100]) {
    const bodies: string[] = []
    const controller = {} as Dispatcher.DispatchController
    const dispatch: Dispatcher['dispatch'] = (_options, handler) => {
      const bytes = Buffer.from(text)
      handler.onResponseStart?.(controller, 503, {})
      for (let at = 0; at < bytes.length; at += pieceBytes) handler.onResponseData?.(controller, bytes.subarray(at, at + pieceBytes))
      handler.onResponseEnd?.(controller, {})
      return true
    }
    openResponseSource({ dispatch } as Dispatcher, { origin: 'http://127.0.0.1', path: '/', method: 'GET', headers: {} }, {
      events () {},
      refused (_status, body) { bodies.push(body) },
      closed () {}
    })
    assert.equal(bodies, [text], `pieces of ${pieceBytes} bytes`)
  }
})

test.run()
