import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { keyDigest } from './accounts'
import type { ClusterConfig } from './cluster-types'
import type { OperatorRecord } from './platform-interface'
import { createFakeFeed, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type FakeFeed, type TestNodes, type TestOutcome } from './testing'

const test = suite('keys of accounts at whole nodes')

const revokeMs = 1500

let nodes: TestNodes
let backend: FakeBackend
/** The operators' records as each node reads them. */
let feeds: FakeFeed<OperatorRecord>[] = []
let requestCount = 0

function configOf (version: number, keys: string[]): ClusterConfig {
  const routes = [...testConfig.routes, { ...testConfig.routes[0]!, name: 'open', pathPrefix: '/open/', anonymous: true }]
  return { ...testConfig, version, routes, accounts: [{ name: 'one', keyDigests: keys.map(keyDigest) }] }
}

function writeConfig (config: ClusterConfig): void {
  for (const feed of feeds) feed.append('config', { type: 'config', config })
}

function send (front: number, key?: string, path = '/read/'): Promise<TestOutcome> {
  return sendTestRequest(front, path, `r${++requestCount}`, { 'x-account': 'another', ...(key === undefined ? {} : { 'x-key': key }) })
}

const statuses = async (key?: string, path?: string): Promise<number[]> => (await Promise.all(nodes.fronts.map(front => send(front, key, path)))).map(({ status }) => status)

async function until (condition: () => Promise<boolean>, ms: number): Promise<boolean> {
  for (const end = performance.now() + ms; performance.now() < end; await sleep(50)) {
    if (await condition()) return true
  }
  return false
}

test.before.each(async () => {
  feeds = ['a', 'a', 'b'].map(() => createFakeFeed<OperatorRecord>())
  nodes = await startTestNodes(['a', 'a', 'b'], { revokeMs }, (_platform, index) => ({ operator: feeds[index]! }))
  backend = await startBackend('s1', 'desk', (req, res) => { res.writeHead(200, { 'x-id': req.headers['x-id'], 'x-seal': '1', 'content-length': 2 }).end('ok') })
  nodes.platform.servers.append('s1', { type: 'server', server: backend.server, sequence: 1 })
  writeConfig(configOf(1, ['k1', 'k2']))
  await untilServed(nodes, front => send(front, 'k1'))
  backend.requests.length = 0
})

test.after.each(async () => {
  await nodes.stop()
  backend.close()
})

// Guards against requests of nobody that run, keys that reach a server, and accounts that clients name themselves.
test('only requests with a key run, under the name of its account and without the key', async () => {
  assert.equal(await statuses('k2'), [200, 200, 200])
  assert.equal(await statuses('wrong'), [401, 401, 401])
  assert.equal(await statuses(), [401, 401, 401])
  assert.equal(await statuses(undefined, '/open/'), [200, 200, 200])
  assert.equal(backend.requests.map(({ headers }) => headers['x-account']), ['one', 'one', 'one', undefined, undefined, undefined])
  assert.not(backend.requests.some(({ rawHeaders }) => rawHeaders.some(text => /k2|wrong|x-key/.test(text))))
  assert.not(nodes.lines.some(line => /"(k1|k2|wrong)"/.test(JSON.stringify(line))))
})

// Guards against a node that cannot read the store and goes on to accept a removed key, or refuses one that holds.
test('a node that the store turns away learns of a removed key from the others, and accepts the rest', async () => {
  feeds[2]!.setDown(true)
  for (const feed of feeds.slice(0, 2)) feed.append('config', { type: 'config', config: configOf(2, ['k2']) })
  const removedAt = performance.now()
  assert.ok(await until(async () => (await statuses('k1')).every(status => status === 401), revokeMs + 2000))
  while (performance.now() < removedAt + 2 * revokeMs) {
    assert.equal((await send(nodes.fronts[2]!, 'k1')).status, 401)
    assert.equal((await send(nodes.fronts[2]!, 'k2')).status, 200)
    await sleep(100)
  }
})

// Guards against a node that has read a restored store, and refuses all keys until operators write again.
test('a node whose store lacks the newest version takes it from the others', async () => {
  for (const feed of feeds.slice(0, 2)) feed.append('config', { type: 'config', config: configOf(2, ['k2']) })
  // Its store has as many records, so that nothing but the version shows the difference.
  feeds[2]!.append('other', { type: 'other' })
  assert.ok(await until(async () => (await send(nodes.fronts[2]!, 'k1')).status === 401, 2 * revokeMs + 2000))
  assert.is((await send(nodes.fronts[2]!, 'k2')).status, 200)
})

// Guards against keys that are accepted for as long as the store is away, and against a node that stays shut afterwards.
test('without the store keys are refused as not run after the bound, and accepted again when it is back', async () => {
  for (const feed of feeds) feed.setDown(true)
  assert.ok(await until(async () => (await statuses('k1')).every(status => status === 503), revokeMs + 2000))
  assert.equal(await statuses('wrong'), [503, 503, 503])
  assert.equal(await statuses(undefined, '/open/'), [200, 200, 200])
  for (const feed of feeds) feed.setDown(false)
  assert.ok(await until(async () => (await statuses('k1')).every(status => status === 200), 4000))
})

test.run()
