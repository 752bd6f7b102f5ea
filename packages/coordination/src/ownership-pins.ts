/**
 * Decides when an owner may evict handles that earlier owners of the engine may be using.
 *
 * A handle is free when each earlier process that can know it has ended or has acknowledged the
 * end of its term, and a report taken later shows no request on it that the owner does not know.
 * A paused process acknowledges nothing, so a pause of any length keeps its handles pinned.
 */
import type { EngineReport } from '@yuccawharf/clients'
import type { Predecessor, ProcessId } from './ownership-reducer'

export type RunningRequest = { requestId: string, handle: string }

export type HandlePinsConfig = {
  /** Term of the owner. */
  term: number
  /** Largest age of a report, and longest way of a dispatch whose process has ended, in ms. */
  reportLagMs: number
  predecessors: Predecessor[]
  /** Term in which a handle was loaded; undefined when the name does not tell. */
  termOfHandle (handle: string): number | undefined
}

export type HandlePins = {
  /** The node's instance left the list after it had been in it. */
  instanceRemoved (node: string, now: number): void
  /** The node runs with this incarnation, so all its earlier processes have ended. */
  incarnationSeen (process: ProcessId, now: number): void
  /**
   * A process acknowledged the end of its term and named what it still runs.
   *
   * @param successorTerm - the latest term that the process had read; older acknowledgements prove nothing
   * @returns false when the message proves nothing about this term
   */
  acknowledged (process: ProcessId, successorTerm: number, running: RunningRequest[], now: number): boolean
  /** @returns handles that became evictable with this report */
  applyReport (report: EngineReport, isKnownRequest: (requestId: string) => boolean, now: number): string[]
  isEvictable (handle: string): boolean
  /** True when no earlier process can use any handle any more. */
  readonly predecessorsReleased: boolean
}

type Proof = {
  at: number
  /** `takenAt` of the first report after the proof, by the engine's clock. */
  firstReport?: number
  passed: boolean
}

type Process = Predecessor & {
  proof?: Proof
  running: RunningRequest[]
  /** Handles of requests that the process reported as ended; the request may still be under way to the engine. */
  ended: Map<string, Proof>
  alive: boolean
}

/** Free handles that are remembered; an engine has few slots, so the oldest are long gone. */
const maxRememberedHandles = 1_000

/** @returns the pins of one term */
export const createHandlePins = (cfg: HandlePinsConfig): HandlePins => {
  const processes: Process[] = cfg.predecessors.map(process => ({ ...process, running: [], ended: new Map(), alive: true }))
  const evictable = new Set<string>()
  let incarnation: number | undefined

  const updateRunning = (process: Process, running: RunningRequest[], now: number): void => {
    const remaining = new Set(running.map(({ requestId }) => requestId))
    for (const { handle } of process.running.filter(({ requestId }) => !remaining.has(requestId))) {
      process.ended.set(handle, { at: now, passed: false })
    }
    process.running = running
  }

  const markEnded = (process: Process, now: number): void => {
    if (!process.alive) {
      return
    }
    process.alive = false
    process.running = []
    process.ended.clear()
    process.proof = { at: now, passed: false }
  }

  const isReflectedIn = (proof: Proof, report: EngineReport, now: number): boolean => {
    if (proof.firstReport === undefined) {
      proof.firstReport = report.takenAt
      return false
    }
    // The first report may be reportLagMs old and a dispatch reportLagMs under way: hence twice.
    const isLater = report.takenAt > proof.firstReport + 2 * cfg.reportLagMs
    return isLater && now >= proof.at + cfg.reportLagMs
  }

  const updateProofs = (report: EngineReport, now: number): void => {
    const proofs = processes.flatMap(({ proof, ended }) => [...proof === undefined ? [] : [proof], ...ended.values()])
    for (const proof of proofs.filter(({ passed }) => !passed)) {
      proof.passed = isReflectedIn(proof, report, now)
    }
  }

  const mayUse = (process: Process, handle: string): boolean => {
    const loadedIn = cfg.termOfHandle(handle)
    if (loadedIn !== undefined && loadedIn > process.term) {
      return false
    }
    return process.proof?.passed !== true ||
      process.ended.get(handle)?.passed === false ||
      process.running.some(request => request.handle === handle)
  }

  const hasUnknownRequest = (report: EngineReport, handle: string, isKnownRequest: (requestId: string) => boolean): boolean =>
    report.running.some(request => request.handle === handle && !isKnownRequest(request.requestId))

  const handleRestart = (report: EngineReport): void => {
    if (incarnation !== undefined && incarnation !== report.incarnation) {
      // The engine's clock may have started anew.
      processes.forEach(process => {
        delete process.proof?.firstReport
        process.ended.clear()
      })
    }
    incarnation = report.incarnation
  }

  /** A restart of the engine frees handles but never pins them again: names are not reused. */
  const rememberEvictable = (handle: string): void => {
    evictable.add(handle)
    const [oldest] = evictable
    if (oldest !== undefined && evictable.size > maxRememberedHandles) {
      evictable.delete(oldest)
    }
  }

  return {
    instanceRemoved (node, now) {
      for (const process of processes.filter(candidate => candidate.node === node)) {
        markEnded(process, now)
      }
    },
    incarnationSeen (seen, now) {
      for (const process of processes.filter(candidate => candidate.node === seen.node && candidate.incarnation < seen.incarnation)) {
        markEnded(process, now)
      }
    },
    acknowledged (sender, successorTerm, running, now) {
      const process = processes.find(candidate => candidate.node === sender.node && candidate.incarnation === sender.incarnation)
      if (process === undefined || successorTerm < cfg.term) {
        return false
      }
      if (process.alive) {
        updateRunning(process, running, now)
        process.proof ??= { at: now, passed: false }
      }
      return true
    },
    applyReport (report, isKnownRequest, now) {
      handleRestart(report)
      updateProofs(report, now)
      const freed = report.resident
        .map(({ handle }) => handle)
        .filter(handle => !evictable.has(handle) && !hasUnknownRequest(report, handle, isKnownRequest) && !processes.some(process => mayUse(process, handle)))
      freed.forEach(rememberEvictable)
      return freed
    },
    isEvictable: handle => evictable.has(handle),
    get predecessorsReleased () {
      return processes.every(({ proof, running }) => proof?.passed === true && running.length === 0)
    }
  }
}
