/**
 * The adapter slots of one engine as its owner knows them. A handle occupies its slot from the load
 * command until the engine has confirmed the unload, the load was refused, or reports show that it is gone.
 */
import type { EngineReport, ResidentAdapter } from '@yuccawharf/clients'
import { adapterKey, parseHandle } from './handles'
import { invariant } from './invariant'

export type ReplicaState =
  | 'loading'
  | 'resident'
  | 'unloading'
  /** The answer of the load was lost: the handle may be resident, now or later. */
  | 'uncertain'

export type AdapterReplica = {
  handle: string
  adapter: string
  version: string
  key: string
  state: ReplicaState
  /** ms; time of the last change of state. */
  since: number
  lastUsed: number
  /** Requests of this owner that were dispatched and have not ended. */
  running: Set<string>
  /** A predecessor may still be using the handle. */
  adopted: boolean
  /** The last report showed a request on it that this owner does not know. */
  hasForeignRequest: boolean
  /** Consecutive reports that did not show the handle. */
  missing: number
  permitId?: string
  /** No dispatch before this time, after the engine refused one. */
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
   * @returns handles that the reports show to be gone
   */
  applyReport (report: EngineReport, isOwn: (requestId: string, handle: string) => boolean, now: number): string[]
  /**
   * Applies the first report of a new incarnation. Handles whose load may have reached the new
   * incarnation after the report stay reserved until later reports show them or not.
   * @returns slots that are gone
   */
  applyRestart (report: EngineReport, now: number): AdapterReplica[]
}

/** A report says nothing about changes younger than this when it was taken. */
const reportMarginMs = 2_000
/** One report may contradict another, so two in a row must agree that a handle is gone. */
const minMissingReports = 2
/** After this time a load whose answer was lost is taken not to have happened unless a report shows it. */
const uncertainTimeoutMs = 30_000
/** Removed handles remembered against outdated reports. */
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
