/** Asks other nodes whether they can read the fleet log, and replies to such questions. */
import type { DecisionLog } from './decision-log'
import type { LogFreshness } from './log-freshness'
import { replyAsOf, type LogProbe, type LogQuestion, type LogState } from './log-probe'
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
}

export type LogQuestions = {
  /** @param self - whether this node tries to read the log as well */
  ask (addresses: readonly string[], self: boolean): void
  /** Replies to the question of a node. */
  receiveQuestion (from: string, question: unknown): void
  receiveReply (from: string, payload: unknown): void
}

export function createLogQuestions (options: LogQuestionsOptions): LogQuestions {
  const { self, now, log } = options

  function receiveReply (from: string, payload: unknown): void {
    const state = (payload ?? {}) as Partial<LogState> & { question?: unknown, next?: unknown, knownEnd?: unknown }
    const asOf = replyAsOf(state.question, state, self.incarnation, now())
    if (asOf === undefined) return
    if (state.type === 'read' && Number.isSafeInteger(state.next)) options.freshness().peerRead(state.next as number, asOf)
    else if (state.type === 'unreachable') options.freshness().unreachable(from, asOf, Number.isSafeInteger(state.knownEnd) ? state.knownEnd as number : -1)
  }

  function receiveQuestion (from: string, question: unknown): void {
    options.probe.read().then(state => {
      const reply = { ...state, question }
      const address = options.address(from)
      if (from === self.name) receiveReply(from, reply)
      else if (address !== undefined) options.notify(address, { kind: 'log-state', payload: reply })
    }).catch(err => { log.error('log-probe-failed', { reason: (err as Error).message }) })
  }

  return {
    ask (addresses, includeSelf) {
      const question: LogQuestion = { incarnation: self.incarnation, askedAt: now() }
      for (const address of addresses) options.notify(address, { kind: 'log-probe', payload: question })
      if (includeSelf) receiveQuestion(self.name, question)
    },
    receiveQuestion,
    receiveReply
  }
}
