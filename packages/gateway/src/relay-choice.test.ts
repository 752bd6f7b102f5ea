/** Which nodes relay the requests of one whose links to the servers are cut. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRelayChoice, type RelayNode } from './relay-choice'

const test = suite('choice of a relay')

const node = (name: string, zone: string): RelayNode => ({ name, zone, address: `${name}:1` })
const nodes = [node('a1', 'a'), node('a2', 'a'), node('a3', 'a'), node('b1', 'b'), node('c1', 'c')]
const names = (chosen: readonly RelayNode[]): string[] => chosen.map(({ name }) => name)

test('nodes of the own zone come first', () => {
  const order = createRelayChoice('a', () => 0).order(nodes, 0)
  assert.equal(names(order), ['a1', 'a2', 'b1', 'c1', 'a3'])
})

// Guards against requests that ask one cut node of a zone after the other.
test('two nodes of the own zone at most come before those of others', () => {
  const random = (): number => 0.99
  assert.equal(createRelayChoice('a', random).order(nodes, 0).map(({ zone }) => zone), ['a', 'a', 'c', 'b', 'a'])
})

test('a node that did not relay is asked last for a while', () => {
  const choice = createRelayChoice('a', () => 0)
  choice.failed('a1', 0)
  assert.equal(names(choice.order(nodes, 500)), ['a2', 'a3', 'b1', 'c1', 'a1'])
  assert.equal(names(choice.order(nodes, 1001)), ['a1', 'a2', 'b1', 'c1', 'a3'])
})

test('a node that relays again is no longer asked last', () => {
  const choice = createRelayChoice('a', () => 0)
  choice.failed('a1', 0)
  choice.relayed('a1', true)
  assert.is(names(choice.order(nodes, 1))[0], 'a1')
})

// Guards against responses that fail during a release, because a node of an earlier build relays them though others do.
test('a node that does not say how the server ends comes after the others, until it does', () => {
  const choice = createRelayChoice('a', () => 0)
  choice.relayed('a1', false)
  assert.equal(names(choice.order(nodes, 0)), ['a2', 'b1', 'c1', 'a3', 'a1'])
  choice.relayed('a1', true)
  assert.is(names(choice.order(nodes, 0))[0], 'a1')
})

test.run()
