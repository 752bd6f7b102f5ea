/** Guards against a node that alone is cut off from the log and takes a key for new that another node has sent. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { nodeCoreDefaults } from './core-config'
import { createCoreContext } from './core-context'
import { createKeyWitnesses } from './key-witnesses'
import type { CoreMessage } from './peer-messages'
import type { Peers } from './peers'

const createCase = (nodes: string[]) => {
  const sent: { to: string, message: CoreMessage }[] = []
  const peers = { listedNodes: () => nodes, send: (to: string, message: CoreMessage) => { sent.push({ to, message }) } } as unknown as Peers
  const cfg = { ...nodeCoreDefaults, node: 'n1', zone: 'z1', region: 'r1', address: 'n1:1', incarnation: 1 }
  const answers: boolean[] = []
  const witnesses = createKeyWitnesses(createCoreContext(cfg, {}), peers)
  return { sent, answers, witnesses, ask: () => witnesses.ask('o1', 'key', isNew => answers.push(isNew), 0) }
}

test('a key is new only when every listed node has said so', () => {
  const { sent, answers, witnesses, ask } = createCase(['n1', 'n2', 'n3'])
  ask()
  assert.equal(sent.map(({ to }) => to), ['n2', 'n3'])
  witnesses.answered('n2', 'o1', false)
  assert.equal(answers, [])
  witnesses.answered('n3', 'o1', false)
  assert.equal(answers, [true])
})

test('one node that has handled the key is enough, and later answers change nothing', () => {
  const { answers, witnesses, ask } = createCase(['n1', 'n2', 'n3'])
  ask()
  witnesses.answered('n3', 'o1', true)
  witnesses.answered('n2', 'o1', false)
  assert.equal(answers, [false])
})

test('a node that does not answer may have handled the key', () => {
  const { answers, witnesses, ask } = createCase(['n1', 'n2', 'n3'])
  ask()
  witnesses.answered('n2', 'o1', false)
  witnesses.tick(499)
  assert.equal(answers, [])
  witnesses.tick(500)
  assert.equal(answers, [false])
})

test('the only node needs no word of others', () => {
  const { answers, ask } = createCase(['n1'])
  ask()
  assert.equal(answers, [true])
})

test('a node remembers the keys that it handles, within a bound', () => {
  const { witnesses } = createCase(['n1'])
  for (let number = 0; number <= 20_000; number += 1) {
    witnesses.handled(`key${number}`)
  }
  assert.ok(witnesses.hasHandled('key20000'))
  assert.not(witnesses.hasHandled('key0'))
})

test.run()
