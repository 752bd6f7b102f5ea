import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLogFreshness, logFreshMs, maxOutageCommandMs, unreachableValidMs } from './log-freshness'

const test = suite('log freshness')

const nodes = ['n1', 'n2', 'n3']

// Guards against commands on the strength of nodes that could not reach the log a while ago.
test('a failed read of a node counts for a second', () => {
  const freshness = createLogFreshness()
  freshness.read(0, 10)
  const votedAt = logFreshMs + 100
  for (const node of nodes) freshness.unreachable(node, votedAt, 10)
  assert.ok(freshness.excludesNewOwner(votedAt + unreachableValidMs, nodes.length))
  assert.not.ok(freshness.excludesNewOwner(votedAt + unreachableValidMs + 1, nodes.length))
})

// Guards against a failed read that waited in a socket and replaces a later one of the same node, or lasts as long as it.
test('a failed read is as old as its question, whenever the reply arrives', () => {
  const freshness = createLogFreshness()
  freshness.read(0, 10)
  const votedAt = logFreshMs + 100
  for (const node of nodes) freshness.unreachable(node, votedAt, 10)
  for (const node of nodes) freshness.unreachable(node, votedAt - unreachableValidMs, 10)
  assert.ok(freshness.excludesNewOwner(votedAt + unreachableValidMs, nodes.length))
})

// Guards against two owners: a node without a majority replaces an owner after this time, whatever the others say.
test('an owner relies on other nodes for a while after its last read only', () => {
  const freshness = createLogFreshness()
  freshness.read(0, 10)
  for (const node of nodes) freshness.unreachable(node, maxOutageCommandMs, 10)
  assert.ok(freshness.excludesNewOwner(maxOutageCommandMs, nodes.length))
  assert.not.ok(freshness.excludesNewOwner(maxOutageCommandMs + 1, nodes.length))
})

test.run()
