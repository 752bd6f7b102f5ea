import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Route } from './cluster-types'
import { chooseAddresses, type DirectoryNode } from './directory'
import { chooseTarget, createRouteTable } from './route-table'

const test = suite('route table and directory')

const route = (name: string, host: string, pathPrefix: string, targets = [{ service: 'svc', weight: 1 }]): Route =>
  ({ name, host, pathPrefix, targets, kind: 'idempotent', timeoutMs: 1000, objectiveMs: 100, patienceMs: 2000, priority: 0, attempts: 1, resumable: false })

const table = createRouteTable({
  version: 1,
  routes: [route('short', 'a.example', '/x/'), route('long', 'a.example', '/x/y/'), route('other', 'b.example', '/')],
  services: [],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
})

test('the longest matching prefix of the host selects the route', () => {
  assert.is(table.match('a.example', '/x/y/z?q=/b/')?.name, 'long')
  assert.is(table.match('A.Example:80', '/x/z')?.name, 'short')
  assert.is(table.match('a.example', '/x'), undefined)
  assert.is(table.match('a.example', '/?/x/y/'), undefined)
  assert.is(table.match('c.example', '/x/y/'), undefined)
  assert.is(table.match('b.example', '/anything')?.name, 'other')
})

// Guards against a split that sends a retried request to another service or ignores the weights.
test('a split follows its weights, and the same request id gets the same service', () => {
  const split = route('split', 'a', '/', [{ service: 'big', weight: 90 }, { service: 'small', weight: 10 }])
  const counts = { big: 0, small: 0 }
  for (let index = 0; index < 2000; index++) counts[chooseTarget(split, `request-${index}`) as keyof typeof counts] += 1
  assert.ok(counts.small > 140 && counts.small < 260, `${counts.small} of 2000`)
  assert.is(chooseTarget(split, 'request-1'), chooseTarget(split, 'request-1'))
})

test('a route without targets selects no service', () => {
  assert.is(chooseTarget(route('none', 'a', '/', []), 'r'), undefined)
})

const node = (name: string, zone: string, ready = true): DirectoryNode => ({ name, zone, ready, front: name, capacity: 1 })

test('clients get the ready nodes of their zone, or those of all zones if their zone has fewer than two', () => {
  const nodes = [node('a1', 'a'), node('a2', 'a'), node('b1', 'b'), node('b2', 'b', false)]
  assert.equal(chooseAddresses(nodes, 'a', () => 0), ['a1', 'a2'])
  assert.equal(chooseAddresses(nodes, 'b', () => 0), ['a1', 'a2', 'b1'])
  assert.equal(chooseAddresses(nodes, undefined, () => 0), ['a1', 'a2', 'b1'])
  assert.equal(chooseAddresses([node('a1', 'a', false)], 'a', () => 0), [])
})

test.run()
