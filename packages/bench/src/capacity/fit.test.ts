import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { fitLine, valueAt } from './fit'

// Guards against a capacity page that extrapolates from a wrong slope.
test('finds the line through exact points', () => {
  const fit = fitLine([{ x: 1, y: 5 }, { x: 2, y: 7 }, { x: 4, y: 11 }])
  assert.ok(Math.abs(fit.slope - 2) < 1e-9)
  assert.ok(Math.abs(valueAt(fit, 10) - 23) < 1e-9)
  assert.ok(fit.residual < 1e-9)
})

// Guards against accepting a curve as a line: the residual must reveal it.
test('reports a large residual for points that are not on a line', () => {
  const fit = fitLine([{ x: 1, y: 1 }, { x: 2, y: 4 }, { x: 3, y: 9 }, { x: 4, y: 16 }])
  assert.ok(fit.residual > 0.05)
})

test('rejects points of a single size', () => {
  assert.throws(() => fitLine([{ x: 1, y: 1 }, { x: 1, y: 2 }]), /two different sizes/)
})

test.run()
