/** Bounded queue of the requests for one engine, grouped by adapter version and class. */
import { adapterKey } from './handles'
import { invariant } from './invariant'
import type { ServingRequest } from './messages'

export type WaitingRequest = {
  request: ServingRequest
  /** Number of dispatches that ended without running or without a token. */
  attempts: number
  /** An earlier attempt may have run on the engine, so the request can no longer be reported as not run. */
  mayHaveRun: boolean
}

/** Waiting requests for one version of one adapter. */
export type RequestGroup = {
  key: string
  adapter: string
  version: string
  size: number
  byClass: Map<string, WaitingRequest[]>
}

export type RequestQueue = {
  readonly size: number
  /** @returns why the request does not fit, or undefined when it was added */
  add (waiting: WaitingRequest): 'engine-queue-full' | 'adapter-queue-full' | undefined
  /** Puts an accepted request back in order of arrival; the bounds do not apply to it. */
  restore (waiting: WaitingRequest): void
  remove (requestId: string): WaitingRequest | undefined
  has (requestId: string): boolean
  group (key: string): RequestGroup | undefined
  groups (): IterableIterator<RequestGroup>
  all (): WaitingRequest[]
}

export type QueueBounds = { queuedPerEngine: number, queuedPerAdapter: number }

const byArrival = (a: WaitingRequest, b: WaitingRequest): number => a.request.arrivedAt - b.request.arrivedAt

export const createRequestQueue = ({ queuedPerEngine, queuedPerAdapter }: QueueBounds): RequestQueue => {
  const groups = new Map<string, RequestGroup>()
  const byId = new Map<string, WaitingRequest>()

  const groupFor = ({ adapter, version }: ServingRequest): RequestGroup => {
    const key = adapterKey(adapter, version)
    const group = groups.get(key) ?? { key, adapter, version, size: 0, byClass: new Map() }
    groups.set(key, group)
    return group
  }

  const insert = (waiting: WaitingRequest): WaitingRequest[] => {
    const { request } = waiting
    invariant(!byId.has(request.requestId), `request ${request.requestId} is queued twice`)
    const group = groupFor(request)
    const list = group.byClass.get(request.class) ?? []
    list.push(waiting)
    group.byClass.set(request.class, list)
    group.size += 1
    byId.set(request.requestId, waiting)
    return list
  }

  return {
    get size () {
      return byId.size
    },
    add (waiting) {
      if (byId.size >= queuedPerEngine) {
        return 'engine-queue-full'
      }
      const key = adapterKey(waiting.request.adapter, waiting.request.version)
      if ((groups.get(key)?.size ?? 0) >= queuedPerAdapter) {
        return 'adapter-queue-full'
      }
      insert(waiting)
      return undefined
    },
    restore (waiting) {
      insert(waiting).sort(byArrival)
    },
    remove (requestId) {
      const waiting = byId.get(requestId)
      if (waiting === undefined) {
        return undefined
      }
      const group = groupFor(waiting.request)
      const list = group.byClass.get(waiting.request.class)!
      list.splice(list.indexOf(waiting), 1)
      if (list.length === 0) {
        group.byClass.delete(waiting.request.class)
      }
      group.size -= 1
      if (group.size === 0) {
        groups.delete(group.key)
      }
      byId.delete(requestId)
      return waiting
    },
    has: (requestId) => byId.has(requestId),
    group: (key) => groups.get(key),
    groups: () => groups.values(),
    all: () => [...byId.values()]
  }
}
