/** Asks other nodes whether they can read the fleet log or tells them how far it goes, and replies to such messages. */
import type { DecisionLog } from './decision-log'
import type { LogFreshness } from './log-freshness'
import { replyAsOf, type LogEndNoted, type LogProbe, type LogQuestion, type LogState } from './log-probe'
import type { PeerMessage } from './peer-link'

export type LogQuestionsOptions = {
  self: { name: string, incarnation: number }
  now (): number
  log: DecisionLog
  probe: LogProbe
  freshness (): LogFreshness
  /** Address of a node; undefined if it is not known. */
  address (node: string): string | undefined
  /** Sends a datagram, which may be lost. */
  notify (address: string, message: PeerMessage): void
  /** A node knows of the log up to `end`. */
  confirmed (node: string, end: number): void
}

export type LogQuestions = {
  /** @param self - whether this node tries to read the log as well */
  ask (addresses: readonly string[], self: boolean): void
  /** Tells nodes up to where this process knows the log; each replies how far it knows it then. */
  announce (addresses: readonly string[]): void
  /** Replies to the question of a node. */
  receiveQuestion (from: string, question: unknown): void
  receiveReply (from: string, payload: unknown): void
}

export function createLogQuestions (options: LogQuestionsOptions): LogQuestions {
  const { self, now, log } = options

  function receiveReply (from: string, payload: unknown): void {
    const state = (payload ?? {}) as Partial<LogState | LogEndNoted> & { question?: unknown, next?: unknown, knownEnd?: unknown }
    const asOf = replyAsOf(state.question, state, self.incarnation, now())
    if (asOf === undefined) return
    if (state.type === 'noted') {
      if (Number.isSafeInteger(state.knownEnd)) options.confirmed(from, state.knownEnd as number)
      return
    }
    if (state.type === 'read' && Number.isSafeInteger(state.next)) options.freshness().peerRead(state.next as number, asOf)
    else if (state.type === 'unreachable') options.freshness().unreachable(from, asOf, Number.isSafeInteger(state.knownEnd) ? state.knownEnd as number : -1)
  }

  function reply (to: string, state: LogState | LogEndNoted, question: unknown): void {
    const address = options.address(to)
    if (to === self.name) receiveReply(to, { ...state, question })
    else if (address !== undefined) options.notify(address, { kind: 'log-state', payload: { ...state, question } })
  }

  function receiveQuestion (from: string, question: unknown): void {
    const { logEnd } = (question ?? {}) as Partial<LogQuestion>
    if (Number.isSafeInteger(logEnd)) {
      options.freshness().peerPosition(logEnd as number)
      reply(from, { type: 'noted', knownEnd: options.freshness().knownEnd(), ageMs: 0, waitedMs: 0 }, question)
      return
    }
    options.probe.read().then(state => reply(from, state, question)).catch(err => { log.error('log-probe-failed', { reason: (err as Error).message }) })
  }

  return {
    ask (addresses, includeSelf) {
      const question: LogQuestion = { incarnation: self.incarnation, askedAt: now() }
      for (const address of addresses) options.notify(address, { kind: 'log-probe', payload: question })
      if (includeSelf) receiveQuestion(self.name, question)
    },
    announce (addresses) {
      const question: LogQuestion = { incarnation: self.incarnation, askedAt: now(), logEnd: options.freshness().knownEnd() }
      for (const address of addresses) options.notify(address, { kind: 'log-probe', payload: question })
    },
    receiveQuestion,
    receiveReply
  }
}
