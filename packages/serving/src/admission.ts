/** Early refusal: compares the estimated times of a request with its target and its deadline. */
import { adapterKey } from './handles'
import { loadCandidates } from './load-choice'
import type { SchedulingContext } from './load-choice'
import type { ServingRequest } from './messages'

export type ServiceTimeEstimates = {
  observe (result: { firstTokenMs?: number, totalMs: number, tokens: number }): void
  firstTokenMs (): number
  perTokenMs (): number
  serviceMs (): number
}

const smoothingFactor = 0.05
/** Assumed until the first results are in. */
const initialFirstTokenMs = 200
const initialPerTokenMs = 30
const initialServiceMs = 5_000
/** Estimates are coarse: a request is refused only when they exceed the target by this factor. */
const targetTolerance = 2

/** Smoothed times from dispatch, as the engine achieved them. */
export const createServiceTimeEstimates = (): ServiceTimeEstimates => {
  let smoothedFirstTokenMs = initialFirstTokenMs
  let smoothedPerTokenMs = initialPerTokenMs
  let smoothedServiceMs = initialServiceMs

  return {
    observe ({ firstTokenMs, totalMs, tokens }) {
      smoothedServiceMs += smoothingFactor * (totalMs - smoothedServiceMs)
      if (firstTokenMs !== undefined) {
        smoothedFirstTokenMs += smoothingFactor * (firstTokenMs - smoothedFirstTokenMs)
      }
      if (firstTokenMs !== undefined && tokens > 1) {
        smoothedPerTokenMs += smoothingFactor * ((totalMs - firstTokenMs) / (tokens - 1) - smoothedPerTokenMs)
      }
    },
    firstTokenMs: () => smoothedFirstTokenMs,
    perTokenMs: () => smoothedPerTokenMs,
    serviceMs: () => smoothedServiceMs
  }
}

export type AdmissionState = {
  context: SchedulingContext
  times: ServiceTimeEstimates
  batchSize: number
  running: number
  permitIntervalMs: number
  /** Time that a load takes at present, in ms. */
  loadTimeMs: number
}

/** Adapters take turns, so a queue on one of them delays the others by at most their own number of turns. */
const requestsAhead = ({ queue, slots, isPatient }: SchedulingContext, key: string | undefined): number => {
  const own = key === undefined ? 0 : queue.group(key)?.size ?? 0
  let ahead = 0
  for (const group of queue.groups()) {
    const size = slots.isLoadedOrLoading(group.key) ? group.size : 0
    const impatient = [...group.byClass.keys()].some((name) => !isPatient(name))
    ahead += impatient ? Math.min(size, own + 1) : 0
  }
  return ahead
}

/**
 * @param key adapter version of the request; without it the wait of a further adapter is estimated
 * @returns the estimated wait for a place in the batch, in ms
 */
export const batchWaitMs = ({ context, times, batchSize, running }: AdmissionState, key?: string): number => {
  const queuedAhead = requestsAhead(context, key)
  const ahead = queuedAhead + Math.max(0, running - batchSize)
  return running < batchSize && queuedAhead === 0 ? 0 : (ahead + 1) * times.serviceMs() / batchSize
}

/**
 * @param urgency urgency of the load; 0 stands behind every waiting load
 * @returns the estimated wait until a load of a further adapter completes, in ms
 */
export const loadWaitMs = ({ context, permitIntervalMs, loadTimeMs }: AdmissionState, urgency: number, now: number): number => {
  const ahead = loadCandidates(context, now).filter((candidate) => candidate.urgency > urgency).length
  return ahead * permitIntervalMs + loadTimeMs
}

/** @returns how long until a retry is worthwhile, in ms; undefined when the request should be admitted */
export const refusalRetryMs = (request: ServingRequest, state: AdmissionState, now: number): number | undefined => {
  const { context, times } = state
  const { feedback, slots, loadMs } = context
  const key = adapterKey(request.adapter, request.version)
  const isLoadedOrLoading = slots.isLoadedOrLoading(key)
  const urgency = feedback.urgency(request.class, now - request.arrivedAt) * 1000 / loadMs
  const loadDelayMs = isLoadedOrLoading ? 0 : loadWaitMs(state, urgency, now)
  const firstTokenInMs = Math.max(loadDelayMs, context.isPatient(request.class) ? 0 : batchWaitMs(state, key)) + times.firstTokenMs()
  const waitedMs = now - request.arrivedAt
  const runMs = request.maxTokens * times.perTokenMs()
  const excessMs = Math.max(
    waitedMs + firstTokenInMs - feedback.patienceMs(request.class, request.maxTokens) * targetTolerance,
    now + firstTokenInMs + runMs - request.deadline
  )
  return excessMs > 0 ? Math.max(loadMs, excessMs) : undefined
}
