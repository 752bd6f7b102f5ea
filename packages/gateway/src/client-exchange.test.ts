import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createClientExchange, type ClientExchange, type ExchangeContext, type ExchangeOptions } from './client-exchange'

const test = suite('client exchange')

type Write = { text: string, written (): void }

/** An exchange whose response hands nothing to the system until `written` is called on a write. */
function slowClient (): { exchange: ClientExchange, writes: Write[], ended: () => boolean } {
  const writes: Write[] = []
  let ended = false
  const res = Object.assign(new EventEmitter(), {
    writableEnded: false,
    write (chunk: Buffer, written: () => void = () => {}): boolean {
      writes.push({ text: chunk.toString(), written })
      return true
    },
    end () { ended = res.writableEnded = true }
  })
  const exchange = createClientExchange({ res: res as unknown as ServerResponse } as ExchangeContext, {} as ExchangeOptions)
  return { exchange, writes, ended: () => ended }
}

const event = Buffer.from('a:b\n\n')

// Guards against a node that ends because Node.js keeps each event for a client that reads nothing.
test('events for a client that reads nothing are kept as one', () => {
  const { exchange, writes } = slowClient()
  const count = 1000
  for (let sent = 0; sent < count; sent++) exchange.write(event)
  assert.is(writes.length, 1)
  writes[0]!.written()
  assert.is(writes.length, 2)
  assert.is(writes.map(({ text }) => text).join(''), event.toString().repeat(count))
})

test('asks for no more while much waits, and again when it has been written', () => {
  const { exchange, writes } = slowClient()
  assert.ok(exchange.write(event))
  assert.ok(exchange.write(event))
  assert.not.ok(exchange.write(Buffer.alloc(16 * 1024)))
  let drained = 0
  exchange.onDrain(() => { drained += 1 })
  writes[0]!.written()
  assert.is(drained, 1)
  writes[1]!.written()
  assert.is(drained, 1)
})

// Guards against twice the memory for each client that reads nothing of a stream of large events.
test('asks for no more while a large write waits', () => {
  const { exchange, writes } = slowClient()
  assert.not.ok(exchange.write(Buffer.alloc(64 * 1024)))
  let drained = 0
  exchange.onDrain(() => { drained += 1 })
  writes[0]!.written()
  assert.is(drained, 1)
})

// Guards against a complete response that lacks the events that waited.
test('what waits is written before the end', () => {
  const { exchange, writes, ended } = slowClient()
  exchange.write(Buffer.from('1'))
  exchange.write(Buffer.from('2'))
  exchange.end()
  assert.equal(writes.map(({ text }) => text), ['1', '2'])
  assert.ok(ended())
})

test.run()
