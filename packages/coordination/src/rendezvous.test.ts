import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { topNode, rankNodes, type RendezvousNode } from './rendezvous'

const nodesOf = (count: number): RendezvousNode[] =>
  Array.from({ length: count }, (_, index) => ({ id: `node-${index}`, group: `zone-${index % 3}` }))

const keys = Array.from({ length: 6000 }, (_, index) => `adapter-${index}`)

test('the ranking does not depend on the order of the nodes', () => {
  const nodes = nodesOf(9)
  const reversed = [...nodes].reverse()
  for (const key of keys.slice(0, 200)) {
    assert.equal(rankNodes(key, nodes), rankNodes(key, reversed))
    assert.is(topNode(key, reversed)?.id, rankNodes(key, nodes)[0]?.id)
  }
})

test('keys spread evenly: no node gets far more than its share', () => {
  const counts = new Map<string, number>()
  for (const key of keys) {
    const id = topNode(key, nodesOf(6))?.id ?? ''
    counts.set(id, (counts.get(id) ?? 0) + 1)
  }
  for (const count of counts.values()) {
    assert.ok(count > 850 && count < 1150, `a node has ${count} of 6000 keys; 1000 expected`)
  }
})

test('the removal of a node moves only its own keys', () => {
  const nodes = nodesOf(6)
  const rest = nodes.slice(1)
  for (const key of keys.slice(0, 1000)) {
    const before = topNode(key, nodes)?.id
    if (before !== 'node-0') {
      assert.is(topNode(key, rest)?.id, before)
    }
  }
})

test('nodes of the preferred group come first and keep their order', () => {
  const nodes = nodesOf(9)
  const ranked = rankNodes('adapter-1', nodes, 'zone-2')
  assert.equal(ranked.slice(0, 3).map(({ group }) => group), ['zone-2', 'zone-2', 'zone-2'])
  assert.is(topNode('adapter-1', nodes, 'zone-2')?.id, ranked[0]?.id)
})

test('no node is chosen from an empty list', () => {
  assert.is(topNode('key', []), undefined)
})

test.run()
