/**
 * Chooses which engines are asked for their report. A report of an engine with full slots has
 * several KB, so most turns skip engines of which nothing new is expected.
 */
import type { CoreEvent } from './core/core-events'

export type EnginePollSchedule = {
  /** Learns from an event on its way to the core. */
  observe (event: CoreEvent): void
  /** @returns the engines to ask in this turn */
  due (watched: string[]): string[]
}

/** A takeover takes this many reports, with the time that the engine's lag needs between them. */
const newEngineTurns = 20
/** Other engines are asked in every turn that is a multiple of this. */
const turnsBetweenPolls = 4

/** Creates the choice; every engine counts as new at first. */
export function createEnginePollSchedule (): EnginePollSchedule {
  const newEngineTurnsLeft = new Map<string, number>()
  let turn = 0
  let pollAllNext = false

  return {
    observe (event) {
      // A failed request or command may mean that the engine has restarted.
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
