import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRelayedResponse } from './relayed-response'
import { createProblem, parseProblem } from './problem'

const completion = { requestId: 'r1', model: 'base', adapter: 'red', version: '1', class: 'chat', prompt: 'hello', maxTokens: 5, deadline: 1000 }
const limits = { replayBytes: 4096, replayMs: 1000 }
const refusal = createProblem(503, 'not-run', 'Not run', 'the queue is full')

function outcomeOf (mayHaveRun: boolean): string | undefined {
  const response = createRelayedResponse('r1', completion, limits, 0)
  response.mayHaveRun = mayHaveRun
  response.fail(refusal, 1)
  const ended = response.relay.end()
  return ended?.type === 'failed' ? parseProblem(ended.data).outcome : undefined
}

// Guards against a breach of P4: the refusal of a second attempt doesn't prove that the first one never ran.
test('a refusal reports an unknown outcome if an earlier attempt may have run', () => {
  assert.is(outcomeOf(false), 'not-run')
  assert.is(outcomeOf(true), 'unknown')
})

test.run()
