/**
 * Decides when an owner may evict handles that earlier owners of the engine may be using.
 *
 * A handle is evictable when each earlier process that can use it has ended or has acknowledged
 * the end of its term, and a later report shows no request on it that is unknown to the owner.
 * A paused process acknowledges nothing, so its handles stay pinned for any length of pause.
 */
import type { EngineReport } from '@yuccawharf/clients'
import type { Predecessor, ProcessId } from './ownership-types'

export type RunningRequest = { requestId: string, handle: string }

export type HandlePinsConfig = {
  /** Term of the owner. */
  term: number
  /** Maximum age of a report, and maximum transit time of a dispatch whose process has ended, in ms. */
  reportLagMs: number
  predecessors: Predecessor[]
  /** Term in which a handle was loaded; undefined when the name does not contain it. */
  termOfHandle (handle: string): number | undefined
}

export type HandlePins = {
  /** Records that the node's instance was removed from the instance list. */
  instanceRemoved (node: string, now: number): void
  /** Records that the node runs with this incarnation, so that all its earlier processes have ended. */
  incarnationSeen (process: ProcessId, now: number): void
  /**
   * Records that a process acknowledged the end of its term and listed the requests that it still runs.
   *
   * @param successorTerm - the latest term that the process has read; older acknowledgements prove nothing
   * @returns false when the message proves nothing about this term
   */
  acknowledged (process: ProcessId, successorTerm: number, running: RunningRequest[], now: number): boolean
  /** @returns handles that became evictable with this report */
  applyReport (report: EngineReport, isKnownRequest: (requestId: string) => boolean, now: number): string[]
  isEvictable (handle: string): boolean
  /** True when no earlier process can use a handle any more. */
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
  /** Handles of requests that the process reported as ended; the request may still be in transit to the engine. */
  ended: Map<string, Proof>
  alive: boolean
}

/** Number of evictable handles remembered; an engine has few slots, so the oldest ones are no longer loaded. */
const maxRememberedHandles = 1_000

/** @returns the handle pins of one term */
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
    // The first report may be `reportLagMs` old and a dispatch `reportLagMs` in transit: hence twice.
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

  const detectRestart = (report: EngineReport): void => {
    if (incarnation !== undefined && incarnation !== report.incarnation) {
      // The engine's clock may have been reset.
      processes.forEach(process => {
        delete process.proof?.firstReport
        process.ended.clear()
      })
    }
    incarnation = report.incarnation
  }

  /** A handle never becomes pinned again, also after a restart of the engine: names are not reused. */
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
      detectRestart(report)
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
