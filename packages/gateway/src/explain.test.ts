import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { keyDigest } from './accounts'
import type { BackendServer, ClusterConfig } from './cluster-types'
import { explainRequest, type ExplainEnv, type Explanation } from './explain'
import { createRouteTable } from './route-table'
import { createServicePool } from './service-pool'
import { testCodec } from './testing/test-codec'

const test = suite('explain')

const key = 'secret-key-1'
const server = (id: string, zone: string): BackendServer => ({ id, bornAt: 1, service: 'svc', address: id, zone, state: 'ready', slots: 6, models: [] })
const servers = [server('s1', 'a'), server('s2', 'b'), server('s3', 'c')]
const config = {
  version: 7,
  routes: [{ name: 'orders', host: 'shop.example', pathPrefix: '/', kind: 'idempotent', priority: 3, objectiveMs: 300, timeoutMs: 2000, attempts: 3, resumable: false, targets: [{ service: 'svc', weight: 1 }] }],
  services: [{ name: 'svc' }],
  accounts: [{ name: 'acme', keyDigests: [keyDigest(key)], priority: 1 }],
  limits: { headerBytes: 16_384, bodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
} as unknown as ClusterConfig

function createEnv (overrides: Partial<ExplainEnv> = {}): ExplainEnv {
  const pool = createServicePool()
  return { node: 'n1', zone: 'a', now: () => 1000, random: () => 0.5, codec: testCodec, routes: () => createRouteTable(config), closed: () => false, configIsCurrent: () => true, servers: () => servers, engines: () => [], engineUse: () => undefined, pool: () => pool, waitMs: () => 0, grants: { explain: () => ({ owners: [], withoutOwner: undefined }) }, newestVersion: () => undefined, blocked: () => undefined, ...overrides }
}

function explain (env: ExplainEnv, headers: string[] = ['x-id', 'r1', 'x-key', key], url = '/'): Explanation {
  return explainRequest({ method: 'GET', host: 'shop.example', url, headers, body: Buffer.alloc(0) }, env)
}

// Guards against an explanation that differs from what the node does, or that changes it.
test('names the server that the next request goes to, and changes nothing', () => {
  const pool = createServicePool()
  const untouched = createServicePool()
  for (let index = 0; index < 50; index++) {
    const now = 1000 + index * 20
    const env = createEnv({ pool: () => pool, now: () => now })
    const explained = explain(env).choice?.server
    assert.is(explain(env).choice?.server, explained)
    const chosen = pool.choose(servers, 'a', new Set(), 0.5, now)!.id
    assert.is(chosen, explained)
    assert.is(untouched.choose(servers, 'a', new Set(), 0.5, now)!.id, chosen)
    for (const each of [pool, untouched]) {
      each.started(chosen, now)
      each.ended(chosen, index % 9 === 0 ? 'full' : 'ok', 50 + index, now + 10)
    }
  }
})

test('tells route, account, figures and what rules a server out', () => {
  const pool = createServicePool()
  for (let index = 0; index < 2; index++) pool.ended('s1', 'failed', 1, 990)
  const { route, account, candidates, choice } = explain(createEnv({ pool: () => pool, waitMs: ({ id }) => id === 's2' ? 400 : 0 }))
  assert.is(route?.name, 'orders')
  assert.equal(account, { name: 'acme', priority: 0 })
  assert.match(candidates[0]!.ruledOut!, /^ejected .* 990 ms$/)
  assert.match(candidates[1]!.ruledOut!, /400 ms$/)
  assert.is(choice?.server, 's3')
})

test('tells what would be refused, with its Retry-After', () => {
  assert.equal(explain(createEnv({ waitMs: () => 400 })).refusal, { status: 503, outcome: 'not-run', reason: 'servers accept no requests for a while', retryAfter: '0.4' })
  assert.is(explain(createEnv({ routes: () => undefined })).refusal?.status, 503)
  assert.is(explain(createEnv(), ['x-id', 'r1', 'x-key', 'other']).refusal?.status, 401)
  assert.is(explain(createEnv(), []).refusal?.status, 400)
  assert.equal(explain(createEnv({ blocked: () => ({ reason: 'the request crashes servers', remainingMs: 2000 }) })).refusal, { status: 503, outcome: 'not-run', reason: 'the request crashes servers', retryAfter: '2' })
})

test('tells which owners would be asked, and the engine without them', () => {
  const engines = [{ server: { ...server('e1', 'a'), service: 'llm' }, owner: 'n2', commandable: true, scopes: new Set<string>(), backlogMs: 50, running: 3, loadWaitMs: 250, ageMs: 700 }]
  const routes = () => createRouteTable({ ...config, routes: [{ ...config.routes[0]!, targets: [{ service: 'llm', weight: 1 }] }], services: [{ name: 'llm', engine: {} }] } as unknown as ClusterConfig)
  const { choice, candidates, adapterVersion } = explain(createEnv({ routes, servers: () => engines.map(engine => engine.server), engines: () => engines, grants: { explain: () => ({ owners: ['n2'], withoutOwner: engines[0]!.server }) }, newestVersion: () => 4 }), ['x-id', 'r1', 'x-key', key, 'x-adapter', 'x1'])
  assert.equal(choice, { owners: ['n2'], withoutOwner: 'e1' })
  assert.is(adapterVersion, 4)
  assert.equal(candidates[0]?.figures, { owner: 'n2', hasAdapter: false, commandable: true, backlogMs: 50, running: 3, loadWaitMs: 250, ageMs: 700 })
})

// Guards against an explanation that does not tell why a server that passes its checks gets no requests.
test('tells which servers are on probation after failures', () => {
  const pool = createServicePool()
  for (let index = 0; index < 2; index++) pool.ended('s1', 'failed', 1, -100)
  pool.started('s1', 950)
  const plain = explain(createEnv({ pool: () => pool })).candidates[0]!
  assert.equal([plain.figures['use'], plain.ruledOut], ['probation', 'on probation after failures, with a request in progress'])
  const engines = [{ server: { ...server('e1', 'a'), service: 'llm' }, owner: 'n1', commandable: true, scopes: new Set<string>(), backlogMs: 50, running: 3, loadWaitMs: 250, ageMs: 700 }]
  const routes = () => createRouteTable({ ...config, routes: [{ ...config.routes[0]!, targets: [{ service: 'llm', weight: 1 }] }], services: [{ name: 'llm', engine: {} }] } as unknown as ClusterConfig)
  const ofEngine = explain(createEnv({ routes, servers: () => engines.map(engine => engine.server), engines: () => engines, engineUse: () => ({ use: 'ejected', avoidedForMs: 300 }) }), ['x-id', 'r1', 'x-key', key, 'x-adapter', 'x1']).candidates[0]!
  assert.equal([ofEngine.figures['use'], ofEngine.ruledOut], ['ejected', 'avoided after failures for 300 ms'])
})

// Guards against a key that appears in tickets and terminals.
test('never contains the key', () => {
  for (const known of [key, 'unknown-key']) {
    const explanation = explain(createEnv(), ['x-id', `r-${known}`, 'x-key', known, 'x-adapter', known], `/${known}?key=${known}`)
    assert.not.ok(JSON.stringify(explanation).includes(known))
  }
})

test.run()
