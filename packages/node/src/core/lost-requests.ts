/**
 * Requests whose stream broke. The engine may still run them, so their handles stay pinned
 * until its reports show that they have ended.
 */
import type { RunningRequest } from '@yuccawharf/coordination'
import type { EngineReport } from '@yuccawharf/clients'

export type LostRequests = {
  add (requestId: string, handle: string): void
  uses (handle: string): boolean
  /** Removes the requests that the report proves to have ended. */
  applyReport (report: EngineReport): void
  /** Removes all requests, after the engine restarted. */
  clear (): void
  list (): RunningRequest[]
}

type LostRequest = {
  handle: string
  /** `takenAt` of the first report after the loss. */
  firstReportAt?: number
}

/** @param reportLagMs - maximum age of a report, in ms */
export const createLostRequests = (reportLagMs: number): LostRequests => {
  const requests = new Map<string, LostRequest>()

  const hasEnded = (requestId: string, lost: LostRequest, report: EngineReport): boolean => {
    lost.firstReportAt ??= report.takenAt
    const isReported = report.running.some(running => running.requestId === requestId && running.handle === lost.handle)
    // The first report may be as old as the lag, and the request may take as long to reach the engine.
    return !isReported && report.takenAt > lost.firstReportAt + 2 * reportLagMs
  }

  return {
    add: (requestId, handle) => { requests.set(requestId, { handle }) },
    uses: handle => [...requests.values()].some(lost => lost.handle === handle),
    applyReport (report) {
      for (const [requestId, lost] of requests) {
        if (hasEnded(requestId, lost, report)) {
          requests.delete(requestId)
        }
      }
    },
    clear: () => requests.clear(),
    list: () => [...requests].map(([requestId, { handle }]) => ({ requestId, handle }))
  }
}
