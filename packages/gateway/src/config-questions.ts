/** Asks other nodes how current their knowledge of the configuration is, and answers such questions. */
import type { ConfigAge, ConfigPosition } from './config-age'
import { drawSample } from './directory'
import { fieldsCheck, isCount, isPosition } from './field-checks'
import type { NodeRecord } from './fleet'
import type { PeerMessage } from './peer-link'

/** Returned with the answer, which may wait in a socket for any time: it counts from the time of the question. */
type ConfigQuestion = { incarnation: number, askedAt: number }
type ConfigAnswer = ConfigPosition & { question: ConfigQuestion, ageMs: number }

export type ConfigQuestionsOptions = {
  self: { name: string, zone: string, incarnation: number }
  now (): number
  random (): number
  age: ConfigAge
  own (): ConfigPosition
  /** Live peers. */
  peers (): NodeRecord[]
  /** Name of the node that reads the servers' entries for the zone. */
  zoneReader (): string
  address (node: string): string | undefined
  /** Sends a datagram, which may be lost. */
  notify (address: string, message: PeerMessage): void
  /** The node has read more of the operators' records than this one. */
  behind (node: string, next: number): void
  malformed (reason: string): void
}

export type ConfigQuestions = {
  /** Asks a node if the evidence is too old. */
  tick (): void
  /** @returns whether the message is about the age of the configuration */
  receive (from: string, message: PeerMessage): boolean
}

const isQuestion = fieldsCheck<ConfigQuestion>({ incarnation: isPosition, askedAt: isCount })
/** `next` and `version` are -1 before the first read. */
const isKnown = (value: unknown): boolean => value === -1 || isPosition(value)
const isAnswer = fieldsCheck<ConfigAnswer>({ question: isQuestion, ageMs: isCount, next: isKnown, version: isKnown })

export function createConfigQuestions (options: ConfigQuestionsOptions): ConfigQuestions {
  const { self, now, age } = options

  function draw (nodes: NodeRecord[]): string | undefined {
    return drawSample(nodes, 1, options.random)[0]?.address
  }

  function addressToAsk (): string | undefined {
    const reader = options.zoneReader()
    const source = age.nextQuestion(now(), reader === self.name)
    if (source === undefined) return undefined
    const peers = options.peers()
    if (source === 'reader' && reader !== self.name) return options.address(reader)
    return draw(source === 'zone' ? peers.filter(({ zone }) => zone === self.zone) : peers) ?? draw(peers)
  }

  function answer (from: string, question: ConfigQuestion): void {
    const ageMs = age.ageMs(now())
    const address = options.address(from)
    if (address === undefined) return
    const payload: ConfigAnswer = { question, ageMs: Number.isFinite(ageMs) ? Math.ceil(ageMs) : Number.MAX_SAFE_INTEGER, ...options.own() }
    options.notify(address, { kind: 'config-answer', payload })
  }

  function receiveAnswer (from: string, { question, ageMs, next, version }: ConfigAnswer): void {
    if (question.incarnation !== self.incarnation || question.askedAt > now()) return
    if (age.peerRead(question.askedAt - ageMs, { next, version })) options.behind(from, next)
  }

  return {
    tick () {
      const address = addressToAsk()
      if (address === undefined) return
      const question: ConfigQuestion = { incarnation: self.incarnation, askedAt: now() }
      options.notify(address, { kind: 'config-question', payload: question })
    },
    receive (from, { kind, payload }) {
      if (kind !== 'config-question' && kind !== 'config-answer') return false
      if (kind === 'config-question' && isQuestion(payload)) answer(from, payload)
      else if (kind === 'config-answer' && isAnswer(payload)) receiveAnswer(from, payload)
      else options.malformed(`${kind} of ${from} is malformed`)
      return true
    }
  }
}
