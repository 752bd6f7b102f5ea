/**
 * Decides which engines are polled for their report in each turn. The report of an engine with full
 * slots has several KB, so engines without expected changes are skipped in most turns.
 */
import type { CoreEvent } from './core/core-events'

export type EnginePollSchedule = {
  /** Must be called with each event that is passed to the core. */
  observe (event: CoreEvent): void
  /** Starts the next turn. @returns the engines to poll in it */
  due (watched: string[]): string[]
}

/** A takeover needs this many reports, allowing for the lag of an engine's reports. */
const newEngineTurns = 20
/** Other engines are polled in every turn that is a multiple of this. */
const turnsBetweenPolls = 4

/** Creates a schedule in which every engine is new. */
export function createEnginePollSchedule (): EnginePollSchedule {
  const newEngineTurnsLeft = new Map<string, number>()
  let turn = 0
  let pollAllNext = false

  return {
    observe (event) {
      // The engine may have restarted.
      const failedRequest = event.type === 'request-ended' && (event.outcome === 'broken' || event.outcome === 'not-run')
      const failedCommand = event.type === 'engine-command-result' && event.result.type !== 'ok'
      if (failedRequest || failedCommand || event.type === 'engine-unreachable') pollAllNext = true
    },
    due (watched) {
      turn += 1
      for (const engine of newEngineTurnsLeft.keys()) if (!watched.includes(engine)) newEngineTurnsLeft.delete(engine)
      const pollAll = pollAllNext
      pollAllNext = false
      return watched.filter(engine => {
        const left = newEngineTurnsLeft.get(engine) ?? newEngineTurns
        newEngineTurnsLeft.set(engine, Math.max(0, left - 1))
        return pollAll || left > 0 || turn % turnsBetweenPolls === 0
      })
    }
  }
}
