import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createConfigSnapshotAssembler, createSnapshotSchedule, splitConfigSnapshot, type SnapshotSchedule } from './config-snapshot'
import type { ConfigState } from './config-types'
import { rankNodes } from './rendezvous'

const stateOf = (keys: number): ConfigState => ({
  position: 1000,
  entries: Array.from({ length: keys }, (_, index) => ({ key: `model/m${index}`, revision: index, value: { group: 'g' } })),
  ids: [{ id: 'change-1', offset: 990 }]
})

test('parts in any order, duplicated and mixed with those of another attempt are assembled to the state', () => {
  const state = stateOf(450)
  const parts = splitConfigSnapshot(state, 'one')
  assert.is(parts.length, 3)
  const other = splitConfigSnapshot(stateOf(300), 'two')
  const assembler = createConfigSnapshotAssembler()
  const mixed = [parts[2], other[0], parts[0], parts[0], { type: 'change' }]
  mixed.forEach(part => assert.is(assembler.add(part), undefined))
  assert.equal(assembler.add(parts[1]), state)
})

test('an empty state has one part', () => {
  const empty = { position: 3, entries: [], ids: [] }
  const [part] = splitConfigSnapshot(empty, 'one')
  assert.equal(createConfigSnapshotAssembler().add(part), empty)
})

test('incomplete snapshots of writers that died are dropped, so that memory stays limited', () => {
  const assembler = createConfigSnapshotAssembler()
  const unfinished = splitConfigSnapshot(stateOf(450), 'first')
  assembler.add(unfinished[0])
  for (let attempt = 0; attempt < 20; attempt++) {
    assembler.add(splitConfigSnapshot(stateOf(450), `attempt-${attempt}`)[0])
  }
  unfinished.slice(1).forEach(part => assert.is(assembler.add(part), undefined))
})

const live = [{ id: 'n1' }, { id: 'n2' }, { id: 'n3' }]
const scheduleOf = (self: string): SnapshotSchedule =>
  createSnapshotSchedule({ self, retentionMs: 30_000, maxRecords: 100, turnMs: 2000 })

test('the first node in rank appends, and the next ones follow when it does not', () => {
  const ranked = rankNodes('snapshot/-1', live).map(({ id }) => id)
  const schedules = ranked.map(scheduleOf)
  const dueAt = (now: number): boolean[] => schedules.map(schedule => schedule.isDue(5, live, now))
  assert.equal(dueAt(0), [false, false, false])
  assert.equal(dueAt(9999), [false, false, false])
  assert.equal(dueAt(10_000), [true, false, false])
  assert.equal(dueAt(12_000), [true, true, false])
  assert.equal(dueAt(14_000), [true, true, true])
})

test('a snapshot becomes due before retention drops the last one, also without new records', () => {
  const schedule = scheduleOf('n1')
  schedule.snapshotRead(4, 0)
  assert.not(schedule.isDue(5, [{ id: 'n1' }], 9000))
  assert.ok(schedule.isDue(5, [{ id: 'n1' }], 10_000))
})

test('a snapshot is due early after many records', () => {
  const schedule = scheduleOf('n1')
  schedule.snapshotRead(9, 0)
  assert.not(schedule.isDue(109, [{ id: 'n1' }], 1))
  assert.ok(schedule.isDue(110, [{ id: 'n1' }], 1))
})

test('a node that is appending is not due again within a turn, and an older snapshot does not count', () => {
  const schedule = scheduleOf('n1')
  schedule.snapshotRead(9, 0)
  assert.ok(schedule.isDue(10, [{ id: 'n1' }], 10_000))
  schedule.appendStarted(10_000)
  schedule.snapshotRead(3, 10_001)
  assert.not(schedule.isDue(10, [{ id: 'n1' }], 11_000))
  assert.ok(schedule.isDue(10, [{ id: 'n1' }], 12_000))
})

test.run()
