/**
 * Limits of client accounts over all nodes: asks the owner of an account's ledger, or a node in its
 * place, for what requests cost, and answers such questions.
 */
import type { Account, AccountQuota } from './cluster-types'
import type { Suspensions } from './dated-fact'
import type { DecisionLog } from './decision-log'
import type { FleetMember } from './engine-ownership'
import { fieldsCheck, isCount, isName, isOneOf, isPosition, optional } from './field-checks'
import type { GatewayMetrics } from './gateway-metrics'
import type { PeerId, PeerMessage } from './peer-link'
import type { RequestMetadata } from './platform-interface'
import { createQuotaClient, type QuotaClient, type QuotaQuestion } from './quota-client'
import { createQuotaLedger, lentValidMs, minRetryAfterMs, type LedgerMode, type QuotaLedger, type QuotaTolerance } from './quota-ledger'
import { createQuotaOwners } from './quota-owners'

/**
 * `id` grows with each question of a process. `deputy`: the sender passes the question on, as a node in the
 * owner's place to the owner, or as an owner that does not give the whole rate yet to the former one.
 */
type QuotaAsk = { id: number, account: string, needed: number, tokens: number, returned: number, deputy?: true }
type QuotaLent = { id: number, tokens: number, validMs: number }
type QuotaRefused = { id: number, retryAfterMs: number }
/** The former owner does not give the whole rate either, or the node does not know the account. */
type QuotaDeclined = { id: number, declined: true }
type QuotaReply = { type: 'lent', tokens: number, validMs: number } | { type: 'over-limit', retryAfterMs: number } | { type: 'declined' }

export type QuotaResult =
  /** `refund` is called if the request did not run. */
  | { type: 'admitted', refund (): void }
  | { type: 'over-limit', retryAfterMs: number }
  /** No node that can lend replies. */
  | { type: 'unavailable', retryAfterMs: number }

export type QuotasOptions = {
  self: PeerId
  now (): number
  suspensions: Suspensions
  after (delayMs: number, callback: () => void): void
  members (): readonly FleetMember[]
  leaving (): boolean
  /** Undefined if the settings state none. */
  tolerance (): QuotaTolerance | undefined
  /** Limit of an account in this node's configuration. */
  quota (account: string): AccountQuota | undefined
  /** Sends a datagram, which may be lost; none if the node is unknown. */
  notify (node: string, message: PeerMessage): void
  log: Pick<DecisionLog, 'info' | 'warn'>
  metrics: Pick<GatewayMetrics, 'quotaUnits' | 'quotaLevel'>
}

export type Quotas = {
  /** @param metadata - states the tokens of the request */
  admit (account: Account | undefined, metadata: Pick<RequestMetadata, 'statedTokens'>): Promise<QuotaResult> | QuotaResult
  /** @returns whether the message is about limits of accounts */
  receive (from: PeerId, message: PeerMessage): boolean
}

/** Tolerance where the settings state none. */
const defaultTolerance: QuotaTolerance = { windowMs: 8000, overshoot: 0.1, slack: 0 }
/** Time to wait for a reply, in ms: a round trip takes 1 to 3 ms, a busy node some tens. */
const replyTimeoutMs = 80
/** The same for a node in the owner's place that asks the owner, in ms: the asking node waits meanwhile. */
const deputyTimeoutMs = 40
/** Missed replies in succession after which a node is passed over. */
const maxMissedReplies = 2
/** Time for which a node that does not reply is passed over, in ms: half of the time after which it is declared dead. */
const passOverMs = 1000
/** Delay suggested to clients if no node replies, in ms. */
const unavailableRetryAfterMs = 200
/** Time after which an unused amount returns without a question, in ms: steady traffic asks before, and takes it along. */
const returnAfterMs = 450

const isAsk = fieldsCheck<QuotaAsk>({ id: isPosition, account: isName, needed: isCount, tokens: isCount, returned: isCount, deputy: optional(isOneOf([true])) })
const isLent = fieldsCheck<QuotaLent>({ id: isPosition, tokens: isCount, validMs: isCount })
const isRefused = fieldsCheck<QuotaRefused>({ id: isPosition, retryAfterMs: isCount })

const isDeclined = fieldsCheck<QuotaDeclined>({ id: isPosition, declined: isOneOf([true]) })

/** @returns cost of a request in the quota's unit */
export function quotaCost (quota: AccountQuota, { statedTokens }: Pick<RequestMetadata, 'statedTokens'>): number {
  return quota.unit === 'requests' ? 1 : statedTokens ?? quota.plainTokens
}

type Answer = { reply: Exclude<QuotaReply, { type: 'declined' }>, node: string, askedAt: number }
type Waiter = { cost: number, resolve (result: QuotaResult): void }
/** `questions` is their count. */
type AccountState = { client: QuotaClient, waiting: Waiter[], asking: boolean, questions: number, quota: AccountQuota }
type OwnedLedger = { ledger: QuotaLedger, mode: LedgerMode['type'] }

export function createQuotas (options: QuotasOptions): Quotas {
  const { self, now, suspensions, log, metrics } = options
  const owners = createQuotaOwners(self.node, now())
  const states = new Map<string, AccountState>()
  const ledgers = new Map<string, OwnedLedger>()
  /** Last question of each node about each account. */
  const asked = new Map<string, Map<string, { incarnation: number, id: number }>>()
  const pending = new Map<number, { node: string, finish (reply: QuotaReply): void }>()
  const missed = new Map<string, { count: number, at: number }>()
  let lastId = 0

  function updateView (): void {
    owners.view(options.members(), options.leaving(), now())
  }

  function isPassedOver (node: string): boolean {
    const entry = missed.get(node)
    return entry !== undefined && entry.count >= maxMissedReplies && now() - entry.at < passOverMs
  }

  function recordMiss (node: string): void {
    missed.set(node, { count: (missed.get(node)?.count ?? 0) + 1, at: now() })
  }

  /** Removes the state of accounts that no longer have a limit. */
  function forget (account: string): void {
    states.delete(account)
    ledgers.delete(account)
    asked.delete(account)
  }

  /** @param forOwner - the owner asks, which may not give the whole rate yet */
  function ledgerOf (account: string, quota: AccountQuota, forOwner: boolean): OwnedLedger {
    const at = now()
    const suspendedUntil = suspensions.endedAt()
    let owned = ledgers.get(account)
    const mode = owners.mode(account, suspendedUntil, at, forOwner && owned?.mode === 'full' && owners.wasOwner(account, at))
    if (owned === undefined) {
      for (const other of ledgers.keys()) {
        if (options.quota(other) === undefined) forget(other)
      }
      const reason = mode.type === 'full' ? 'owner' : owners.order(account)[0] === self.node ? 'unsettled' : 'in-place-of-owner'
      const startedAt = mode.type === 'full' ? owners.ownerSince(account, suspendedUntil) : at
      owned = { ledger: createQuotaLedger(quota, options.tolerance() ?? defaultTolerance, mode, startedAt), mode: mode.type }
      ledgers.set(account, owned)
      log.info('ledger-taken', { account, reason, mode: mode.type })
    }
    if (owned.mode !== mode.type) log.info('ledger-taken', { account, reason: mode.type === 'full' ? 'settled' : 'limited', mode: mode.type })
    owned.mode = mode.type
    owned.ledger.setQuota(quota, at)
    owned.ledger.setMode(mode, at)
    return owned
  }

  function lend (account: string, { needed, wanted, returned }: QuotaQuestion, forOwner = false): QuotaReply | undefined {
    const quota = options.quota(account)
    if (quota === undefined) {
      log.warn('quota-unknown', { account })
      return undefined
    }
    const { ledger, mode } = ledgerOf(account, quota, forOwner)
    if (forOwner && mode !== 'full') return { type: 'declined' }
    const decision = ledger.ask(needed, wanted, returned, now())
    metrics.quotaLevel(account, ledger.level(now()))
    if (decision.type === 'over-limit') return decision
    metrics.quotaUnits('lent', account, decision.tokens)
    return { ...decision, validMs: lentValidMs }
  }

  function ask (node: string, account: string, { needed, wanted, returned }: QuotaQuestion, timeoutMs: number, deputy: boolean): Promise<QuotaReply | undefined> {
    return new Promise(resolve => {
      const id = ++lastId
      pending.set(id, {
        node,
        finish (reply) {
          pending.delete(id)
          missed.delete(node)
          resolve(reply)
        }
      })
      options.after(timeoutMs, () => {
        if (!pending.delete(id)) return
        recordMiss(node)
        resolve(undefined)
      })
      const payload: QuotaAsk = { id, account, needed: Math.ceil(needed), tokens: Math.ceil(wanted), returned: Math.floor(returned), ...(deputy ? { deputy: true } : {}) }
      options.notify(node, { kind: 'quota-ask', payload })
    })
  }

  /** @returns the reply of this node, which may ask the owner, or as a new owner the former one */
  async function lendOrPassOn (account: string, question: QuotaQuestion): Promise<QuotaReply | undefined> {
    const [owner, former] = owners.order(account)
    const other = owner !== self.node ? owner : owners.mode(account, suspensions.endedAt(), now()).type === 'part' ? former : undefined
    const reply = other === undefined || isPassedOver(other) ? undefined : await ask(other, account, question, deputyTimeoutMs, true)
    if (reply?.type === 'declined' && owner === self.node) owners.unopposed(account)
    return reply === undefined || reply.type === 'declined' ? lend(account, question) : reply
  }

  /** @returns the reply of the owner or of a node in its place */
  async function askInOrder (account: string, state: AccountState): Promise<Answer | undefined> {
    updateView()
    for (const node of owners.order(account)) {
      while (!isPassedOver(node)) {
        const askedAt = now()
        state.questions += 1
        const question = state.client.question(state.waiting.map(({ cost }) => cost), askedAt)
        const reply = node === self.node ? await lendOrPassOn(account, question) : await ask(node, account, question, replyTimeoutMs, false)
        if (reply !== undefined && reply.type !== 'declined') return { reply, node, askedAt }
        if (reply !== undefined || node === self.node) break
      }
    }
    return undefined
  }

  function admitted (account: string, client: QuotaClient, cost: number): QuotaResult {
    const admittedAt = now()
    let refunded = false
    metrics.quotaUnits('admitted', account, cost)
    return {
      type: 'admitted',
      refund () {
        if (refunded) return
        refunded = true
        client.refund(cost, admittedAt, now())
      }
    }
  }

  function refuse (account: string, cost: number, retryAfterMs: number, owner: string | undefined): QuotaResult {
    metrics.quotaUnits('refused', account, cost)
    log.info('quota-refused', { account, cost, retryAfterMs: Math.round(retryAfterMs), owner })
    return { type: 'over-limit', retryAfterMs }
  }

  function settle (account: string, state: AccountState, answer: Answer | undefined): void {
    const { client } = state
    if (answer === undefined) {
      for (const { cost, resolve } of state.waiting.splice(0)) {
        metrics.quotaUnits('refused', account, cost)
        log.info('quota-refused', { account, cost, retryAfterMs: unavailableRetryAfterMs })
        resolve({ type: 'unavailable', retryAfterMs: unavailableRetryAfterMs })
      }
      return
    }
    const { reply, node, askedAt } = answer
    if (reply.type === 'lent') {
      client.lent(reply.tokens, reply.validMs, askedAt)
      state.waiting = state.waiting.filter(({ cost, resolve }) => {
        if (!client.take(cost, now())) return true
        resolve(admitted(account, client, cost))
        return false
      })
      return
    }
    const least = state.waiting[0]?.cost ?? 0
    client.refused(least, reply.retryAfterMs, now())
    state.waiting = state.waiting.filter(({ cost, resolve }) => {
      if (cost < least) return true
      resolve(refuse(account, cost, reply.retryAfterMs, node))
      return false
    })
  }

  /** Returns an unused amount if no question takes it along. */
  function returnLater (account: string, state: AccountState): void {
    const { questions } = state
    options.after(returnAfterMs, () => {
      if (state.asking || state.questions !== questions || !state.client.isUnused(now())) return
      updateView()
      const node = owners.order(account).find(name => !isPassedOver(name))
      if (node === undefined) return
      const question = state.client.question([], now())
      if (node === self.node) lend(account, question)
      else options.notify(node, { kind: 'quota-ask', payload: { id: ++lastId, account, needed: 0, tokens: 0, returned: Math.floor(question.returned) } satisfies QuotaAsk })
    })
  }

  async function serveWaiting (account: string, state: AccountState): Promise<void> {
    state.asking = true
    try {
      while (state.waiting.length > 0) settle(account, state, await askInOrder(account, state))
    } finally {
      state.asking = false
    }
    if (state.client.isUnused(now())) returnLater(account, state)
  }

  function stateOf (account: string, quota: AccountQuota): AccountState {
    const existing = states.get(account)
    if (existing !== undefined) {
      if (existing.quota.ratePerSecond !== quota.ratePerSecond || existing.quota.burst !== quota.burst) existing.client.limitChanged()
      existing.quota = quota
      return existing
    }
    for (const other of states.keys()) {
      if (options.quota(other) === undefined) forget(other)
    }
    const state: AccountState = { client: createQuotaClient(suspensions), waiting: [], asking: false, questions: 0, quota }
    states.set(account, state)
    return state
  }

  /** @returns whether the question is later than those that the sender has asked before; a datagram may arrive twice */
  function isNewQuestion (account: string, from: PeerId, id: number): boolean {
    const ofAccount = asked.get(account) ?? new Map<string, { incarnation: number, id: number }>()
    asked.set(account, ofAccount)
    const last = ofAccount.get(from.node)
    if (last !== undefined && (from.incarnation < last.incarnation || (from.incarnation === last.incarnation && id <= last.id))) return false
    ofAccount.set(from.node, { incarnation: from.incarnation, id })
    return true
  }

  async function replyTo (from: PeerId, message: QuotaAsk): Promise<void> {
    const { id, account, needed, tokens, returned, deputy } = message
    updateView()
    const quota = options.quota(account)
    if (quota === undefined) {
      log.warn('quota-unknown', { account, from: from.node })
      // A missed reply would count against the other accounts of this node too.
      return options.notify(from.node, { kind: 'quota-lent', payload: { id, declined: true } satisfies QuotaDeclined })
    }
    if (!isNewQuestion(account, from, id)) return
    const question: QuotaQuestion = { needed, wanted: Math.max(needed, tokens), returned }
    const isFromOwner = owners.order(account)[0] === from.node
    const reply = deputy === true ? lend(account, question, isFromOwner) : await lendOrPassOn(account, question)
    // Only an unused amount was returned.
    if (reply === undefined || (needed === 0 && tokens === 0)) return
    const { type, ...fields } = reply
    const payload: QuotaLent | QuotaRefused | QuotaDeclined = type === 'declined' ? { id, declined: true } : { id, ...fields as Omit<QuotaLent, 'id'> }
    options.notify(from.node, { kind: 'quota-lent', payload })
  }

  function receiveReply (from: string, message: QuotaLent | QuotaRefused | QuotaDeclined): void {
    const entry = pending.get(message.id)
    if (entry?.node !== from) return
    if ('declined' in message) entry.finish({ type: 'declined' })
    else entry.finish('tokens' in message ? { type: 'lent', tokens: message.tokens, validMs: message.validMs } : { type: 'over-limit', retryAfterMs: Math.max(minRetryAfterMs, message.retryAfterMs) })
  }

  return {
    admit (account, metadata) {
      if (account?.quota === undefined) return { type: 'admitted', refund () {} }
      const { name, quota } = account
      const cost = quotaCost(quota, metadata)
      const state = stateOf(name, quota)
      // Such a question would look like the return of an unused amount, which is not answered.
      if (cost === 0) return admitted(name, state.client, cost)
      state.client.expect(cost, now())
      if (state.waiting.length === 0 && state.client.take(cost, now())) return admitted(name, state.client, cost)
      const refusedMs = state.client.refusedMs(cost, now())
      if (refusedMs > 0) return refuse(name, cost, Math.max(minRetryAfterMs, refusedMs), undefined)
      return new Promise(resolve => {
        state.waiting.push({ cost, resolve })
        if (state.asking) return
        serveWaiting(name, state).catch(err => {
          log.warn('quota-question-failed', { account: name, reason: (err as Error).message })
          settle(name, state, undefined)
        })
      })
    },
    receive (from, { kind, payload }) {
      if (kind === 'member') {
        owners.heard(from.node, now())
        updateView()
        return false
      }
      if (kind !== 'quota-ask' && kind !== 'quota-lent') return false
      if (kind === 'quota-ask' && isAsk(payload)) {
        replyTo(from, payload).catch(err => { log.warn('peer-message-failed', { reason: `quota-ask of ${from.node} could not be answered: ${(err as Error).message}` }) })
      } else if (kind === 'quota-lent' && (isLent(payload) || isRefused(payload) || isDeclined(payload))) {
        receiveReply(from.node, payload)
      } else {
        log.warn('peer-message-failed', { reason: `${kind} of ${from.node} is malformed` })
      }
      return true
    }
  }
}
