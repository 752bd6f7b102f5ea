import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRequestPace, paceWaitMs, recordRequest } from './request-pace'

const test = suite('request pace')

/** Sends as early as possible and returns the times of the requests. */
function sendAll (requestsPerSecond: number, untilMs: number): number[] {
  const pace = createRequestPace(requestsPerSecond, 0)
  const times: number[] = []
  for (let now = 0; now < untilMs; now += 10) {
    while (paceWaitMs(pace, now) === 0) {
      times.push(now)
      recordRequest(pace, now)
    }
  }
  return times
}

// Guards against a burst after each pause that exceeds what the server states.
test('a window has at most the stated number of requests and a small burst', () => {
  for (const rate of [0.3, 1, 3, 12.5, 100]) {
    const times = sendAll(rate, 20_000)
    const most = Math.max(...times.map(start => times.filter(at => at >= start && at < start + 4000).length))
    assert.ok(most <= 4 * rate + Math.max(1, rate / 2) + 1, `${most} requests in 4 s at ${rate} a second`)
    assert.ok(times.length >= 19 * rate, `${times.length} requests in 20 s at ${rate} a second`)
  }
})

// Guards against a server that is never used again because it once stated next to nothing.
test('a higher limit is in force at once, and the lowest rate still lets requests through', () => {
  const slow = createRequestPace(1e-9, 0)
  recordRequest(slow, 0)
  assert.ok(paceWaitMs(slow, 0) <= 10_000)
  const faster = createRequestPace(4, 100, slow)
  assert.ok(paceWaitMs(faster, 100) <= 250)
})

test.run()
