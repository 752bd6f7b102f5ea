import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { createServicePool, type ServicePool } from './service-pool'
import type { ServerUseChange } from './server-use'

const test = suite('service pool')

const server = (id: string, zone: string): BackendServer => ({ id, bornAt: 1, service: 'svc', address: id, zone, state: 'ready', slots: 6, models: [] })
const servers = [server('near', 'a'), server('far', 'b')]
const alike = [server('first', 'a'), server('second', 'a')]
const none = new Set<string>()

// Both choices: by own requests in fleets with fewer nodes than slots, and in turn in others.
for (const fleetSize of [3, 100]) {
  test(`prefers the own zone until its server has clearly more in progress (${fleetSize} nodes)`, () => {
    const pool = createServicePool(() => fleetSize)
    assert.is(pool.choose(servers, 'a', none, 0.5, 0)?.id, 'near')
    for (let index = 0; index < 3; index++) pool.started('near', 0)
    assert.is(pool.choose(servers, 'a', none, 0.5, 0)?.id, 'far')
  })

  // Guards against a server that passes its health checks, fails requests quickly and therefore gets most of them.
  test(`ejects a server after repeated failures, and tries it again later (${fleetSize} nodes)`, () => {
    const pool = createServicePool(() => fleetSize)
    pool.ended('near', 'failed', 1, 0)
    assert.is(pool.choose(servers, 'a', none, 0.5, 1)?.id, 'near')
    pool.ended('near', 'failed', 1, 1)
    assert.is(pool.choose(servers, 'a', none, 0.5, 2)?.id, 'far')
    assert.is(pool.choose(servers, 'a', none, 0.5, 1500)?.id, 'near')
  })

  // Guards against all requests of a moment going to a server that fails, whenever an ejection ends.
  test(`sends a server one request at a time after an ejection, until one succeeds (${fleetSize} nodes)`, () => {
    const pool = createServicePool(() => fleetSize)
    pool.started('near', 0)
    for (let index = 0; index < 2; index++) pool.ended('near', 'failed', 1, 0)
    pool.started('near', 1500)
    assert.is(pool.choose(servers, 'a', none, 0.5, 1500)?.id, 'far')
    pool.ended('near', 'failed', 1, 1500)
    assert.is(pool.choose(servers, 'a', none, 0.5, 3000)?.id, 'far', 'the next ejection is longer')
    assert.is(pool.choose(servers, 'a', none, 0.5, 3500)?.id, 'near')
    pool.started('near', 3500)
    pool.ended('near', 'ok', 1, 3500)
    for (let index = 0; index < 2; index++) {
      assert.is(pool.choose(servers, 'a', none, 0.5, 3500)?.id, 'near')
      pool.started('near', 3500)
    }
  })

  // Guards against a late response that ends the probation of a server that has failed since.
  test(`a success during the ejection does not replace the probation (${fleetSize} nodes)`, () => {
    const pool = createServicePool(() => fleetSize)
    for (let index = 0; index < 2; index++) pool.ended('near', 'failed', 1, 0)
    pool.ended('near', 'ok', 1, 10)
    pool.started('near', 1500)
    assert.is(pool.choose(servers, 'a', none, 0.5, 1500)?.id, 'far')
    pool.ended('near', 'failed', 1, 1500)
    assert.is(pool.choose(servers, 'a', none, 0.5, 1600)?.id, 'far')
  })

  // Guards against a server that fails all requests and counts as sound because clients leave.
  test(`an aborted request is no success of the server (${fleetSize} nodes)`, () => {
    const pool = createServicePool(() => fleetSize)
    for (const outcome of ['failed', 'aborted', 'failed'] as const) pool.ended('near', outcome, 1, 0)
    assert.is(pool.choose(servers, 'a', none, 0.5, 1)?.id, 'far')
    pool.ended('near', 'aborted', 1, 1500)
    pool.started('near', 1500)
    assert.is(pool.choose(servers, 'a', none, 0.5, 1500)?.id, 'far')
  })

  // Guards against a log that does not say why a server gets no requests, and one with a line for each request.
  test(`reports each change of a server's use once (${fleetSize} nodes)`, () => {
    const changes: ServerUseChange[] = []
    const pool = createServicePool(() => fleetSize, change => { changes.push(change) })
    for (const [outcome, now] of [['ok', 0], ['failed', 0], ['failed', 0], ['failed', 0], ['failed', 3000], ['ok', 9000], ['ok', 9000]] as const) {
      pool.started('near', now)
      pool.ended('near', outcome, 1, now)
    }
    assert.equal(changes, [
      { server: 'near', use: 'ejected', failures: 2, forMs: 1000 },
      { server: 'near', use: 'probation', failures: 3 },
      { server: 'near', use: 'ejected', failures: 4, forMs: 4000 },
      { server: 'near', use: 'probation', failures: 4 },
      { server: 'near', use: 'in-use', failures: 0 }
    ])
  })

  test(`tries some server when all are ejected (${fleetSize} nodes)`, () => {
    const pool = createServicePool(() => fleetSize)
    for (const { id } of servers) {
      for (let index = 0; index < 3; index++) pool.ended(id, 'failed', 1, 0)
    }
    assert.ok(pool.choose(servers, 'a', none, 0, 1) !== undefined)
  })

  test(`skips a full server for a short time and never chooses an excluded one (${fleetSize} nodes)`, () => {
    const pool = createServicePool(() => fleetSize)
    pool.ended('near', 'full', 1, 0)
    assert.is(pool.choose(servers, 'a', none, 0.5, 10)?.id, 'far')
    assert.is(pool.choose(servers, 'a', none, 0.5, 200)?.id, 'near')
    assert.is(pool.choose(servers, 'a', new Set(['near', 'far']), 0.5, 200), undefined)
  })

  // Guards against a slow server getting as many requests as the fast ones.
  test(`gives a server that has become slow fewer requests (${fleetSize} nodes)`, () => {
    const pool = createServicePool(() => fleetSize)
    pool.ended('far', 'ok', 40, 0)
    for (let index = 0; index < 30; index++) pool.ended('near', 'ok', 400, 0)
    assert.is(pool.choose(servers, 'a', none, 0.5, 1)?.id, 'far')
  })

  /** Sends requests one after another, so that no server has one in progress at a choice. */
  function countChosen (pool: ServicePool, count: number, durationMs: (id: string) => number): Map<string, number> {
    const chosen = new Map<string, number>()
    for (let index = 0; index < count; index++) {
      const { id } = pool.choose(alike, 'a', none, (index % 10) / 10, index)!
      pool.started(id, index)
      pool.ended(id, 'ok', durationMs(id), index)
      chosen.set(id, (chosen.get(id) ?? 0) + 1)
    }
    return chosen
  }

  // Guards against a server that gets no requests any more because of a single slow response, while others are full.
  test(`uses a server again whose only response was slow (${fleetSize} nodes)`, () => {
    const pool = createServicePool(() => fleetSize)
    pool.ended('first', 'ok', 1, 0)
    pool.ended('second', 'ok', 60, 0)
    const chosen = countChosen(pool, 1000, () => 1)
    assert.ok((chosen.get('second') ?? 0) > 300, `${chosen.get('second') ?? 0} of 1000`)
  })

  // Guards against measurements that send a slow server a noticeable share of the requests.
  test(`sends a server that stays slow few requests (${fleetSize} nodes)`, () => {
    const pool = createServicePool(() => fleetSize)
    const chosen = countChosen(pool, 1000, id => id === 'first' ? 1 : 60)
    const count = chosen.get('second') ?? 0
    assert.ok(count >= 2 && count <= 20, `${count} of 1000`)
  })
}

test.run()
