/** Early refusal: compares the estimated times of a request with its target and its deadline. */
import { adapterKey } from './handles'
import { loadCandidates } from './load-choice'
import type { ChoiceContext } from './load-choice'
import type { ServingRequest } from './messages'

export type ServiceTimes = {
  observe (result: { firstTokenMs?: number, totalMs: number, tokens: number }): void
  firstTokenMs (): number
  perTokenMs (): number
  serviceMs (): number
}

const smoothing = 0.05
/** Assumed until the first results are in. */
const initialFirstTokenMs = 200
const initialPerTokenMs = 30
const initialServiceMs = 5_000
/** Estimates are coarse: a request is refused only when they exceed the target by this factor. */
const overshoot = 2

/** Smoothed times from dispatch, as the engine achieved them. */
export const createServiceTimes = (): ServiceTimes => {
  let first = initialFirstTokenMs
  let perToken = initialPerTokenMs
  let service = initialServiceMs

  return {
    observe ({ firstTokenMs, totalMs, tokens }) {
      service += smoothing * (totalMs - service)
      if (firstTokenMs !== undefined) {
        first += smoothing * (firstTokenMs - first)
      }
      if (firstTokenMs !== undefined && tokens > 1) {
        perToken += smoothing * ((totalMs - firstTokenMs) / (tokens - 1) - perToken)
      }
    },
    firstTokenMs: () => first,
    perTokenMs: () => perToken,
    serviceMs: () => service
  }
}

export type AdmissionState = {
  context: ChoiceContext
  times: ServiceTimes
  batchSize: number
  running: number
  permitIntervalMs: number
  /** Time that a load takes at present, in ms. */
  loadTimeMs: number
}

/** Adapters take turns, so a queue on one of them delays the others by at most their own number of turns. */
const requestsAhead = ({ queue, slots, isPatient }: ChoiceContext, key: string | undefined): number => {
  const own = key === undefined ? 0 : queue.group(key)?.size ?? 0
  let ahead = 0
  for (const group of queue.groups()) {
    const size = slots.present(group.key) ? group.size : 0
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
  const ready = requestsAhead(context, key)
  const ahead = ready + Math.max(0, running - batchSize)
  return running < batchSize && ready === 0 ? 0 : (ahead + 1) * times.serviceMs() / batchSize
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
  const resident = slots.present(key)
  const urgency = feedback.urgency(request.class, now - request.arrivedAt) * 1000 / loadMs
  const loading = resident ? 0 : loadWaitMs(state, urgency, now)
  const wait = Math.max(loading, context.isPatient(request.class) ? 0 : batchWaitMs(state, key)) + times.firstTokenMs()
  const waited = now - request.arrivedAt
  const run = request.maxTokens * times.perTokenMs()
  const excess = Math.max(
    waited + wait - feedback.patienceMs(request.class, request.maxTokens) * overshoot,
    now + wait + run - request.deadline
  )
  return excess > 0 ? Math.max(loadMs, excess) : undefined
}
