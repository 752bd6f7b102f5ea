import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createEnginePollSchedule } from './engine-poll-schedule'

const turns = (polls: ReturnType<typeof createEnginePollSchedule>, count: number): string[][] =>
  Array.from({ length: count }, () => polls.due(['e1']))

// Guards against engine reports exceeding a node's control traffic budget while nothing happens.
test('polls a new engine at every turn and later at every fourth', () => {
  const polls = createEnginePollSchedule()
  assert.is(turns(polls, 20).flat().length, 20)
  assert.is(turns(polls, 20).flat().length, 5)
})

// Guards against a restart of an engine being noticed only at the next regular poll.
test('polls at the next turn after a failed request, and as a new engine after it was owned elsewhere', () => {
  const polls = createEnginePollSchedule()
  turns(polls, 20)
  polls.observe({ type: 'request-ended', requestId: 'r', outcome: 'broken', tokens: 3 })
  assert.equal(polls.due(['e1']), ['e1'])
  assert.equal(polls.due(['e1']), [])
  polls.due([])
  assert.equal(polls.due(['e1']), ['e1'])
})

test.run()
