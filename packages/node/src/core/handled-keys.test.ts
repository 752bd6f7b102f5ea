/** Guards against a node that alone has lost contact with the log and treats a key as new that another node has sent. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { nodeCoreDefaults } from './core-config'
import { createCoreContext } from './core-context'
import { createHandledKeys } from './handled-keys'
import type { CoreMessage } from './peer-messages'
import type { Peers } from './peers'

const createCase = (nodes: string[]) => {
  const sent: { to: string, message: CoreMessage }[] = []
  const peers = { listedNodes: () => nodes, send: (to: string, message: CoreMessage) => { sent.push({ to, message }) } } as unknown as Peers
  const cfg = { ...nodeCoreDefaults, node: 'n1', zone: 'z1', region: 'r1', address: 'n1:1', incarnation: 1 }
  const results: boolean[] = []
  const handledKeys = createHandledKeys(createCoreContext(cfg, {}), peers)
  return { sent, results, handledKeys, ask: () => handledKeys.queryNodes('o1', 'key', isNew => results.push(isNew), 0) }
}

test('a key is new only when every listed node replies that it has not handled it', () => {
  const { sent, results, handledKeys, ask } = createCase(['n1', 'n2', 'n3'])
  ask()
  assert.equal(sent.map(({ to }) => to), ['n2', 'n3'])
  handledKeys.receiveReply('n2', 'o1', false)
  assert.equal(results, [])
  handledKeys.receiveReply('n3', 'o1', false)
  assert.equal(results, [true])
})

test('a key is not new once one node replies that it has handled it, and later replies change nothing', () => {
  const { results, handledKeys, ask } = createCase(['n1', 'n2', 'n3'])
  ask()
  handledKeys.receiveReply('n3', 'o1', true)
  handledKeys.receiveReply('n2', 'o1', false)
  assert.equal(results, [false])
})

test('a key is not new when a node does not reply in time', () => {
  const { results, handledKeys, ask } = createCase(['n1', 'n2', 'n3'])
  ask()
  handledKeys.receiveReply('n2', 'o1', false)
  handledKeys.tick(499)
  assert.equal(results, [])
  handledKeys.tick(500)
  assert.equal(results, [false])
})

test('a key is new without replies when there is no other node', () => {
  const { results, ask } = createCase(['n1'])
  ask()
  assert.equal(results, [true])
})

test('a node stores the keys that it handles, up to a limit', () => {
  const { handledKeys } = createCase(['n1'])
  for (let number = 0; number <= 20_000; number += 1) {
    handledKeys.add(`key${number}`)
  }
  assert.ok(handledKeys.has('key20000'))
  assert.not(handledKeys.has('key0'))
})

test.run()
