import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createTargetFeedback, meetsTarget } from './feedback'

const classes = {
  short: { firstTokenMs: 2_000, finishWithinMs: 60_000, attainment: 0.95 },
  long: { finishWithinMs: 14_400_000, attainment: 0.99 }
}

test('urgency follows from the target and grows with the wait (guards against starvation and hidden weights)', () => {
  const feedback = createTargetFeedback(classes, 0.25)
  assert.ok(feedback.urgency('short', 0) > 1_000 * feedback.urgency('long', 0))
  assert.ok(feedback.urgency('long', 1e12) > feedback.urgency('short', 2_000))
})

test('missed targets raise the urgency of the class, met ones lower it again (guards against feedback that never decays)', () => {
  const feedback = createTargetFeedback(classes, 0.25)
  const before = feedback.urgency('short', 0)
  for (let index = 0; index < 100; index += 1) {
    feedback.observe('short', { tokens: 0 })
  }
  assert.ok(feedback.urgency('short', 0) > before * 2)
  for (let index = 0; index < 400; index += 1) {
    feedback.observe('short', { firstTokenMs: 100, finishMs: 1_000, tokens: 10 })
  }
  assert.ok(feedback.urgency('short', 0) < before * 1.05)
})

test('a refusal and a slow stream miss the target (guards against refusals that count as success)', () => {
  assert.is(meetsTarget(classes.short, { tokens: 0 }), false)
  assert.is(meetsTarget({ ...classes.short, perTokenMs: 35 }, { firstTokenMs: 100, finishMs: 10_100, tokens: 101 }), false)
  assert.is(meetsTarget(classes.short, { firstTokenMs: 100, finishMs: 10_100, tokens: 101 }), true)
})

test('changed targets take effect at once (guards against weights of an old configuration)', () => {
  const feedback = createTargetFeedback(classes, 0.25)
  const before = feedback.urgency('long', 0)
  feedback.setClasses({ ...classes, long: { firstTokenMs: 1_000, attainment: 0.9 } })
  assert.ok(feedback.urgency('long', 0) > before * 1_000)
})

test.run()
