/**
 * Spaces the requests to one backend server that accepts a stated number of requests a second. Meant
 * for servers in trouble that get several times as many requests as they state, from many nodes.
 */

export type RequestPace = {
  /** Time between two requests at the stated rate, in ms. */
  intervalMs: number
  /** Time at which the next request is due if no request comes early. */
  nextAt: number
}

/** Time for which requests may come early after a pause, in ms: they arrive at random, and a pause cannot be made up for otherwise. */
const burstMs = 500
/** Lowest rate, in requests a second. The server's next response shows whether it still states the limit. */
const minRequestsPerSecond = 0.1

/** @param previous - pace under the limit that was stated before */
export function createRequestPace (requestsPerSecond: number, now: number, previous?: RequestPace): RequestPace {
  const intervalMs = 1000 / Math.max(minRequestsPerSecond, requestsPerSecond)
  return { intervalMs, nextAt: Math.min(previous?.nextAt ?? now, now + intervalMs) }
}

/** @returns time until a request may be sent, in ms */
export function paceWaitMs ({ intervalMs, nextAt }: RequestPace, now: number): number {
  return Math.max(0, nextAt - Math.max(0, burstMs - intervalMs) - now)
}

/** Counts a request, which is sent now or after {@link paceWaitMs}. */
export function recordRequest (pace: RequestPace, now: number): void {
  pace.nextAt = Math.max(pace.nextAt, now) + pace.intervalMs
}
