import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseAddresses, type DirectoryNode } from './directory'

const test = suite('directory')

const node = (index: number, zone: string, ready = true): DirectoryNode => ({ name: `n${index}`, front: `10.0.0.${index}:80`, zone, ready, capacity: 1 })

// Guards against zones of more than 64 nodes in which all clients get the same 64.
test('all nodes of a large zone get clients', () => {
  const nodes = Array.from({ length: 150 }, (_, index) => node(index, 'a'))
  const seen = new Set<string>()
  let seed = 1
  const random = (): number => (seed = seed * 16807 % 2147483647) / 2147483647
  for (let client = 0; client < 60; client++) {
    const addresses = chooseAddresses(nodes, 'a', random)
    assert.is(new Set(addresses).size, 64)
    addresses.forEach(address => seen.add(address))
  }
  assert.is(seen.size, nodes.length)
})

// Guards against a client without another node if the only one of its zone fails.
test('a zone with one ready node gets the nodes of all zones', () => {
  const nodes = [node(1, 'a'), node(2, 'a', false), node(3, 'b')]
  assert.equal(chooseAddresses(nodes, 'a', Math.random), ['10.0.0.1:80', '10.0.0.3:80'])
  assert.equal(chooseAddresses([...nodes, node(4, 'a')], 'a', Math.random), ['10.0.0.1:80', '10.0.0.4:80'])
})

test.run()
