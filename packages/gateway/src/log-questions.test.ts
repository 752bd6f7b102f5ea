import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLogFreshness, type LogFreshness } from './log-freshness'
import { createLogQuestions, type LogQuestions } from './log-questions'
import type { PeerMessage } from './peer-link'

const test = suite('log questions')

type TestNode = { questions: LogQuestions, freshness: LogFreshness, confirmed: [string, number][] }

/** Creates two nodes that deliver messages to each other at once, or lose them. */
function createPair (losesReplies = false): Record<'n1' | 'n2', TestNode> {
  const nodes: Record<string, TestNode> = {}
  const deliver = (from: string, to: string, { kind, payload }: PeerMessage): void => {
    if (kind === 'log-probe') nodes[to]!.questions.receiveQuestion(from, payload)
    else if (!losesReplies) nodes[to]!.questions.receiveReply(from, payload)
  }
  for (const name of ['n1', 'n2']) {
    const freshness = createLogFreshness()
    const confirmed: [string, number][] = []
    const questions = createLogQuestions({
      self: { name, incarnation: 1 },
      now: () => 1000,
      log: { info () {}, warn () {}, error () {} } as never,
      probe: { read: async () => { throw new Error('not asked for a read') } },
      freshness: () => freshness,
      confirmed: (node, end) => { confirmed.push([node, end]) },
      address: node => node,
      notify: (address, message) => deliver(name, address, message)
    })
    nodes[name] = { questions, freshness, confirmed }
  }
  return nodes as Record<'n1' | 'n2', TestNode>
}

// Guards against a confirmation by a node that would still vote for the former owner.
test('a node that confirms a position names it to owners that ask later', () => {
  const { n1, n2 } = createPair()
  n1.freshness.read(900, 12)
  n1.questions.announce(['n2'])
  assert.equal(n1.confirmed, [['n2', 12]])
  assert.is(n2.freshness.knownEnd(), 12)
  assert.is(n1.freshness.ageMs(1000), 100, 'the confirmation shows no read of the log')
})

// Guards against a majority that is counted from messages sent instead of replies.
test('a message without a reply confirms nothing', () => {
  const { n1 } = createPair(true)
  n1.freshness.read(900, 12)
  n1.questions.announce(['n2'])
  assert.equal(n1.confirmed, [])
})

test.run()
