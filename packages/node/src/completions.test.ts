import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { expectedText } from '@yuccawharf/stand-ins'
import { readResponse, startCluster, type Cluster } from './testing/cluster'

const placement = { 'red@1': 'e1', 'blue@2': 'e2' }
const owners = { e1: 'n1', e2: 'n2' }

async function withCluster (run: (cluster: Cluster) => Promise<void>, options: Partial<Parameters<typeof startCluster>[0]> = {}): Promise<void> {
  const cluster = await startCluster({ nodes: ['n1', 'n2', 'n3'], owners, placement, ...options })
  try {
    await run(cluster)
  } finally {
    await cluster.close()
  }
}

type Call = { id: string, adapter?: string, tokens?: number, prompt?: string, stream?: boolean }

async function post (url: string, call: Call, signal?: AbortSignal): Promise<Response> {
  const { id, adapter = 'red@1', tokens = 5, prompt = 'hello', stream = true } = call
  const body = JSON.stringify({ model: `base:${adapter}`, prompt, max_tokens: tokens, stream })
  return await fetch(`${url}/v1/completions`, { method: 'POST', headers: { 'x-request-id': id, 'x-class': 'chat' }, body, signal })
}

function expected (call: Call): string {
  const [adapter = '', version = ''] = (call.adapter ?? 'red@1').split('@')
  return expectedText(call.id, adapter, version, call.prompt ?? 'hello', call.tokens ?? 5)
}

function checkWhole (call: Call, text: string): void {
  const received = readResponse(text)
  const count = call.tokens ?? 5
  assert.equal(received.ids, Array.from({ length: count }, (_value, index) => index + 1))
  assert.is(received.text, expected(call))
  assert.is(received.count, count)
}

/** Reads until the text contains `events` complete events, then closes the connection. */
async function readPart (response: Response, events: number): Promise<string> {
  const reader = (response.body as ReadableStream<Uint8Array>).getReader()
  let text = ''
  while (text.split('\n\n').length <= events) {
    const { value, done } = await reader.read()
    if (done) break
    text += Buffer.from(value).toString()
  }
  await reader.cancel()
  return text.split('\n\n').slice(0, events).map(block => `${block}\n\n`).join('')
}

test('any node serves any adapter, as the owner or through one hop', async () => {
  // Guards against responses that depend on the entry node.
  await withCluster(async ({ url, cores }) => {
    for (const node of ['n1', 'n2', 'n3']) {
      for (const adapter of ['red@1', 'blue@2']) {
        const call = { id: `${node}-${adapter.slice(0, 3)}`, adapter }
        const response = await post(url[node] as string, call)
        assert.is(response.status, 200)
        checkWhole(call, await response.text())
      }
    }
    const forwards = cores.n3?.events.filter(event => event.type === 'submit').length
    assert.is(forwards, 2)
  })
})

test('a response without streaming has the OpenAI format', async () => {
  // Guards against clients without streaming receiving a partial or differently structured response.
  await withCluster(async ({ url }) => {
    const call = { id: 'w1', adapter: 'blue@2', stream: false, tokens: 7 }
    const body = await (await post(url.n1 as string, call)).json() as Record<string, unknown>
    assert.is(body.id, 'w1')
    assert.is(body.model, 'base:blue@2')
    assert.equal(body.usage, { prompt_tokens: 2, completion_tokens: 7, total_tokens: 9 })
    assert.equal(body.choices, [{ index: 0, text: expected(call), logprobs: null, finish_reason: 'length' }])
  })
})

test('many interleaved callers each receive their own response while streams break at the engines', async () => {
  // Guards against a breach of P3: mixed, truncated or duplicated responses after broken engine connections.
  await withCluster(async ({ url, engines }) => {
    const names = Object.keys(url)
    const calls = Array.from({ length: 60 }, (_value, index) => ({ id: `m${index}`, adapter: index % 2 === 0 ? 'red@1' : 'blue@2', tokens: 20 + index, prompt: `p${index}` }))
    const running = calls.map(async (call, index) => {
      const response = await post(url[names[index % names.length] as string] as string, call)
      checkWhole(call, await response.text())
    })
    const cuts = setInterval(() => Object.values(engines).forEach(engine => engine.disconnectStreams()), 15)
    await Promise.all(running).finally(() => clearInterval(cuts))
  })
})

test('a caller whose connection is cut after any event resumes at any node', async () => {
  // Guards against lost or repeated tokens after reconnecting to the entry node, the owner or a third node.
  await withCluster(async ({ url }) => {
    const tokens = 12
    for (const at of ['n1', 'n2', 'n3']) {
      for (let cut = 0; cut <= tokens; cut++) {
        const call = { id: `c-${at}-${cut}`, adapter: 'blue@2', tokens }
        const first = cut === 0 ? '' : await readPart(await post(url.n1 as string, call), cut)
        if (cut === 0) await (await post(url.n1 as string, call)).body?.cancel()
        const rest = await fetch(`${url[at] as string}/v1/completions/${call.id}`, { headers: { 'last-event-id': String(cut) } })
        assert.is(rest.status, 200, `${at} after ${cut}`)
        checkWhole(call, first + await rest.text())
      }
    }
  })
})

test('an entry node resumes when the owner node dies', async () => {
  // Guards against a truncated response when the owner dies while the engine is still running the request.
  await withCluster(async ({ url, nodes }) => {
    const call = { id: 'dead', adapter: 'blue@2', tokens: 150 }
    const response = await post(url.n1 as string, call)
    const reader = (response.body as ReadableStream<Uint8Array>).getReader()
    let text = Buffer.from((await reader.read()).value ?? []).toString()
    await nodes.n2?.kill()
    for (let part = await reader.read(); !part.done; part = await reader.read()) text += Buffer.from(part.value).toString()
    checkWhole(call, text)
  })
})

test('a repeated request id attaches to the same request or is refused', async () => {
  // Guards against two different requests with one id receiving each other's tokens.
  await withCluster(async ({ url, engines }) => {
    const call = { id: 'twice', tokens: 30 }
    const [first, second, other] = await Promise.all([post(url.n1 as string, call), post(url.n1 as string, call), post(url.n1 as string, { ...call, prompt: 'other' })])
    checkWhole(call, await first.text())
    checkWhole(call, await second.text())
    assert.is(other.status, 409)
    assert.is((await other.json() as { outcome: string }).outcome, 'invalid')
    assert.is(engines.e1?.stats().started, 1)
    checkWhole(call, await (await post(url.n2 as string, call)).text())
    assert.is(engines.e1?.stats().started, 1)
  })
})

test('a cancelled request ends at the engine and at the caller', async () => {
  // Guards against cancelled requests that keep their batch slot, whichever node receives the cancellation.
  await withCluster(async ({ url, engines }) => {
    for (const at of ['n1', 'n2', 'n3']) {
      const response = await post(url.n1 as string, { id: `x-${at}`, adapter: 'blue@2', tokens: 100_000 })
      const cancelled = await fetch(`${url[at] as string}/v1/completions/x-${at}/cancel`, { method: 'POST' })
      assert.equal([cancelled.status, await cancelled.json()], [200, { id: `x-${at}`, cancelled: true }])
      assert.match(await response.text(), /"finish_reason":"cancelled"/)
    }
    assert.is(engines.e2?.status()?.running.length, 0)
    const unknown = await fetch(`${url.n1 as string}/v1/completions/none/cancel`, { method: 'POST' })
    assert.is(unknown.status, 404)
  })
})

test('an engine restart before the first token repeats the request, a later one leaves its outcome unknown', async () => {
  // Guards against silent truncation and against refusing requests that can still run.
  await withCluster(async ({ url, engines }) => {
    const call = { id: 'cold', tokens: 400 }
    const response = await post(url.n1 as string, call)
    engines.e1?.restart(30)
    const text = await response.text()
    assert.match(text, /event: error\ndata: .*"outcome":"unknown"/)
    const refused = await post(url.n1 as string, { ...call, id: 'down' })
    assert.ok([200, 503].includes(refused.status))
    if (refused.status === 503) assert.is((await refused.json() as { outcome: string }).outcome, 'not-run')
  })
})

test('a refusal after an attempt that the engine had accepted is unknown, also through the owner', async () => {
  // Guards against a breach of P4: the engine restarts while running the request and then refuses its repetition.
  await withCluster(async ({ url, engines }) => {
    const engine = engines.e1 as NonNullable<typeof engines.e1>
    const waiting = post(url.n2 as string, { id: 'doubt' })
    while (engine.stats().started === 0) await new Promise(resolve => setImmediate(resolve))
    // Once another request to the owner has completed, the owner has read the start of the engine's response.
    await fetch(`${url.n1 as string}/admin/status`)
    engine.setDraining(true)
    engine.restart(0)
    const response = await waiting
    assert.is(response.status, 503)
    assert.is((await response.json() as { outcome: string }).outcome, 'unknown')
  }, { engine: { stepBaseMs: 500 } })
})

test('a draining engine refuses and the request counts as not run', async () => {
  // Guards against the refusal of a draining engine being reported as an unknown outcome.
  await withCluster(async ({ url, engines, cores }) => {
    engines.e1?.setDraining(true)
    const response = await post(url.n2 as string, { id: 'leaving' })
    assert.is(response.status, 503)
    assert.is(response.headers.get('retry-after'), '2')
    assert.is((await response.json() as { outcome: string }).outcome, 'not-run')
    assert.is(engines.e1?.stats().started, 0)
    // The core notifies other nodes that the engine is draining, so it needs the reason that the engine stated.
    const ended = cores.n1?.events.find(event => event.type === 'request-ended')
    assert.is(ended?.type === 'request-ended' ? ended.reason : undefined, 'draining')
  })
})

test('a leaving node finishes its streams under load and then stops', async () => {
  // Guards against a breach of P7: a graceful shutdown that breaks streams of callers or other nodes.
  await withCluster(async ({ url, nodes }) => {
    const calls = Array.from({ length: 20 }, (_value, index) => ({ id: `d${index}`, adapter: index % 2 === 0 ? 'red@1' : 'blue@2', tokens: 200 }))
    const responses = await Promise.all(calls.map(async (call, index) => await post(url[index % 4 < 2 ? 'n2' : 'n1'] as string, call)))
    const left = nodes.n2?.drain()
    const texts = await Promise.all(responses.map(async response => await response.text()))
    texts.forEach((text, index) => checkWhole(calls[index] as Call, text))
    await left
    assert.is(await post(url.n2 as string, { id: 'late' }).then(() => 'served', () => 'closed'), 'closed')
  })
})

test('a slow caller receives the whole response through a small buffer', async () => {
  // Guards against unbounded memory use or dropped events when a caller reads slowly.
  await withCluster(async ({ url }) => {
    const call = { id: 'slow', adapter: 'blue@2', tokens: 20_000 }
    const response = await post(url.n1 as string, call)
    const reader = (response.body as ReadableStream<Uint8Array>).getReader()
    const parts: Uint8Array[] = []
    await new Promise(resolve => setTimeout(resolve, 500))
    for (let part = await reader.read(); !part.done; part = await reader.read()) {
      parts.push(part.value)
      if (parts.length % 50 === 0) await new Promise(resolve => setTimeout(resolve, 1))
    }
    checkWhole(call, Buffer.concat(parts).toString())
  }, { limits: { replayBytes: 16_384 }, engine: { tokensPerStep: 100 } })
})

test('a response without readers is cancelled after the replay time', async () => {
  // Guards against abandoned requests that keep their batch slots.
  await withCluster(async ({ url, engines }) => {
    const abort = new AbortController()
    await post(url.n1 as string, { id: 'alone', tokens: 100_000 }, abort.signal)
    abort.abort()
    for (let wait = 0; wait < 200 && engines.e1?.status()?.running.length !== 0; wait++) await new Promise(resolve => setTimeout(resolve, 20))
    assert.is(engines.e1?.status()?.running.length, 0)
  }, { limits: { replayMs: 100 } })
})

test.run()
