/**
 * Asks the other nodes whether they have handled a key, while the log cannot be read. A node that
 * alone is cut off from the log would otherwise take a key for new that another node has sent.
 */
import type { CoreContext } from './core-context'
import type { Peers } from './peers'

export type KeyWitnesses = {
  /** Remembers a key that this node handles. */
  handled (key: string): void
  hasHandled (key: string): boolean
  /** @param done - gets true when every listed node has answered that it has not handled the key */
  ask (orderId: string, key: string, done: (isNew: boolean) => void, now: number): void
  answered (from: string, orderId: string, seen: boolean): void
  tick (now: number): void
}

type Question = { waitsFor: Set<string>, askedAt: number, done: (isNew: boolean) => void }

/** A node that does not answer in this time may have handled the key. */
const answerMs = 500
/** Keys remembered; at 100 orders a second and node this covers the deadline of an order many times. */
const maxKeys = 20_000

export const createKeyWitnesses = (ctx: CoreContext, peers: Peers): KeyWitnesses => {
  const keys = new Set<string>()
  const questions = new Map<string, Question>()

  const finish = (orderId: string, question: Question, isNew: boolean): void => {
    questions.delete(orderId)
    question.done(isNew)
  }

  return {
    handled (key) {
      keys.add(key)
      const [oldest] = keys
      if (oldest !== undefined && keys.size > maxKeys) {
        keys.delete(oldest)
      }
    },
    hasHandled: key => keys.has(key),
    ask (orderId, key, done, now) {
      const others = peers.listedNodes().filter(id => id !== ctx.cfg.node)
      if (others.length === 0) {
        return done(true)
      }
      questions.set(orderId, { waitsFor: new Set(others), askedAt: now, done })
      others.forEach(id => peers.send(id, { type: 'key-query', orderId, key }))
    },
    answered (from, orderId, seen) {
      const question = questions.get(orderId)
      if (question === undefined) {
        return
      }
      question.waitsFor.delete(from)
      if (seen || question.waitsFor.size === 0) {
        finish(orderId, question, !seen)
      }
    },
    tick (now) {
      for (const [orderId, question] of questions) {
        if (now >= question.askedAt + answerMs) {
          finish(orderId, question, false)
        }
      }
    }
  }
}
