/** Admission control: refuses a request early when its estimated times miss its target or its deadline. */
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

/** Weight of one request in the smoothed times. */
const smoothingFactor = 0.05
/** Used until the first requests have finished. */
const initialFirstTokenMs = 200
const initialPerTokenMs = 30
const initialServiceMs = 5_000
/** Estimates are coarse, so a request is refused only when they exceed its target by this factor. */
const targetTolerance = 2

/** Smoothed measured times, counted from dispatch. */
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
  /** Current duration of a load, in ms. */
  loadTimeMs: number
}

/**
 * Counts the queued requests that run first. Adapters are served in turn, so another adapter adds at most
 * one request more than the own adapter has queued. Adapters with only patient requests add none.
 */
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
 * @param key adapter version of the request; without it, the estimate is for an adapter without queued requests
 * @returns the estimated wait for a slot in the batch, in ms
 */
export const batchWaitMs = ({ context, times, batchSize, running }: AdmissionState, key?: string): number => {
  const queuedAhead = requestsAhead(context, key)
  const ahead = queuedAhead + Math.max(0, running - batchSize)
  return running < batchSize && queuedAhead === 0 ? 0 : (ahead + 1) * times.serviceMs() / batchSize
}

/**
 * @param urgency urgency of the load; 0 ranks after every waiting load
 * @returns the estimated wait until the load of another adapter completes, in ms
 */
export const loadWaitMs = ({ context, permitIntervalMs, loadTimeMs }: AdmissionState, urgency: number, now: number): number => {
  const ahead = loadCandidates(context, now).filter((candidate) => candidate.urgency > urgency).length
  return ahead * permitIntervalMs + loadTimeMs
}

/** @returns the time after which a retry is worthwhile, in ms; undefined when the request should be admitted */
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
