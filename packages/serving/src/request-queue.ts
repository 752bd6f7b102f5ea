/** The bounded queue of an engine's owner, grouped by adapter version and class. */
import { adapterKey } from './handles'
import { invariant } from './invariant'
import type { ServingRequest } from './messages'

export type Waiting = {
  request: ServingRequest
  /** Dispatches that ended without running or without a token. */
  attempts: number
  /** An earlier attempt may have run on the engine, so "not run" cannot be said any more. */
  mayHaveRun: boolean
}

/** All waiting requests for one version of one adapter. */
export type Group = {
  key: string
  adapter: string
  version: string
  size: number
  byClass: Map<string, Waiting[]>
}

export type RequestQueue = {
  readonly size: number
  /** @returns why the request does not fit, or undefined when it was added */
  add (waiting: Waiting): 'engine-queue-full' | 'adapter-queue-full' | undefined
  /** Puts a request back at its place by arrival; requests already accepted are not subject to the bounds. */
  restore (waiting: Waiting): void
  remove (requestId: string): Waiting | undefined
  has (requestId: string): boolean
  group (key: string): Group | undefined
  groups (): IterableIterator<Group>
  all (): Waiting[]
}

export type QueueBounds = { queuedPerEngine: number, queuedPerAdapter: number }

const byArrival = (a: Waiting, b: Waiting): number => a.request.arrivedAt - b.request.arrivedAt

export const createRequestQueue = ({ queuedPerEngine, queuedPerAdapter }: QueueBounds): RequestQueue => {
  const groups = new Map<string, Group>()
  const index = new Map<string, Waiting>()

  const groupFor = ({ adapter, version }: ServingRequest): Group => {
    const key = adapterKey(adapter, version)
    const group = groups.get(key) ?? { key, adapter, version, size: 0, byClass: new Map() }
    groups.set(key, group)
    return group
  }

  const insert = (waiting: Waiting): Waiting[] => {
    const { request } = waiting
    invariant(!index.has(request.requestId), `request ${request.requestId} is queued twice`)
    const group = groupFor(request)
    const list = group.byClass.get(request.class) ?? []
    list.push(waiting)
    group.byClass.set(request.class, list)
    group.size += 1
    index.set(request.requestId, waiting)
    return list
  }

  return {
    get size () {
      return index.size
    },
    add (waiting) {
      if (index.size >= queuedPerEngine) {
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
      const waiting = index.get(requestId)
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
      index.delete(requestId)
      return waiting
    },
    has: (requestId) => index.has(requestId),
    group: (key) => groups.get(key),
    groups: () => groups.values(),
    all: () => [...index.values()]
  }
}
