/**
 * Requests whose stream broke. The engine may go on running them, so their handles stay pinned
 * until its reports show that it does not.
 */
import type { RunningRequest } from '@yuccawharf/coordination'
import type { EngineReport } from '@yuccawharf/clients'

export type LostRequests = {
  add (requestId: string, handle: string): void
  uses (handle: string): boolean
  /** Forgets the requests that the report proves to have ended. */
  applyReport (report: EngineReport): void
  /** The engine restarted. */
  clear (): void
  list (): RunningRequest[]
}

type LostRequest = {
  handle: string
  /** `takenAt` of the first report after the loss. */
  firstReportAt?: number
}

/** @param reportLagMs - largest age of a report, in ms */
export const createLostRequests = (reportLagMs: number): LostRequests => {
  const requests = new Map<string, LostRequest>()

  const hasEnded = (requestId: string, lost: LostRequest, report: EngineReport): boolean => {
    lost.firstReportAt ??= report.takenAt
    const isReported = report.running.some(running => running.requestId === requestId && running.handle === lost.handle)
    // The first report may be as old as the lag, and the request as long under way.
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
