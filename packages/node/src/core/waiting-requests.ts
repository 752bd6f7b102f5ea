/** Queue of requests that wait until the owner of an engine accepts work, in order of arrival. */
import type { RequestEntry } from './engine-owner-types'

export type WaitingRequests = {
  /** @returns false when the queue is full */
  add (entry: RequestEntry): boolean
  has (requestId: string): boolean
  /** @returns false when the request is not in the queue */
  remove (requestId: string): boolean
  /** Removes and returns all requests. */
  takeAll (): RequestEntry[]
  /** Removes and returns the requests whose deadline has passed. */
  takeExpired (now: number): RequestEntry[]
  readonly size: number
}

/** @param capacity - maximum number of waiting requests */
export const createWaitingRequests = (capacity: number): WaitingRequests => {
  const entries = new Map<string, RequestEntry>()

  const take = (taken: RequestEntry[]): RequestEntry[] => {
    taken.forEach(({ completion }) => entries.delete(completion.requestId))
    return taken
  }

  return {
    add (entry) {
      if (entries.size >= capacity) {
        return false
      }
      entries.set(entry.completion.requestId, entry)
      return true
    },
    has: requestId => entries.has(requestId),
    remove: requestId => entries.delete(requestId),
    takeAll: () => take([...entries.values()]),
    takeExpired: now => take([...entries.values()].filter(({ completion }) => now >= completion.deadline)),
    get size () {
      return entries.size
    }
  }
}
