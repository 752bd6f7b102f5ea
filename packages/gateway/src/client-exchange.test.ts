import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createClientExchange, type ClientExchange, type ExchangeContext, type ExchangeOptions } from './client-exchange'
import { createKeptBytes, type KeptBytes } from './kept-bytes'

const test = suite('client exchange')

type Write = { text: string, written (): void }

/** An exchange whose response hands nothing to the system until `written` is called on a write. */
function slowClient (kept: KeptBytes = createKeptBytes()): { exchange: ClientExchange, writes: Write[], ended: () => boolean, reset: () => boolean } {
  const writes: Write[] = []
  let ended = false
  let reset = false
  const res = Object.assign(new EventEmitter(), {
    writableEnded: false,
    write (chunk: Buffer, written: () => void = () => {}): boolean {
      writes.push({ text: chunk.toString(), written })
      return true
    },
    end () { ended = res.writableEnded = true }
  })
  const resetAndDestroy = (): void => {
    reset = true
    res.emit('close')
  }
  const ctx = { res: res as unknown as ServerResponse, req: { socket: { resetAndDestroy } }, metadata: { id: 'r1' } }
  const exchange = createClientExchange(ctx as unknown as ExchangeContext, { kept, log: { warn () {} } } as unknown as ExchangeOptions)
  return { exchange, writes, ended: () => ended, reset: () => reset }
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

// Guards against a memory full of events that clients do not read, and against engines that are blamed for it.
test('what a client has not read counts as kept, and the client that leaves most unread is given up', () => {
  const eventBytes = 100_000
  const kept = createKeptBytes(3 * eventBytes)
  let serverGivenUp = false
  kept.open(() => { serverGivenUp = true }).set(eventBytes / 2)
  const [reads, slow, slowest] = [slowClient(kept), slowClient(kept), slowClient(kept)]
  reads.exchange.write(Buffer.alloc(eventBytes))
  reads.writes[0]!.written()
  assert.is(kept.total(), eventBytes / 2)
  slow.exchange.write(Buffer.alloc(eventBytes))
  slowest.exchange.write(Buffer.alloc(eventBytes))
  slowest.exchange.write(Buffer.alloc(eventBytes))
  assert.equal([reads, slow, slowest].map(({ reset }) => reset()), [false, false, true])
  assert.not.ok(serverGivenUp)
  assert.is(kept.total(), eventBytes * 3 / 2)
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
