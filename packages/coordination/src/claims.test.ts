import type { AppendResult, LogEntry, LogPage } from '@yuccawharf/clients'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { claimCoordinatorDefaults, createClaimCoordinator, createClaimsReducer, parseOrderKey, type ClaimAction, type ClaimCoordinator, type ClaimCoordinatorConfig } from './claims'

const key = '3.0-0f8fad5b-d9cb'
const deadline = 10_000

/** A shard's stream, shared by the coordinators of one test. */
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

const coordinatorOf = (node: string, hooks?: ClaimCoordinatorConfig['hooks'], isLogCurrent = (): boolean => true): ClaimCoordinator =>
  createClaimCoordinator({ ...claimCoordinatorDefaults, node, shard: 3, attemptId: () => attemptId(node), isLogCurrent, ...(hooks === undefined ? {} : { hooks }) })

const appendOf = (actions: ClaimAction[]) => {
  const append = actions.find(action => action.type === 'append')
  assert.ok(append?.type === 'append', 'an append is due')
  return append
}

const sends = (actions: ClaimAction[]) => actions.filter(action => action.type === 'send')

const responses = (actions: ClaimAction[]) => actions.flatMap(action => action.type === 'respond' ? [action.response] : [])

const order = (coordinator: ClaimCoordinator, now = 0, orderId = 'o1', orderKey = key) => coordinator.submit({ orderId, key: orderKey, deadline }, now)

const okResult = { type: 'ok', status: 200, contentType: 'text/plain', body: 'done' } as const

test('an order is sent only after its claim was read back', () => {
  const stream = createStream()
  const coordinator = coordinatorOf('a')
  coordinator.receivePage(stream.page(), 0)
  const append = appendOf(order(coordinator))
  const appended = coordinator.appendFinished(append.token, stream.append(append.values), 1)
  assert.is(sends(appended).length, 0, 'an append result does not prove that the claim is first')
  const read = coordinator.receivePage(stream.page(), 2)
  assert.is(sends(read).length, 1)
  assert.is(sends(coordinator.receivePage(stream.page(), 3)).length, 0, 'reading the claim again must not send again')
})

test('when two nodes claim the same key only the first claim sends, and the other node gets its result', () => {
  const stream = createStream()
  const [a, b] = [coordinatorOf('a'), coordinatorOf('b')]
  a.receivePage(stream.page(), 0)
  b.receivePage(stream.page(), 0)
  const [fromA, fromB] = [appendOf(order(a)), appendOf(order(b))]
  b.appendFinished(fromB.token, stream.append(fromB.values), 1)
  a.appendFinished(fromA.token, stream.append(fromA.values), 1)
  assert.is(sends(a.receivePage(stream.page(), 2)).length, 0)
  const [sent] = sends(b.receivePage(stream.page(), 2))
  assert.ok(sent?.type === 'send')
  const done = b.sendFinished(sent.attempt, okResult, 100)
  assert.equal(responses(done), [{ type: 'result', status: 200, contentType: 'text/plain', body: 'done' }])
  stream.append(appendOf(done).values)
  assert.equal(responses(a.receivePage(stream.page(2), 200)), [{ type: 'result', status: 200, contentType: 'text/plain', body: 'done' }])
})

test('a winner that pauses before it sends does not send after its deadline, and another attempt may', () => {
  const stream = createStream()
  const [a, b] = [coordinatorOf('a'), coordinatorOf('b')]
  a.receivePage(stream.page(), 0)
  const append = appendOf(order(a))
  a.appendFinished(append.token, stream.append(append.values), 1)
  const resumed = a.receivePage(stream.page(), deadline + 1)
  assert.is(sends(resumed).length, 0)
  const abandon = appendOf(resumed)
  assert.is(responses(resumed).length, 0, 'the abandon record is appended before the response')
  assert.equal(responses(a.appendFinished(abandon.token, stream.append(abandon.values), deadline + 2)).map(response => response.type === 'refused' && response.outcome), ['not-run'])
  b.receivePage(stream.page(), deadline)
  const second = appendOf(b.submit({ orderId: 'o2', key, deadline: 2 * deadline }, deadline))
  b.appendFinished(second.token, stream.append(second.values), deadline)
  assert.is(sends(b.receivePage(stream.page(), deadline)).length, 1)
})

test('a claim that is appended after its attempt was given up is abandoned and its order never sent', () => {
  const stream = createStream()
  const coordinator = coordinatorOf('a')
  coordinator.receivePage(stream.page(), 0)
  const append = appendOf(order(coordinator))
  coordinator.appendFinished(append.token, { type: 'unknown', reason: 'response lost' }, 1)
  const refused = responses(coordinator.tick(deadline))
  assert.equal(refused.map(response => response.type === 'refused' && response.outcome), ['not-run'])
  stream.append(append.values)
  const late = coordinator.receivePage(stream.page(), deadline + 1)
  assert.is(sends(late).length, 0)
  assert.is(appendOf(late).values[0]?.type, 'abandon')
})

test('the lost response of an append that took effect does not delay the order', () => {
  const stream = createStream()
  const coordinator = coordinatorOf('a')
  coordinator.receivePage(stream.page(), 0)
  const append = appendOf(order(coordinator))
  stream.append(append.values)
  coordinator.appendFinished(append.token, { type: 'unknown', reason: 'response lost' }, 1)
  assert.is(sends(coordinator.receivePage(stream.page(), 2)).length, 1)
})

test('an append without a response is followed by another attempt, and the order is sent once when both are appended', () => {
  const stream = createStream()
  const coordinator = coordinatorOf('a')
  coordinator.receivePage(stream.page(), 0)
  const first = appendOf(order(coordinator))
  coordinator.appendFinished(first.token, { type: 'unknown', reason: 'response lost' }, 1)
  const second = appendOf(coordinator.tick(claimCoordinatorDefaults.claimTimeoutMs))
  stream.append(first.values)
  coordinator.appendFinished(second.token, stream.append(second.values), 3_000)
  const read = coordinator.receivePage(stream.page(), 3_001)
  assert.is(sends(read).length, 0, 'the first claim won but was given up')
  const abandon = appendOf(read)
  coordinator.appendFinished(abandon.token, stream.append(abandon.values), 3_002)
  const third = appendOf([...coordinator.receivePage(stream.page(2), 3_003), ...coordinator.tick(4_000)])
  coordinator.appendFinished(third.token, stream.append(third.values), 4_001)
  assert.is(sends(coordinator.receivePage(stream.page(3), 4_002)).length, 1)
})

test('an order of which no byte was sent is abandoned before it is refused as not run', () => {
  const stream = createStream()
  const coordinator = coordinatorOf('a')
  coordinator.receivePage(stream.page(), 0)
  const append = appendOf(order(coordinator))
  coordinator.appendFinished(append.token, stream.append(append.values), 1)
  const [sent] = sends(coordinator.receivePage(stream.page(), 2))
  assert.ok(sent?.type === 'send')
  const failed = [...coordinator.sendFinished(sent.attempt, { type: 'not-sent', reason: 'connection refused' }, 100)]
  assert.is(responses(failed).length, 0)
  const abandon = appendOf(failed)
  assert.equal(responses(coordinator.appendFinished(abandon.token, stream.append(abandon.values), 101)).map(response => response.type === 'refused' && response.outcome), ['not-run'])
})

test('a lost service response leaves the outcome of the key unknown permanently, on every node', () => {
  const stream = createStream()
  const [a, b] = [coordinatorOf('a'), coordinatorOf('b')]
  a.receivePage(stream.page(), 0)
  const append = appendOf(order(a))
  a.appendFinished(append.token, stream.append(append.values), 1)
  const [sent] = sends(a.receivePage(stream.page(), 2))
  assert.ok(sent?.type === 'send')
  assert.equal(responses(a.sendFinished(sent.attempt, { type: 'unknown', reason: 'connection reset' }, 3)).map(response => response.type === 'refused' && response.outcome), ['unknown'])
  assert.equal(responses(order(a, 4, 'o2')).map(response => response.type === 'refused' && response.outcome), ['unknown'])
  b.receivePage(stream.page(), 5)
  assert.is(order(b, 5, 'o3').length, 0, 'the winner may still record an outcome')
  assert.equal(responses(b.tick(deadline)).map(response => response.type === 'refused' && response.outcome), ['unknown'])
})

test('orders during a log outage are refused as not run only when the log read so far proves that there is no claim', () => {
  const stream = createStream()
  const [fresh, coordinator] = [coordinatorOf('b'), coordinatorOf('a')]
  coordinator.receivePage(stream.page(), 0)
  const append = appendOf(order(coordinator))
  const failed = coordinator.appendFinished(append.token, { type: 'failed', reason: '503' }, 1)
  assert.equal(responses(failed).map(response => response.type === 'refused' && response.outcome), ['not-run'])
  const paused = coordinatorOf('c', undefined, () => false)
  paused.receivePage(stream.page(), 0)
  const late = appendOf(order(paused))
  assert.equal(responses(paused.appendFinished(late.token, { type: 'failed', reason: '503' }, 1)).map(response => response.type === 'refused' && response.outcome), ['unknown'])
  fresh.readFailed(0)
  assert.equal(responses(order(fresh)).map(response => response.type === 'refused' && response.outcome), ['unknown'])
})

test('an outcome whose append fails in an outage is appended again, and repeated calls still get the result', () => {
  const stream = createStream()
  const coordinator = coordinatorOf('a')
  coordinator.receivePage(stream.page(), 0)
  const append = appendOf(order(coordinator))
  coordinator.appendFinished(append.token, stream.append(append.values), 1)
  const [sent] = sends(coordinator.receivePage(stream.page(), 2))
  assert.ok(sent?.type === 'send')
  const outcome = appendOf([...coordinator.sendFinished(sent.attempt, okResult, 100)])
  coordinator.appendFinished(outcome.token, { type: 'failed', reason: '503' }, 101)
  assert.equal(responses(order(coordinator, 102, 'o2')).map(({ type }) => type), ['result'])
  const again = appendOf(coordinator.tick(1_000))
  assert.equal(again.values, outcome.values)
  stream.append(again.values)
  coordinator.receivePage(stream.page(1), 1_001)
  assert.is(coordinator.pendingCount, 0, 'no append or response is pending')
})

test('a key older than the retained log is refused with that reason and never claimed', () => {
  const stream = createStream()
  stream.append([{ type: 'claim', key, attempt: 'x/1/1', node: 'x' }, { type: 'claim', key: '3.1-0f8fad5b-d9cc', attempt: 'x/1/2', node: 'x' }])
  stream.drop(1)
  const coordinator = coordinatorOf('a')
  coordinator.receivePage(stream.page(), 0)
  const [response] = responses(order(coordinator))
  assert.ok(response?.type === 'refused' && response.outcome === 'unknown')
  assert.match(response.reason, 'log no longer reaches back')
})

test('a claim whose earlier competitor was dropped by retention does not win', () => {
  const reducer = createClaimsReducer()
  reducer.apply({ offset: 0, time: 0, value: { type: 'claim', key, attempt: 'x/1/1', node: 'x' } })
  reducer.dropBefore(1)
  assert.equal(reducer.apply({ offset: 1, time: 0, value: { type: 'claim', key, attempt: 'y/1/1', node: 'y' } }).map(({ type }) => type), ['unproven'])
})

test('a claim of a key with a future offset is invalid, because after retention the key would wrongly count as unclaimed', () => {
  const reducer = createClaimsReducer()
  const change = reducer.apply({ offset: 0, time: 0, value: { type: 'claim', key: '3.900-0f8fad5b-d9cb', attempt: 'x/1/1', node: 'x' } })
  assert.equal(change.map(({ type }) => type), ['invalid'])
})

test('only the winning attempt can abandon or finish a key', () => {
  const reducer = createClaimsReducer()
  const values = [
    { type: 'claim', key, attempt: 'x/1/1', node: 'x' },
    { type: 'abandon', key, attempt: 'y/1/1' },
    { type: 'outcome', key, attempt: 'y/1/1', status: 200, contentType: '', body: '' },
    { type: 'claim', key, attempt: 'y/1/1', node: 'y' }
  ]
  const changes = values.flatMap((value, offset) => reducer.apply({ offset, time: 0, value }))
  assert.equal(changes.map(({ type }) => type), ['won', 'lost'])
})

test('claims of many orders share one append', () => {
  const stream = createStream()
  const coordinator = coordinatorOf('a')
  coordinator.receivePage(stream.page(), 0)
  const first = appendOf(order(coordinator, 0, 'o0', '3.0-00000000'))
  for (let count = 1; count <= 100; count += 1) {
    assert.is(order(coordinator, 1, `o${count}`, `3.0-${String(count).padStart(8, '0')}`).length, 0)
  }
  const second = appendOf([...coordinator.appendFinished(first.token, stream.append(first.values), 2), ...coordinator.tick(claimCoordinatorDefaults.appendIntervalMs)])
  assert.is(second.values.length, 100)
})

test('a malformed key or a key of another shard is invalid', () => {
  assert.is(parseOrderKey('16.0-0f8fad5b'), undefined)
  assert.is(parseOrderKey('0f8fad5b-d9cb'), undefined)
  const [response] = responses(order(coordinatorOf('a'), 0, 'o1', '4.0-0f8fad5b'))
  assert.ok(response?.type === 'refused' && response.outcome === 'invalid')
})

test('without read-back two nodes send the same order, which shows that the fault hook takes effect', () => {
  const stream = createStream()
  const [a, b] = [coordinatorOf('a', { skipReadBack: true }), coordinatorOf('b', { skipReadBack: true })]
  a.receivePage(stream.page(), 0)
  b.receivePage(stream.page(), 0)
  const [fromA, fromB] = [appendOf(order(a)), appendOf(order(b))]
  const sentA = sends(a.appendFinished(fromA.token, stream.append(fromA.values), 1))
  const sentB = sends(b.appendFinished(fromB.token, stream.append(fromB.values), 1))
  assert.is(sentA.length + sentB.length, 2)
})

test.run()
