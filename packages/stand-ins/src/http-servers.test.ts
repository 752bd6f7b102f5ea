import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEngineClient, createHttpClient, createInstanceListClient, createLogClient, createPlainServiceClient, GenerateError, parseJson, type GenerateEvent } from '@yuccawharf/clients'
import { createEngineModel, createInstanceListModel, createLogModel, createPlainServiceModel, createRealClock, createWeightStoreModel, expectedText, serveEngine, serveInstanceList, serveLog, servePlainService, serveWeightStore, type EngineModel } from './index'

const clock = createRealClock()
const handle = 'poem@2~7.1'
const request = { requestId: 'r1', handle, prompt: 'write', maxTokens: 5, priority: 0 }

async function collect (events: AsyncIterable<GenerateEvent>, limit = Infinity): Promise<GenerateEvent[]> {
  const collected: GenerateEvent[] = []
  for await (const event of events) {
    collected.push(event)
    if (collected.length >= limit) break
  }
  return collected
}

async function failureOf (events: AsyncIterable<GenerateEvent>): Promise<GenerateError['failure'] | undefined> {
  try {
    await collect(events)
  } catch (err) {
    return (err as GenerateError).failure
  }
  return undefined
}

type EngineFixture = { model: EngineModel, client: ReturnType<typeof createEngineClient> }

async function withEngine (options: { stepBaseMs: number, checksFencing?: boolean }, run: (fixture: EngineFixture) => Promise<void>): Promise<void> {
  const weights = createWeightStoreModel({ clock, fetchMs: 1 })
  const model = createEngineModel({ clock, weights, engine: 'e1', baseModel: 'base', slots: 2, stepPerSequenceMs: 0, ...options })
  const server = await serveEngine(model)
  const client = createEngineClient({ baseUrl: server.url })
  try {
    await run({ model, client })
  } finally {
    await client.close()
    await server.close()
  }
}

// Guards against reporting an append with a lost response as failed, which would lose or duplicate a record.
test('the log client distinguishes refused, lost and applied appends', async () => {
  const model = createLogModel({ clock })
  const server = await serveLog(model)
  const client = createLogClient({ baseUrl: server.url })
  assert.equal(await client.append('config', ['a', 'b']), { type: 'ok', offsets: [0, 1] })
  model.loseNextResponse()
  assert.is((await client.append('config', ['c'])).type, 'unknown')
  model.setOutage(true)
  assert.is((await client.append('config', ['d'])).type, 'failed')
  assert.is((await client.read('config', 0, 10, 0)).type, 'failed')
  model.setOutage(false)
  const page = await client.read('config', 1, 10, 0)
  assert.equal(page.type === 'ok' ? page.page.records.map(record => record.value) : page, ['b', 'c'])
  model.expire('config', 2)
  assert.equal(await client.read('config', 0, 10, 0), { type: 'expired', first: 2, next: 3 })
  const waiting = client.read('config', 3, 10, 2000)
  await client.append('config', ['e'])
  const woken = await waiting
  assert.equal(woken.type === 'ok' ? woken.page.records.map(record => record.value) : woken, ['e'])
  await client.close()
  await server.close()
  // A connection still open when the server closes would make the result unknown.
  const refused = createLogClient({ baseUrl: server.url })
  assert.is((await refused.append('config', ['f'])).type, 'failed')
  await refused.close()
})

// Guards against tokens lost or repeated when a stream is resumed.
test('an engine stream can be interrupted and resumed without losing a token', async () => {
  await withEngine({ stepBaseMs: 1 }, async ({ client }) => {
    assert.equal(await client.command({ type: 'load', handle, adapter: 'poem', version: '2' }, 7), { type: 'ok' })
    const first = await collect(client.generate(request, new AbortController().signal), 2)
    const second = await collect(client.resume('r1', 2, new AbortController().signal))
    const tokens = [...first, ...second].filter(event => event.type === 'token')
    assert.equal(tokens.map(token => token.seq), [1, 2, 3, 4, 5])
    assert.is(tokens.map(token => token.text).join(''), expectedText('r1', 'poem', '2', 'write', 5))
    assert.equal(second.at(-1), { type: 'end', count: 5, reason: 'length' })
  })
})

// Guards against reporting a request as not run although it may have run.
test('the engine client reports not-run only for requests that certainly did not run', async () => {
  await withEngine({ stepBaseMs: 50, checksFencing: true }, async ({ model, client }) => {
    const signal = new AbortController().signal
    assert.is((await failureOf(client.generate(request, signal)))?.type, 'not-run')
    await client.command({ type: 'load', handle, adapter: 'poem', version: '2' }, 7)
    assert.equal(await client.command({ type: 'unload', handle }, 6), { type: 'stale-fence' })
    const running = failureOf(client.generate(request, signal))
    while (model.stats().started === 0) await new Promise(resolve => setImmediate(resolve))
    model.restart()
    assert.is((await running)?.type, 'broken')
    const resumed = await failureOf(client.resume('r1', 0, signal))
    assert.is(resumed?.type === 'broken' && resumed.lost, true)
    assert.is((await client.status())?.incarnation, 2)
    model.setUnreachable(true)
    assert.is((await failureOf(client.generate(request, signal)))?.type, 'broken')
    assert.is(await client.status(), undefined)
  })
})

// Guards against treating a load with a lost response as refused, which would leak its slot.
test('a load with a lost response is unknown and still takes effect', async () => {
  await withEngine({ stepBaseMs: 1 }, async ({ model, client }) => {
    model.loseNextResponse()
    assert.is((await client.command({ type: 'load', handle, adapter: 'poem', version: '2' }, 7)).type, 'unknown')
    assert.equal((await client.status())?.resident, [{ handle, adapter: 'poem', version: '2' }])
    model.failNextLoad()
    assert.equal(await client.command({ type: 'load', handle: 'x', adapter: 'x', version: '1' }, 7), { type: 'refused', reason: 'weight_store_failed' })
  })
})

// Guards against reporting a service call as not sent although it was executed.
test('a plain service call with a lost response is unknown and executed once', async () => {
  const model = createPlainServiceModel({ clock, delayMs: 1 })
  const server = await servePlainService(model)
  const client = createPlainServiceClient({ baseUrl: server.url })
  const req = { method: 'POST', path: '/orders', headers: { 'Idempotency-Key': 'k1' }, body: Buffer.from('{}') }
  const signal = new AbortController().signal
  model.loseNextResponse()
  assert.is((await client.call(req, signal)).type, 'unknown')
  assert.is(model.executions('k1'), 1)
  const result = await client.call(req, signal)
  assert.is(result.type === 'ok' && result.response.status, 200)
  await client.close()
  await server.close()
  const refused = createPlainServiceClient({ baseUrl: server.url })
  assert.is((await refused.call(req, signal)).type, 'not-sent')
  assert.is(model.executions('k1'), 2)
  await refused.close()
})

test('the instance list and the weight store respond, and their outages are reported', async () => {
  const list = createInstanceListModel({ clock })
  const weights = createWeightStoreModel({ clock, sizeOf: adapter => adapter === 'poem' ? 9 : undefined })
  const servers = [await serveInstanceList(list), await serveWeightStore(weights)]
  const listClient = createInstanceListClient({ baseUrl: servers[0]!.url })
  const weightClient = createHttpClient({ baseUrl: servers[1]!.url })
  const describe = async (adapter: string): Promise<unknown> => {
    const result = await weightClient.exchange({ method: 'GET', path: `/adapters/${adapter}/1` })
    return result.type === 'ok' ? [result.response.status, parseJson(result.response.body)] : result.type
  }
  list.put({ id: 'e1', kind: 'engine', address: '127.0.0.1:1', zone: 'a', region: 'r', group: 'g', state: 'live' })
  list.leave('e1')
  assert.is((await listClient.fetch())?.instances[0]?.state, 'leaving')
  list.setOutage(true)
  assert.is(await listClient.fetch(), undefined)
  assert.equal(await describe('poem'), [200, { bytes: 9 }])
  assert.is((await describe('other') as unknown[])[0], 404)
  weights.setOutage(true)
  assert.is((await describe('poem') as unknown[])[0], 503)
  for (const client of [listClient, weightClient]) await client.close()
  for (const server of servers) await server.close()
})

// Guards against sending an unchanged list in full with each poll, and against a cached list that hides a change.
test('an unchanged instance list is not sent again', async () => {
  const clock = createRealClock()
  const model = createInstanceListModel({ clock })
  const server = await serveInstanceList(model)
  const client = createInstanceListClient({ baseUrl: server.url })
  const instance = { id: 'node-1', kind: 'node' as const, address: '127.0.0.1:1', zone: 'a', region: 'r', group: 'nodes', state: 'live' as const }
  model.put(instance)
  const first = await client.fetch()
  const raw = await fetch(`${server.url}/instances`)
  const again = await fetch(`${server.url}/instances`, { headers: { 'if-none-match': raw.headers.get('etag')! } })
  assert.is(again.status, 304)
  const second = await client.fetch()
  assert.equal(second?.instances, first?.instances)
  assert.ok(second!.asOf >= first!.asOf)
  model.leave('node-1')
  assert.is((await client.fetch())?.instances[0]?.state, 'leaving')
  await client.close()
  await server.close()
})

test.run()
