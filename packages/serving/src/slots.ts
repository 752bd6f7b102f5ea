/**
 * The adapter slots of one engine as its owner knows them. A handle occupies its slot from the load
 * command until the engine has confirmed the unload, the load was refused, or reports show that it is gone.
 */
import type { EngineReport, ResidentAdapter } from '@yuccawharf/clients'
import { adapterKey, parseHandle } from './handles'
import { invariant } from './invariant'

export type SlotState =
  | 'loading'
  | 'resident'
  | 'unloading'
  /** The answer of the load was lost: the handle may be resident, now or later. */
  | 'uncertain'

export type Slot = {
  handle: string
  adapter: string
  version: string
  key: string
  state: SlotState
  /** ms; time of the last change of state. */
  since: number
  lastUsed: number
  /** Requests of this owner that were dispatched and have not ended. */
  running: Set<string>
  /** A predecessor may still be using the handle. */
  adopted: boolean
  /** The last report showed a request on it that this owner does not know. */
  foreign: boolean
  /** Consecutive reports that did not show the handle. */
  missing: number
  permitId?: string
  /** No dispatch before this time, after the engine refused one. */
  holdUntil: number
}

export type SlotTable = {
  readonly used: number
  readonly capacity: number
  get (handle: string): Slot | undefined
  all (): IterableIterator<Slot>
  add (entry: ResidentAdapter, state: SlotState, now: number): Slot
  setState (slot: Slot, state: SlotState, now: number): void
  remove (handle: string, now: number): void
  /** Whether the adapter version is loading or resident. */
  present (key: string): boolean
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
  applyRestart (report: EngineReport, now: number): Slot[]
}

/** A report says nothing about changes younger than this when it was taken. */
const reportMarginMs = 2_000
/** One report may contradict another, so two in a row must agree that a handle is gone. */
const missingReports = 2
/** After this time a load whose answer was lost is taken not to have happened unless a report shows it. */
const uncertainMs = 30_000
/** Removed handles remembered against outdated reports. */
const maxRemoved = 256

export const createSlotTable = (capacity: number): SlotTable => {
  const slots = new Map<string, Slot>()
  const byKey = new Map<string, Set<Slot>>()
  const removedAt = new Map<string, number>()

  const add = ({ handle, adapter, version }: ResidentAdapter, state: SlotState, now: number): Slot => {
    invariant(!slots.has(handle), `handle ${handle} is used twice`)
    const parsed = parseHandle(handle)
    invariant(parsed === undefined || (parsed.adapter === adapter && parsed.version === version), `handle ${handle} does not name ${adapter}@${version}`)
    const slot: Slot = { handle, adapter, version, key: adapterKey(adapter, version), state, since: now, lastUsed: now, running: new Set(), adopted: false, foreign: false, missing: 0, holdUntil: 0 }
    slots.set(handle, slot)
    byKey.set(slot.key, (byKey.get(slot.key) ?? new Set()).add(slot))
    return slot
  }

  const setState = (slot: Slot, state: SlotState, now: number): void => {
    slot.state = state
    slot.since = now
    slot.missing = 0
  }

  const applyShown = (slot: Slot, now: number): void => {
    slot.missing = 0
    if (slot.state === 'loading' || slot.state === 'uncertain') {
      setState(slot, 'resident', now)
    }
  }

  const applyMissing = (slot: Slot, takenAt: number): boolean => {
    if (slot.state === 'loading' || slot.running.size > 0 || takenAt < slot.since + reportMarginMs) {
      return false
    }
    slot.missing += 1
    const old = slot.state !== 'uncertain' || takenAt >= slot.since + uncertainMs
    return old && slot.missing >= missingReports
  }

  // A report that was taken before an unload still shows the handle.
  const isOutdated = (handle: string, takenAt: number): boolean =>
    takenAt < (removedAt.get(handle) ?? -Infinity) + reportMarginMs

  const addUnknown = (report: EngineReport, now: number): void => {
    for (const entry of report.resident) {
      if (!slots.has(entry.handle) && !isOutdated(entry.handle, report.takenAt)) {
        add(entry, 'resident', now)
      }
    }
  }

  const remove = (handle: string, now: number): void => {
    const slot = slots.get(handle)
    if (slot === undefined) {
      return
    }
    slots.delete(handle)
    const others = byKey.get(slot.key)!
    others.delete(slot)
    if (others.size === 0) {
      byKey.delete(slot.key)
    }
    removedAt.set(handle, now)
    if (removedAt.size > maxRemoved) {
      removedAt.delete(removedAt.keys().next().value!)
    }
  }

  return {
    get used () {
      return slots.size
    },
    capacity,
    get: (handle) => slots.get(handle),
    all: () => slots.values(),
    add,
    setState,
    remove,
    present (key) {
      for (const slot of byKey.get(key) ?? []) {
        if (slot.state === 'loading' || slot.state === 'resident') {
          return true
        }
      }
      return false
    },
    applyRestart (report, now) {
      const shown = new Set(report.resident.map(({ handle }) => handle))
      const gone = [...slots.values()].filter(({ handle, since }) => !shown.has(handle) && since < report.takenAt - reportMarginMs)
      for (const slot of gone) {
        remove(slot.handle, now)
      }
      for (const slot of slots.values()) {
        if (slot.state === 'resident' && !shown.has(slot.handle)) {
          setState(slot, 'uncertain', now)
        }
      }
      return gone
    },
    applyReport (report, isOwn, now) {
      const shown = new Set(report.resident.map(({ handle }) => handle))
      const foreign = new Set(report.running.filter(({ requestId, handle }) => !isOwn(requestId, handle)).map(({ handle }) => handle))
      const gone: string[] = []
      for (const slot of slots.values()) {
        slot.foreign = foreign.has(slot.handle)
        if (shown.has(slot.handle)) {
          applyShown(slot, now)
        } else if (applyMissing(slot, report.takenAt)) {
          gone.push(slot.handle)
        }
      }
      addUnknown(report, now)
      return gone
    }
  }
}
