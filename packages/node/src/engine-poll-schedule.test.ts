import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEnginePollSchedule } from './engine-poll-schedule'

const turns = (polls: ReturnType<typeof createEnginePollSchedule>, count: number): string[][] =>
  Array.from({ length: count }, () => polls.due(['e1']))

// Guards against reports that take more than the control bytes of a node while nothing happens.
test('asks a new engine at every turn and a known one at every fourth', () => {
  const polls = createEnginePollSchedule()
  assert.is(turns(polls, 20).flat().length, 20)
  assert.is(turns(polls, 20).flat().length, 5)
})

// Guards against a restarted engine that is noticed only at the next calm turn.
test('asks at the next turn after a failed request, and anew after the engine changed hands', () => {
  const polls = createEnginePollSchedule()
  turns(polls, 20)
  polls.observe({ type: 'request-ended', requestId: 'r', outcome: 'broken', tokens: 3 })
  assert.equal(polls.due(['e1']), ['e1'])
  assert.equal(polls.due(['e1']), [])
  polls.due([])
  assert.equal(polls.due(['e1']), ['e1'])
})

test.run()
