import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createConfigReducer, changeIdWindowRecords, type ConfigReducer } from './config-reducer'
import { splitConfigSnapshot } from './config-snapshot'
import type { ConfigChange, ChangeOutcome } from './config-types'
import { validateConfig } from './config-validator'

const reducerOf = (): ConfigReducer => createConfigReducer({ validate: validateConfig })

const model = { group: 'kitdraft-llm' }
const adapter = { model: 'base', versions: ['1'] }
const fast = { firstTokenMs: 1000, attainment: 0.95 }
const slow = { finishWithinMs: 60_000, attainment: 0.9 }

const changeOf = (id: string, base: number, writes: Record<string, unknown>, reads: string[] = []): ConfigChange =>
  ({ type: 'change', id, base, writes, reads, by: 'operator' })

const append = (reducer: ConfigReducer, value: unknown): ChangeOutcome | undefined => {
  const [reduced] = reducer.apply({ offset: reducer.nextOffset, time: 0, value })
  return reduced?.type === 'change' ? reduced.outcome : undefined
}

test('of two concurrent changes of one key the second is rejected with both values and does not overwrite the first', () => {
  const reducer = reducerOf()
  assert.equal(append(reducer, changeOf('a', -1, { 'class/draft': fast })), { type: 'accepted', revision: 0 })
  assert.equal(append(reducer, changeOf('b', -1, { 'class/draft': slow })), { type: 'conflict', key: 'class/draft', yours: slow, theirs: fast, revision: 0 })
  assert.equal(reducer.view.get('class/draft'), fast)
  assert.is(reducer.revision, 0)
})

test('a change is rejected when a key that it only read has changed', () => {
  const reducer = reducerOf()
  append(reducer, changeOf('a', -1, { 'class/draft': fast }))
  const outcome = append(reducer, changeOf('b', -1, { 'class/short': fast }, ['class/draft']))
  assert.equal(outcome, { type: 'conflict', key: 'class/draft', yours: undefined, theirs: fast, revision: 0 })
})

test('write skew: deleting a model and adding an adapter of it cannot both be accepted', () => {
  const reducer = reducerOf()
  append(reducer, changeOf('a', -1, { 'model/base': model }))
  assert.is(append(reducer, changeOf('b', 0, { 'model/base': null }))?.type, 'accepted')
  const outcome = append(reducer, changeOf('c', 0, { 'adapter/x': adapter }))
  assert.equal(outcome, { type: 'invalid', findings: [{ key: 'adapter/x', detail: 'model "base" does not exist' }] })
})

test('deleting a model in use reports each adapter of it', () => {
  const reducer = reducerOf()
  append(reducer, changeOf('a', -1, { 'model/base': model, 'adapter/x': adapter, 'adapter/y': adapter }))
  const outcome = append(reducer, changeOf('b', 0, { 'model/base': null }))
  assert.equal(outcome?.type === 'invalid' && outcome.findings.map(({ key }) => key), ['adapter/x', 'adapter/y'])
})

test('all findings of a change are reported together', () => {
  const outcome = append(reducerOf(), changeOf('a', -1, { 'class/x': { attainment: 2 }, 'adapter/y': { versions: [] }, 'weight/z': {} }))
  assert.is(outcome?.type, 'invalid')
  const keys = outcome?.type === 'invalid' ? new Set(outcome.findings.map(({ key }) => key)) : new Set()
  assert.equal([...keys], ['adapter/y', 'class/x', 'weight/z'])
})

test('a duplicate change has no effect, even when the first was invalid and the second would be valid', () => {
  const reducer = reducerOf()
  const change = changeOf('a', -1, { 'adapter/x': adapter })
  assert.is(append(reducer, change)?.type, 'invalid')
  append(reducer, changeOf('b', -1, { 'model/base': model }))
  assert.equal(append(reducer, change), { type: 'duplicate', first: 0 })
  assert.is(reducer.outcome('a')?.type, 'invalid')
  assert.is(reducer.view.get('adapter/x'), undefined)
})

test('a duplicate change has no effect after its id was forgotten', () => {
  const reducer = reducerOf()
  const change = changeOf('a', -1, { 'adapter/x': adapter })
  append(reducer, change)
  append(reducer, changeOf('b', -1, { 'model/base': model }))
  while (reducer.nextOffset <= changeIdWindowRecords + 2) {
    append(reducer, { type: 'other' })
  }
  assert.is(reducer.outcome('a'), undefined)
  assert.is(append(reducer, change)?.type, 'invalid')
})

test('applying records a second time does not change the state', () => {
  const records = [changeOf('a', -1, { 'model/base': model }), changeOf('b', 0, { 'adapter/x': adapter }), changeOf('c', 0, { 'adapter/x': null })]
  const entries = records.map((value, offset) => ({ offset, time: 0, value }))
  const once = reducerOf()
  const twice = reducerOf()
  entries.forEach(entry => once.apply(entry))
  entries.concat(entries).forEach(entry => twice.apply(entry))
  assert.equal(twice.state(), once.state())
})

test('a node that starts from a snapshot and the later records reaches the same state as a node that read all records', () => {
  const whole = reducerOf()
  const log: unknown[] = [changeOf('a', -1, { 'model/base': model }), changeOf('bad', -1, { 'adapter/x': { ...adapter, model: 'new' } })]
  log.forEach(value => append(whole, value))
  const parts = splitConfigSnapshot(whole.state()!, 's1')
  const late = changeOf('c', 0, { 'adapter/x': adapter })
  const rest = [late, ...parts, changeOf('d', 2, { 'model/new': model }), changeOf('bad', -1, { 'adapter/x': { ...adapter, model: 'new' } })]
  rest.forEach(value => append(whole, value))
  const started = reducerOf()
  started.skipTo(2)
  assert.not(started.complete)
  rest.forEach((value, index) => started.apply({ offset: 2 + index, time: 0, value }))
  assert.ok(started.complete)
  assert.equal(started.state(), whole.state())
  assert.is(started.revision, whole.revision)
})

test('a snapshot that does not reach the gap is not adopted', () => {
  const whole = reducerOf()
  append(whole, changeOf('a', -1, { 'model/base': model }))
  const old = splitConfigSnapshot(whole.state()!, 's1')
  const started = reducerOf()
  started.skipTo(5)
  old.forEach((value, index) => started.apply({ offset: 5 + index, time: 0, value }))
  assert.not(started.complete)
  assert.is(started.view.get('model/base'), undefined)
})

test('a state from a peer never replaces a newer one, and the log continues after it', () => {
  const ahead = reducerOf()
  append(ahead, changeOf('a', -1, { 'model/base': model }))
  const older = ahead.state()!
  append(ahead, changeOf('b', 0, { 'adapter/x': adapter }))
  const behind = reducerOf()
  assert.ok(behind.adopt(ahead.state()!))
  assert.is(behind.revision, 1)
  assert.not(behind.adopt(older))
  assert.equal(behind.apply({ offset: 0, time: 0, value: changeOf('z', -1, { 'class/x': fast }) }), [])
  append(behind, changeOf('c', 1, { 'adapter/x': null }))
  append(ahead, changeOf('c', 1, { 'adapter/x': null }))
  assert.equal(behind.state(), ahead.state())
})

test('a deleted key still conflicts with changes made before the deletion', () => {
  const reducer = reducerOf()
  append(reducer, changeOf('a', -1, { 'class/draft': fast }))
  append(reducer, changeOf('b', 0, { 'class/draft': null }))
  assert.is(append(reducer, changeOf('c', 0, { 'class/draft': slow }))?.type, 'conflict')
})

test('malformed records are skipped', () => {
  const reducer = reducerOf()
  for (const value of [null, 'text', 7, { type: 'change' }, { type: 'snapshot', parts: 1 }, changeOf('e', -1, {})]) {
    append(reducer, value)
  }
  assert.is(reducer.revision, -1)
  assert.is(reducer.nextOffset, 6)
})

test.run()
