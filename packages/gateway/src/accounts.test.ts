import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createAccountTable, keyDigest, lowestPriority, sharedKey } from './accounts'
import type { Account, ClusterConfig, Route } from './cluster-types'
import { testConfig } from './testing'

const test = suite('accounts')

const account = (name: string, keys: string[], priority?: number): Account => ({ name, keyDigests: keys.map(keyDigest), ...(priority === undefined ? {} : { priority }) })
const route = (priority: number, anonymous?: true): Route => ({ ...testConfig.routes[0]!, priority, ...(anonymous === undefined ? {} : { anonymous }) })
const config = (accounts: Account[], routes: Route[]): ClusterConfig => ({ ...testConfig, routes, accounts })

// Guards against requests with a key of nobody, or with none, that run for an account.
test('a key belongs to its account alone, and other requests are accepted on anonymous routes only', () => {
  const table = createAccountTable(config([account('a', ['k1', 'k2']), account('b', ['k3'])], [route(0), route(1, true)]))
  const [closed, open] = [route(0), route(1, true)]
  assert.equal(['k1', 'k2', 'k3'].map(key => { const result = table.authenticate(key, closed); return result.type === 'accepted' ? result.account?.name : result.type }), ['a', 'a', 'b'])
  for (const key of [undefined, '', 'k', keyDigest('k1')]) assert.is(table.authenticate(key, closed).type, 'unknown-key')
  assert.equal(table.authenticate('k', open), { type: 'accepted' })
  assert.equal(table.authenticate(undefined, open), { type: 'accepted' })
})

// Guards against a change for deployments whose configuration names no accounts.
test('without accounts each request is accepted with its route\'s priority', () => {
  const table = createAccountTable(testConfig)
  assert.not(table.enabled)
  assert.equal(table.authenticate('anything', route(3)), { type: 'accepted' })
  assert.is(table.priority(undefined, route(3)), 3)
})

// Guards against a request of an urgent account that comes after one of another account on a more urgent route.
test('the account\'s priority comes before the route\'s', () => {
  const [urgent, normal, plain] = [account('a', ['1'], 0), account('b', ['2'], 2), account('c', ['3'])]
  const routes = [route(0), route(1), route(2)]
  const table = createAccountTable(config([urgent, normal, plain], routes))
  const ordered = [urgent, normal].flatMap(entry => routes.map(on => table.priority(entry, on)))
  assert.equal(ordered, [...ordered].sort((left, right) => left - right))
  assert.ok(ordered[2]! < ordered[3]!)
  assert.is(table.priority(plain, routes[1]!), table.priority(undefined, routes[1]!))
})

test('many pairs of priorities keep their order within those that engines support', () => {
  const accounts = Array.from({ length: 12 }, (_, index) => account(`a${index}`, [`k${index}`], index))
  const table = createAccountTable(config(accounts, [route(0), route(5)]))
  const priorities = accounts.map(entry => table.priority(entry, route(0)))
  assert.equal(priorities, [...priorities].sort((left, right) => left - right))
  assert.ok(priorities.every(priority => priority >= 0 && priority <= lowestPriority))
  assert.ok(priorities.at(-1)! > priorities[0]!)
})

// Guards against a configuration in which it is open whose requests a key sends.
test('a key of two accounts, or twice in one, is found', () => {
  assert.is(sharedKey([account('a', ['1']), account('b', ['2'])]), undefined)
  assert.equal(sharedKey([account('a', ['1']), account('b', ['2', '1'])]), ['a', 'b'])
  assert.equal(sharedKey([account('a', ['1', '1'])]), ['a', 'a'])
})

test.run()
