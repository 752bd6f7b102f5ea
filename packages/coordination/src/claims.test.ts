import type { AppendResult, LogEntry, LogPage } from '@yuccawharf/clients'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { claimCoordinatorDefaults, createClaimCoordinator, createClaimsLog, parseOrderKey, type ClaimAction, type ClaimCoordinator, type ClaimCoordinatorConfig } from './claims'

const key = '3.0-0f8fad5b-d9cb'
const deadline = 10_000

/** A shard's stream shared by the desks of one test. */
const createStream = () => {
  const records: LogEntry[] = []
  let first = 0
  return {
    append (values: unknown[]): AppendResult {
      const offsets = values.map(value => {
        const offset = records.length
        records.push({ offset, time: 0, value })
        return offset
      })
      return { type: 'ok', offsets }
    },
    page: (from = 0): LogPage => ({ first, next: records.length, records: records.slice(Math.max(from, first)) }),
    drop: (before: number) => { first = before }
  }
}

let lastAttempt = 0
const attemptId = (node: string): string => {
  lastAttempt += 1
  return `${node}/1/${lastAttempt}`
}

const deskOf = (node: string, hooks?: ClaimCoordinatorConfig['hooks'], trustsLog = (): boolean => true): ClaimCoordinator =>
  createClaimCoordinator({ ...claimCoordinatorDefaults, node, shard: 3, attemptId: () => attemptId(node), isLogCurrent: trustsLog, ...(hooks === undefined ? {} : { hooks }) })

const appendOf = (actions: ClaimAction[]) => {
  const append = actions.find(action => action.type === 'append')
  assert.ok(append?.type === 'append', 'an append is due')
  return append
}

const sends = (actions: ClaimAction[]) => actions.filter(action => action.type === 'send')

const answers = (actions: ClaimAction[]) => actions.flatMap(action => action.type === 'answer' ? [action.answer] : [])

const order = (desk: ClaimCoordinator, now = 0, orderId = 'o1', orderKey = key) => desk.submit({ orderId, key: orderKey, deadline }, now)

const okResult = { type: 'ok', status: 200, contentType: 'text/plain', body: 'done' } as const

test('an order is sent only after the claim was read back', () => {
  const stream = createStream()
  const desk = deskOf('a')
  desk.receivePage(stream.page(), 0)
  const append = appendOf(order(desk))
  const appended = desk.appendFinished(append.token, stream.append(append.values), 1)
  assert.is(sends(appended).length, 0, 'an append result alone proves no first place')
  const read = desk.receivePage(stream.page(), 2)
  assert.is(sends(read).length, 1)
  assert.is(sends(desk.receivePage(stream.page(), 3)).length, 0, 'reading the claim again must not send again')
})

test('of two nodes with the same key only the first claim sends, and the other gets its result', () => {
  const stream = createStream()
  const [a, b] = [deskOf('a'), deskOf('b')]
  a.receivePage(stream.page(), 0)
  b.receivePage(stream.page(), 0)
  const [fromA, fromB] = [appendOf(order(a)), appendOf(order(b))]
  b.appendFinished(fromB.token, stream.append(fromB.values), 1)
  a.appendFinished(fromA.token, stream.append(fromA.values), 1)
  assert.is(sends(a.receivePage(stream.page(), 2)).length, 0)
  const [sent] = sends(b.receivePage(stream.page(), 2))
  assert.ok(sent?.type === 'send')
  const done = b.sendFinished(sent.attempt, okResult, 100)
  assert.equal(answers(done), [{ type: 'result', status: 200, contentType: 'text/plain', body: 'done' }])
  stream.append(appendOf(done).values)
  assert.equal(answers(a.receivePage(stream.page(2), 200)), [{ type: 'result', status: 200, contentType: 'text/plain', body: 'done' }])
})

test('a winner that pauses before it sends does not send after its deadline, and another attempt may', () => {
  const stream = createStream()
  const [a, b] = [deskOf('a'), deskOf('b')]
  a.receivePage(stream.page(), 0)
  const append = appendOf(order(a))
  a.appendFinished(append.token, stream.append(append.values), 1)
  const woken = a.receivePage(stream.page(), deadline + 1)
  assert.is(sends(woken).length, 0)
  const abandon = appendOf(woken)
  assert.is(answers(woken).length, 0, 'the abandon record comes before the answer')
  assert.equal(answers(a.appendFinished(abandon.token, stream.append(abandon.values), deadline + 2)).map(answer => answer.type === 'refused' && answer.outcome), ['not-run'])
  b.receivePage(stream.page(), deadline)
  const second = appendOf(b.submit({ orderId: 'o2', key, deadline: 2 * deadline }, deadline))
  b.appendFinished(second.token, stream.append(second.values), deadline)
  assert.is(sends(b.receivePage(stream.page(), deadline)).length, 1)
})

test('a claim that lands after its attempt gave up is abandoned and never sent', () => {
  const stream = createStream()
  const desk = deskOf('a')
  desk.receivePage(stream.page(), 0)
  const append = appendOf(order(desk))
  desk.appendFinished(append.token, { type: 'unknown', reason: 'response lost' }, 1)
  const refused = answers(desk.tick(deadline))
  assert.equal(refused.map(answer => answer.type === 'refused' && answer.outcome), ['not-run'])
  stream.append(append.values)
  const late = desk.receivePage(stream.page(), deadline + 1)
  assert.is(sends(late).length, 0)
  assert.is(appendOf(late).values[0]?.type, 'abandon')
})

test('a lost answer of an append that took effect does not delay the order', () => {
  const stream = createStream()
  const desk = deskOf('a')
  desk.receivePage(stream.page(), 0)
  const append = appendOf(order(desk))
  stream.append(append.values)
  desk.appendFinished(append.token, { type: 'unknown', reason: 'response lost' }, 1)
  assert.is(sends(desk.receivePage(stream.page(), 2)).length, 1)
})

test('a lost append is followed by another attempt, and both landing sends once', () => {
  const stream = createStream()
  const desk = deskOf('a')
  desk.receivePage(stream.page(), 0)
  const first = appendOf(order(desk))
  desk.appendFinished(first.token, { type: 'unknown', reason: 'response lost' }, 1)
  const second = appendOf(desk.tick(claimCoordinatorDefaults.claimTimeoutMs))
  stream.append(first.values)
  desk.appendFinished(second.token, stream.append(second.values), 3_000)
  const read = desk.receivePage(stream.page(), 3_001)
  assert.is(sends(read).length, 0, 'the first claim won but was given up')
  const abandon = appendOf(read)
  desk.appendFinished(abandon.token, stream.append(abandon.values), 3_002)
  const third = appendOf([...desk.receivePage(stream.page(2), 3_003), ...desk.tick(4_000)])
  desk.appendFinished(third.token, stream.append(third.values), 4_001)
  assert.is(sends(desk.receivePage(stream.page(3), 4_002)).length, 1)
})

test('a call that sent no byte is abandoned before it is answered "not run"', () => {
  const stream = createStream()
  const desk = deskOf('a')
  desk.receivePage(stream.page(), 0)
  const append = appendOf(order(desk))
  desk.appendFinished(append.token, stream.append(append.values), 1)
  const [sent] = sends(desk.receivePage(stream.page(), 2))
  assert.ok(sent?.type === 'send')
  const failed = [...desk.sendFinished(sent.attempt, { type: 'not-sent', reason: 'connection refused' }, 100)]
  assert.is(answers(failed).length, 0)
  const abandon = appendOf(failed)
  assert.equal(answers(desk.appendFinished(abandon.token, stream.append(abandon.values), 101)).map(answer => answer.type === 'refused' && answer.outcome), ['not-run'])
})

test('a lost service response leaves the key unknown for ever, at every node', () => {
  const stream = createStream()
  const [a, b] = [deskOf('a'), deskOf('b')]
  a.receivePage(stream.page(), 0)
  const append = appendOf(order(a))
  a.appendFinished(append.token, stream.append(append.values), 1)
  const [sent] = sends(a.receivePage(stream.page(), 2))
  assert.ok(sent?.type === 'send')
  assert.equal(answers(a.sendFinished(sent.attempt, { type: 'unknown', reason: 'connection reset' }, 3)).map(answer => answer.type === 'refused' && answer.outcome), ['unknown'])
  assert.equal(answers(order(a, 4, 'o2')).map(answer => answer.type === 'refused' && answer.outcome), ['unknown'])
  b.receivePage(stream.page(), 5)
  assert.is(order(b, 5, 'o3').length, 0, 'the winner may still record an outcome')
  assert.equal(answers(b.tick(deadline)).map(answer => answer.type === 'refused' && answer.outcome), ['unknown'])
})

test('orders during a log outage are refused as not run only when the log as read shows no claim', () => {
  const stream = createStream()
  const [fresh, desk] = [deskOf('b'), deskOf('a')]
  desk.receivePage(stream.page(), 0)
  const append = appendOf(order(desk))
  const failed = desk.appendFinished(append.token, { type: 'failed', reason: '503' }, 1)
  assert.equal(answers(failed).map(answer => answer.type === 'refused' && answer.outcome), ['not-run'])
  const paused = deskOf('c', undefined, () => false)
  paused.receivePage(stream.page(), 0)
  const late = appendOf(order(paused))
  assert.equal(answers(paused.appendFinished(late.token, { type: 'failed', reason: '503' }, 1)).map(answer => answer.type === 'refused' && answer.outcome), ['unknown'])
  fresh.readFailed(0)
  assert.equal(answers(order(fresh)).map(answer => answer.type === 'refused' && answer.outcome), ['unknown'])
})

test('an outage during the outcome append repeats the append and keeps the order answered', () => {
  const stream = createStream()
  const desk = deskOf('a')
  desk.receivePage(stream.page(), 0)
  const append = appendOf(order(desk))
  desk.appendFinished(append.token, stream.append(append.values), 1)
  const [sent] = sends(desk.receivePage(stream.page(), 2))
  assert.ok(sent?.type === 'send')
  const outcome = appendOf([...desk.sendFinished(sent.attempt, okResult, 100)])
  desk.appendFinished(outcome.token, { type: 'failed', reason: '503' }, 101)
  assert.equal(answers(order(desk, 102, 'o2')).map(({ type }) => type), ['result'])
  const again = appendOf(desk.tick(1_000))
  assert.equal(again.values, outcome.values)
  stream.append(again.values)
  desk.receivePage(stream.page(1), 1_001)
  assert.is(desk.pendingCount, 0, 'nothing is left to append or to answer')
})

test('a key older than the retained log is refused with this reason and never claimed', () => {
  const stream = createStream()
  stream.append([{ type: 'claim', key, attempt: 'x/1/1', node: 'x' }, { type: 'claim', key: '3.1-0f8fad5b-d9cc', attempt: 'x/1/2', node: 'x' }])
  stream.drop(1)
  const desk = deskOf('a')
  desk.receivePage(stream.page(), 0)
  const [answer] = answers(order(desk))
  assert.ok(answer?.type === 'refused' && answer.outcome === 'unknown')
  assert.match(answer.reason, 'log no longer reaches back')
})

test('a claim whose earlier competitor was dropped by retention does not win', () => {
  const log = createClaimsLog()
  log.apply({ offset: 0, time: 0, value: { type: 'claim', key, attempt: 'x/1/1', node: 'x' } })
  log.retain(1)
  assert.equal(log.apply({ offset: 1, time: 0, value: { type: 'claim', key, attempt: 'y/1/1', node: 'y' } }).map(({ type }) => type), ['unproven'])
})

test('a key that names a future offset is void, because retention would seem to prove its absence later', () => {
  const log = createClaimsLog()
  const change = log.apply({ offset: 0, time: 0, value: { type: 'claim', key: '3.900-0f8fad5b-d9cb', attempt: 'x/1/1', node: 'x' } })
  assert.equal(change.map(({ type }) => type), ['invalid'])
})

test('only the winning attempt can abandon or finish a key', () => {
  const log = createClaimsLog()
  const values = [
    { type: 'claim', key, attempt: 'x/1/1', node: 'x' },
    { type: 'abandon', key, attempt: 'y/1/1' },
    { type: 'outcome', key, attempt: 'y/1/1', status: 200, contentType: '', body: '' },
    { type: 'claim', key, attempt: 'y/1/1', node: 'y' }
  ]
  const changes = values.flatMap((value, offset) => log.apply({ offset, time: 0, value }))
  assert.equal(changes.map(({ type }) => type), ['won', 'lost'])
})

test('claims of many orders share one append', () => {
  const stream = createStream()
  const desk = deskOf('a')
  desk.receivePage(stream.page(), 0)
  const first = appendOf(order(desk, 0, 'o0', '3.0-00000000'))
  for (let count = 1; count <= 100; count += 1) {
    assert.is(order(desk, 1, `o${count}`, `3.0-${String(count).padStart(8, '0')}`).length, 0)
  }
  const second = appendOf([...desk.appendFinished(first.token, stream.append(first.values), 2), ...desk.tick(claimCoordinatorDefaults.appendIntervalMs)])
  assert.is(second.values.length, 100)
})

test('keys with a wrong shape or shard are invalid', () => {
  assert.is(parseOrderKey('16.0-0f8fad5b'), undefined)
  assert.is(parseOrderKey('0f8fad5b-d9cb'), undefined)
  const [answer] = answers(order(deskOf('a'), 0, 'o1', '4.0-0f8fad5b'))
  assert.ok(answer?.type === 'refused' && answer.outcome === 'invalid')
})

test('without read-back two nodes send the same order: the check of the test hooks', () => {
  const stream = createStream()
  const [a, b] = [deskOf('a', { skipReadBack: true }), deskOf('b', { skipReadBack: true })]
  a.receivePage(stream.page(), 0)
  b.receivePage(stream.page(), 0)
  const [fromA, fromB] = [appendOf(order(a)), appendOf(order(b))]
  const sentA = sends(a.appendFinished(fromA.token, stream.append(fromA.values), 1))
  const sentB = sends(b.appendFinished(fromB.token, stream.append(fromB.values), 1))
  assert.is(sentA.length + sentB.length, 2)
})

test.run()
