/**
 * Runs the orders of one claims shard on one node: claims the key, reads the claim back, sends the
 * order once and records its outcome.
 *
 * An order is sent only after the node has read its own claim back as the winner, and only by the
 * attempt that wrote it. An attempt that was given up never sends; if its claim wins later, it is
 * abandoned so that another attempt can win.
 */
import type { AppendResult, LogPage } from '@yuccawharf/clients'
import type { OutcomeRecord } from '@yuccawharf/schema'
import { createClaimsBatch, type OrderRecord } from './claims-batch'
import { claimStream, parseOrderKey } from './claims-key'
import { createClaimsReducer, type ClaimChange } from './claims-reducer'

export type ClaimCoordinatorConfig = {
  node: string
  shard: number
  /** Returns a new id at each call, also after the coordinator of the shard was recreated: a reused id would send an order twice. */
  attemptId (): string
  /** False while claims of other nodes may have been missed, for example after a pause; then an unsent order is refused as `unknown` unless its own claim won and was abandoned. */
  isLogCurrent? (): boolean
  maxRecordsPerAppend: number
  appendIntervalMs: number
  /** Time after which an attempt is given up if its claim was neither read back nor proved absent, in ms. */
  claimTimeoutMs: number
  /** Delay of the next append after a failed one, in ms. */
  logRetryMs: number
  /** Maximum number of keys with orders that wait for a response. */
  maxPendingKeys: number
  /** Fault injection: each hook breaks one rule, to test that the invariant checks detect it. Never set in production. */
  hooks?: { skipReadBack?: boolean, sendAfterGiveUp?: boolean }
}

export const claimCoordinatorDefaults = {
  maxRecordsPerAppend: 256,
  appendIntervalMs: 60, // 16 shards append at most 267 times per second; the log accepts several hundred.
  claimTimeoutMs: 2_000,
  logRetryMs: 500,
  maxPendingKeys: 10_000
}

export type OrderResponse =
  | { type: 'result', status: number, contentType: string, body: string }
  | { type: 'refused', outcome: 'not-run' | 'unknown' | 'invalid', reason: string, retryAfterMs?: number }

export type ClaimAction =
  | { type: 'append', stream: string, token: number, values: OrderRecord[] }
  /** Send the order to a backend server now, once, and pass the result to {@link ClaimCoordinator.sendFinished}. */
  | { type: 'send', orderId: string, key: string, attempt: string }
  | { type: 'respond', orderId: string, response: OrderResponse }

export type SendResult =
  | { type: 'ok', status: number, contentType: string, body: string }
  | { type: 'not-sent', reason: string }
  | { type: 'unknown', reason: string }

export type ClaimCoordinator = {
  submit (order: { orderId: string, key: string, deadline: number }, now: number): ClaimAction[]
  receivePage (page: LogPage, now: number): ClaimAction[]
  readFailed (now: number): ClaimAction[]
  appendFinished (token: number, result: AppendResult, now: number): ClaimAction[]
  sendFinished (attempt: string, result: SendResult, now: number): ClaimAction[]
  tick (now: number): ClaimAction[]
  /** Number of orders without a response, unfinished attempts and queued records. */
  readonly pendingCount: number
  /** Next offset of the shard's stream, for key prefixes; undefined until the stream has been read. */
  readonly head: number | undefined
}

type Caller = { orderId: string, deadline: number }

/** `claimed`: the claim may be in the log. `abandoning`: the append of the abandon record is not confirmed yet. */
type AttemptStep = 'queued' | 'claimed' | 'sending' | 'abandoning' | 'recording'

type Attempt = {
  id: string
  key: string
  step: AttemptStep
  since: number
  outcome?: OutcomeRecord
  /** Callers that are refused with `not-run` once the attempt is abandoned. */
  refused: Caller[]
}

/** Number of given-up attempts remembered. A forgotten one still never sends, but its key stays blocked if its claim wins. */
const maxGivenUp = 10_000

const refusal = (outcome: 'not-run' | 'unknown' | 'invalid', reason: string, retryAfterMs?: number): OrderResponse =>
  ({ type: 'refused', outcome, reason, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })

const resultOf = ({ status, contentType, body }: OutcomeRecord): OrderResponse => ({ type: 'result', status, contentType, body })

const retentionReason = 'the log no longer reaches back to the offset of the key, so it cannot be proved that the order has not run'

/** @returns the coordinator of one shard; the caller reads the shard's stream from its earliest offset */
export const createClaimCoordinator = (cfg: ClaimCoordinatorConfig): ClaimCoordinator => {
  const stream = claimStream(cfg.shard)
  const reducer = createClaimsReducer()
  const batch = createClaimsBatch({ maxRecords: cfg.maxRecordsPerAppend, intervalMs: cfg.appendIntervalMs, timeoutMs: cfg.claimTimeoutMs })
  const callers = new Map<string, Caller[]>()
  const attempts = new Map<string, Attempt>()
  const attemptOfKey = new Map<string, Attempt>()
  const givenUp = new Set<string>()
  let head: number | undefined
  let isLogDown = false

  const respondToAll = (list: Caller[], response: OrderResponse): ClaimAction[] =>
    list.map(({ orderId }) => ({ type: 'respond', orderId, response }))

  const respondToKey = (key: string, response: OrderResponse): ClaimAction[] => {
    const list = callers.get(key) ?? []
    callers.delete(key)
    return respondToAll(list, response)
  }

  const removeAttempt = (attempt: Attempt): void => {
    attempts.delete(attempt.id)
    if (attemptOfKey.get(attempt.key) === attempt) {
      attemptOfKey.delete(attempt.key)
    }
  }

  /** Refuses an order that is never sent: `not-run` only when the log proves that no other claim exists, otherwise `unknown`. */
  const unsentRefusal = (key: string, reason: string): OrderResponse => {
    const winner = reducer.state(key)?.winner
    const offset = parseOrderKey(key)?.offset ?? -1
    const othersAbsent = winner === undefined || givenUp.has(winner.attempt)
    const isCurrent = cfg.isLogCurrent?.() !== false
    const proved = isCurrent && othersAbsent && head !== undefined && reducer.nextOffset >= head && reducer.provesAbsence(offset)
    return proved
      ? refusal('not-run', reason, cfg.logRetryMs * 2)
      : refusal('unknown', `${reason}; an earlier call with this key may have run`, cfg.logRetryMs * 2)
  }

  const flush = (now: number): ClaimAction[] => {
    const append = batch.flush(now)
    if (append === undefined) {
      return []
    }
    for (const record of append.records) {
      const attempt = attempts.get(record.attempt)
      if (record.type === 'claim' && attempt !== undefined) {
        attempt.step = 'claimed'
        attempt.since = now
      }
    }
    return [{ type: 'append', stream, token: append.token, values: append.records }]
  }

  const claim = (key: string, now: number): void => {
    const attempt: Attempt = { id: cfg.attemptId(), key, step: 'queued', since: now, refused: [] }
    attempts.set(attempt.id, attempt)
    attemptOfKey.set(key, attempt)
    batch.add({ type: 'claim', key, attempt: attempt.id, node: cfg.node })
  }

  const abandon = (attempt: Attempt, now: number): void => {
    attempt.step = 'abandoning'
    attempt.since = now
    attempt.refused.push(...callers.get(attempt.key) ?? [])
    callers.delete(attempt.key)
    batch.add({ type: 'abandon', key: attempt.key, attempt: attempt.id })
  }

  const giveUp = (attempt: Attempt): void => {
    if (batch.withdraw(attempt.id)) {
      removeAttempt(attempt)
      return
    }
    givenUp.add(attempt.id)
    removeAttempt(attempt)
    for (const oldest of givenUp) {
      if (givenUp.size <= maxGivenUp) {
        return
      }
      givenUp.delete(oldest)
    }
  }

  const latestDeadline = (key: string): number =>
    Math.max(-Infinity, ...(callers.get(key) ?? []).map(({ deadline }) => deadline))

  const send = (attempt: Attempt, now: number): ClaimAction[] => {
    const first = callers.get(attempt.key)?.[0]
    if (first === undefined || now >= latestDeadline(attempt.key)) {
      abandon(attempt, now)
      return []
    }
    attempt.step = 'sending'
    return [{ type: 'send', orderId: first.orderId, key: attempt.key, attempt: attempt.id }]
  }

  const claimWon = (key: string, id: string, now: number): ClaimAction[] => {
    const attempt = attempts.get(id)
    if (attempt?.step === 'claimed') {
      return send(attempt, now)
    }
    if (attempt === undefined && givenUp.has(id)) {
      if (cfg.hooks?.sendAfterGiveUp === true) {
        return [{ type: 'send', orderId: id, key, attempt: id }]
      }
      // Stays in `givenUp`: a duplicate claim record of the attempt could win again.
      batch.add({ type: 'abandon', key, attempt: id })
    }
    return []
  }

  const rejectOwnClaim = (change: ClaimChange, response: OrderResponse): ClaimAction[] => {
    const attempt = attempts.get(change.attempt)
    if (attempt?.step !== 'claimed') {
      return []
    }
    removeAttempt(attempt)
    return respondToKey(change.key, response)
  }

  const finalResponse = (key: string): OrderResponse | undefined => {
    const attempt = attemptOfKey.get(key)
    if (attempt?.outcome !== undefined) {
      return resultOf(attempt.outcome)
    }
    const state = reducer.state(key)
    if (state?.outcome !== undefined) {
      return resultOf(state.outcome)
    }
    const isOwnResultLost = state?.winner?.node === cfg.node && attempt === undefined && !givenUp.has(state.winner.attempt)
    return isOwnResultLost ? refusal('unknown', 'the order was sent and its result was lost') : undefined
  }

  const claimLost = (key: string, id: string): ClaimAction[] => {
    const attempt = attempts.get(id)
    if (attempt?.step !== 'claimed') {
      return []
    }
    removeAttempt(attempt)
    const response = finalResponse(key)
    return response === undefined ? [] : respondToKey(key, response)
  }

  const claimAgain = (key: string, now: number): void => {
    if (callers.has(key) && attemptOfKey.get(key) === undefined && reducer.state(key)?.winner === undefined) {
      claim(key, now)
    }
  }

  const finishAbandon = (attempt: Attempt, now: number): ClaimAction[] => {
    removeAttempt(attempt)
    claimAgain(attempt.key, now)
    return respondToAll(attempt.refused, refusal('not-run', 'the order was not sent'))
  }

  const claimAbandoned = (key: string, id: string, now: number): ClaimAction[] => {
    const attempt = attempts.get(id)
    if (attempt?.step === 'abandoning') {
      return finishAbandon(attempt, now)
    }
    claimAgain(key, now)
    return []
  }

  const applyChange = (change: ClaimChange, now: number): ClaimAction[] => {
    switch (change.type) {
      case 'won': return claimWon(change.key, change.attempt, now)
      case 'lost': return claimLost(change.key, change.attempt)
      case 'invalid': return rejectOwnClaim(change, refusal('invalid', 'the key names an offset that the log had not reached'))
      case 'unproven': return rejectOwnClaim(change, refusal('unknown', retentionReason))
      case 'abandoned': return claimAbandoned(change.key, change.attempt, now)
      case 'outcome': {
        const attempt = attempts.get(change.attempt)
        if (attempt !== undefined) {
          removeAttempt(attempt)
        }
        const outcome = reducer.state(change.key)?.outcome
        return outcome === undefined ? [] : respondToKey(change.key, resultOf(outcome))
      }
    }
  }

  const recordAppended = (record: OrderRecord, now: number): ClaimAction[] => {
    const attempt = attempts.get(record.attempt)
    if (attempt === undefined) {
      return []
    }
    if (record.type === 'abandon') {
      return finishAbandon(attempt, now)
    }
    return record.type === 'claim' && cfg.hooks?.skipReadBack === true && attempt.step === 'claimed' ? send(attempt, now) : []
  }

  const recordFailed = (record: OrderRecord): ClaimAction[] => {
    const attempt = attempts.get(record.attempt)
    if (record.type !== 'claim' || attempt === undefined) {
      return []
    }
    removeAttempt(attempt)
    return respondToKey(record.key, unsentRefusal(record.key, 'the log does not accept records'))
  }

  const handleUnknownAppend = (records: OrderRecord[], now: number): void => {
    // Outcome and abandon records are idempotent and are appended again; a claim is read back or times out.
    batch.restore(records.filter(record => record.type !== 'claim'))
    batch.pauseUntil(now + cfg.logRetryMs)
  }

  const immediateResponse = (key: string): OrderResponse | undefined => {
    const orderKey = parseOrderKey(key)
    if (orderKey === undefined || orderKey.shard !== cfg.shard) {
      return refusal('invalid', 'the key does not start with a prefix from an address response')
    }
    const response = finalResponse(key)
    if (response !== undefined) {
      return response
    }
    if (head !== undefined && reducer.state(key) === undefined && !reducer.provesAbsence(orderKey.offset)) {
      return refusal('unknown', retentionReason)
    }
    if (attemptOfKey.has(key) || reducer.state(key)?.winner !== undefined) {
      return undefined
    }
    if (isLogDown || callers.size >= cfg.maxPendingKeys) {
      return unsentRefusal(key, isLogDown ? 'the log does not answer' : 'too many orders wait')
    }
    return undefined
  }

  const expire = (key: string, now: number): ClaimAction[] => {
    const list = callers.get(key) ?? []
    const expired = list.filter(({ deadline }) => now >= deadline)
    if (expired.length === 0) {
      return []
    }
    const attempt = attemptOfKey.get(key)
    const remaining = list.filter(({ deadline }) => now < deadline)
    if (remaining.length === 0) {
      callers.delete(key)
    } else {
      callers.set(key, remaining)
    }
    if (remaining.length === 0 && attempt !== undefined && (attempt.step === 'queued' || attempt.step === 'claimed')) {
      giveUp(attempt)
    }
    const mayHaveRun = attempt?.step === 'sending' || attempt?.step === 'recording'
    // While another call with the key waits, the order may still run.
    const mayRun = mayHaveRun || remaining.length > 0
    return respondToAll(expired, mayRun ? refusal('unknown', mayHaveRun ? 'the back end did not answer before the deadline' : 'another call with the key is under way') : unsentRefusal(key, 'the deadline passed before the order was sent'))
  }

  const retryStuckClaim = (attempt: Attempt, now: number): void => {
    giveUp(attempt)
    claimAgain(attempt.key, now)
  }

  const checkAttempts = (now: number): ClaimAction[] => {
    const stuck = [...attempts.values()].filter(({ since }) => now >= since + cfg.claimTimeoutMs)
    stuck.filter(({ step }) => step === 'claimed').forEach(attempt => retryStuckClaim(attempt, now))
    return stuck.filter(({ step }) => step === 'abandoning').flatMap(attempt =>
      respondToAll(attempt.refused.splice(0), refusal('unknown', 'the order was not sent, but the log does not confirm it')))
  }

  return {
    submit ({ orderId, key, deadline }, now) {
      const response = immediateResponse(key)
      if (response !== undefined) {
        return [{ type: 'respond', orderId, response }]
      }
      callers.set(key, [...callers.get(key) ?? [], { orderId, deadline }])
      if (attemptOfKey.get(key) === undefined && reducer.state(key)?.winner === undefined) {
        claim(key, now)
      }
      return flush(now)
    },
    receivePage (page, now) {
      isLogDown = false
      const actions = page.records.flatMap(reducer.apply).flatMap(change => applyChange(change, now))
      reducer.dropBefore(page.first)
      head = Math.max(head ?? 0, page.next)
      return [...actions, ...flush(now)]
    },
    readFailed () {
      isLogDown = true
      return []
    },
    appendFinished (token, result, now) {
      const records = batch.finish(token)
      if (records === undefined) {
        return []
      }
      if (result.type === 'ok') {
        isLogDown = false
        return [...records.flatMap(record => recordAppended(record, now)), ...flush(now)]
      }
      if (result.type === 'unknown') {
        handleUnknownAppend(records, now)
        return []
      }
      isLogDown = true
      batch.restore(records.filter(record => record.type !== 'claim'))
      batch.pauseUntil(now + cfg.logRetryMs)
      return records.flatMap(recordFailed)
    },
    sendFinished (id, result, now) {
      const attempt = attempts.get(id)
      if (attempt?.step !== 'sending') {
        return []
      }
      if (result.type === 'not-sent') {
        abandon(attempt, now)
        return flush(now)
      }
      if (result.type === 'unknown') {
        removeAttempt(attempt)
        return respondToKey(attempt.key, refusal('unknown', `the order may have run: ${result.reason}`))
      }
      attempt.step = 'recording'
      attempt.outcome = { type: 'outcome', key: attempt.key, attempt: id, status: result.status, contentType: result.contentType, body: result.body }
      batch.add(attempt.outcome)
      return [...respondToKey(attempt.key, resultOf(attempt.outcome)), ...flush(now)]
    },
    tick (now) {
      const timedOut = batch.takeTimedOut(now)
      if (timedOut !== undefined) {
        handleUnknownAppend(timedOut.records, now)
      }
      const expired = [...callers.keys()].flatMap(key => expire(key, now))
      return [...expired, ...checkAttempts(now), ...flush(now)]
    },
    get pendingCount () {
      return callers.size + attempts.size + batch.queuedCount
    },
    get head () {
      return head
    }
  }
}
