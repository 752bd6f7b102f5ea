import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { comparedControls, measureControl } from './config-concurrency'

test('the workload distinguishes the methods, so that a regression in one of them changes its counts', () => {
  const [none, wholeDocument, perKey, validated, readSet] = comparedControls().map(control => measureControl(control, 2000, 8, 1))
  assert.ok(none!.lostUpdates > 0 && none!.brokenReferences > 0 && none!.brokenPremises > 0)
  assert.ok(wholeDocument!.needless > 0)
  assert.is(perKey!.lostUpdates, 0)
  assert.ok(perKey!.brokenReferences > 0 && perKey!.brokenPremises > 0)
  assert.ok(validated!.brokenPremises > 0)
  const { lostUpdates, brokenReferences, brokenPremises, needless } = readSet!
  assert.equal({ lostUpdates, brokenReferences, brokenPremises }, { lostUpdates: 0, brokenReferences: 0, brokenPremises: 0 })
  assert.ok(needless < wholeDocument!.needless / 10)
})

test('the same seed gives the same counts', () => {
  const run = (): unknown => measureControl(comparedControls()[4]!, 500, 8, 3)
  assert.equal(run(), run())
})

test.run()
