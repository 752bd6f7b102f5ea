import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { uniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand'
import { createResponseParser, type ResponseEvent } from './response-events'
import { createResponseRelay, type ResponseRelay } from './response-relay'

const cfg = { maxBytes: 1 << 20, retentionMs: 1000 }

function tokenText (requestId: string, seq: number): string {
  return `id: ${seq}\ndata: {"id":"${requestId}","choices":[{"text":"t${seq} ","finish_reason":null}]}\n\n`
}

function endText (requestId: string, count: number): string {
  return `data: {"id":"${requestId}","choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":${count}}}\n\ndata: [DONE]\n\n`
}

function responseText (requestId: string, count: number): string {
  const tokens = Array.from({ length: count }, (_value, index) => tokenText(requestId, index + 1))
  return tokens.join('') + endText(requestId, count)
}

function parse (text: string): ResponseEvent[] {
  return createResponseParser().push(Buffer.from(text))
}

function replayText (relay: ResponseRelay, after = 0): string {
  const result = relay.replay(after)
  assert.is(result.type, 'ok')
  return result.type === 'ok' ? Buffer.concat(result.bytes).toString() : ''
}

function randomInt (random: RandomGenerator, from: number, to: number): number {
  return uniformIntDistribution(from, to, random)[0]
}

test('a stream split at any byte gives the same events', () => {
  // Guards against an event that is lost or duplicated when a chunk ends inside it.
  const text = responseText('r1', 12)
  for (let split = 0; split <= text.length; split++) {
    const parser = createResponseParser()
    const relay = createResponseRelay({ ...cfg, requestId: 'r1' })
    for (const part of [text.slice(0, split), text.slice(split)]) {
      for (const event of parser.push(Buffer.from(part))) assert.is(relay.accept('r1', event, 0), 'accepted')
    }
    assert.is(replayText(relay), text)
    assert.equal(relay.end(), { type: 'finished', count: 12, reason: 'stop' })
    assert.is(parser.pendingBytes(), 0)
  }
})

test('consecutive events of a chunk stay together', () => {
  // Guards against the token path falling back to one buffer per token.
  const events = parse(responseText('r1', 50))
  assert.equal(events.map(event => event.type), ['tokens', 'finish', 'done'])
})

test('many responses with late, repeated and reordered events stay complete and separate', () => {
  // Guards against P3: mixing responses, and losing or duplicating tokens.
  const random = xoroshiro128plus(7)
  const ids = Array.from({ length: 40 }, (_value, index) => `r${index}`)
  const relays = new Map(ids.map(id => [id, createResponseRelay({ ...cfg, requestId: id })]))
  const counts = new Map(ids.map(id => [id, randomInt(random, 1, 60)]))
  const deliveries: { id: string, event: ResponseEvent }[] = []
  for (const id of ids) {
    const count = counts.get(id) as number
    for (let seq = 1; seq <= count; seq++) {
      const repetitions = randomInt(random, 1, 3)
      for (let repetition = 0; repetition < repetitions; repetition++) deliveries.push({ id, event: parse(tokenText(id, seq))[0] as ResponseEvent })
    }
  }
  for (let index = deliveries.length - 1; index > 0; index--) {
    const other = randomInt(random, 0, index)
    const moved = deliveries[index]
    deliveries[index] = deliveries[other] as { id: string, event: ResponseEvent }
    deliveries[other] = moved as { id: string, event: ResponseEvent }
  }
  for (const { id, event } of deliveries) {
    const wrong = ids[randomInt(random, 0, ids.length - 1)] as string
    if (wrong !== id) assert.is((relays.get(wrong) as ResponseRelay).accept(id, event, 0), 'foreign')
    const relay = relays.get(id) as ResponseRelay
    assert.ok(['accepted', 'duplicate', 'gap'].includes(relay.accept(id, event, 0)))
  }
  for (const id of ids) {
    const relay = relays.get(id) as ResponseRelay
    for (const event of parse(endText(id, counts.get(id) as number))) assert.is(relay.accept(id, event, 0), 'accepted')
    assert.is(replayText(relay), responseText(id, counts.get(id) as number))
  }
})

test('a response does not end before all its tokens', () => {
  // Guards against a truncated response that appears complete.
  const relay = createResponseRelay({ ...cfg, requestId: 'r1' })
  for (const event of parse(tokenText('r1', 1))) relay.accept('r1', event, 0)
  const results = parse(endText('r1', 3)).map(event => relay.accept('r1', event, 0))
  assert.equal(results, ['gap', 'gap'])
  assert.is(relay.end(), undefined)
  for (const event of parse(tokenText('r1', 2) + tokenText('r1', 3) + endText('r1', 3))) assert.is(relay.accept('r1', event, 0), 'accepted')
  assert.is(replayText(relay), responseText('r1', 3))
})

test('events that contradict earlier ones are rejected', () => {
  // Guards against tokens after the end, a shrinking count and a second end.
  const relay = createResponseRelay({ ...cfg, requestId: 'r1' })
  for (const event of parse(tokenText('r1', 1) + tokenText('r1', 2))) relay.accept('r1', event, 0)
  assert.is(relay.accept('r1', parse(endText('r1', 1))[0] as ResponseEvent, 0), 'conflict')
  for (const event of parse(endText('r1', 2))) relay.accept('r1', event, 0)
  assert.is(relay.accept('r1', parse(tokenText('r1', 3))[0] as ResponseEvent, 0), 'conflict')
  assert.is(relay.accept('r1', parse(tokenText('r1', 2))[0] as ResponseEvent, 0), 'duplicate')
  assert.is(relay.accept('r1', parse(endText('r1', 2))[1] as ResponseEvent, 0), 'duplicate')
  assert.is(replayText(relay), responseText('r1', 2))
})

test('a reader resumes after any event and gets exactly the rest', () => {
  // Guards against a resume inside a run of events that repeats or skips one.
  const relay = createResponseRelay({ ...cfg, requestId: 'r1' })
  const text = responseText('r1', 20)
  for (const event of parse(text)) relay.accept('r1', event, 0)
  for (let after = 0; after <= 20; after++) {
    const expected = text.slice(text.indexOf(after === 20 ? 'data: {"id":"r1","choices":[{"text":"","finish' : `id: ${after + 1}\n`))
    assert.is(replayText(relay, after), expected)
  }
  assert.equal(relay.replay(21), { type: 'ahead', last: 20 })
})

test('the replay buffer is bounded in bytes and reports evicted events', () => {
  // Guards against unbounded memory and against a resume that silently skips evicted events.
  const relay = createResponseRelay({ requestId: 'r1', maxBytes: 2000, retentionMs: 10 })
  for (let seq = 1; seq <= 100; seq++) relay.accept('r1', parse(tokenText('r1', seq))[0] as ResponseEvent, 0)
  assert.ok(relay.lagBytes(0) <= 2000)
  const start = relay.replay(0)
  assert.is(start.type, 'evicted')
  const first = start.type === 'evicted' ? start.first : 0
  assert.ok(replayText(relay, first - 1).startsWith(`id: ${first}\n`))
  assert.is(relay.lagBytes(100), 0)
})

test('a finished response expires after the retention time', () => {
  // Guards against responses that stay in memory forever, and against early removal.
  const relay = createResponseRelay({ requestId: 'r1', maxBytes: 2000, retentionMs: 10 })
  assert.not(relay.expired(1e9))
  for (const event of parse(responseText('r1', 1))) relay.accept('r1', event, 5)
  assert.not(relay.expired(14))
  assert.ok(relay.expired(15))
})

test('malformed events are reported and excluded from the response', () => {
  // Guards against malformed data of an engine reaching a client as tokens.
  const malformed = ['data: {"choices":[]}\n\n', 'id: x\ndata: {}\n\n', 'id: \ndata: {}\n\n', 'data: {"usage":{"completion_tokens":"3"}}\n\n', 'id: 3\ndata: {"usage":{\n\n', '\n\n']
  for (const text of malformed) {
    const relay = createResponseRelay({ ...cfg, requestId: 'r1' })
    const events = parse(text)
    assert.equal(events.map(event => event.type), ['malformed'], JSON.stringify(text))
    assert.is(relay.accept('r1', events[0] as ResponseEvent, 0), 'conflict')
    assert.is(replayText(relay), '')
  }
  const parser = createResponseParser()
  assert.is(parser.push(Buffer.alloc((1 << 20) + 1, 97))[0]?.type, 'malformed')
  assert.equal(parse(': keep-alive\n\n'), [])
})

test('a failed response ends with its problem document', () => {
  // Guards against a stream that ends without a reason.
  const relay = createResponseRelay({ ...cfg, requestId: 'r1' })
  for (const event of parse(tokenText('r1', 1))) relay.accept('r1', event, 0)
  relay.fail('{"status":504}', 3)
  relay.fail('{"status":500}', 4)
  assert.is(replayText(relay, 1), 'event: error\ndata: {"status":504}\n\n')
  assert.equal(parse(replayText(relay, 1)).map(event => event.type), ['error'])
})

test.run()
