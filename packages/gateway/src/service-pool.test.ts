import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { createServicePool } from './service-pool'

const test = suite('service pool')

const server = (id: string, zone: string): BackendServer => ({ id, bornAt: 1, service: 'svc', address: id, zone, state: 'ready', slots: 6, models: [] })
const servers = [server('near', 'a'), server('far', 'b')]
const none = new Set<string>()

test('prefers the own zone until its server has clearly more in progress', () => {
  const pool = createServicePool()
  assert.is(pool.choose(servers, 'a', none, 0.5, 0)?.id, 'near')
  for (let index = 0; index < 3; index++) pool.started('near')
  assert.is(pool.choose(servers, 'a', none, 0.5, 0)?.id, 'far')
})

// Guards against a server that passes its health checks, fails requests quickly and therefore gets most of them.
test('ejects a server after repeated failures, and tries it again later', () => {
  const pool = createServicePool()
  pool.ended('near', 'failed', 1, 0)
  assert.is(pool.choose(servers, 'a', none, 0.5, 1)?.id, 'near')
  pool.ended('near', 'failed', 1, 1)
  assert.is(pool.choose(servers, 'a', none, 0.5, 2)?.id, 'far')
  assert.is(pool.choose(servers, 'a', none, 0.5, 1500)?.id, 'near')
})

test('tries some server when all are ejected', () => {
  const pool = createServicePool()
  for (const { id } of servers) {
    for (let index = 0; index < 3; index++) pool.ended(id, 'failed', 1, 0)
  }
  assert.ok(pool.choose(servers, 'a', none, 0, 1) !== undefined)
})

test('skips a full server for a short time and never chooses an excluded one', () => {
  const pool = createServicePool()
  pool.ended('near', 'full', 1, 0)
  assert.is(pool.choose(servers, 'a', none, 0.5, 10)?.id, 'far')
  assert.is(pool.choose(servers, 'a', none, 0.5, 200)?.id, 'near')
  assert.is(pool.choose(servers, 'a', new Set(['near', 'far']), 0.5, 200), undefined)
})

// Guards against a slow server getting as many requests as the fast ones.
test('gives a server that has become slow fewer requests', () => {
  const pool = createServicePool()
  pool.ended('far', 'ok', 40, 0)
  for (let index = 0; index < 30; index++) pool.ended('near', 'ok', 400, 0)
  assert.is(pool.choose(servers, 'a', none, 0.5, 1)?.id, 'far')
})

test.run()
