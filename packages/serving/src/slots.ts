/**
 * Adapter slots of one engine and their replicas, as seen by the owner. A replica occupies its slot from the
 * load command until the engine confirmed the unload or refused the load, or reports show that it is gone.
 */
import type { EngineReport, ResidentAdapter } from '@yuccawharf/clients'
import { adapterKey, parseHandle } from './handles'
import { invariant } from './invariant'

export type ReplicaState =
  | 'loading'
  | 'resident'
  | 'unloading'
  /** The result of the load is unknown: the adapter may be resident now or later. */
  | 'uncertain'

export type AdapterReplica = {
  handle: string
  adapter: string
  version: string
  key: string
  state: ReplicaState
  /** Time of the last change of state, in ms. */
  since: number
  lastUsed: number
  /** Requests of this owner that were dispatched and have not ended. */
  running: Set<string>
  /** The previous owner may still use the handle. */
  adopted: boolean
  /** The last report showed a request on it that this owner did not dispatch. */
  hasForeignRequest: boolean
  /** Number of consecutive reports without the handle. */
  missing: number
  permitId?: string
  /** After the engine refused a dispatch, none is sent before this time, in ms. */
  pausedUntil: number
}

export type SlotTable = {
  readonly usedSlots: number
  readonly capacity: number
  get (handle: string): AdapterReplica | undefined
  all (): IterableIterator<AdapterReplica>
  add (entry: ResidentAdapter, state: ReplicaState, now: number): AdapterReplica
  setState (replica: AdapterReplica, state: ReplicaState, now: number): void
  remove (handle: string, now: number): void
  /** Whether the adapter version is loading or resident. */
  isLoadedOrLoading (key: string): boolean
  /**
   * Applies a report of the same incarnation.
   * @param isOwn whether this owner has the request running on the handle
   * @returns handles that are gone according to the reports
   */
  applyReport (report: EngineReport, isOwn: (requestId: string, handle: string) => boolean, now: number): string[]
  /**
   * Applies the first report of a new incarnation. Slots whose load may have reached the new
   * incarnation after the report stay occupied until later reports decide.
   * @returns replicas that are gone
   */
  applyRestart (report: EngineReport, now: number): AdapterReplica[]
}

/** A report may not show changes that were younger than this when it was taken. */
const reportMarginMs = 2_000
/** Reports may contradict each other, so this many in a row must show that a handle is gone. */
const minMissingReports = 2
/** A load with an unknown result counts as failed after this time unless a report shows its handle. */
const uncertainTimeoutMs = 30_000
/** Bound on the removed handles that are recorded to recognise outdated reports. */
const maxRemovedHandles = 256

export const createSlotTable = (capacity: number): SlotTable => {
  const replicas = new Map<string, AdapterReplica>()
  const byKey = new Map<string, Set<AdapterReplica>>()
  const removedAt = new Map<string, number>()

  const add = ({ handle, adapter, version }: ResidentAdapter, state: ReplicaState, now: number): AdapterReplica => {
    invariant(!replicas.has(handle), `handle ${handle} is used twice`)
    const parsed = parseHandle(handle)
    invariant(parsed === undefined || (parsed.adapter === adapter && parsed.version === version), `handle ${handle} does not name ${adapter}@${version}`)
    const replica: AdapterReplica = { handle, adapter, version, key: adapterKey(adapter, version), state, since: now, lastUsed: now, running: new Set(), adopted: false, hasForeignRequest: false, missing: 0, pausedUntil: 0 }
    replicas.set(handle, replica)
    byKey.set(replica.key, (byKey.get(replica.key) ?? new Set()).add(replica))
    return replica
  }

  const setState = (replica: AdapterReplica, state: ReplicaState, now: number): void => {
    replica.state = state
    replica.since = now
    replica.missing = 0
  }

  const applyReported = (replica: AdapterReplica, now: number): void => {
    replica.missing = 0
    if (replica.state === 'loading' || replica.state === 'uncertain') {
      setState(replica, 'resident', now)
    }
  }

  const applyMissing = (replica: AdapterReplica, takenAt: number): boolean => {
    if (replica.state === 'loading' || replica.running.size > 0 || takenAt < replica.since + reportMarginMs) {
      return false
    }
    replica.missing += 1
    const isOldEnough = replica.state !== 'uncertain' || takenAt >= replica.since + uncertainTimeoutMs
    return isOldEnough && replica.missing >= minMissingReports
  }

  // A report that was taken before an unload still shows the handle.
  const isOutdated = (handle: string, takenAt: number): boolean =>
    takenAt < (removedAt.get(handle) ?? -Infinity) + reportMarginMs

  const addUnknownReplicas = (report: EngineReport, now: number): void => {
    for (const entry of report.resident) {
      if (!replicas.has(entry.handle) && !isOutdated(entry.handle, report.takenAt)) {
        add(entry, 'resident', now)
      }
    }
  }

  const remove = (handle: string, now: number): void => {
    const replica = replicas.get(handle)
    if (replica === undefined) {
      return
    }
    replicas.delete(handle)
    const sameKey = byKey.get(replica.key)!
    sameKey.delete(replica)
    if (sameKey.size === 0) {
      byKey.delete(replica.key)
    }
    removedAt.set(handle, now)
    if (removedAt.size > maxRemovedHandles) {
      removedAt.delete(removedAt.keys().next().value!)
    }
  }

  return {
    get usedSlots () {
      return replicas.size
    },
    capacity,
    get: (handle) => replicas.get(handle),
    all: () => replicas.values(),
    add,
    setState,
    remove,
    isLoadedOrLoading (key) {
      for (const replica of byKey.get(key) ?? []) {
        if (replica.state === 'loading' || replica.state === 'resident') {
          return true
        }
      }
      return false
    },
    applyRestart (report, now) {
      const reported = new Set(report.resident.map(({ handle }) => handle))
      const removed = [...replicas.values()].filter(({ handle, since }) => !reported.has(handle) && since < report.takenAt - reportMarginMs)
      for (const replica of removed) {
        remove(replica.handle, now)
      }
      for (const replica of replicas.values()) {
        if (replica.state === 'resident' && !reported.has(replica.handle)) {
          setState(replica, 'uncertain', now)
        }
      }
      return removed
    },
    applyReport (report, isOwn, now) {
      const reported = new Set(report.resident.map(({ handle }) => handle))
      const foreignHandles = new Set(report.running.filter(({ requestId, handle }) => !isOwn(requestId, handle)).map(({ handle }) => handle))
      const gone: string[] = []
      for (const replica of replicas.values()) {
        replica.hasForeignRequest = foreignHandles.has(replica.handle)
        if (reported.has(replica.handle)) {
          applyReported(replica, now)
        } else if (applyMissing(replica, report.takenAt)) {
          gone.push(replica.handle)
        }
      }
      addUnknownReplicas(report, now)
      return gone
    }
  }
}
