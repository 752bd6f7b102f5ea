/**
 * Chooses which engines are asked for their report. A report of an engine with full slots has
 * several KB, so most turns skip engines of which nothing new is expected.
 */
import type { CoreEvent } from './core/core-events'

export type EnginePolls = {
  /** Learns from an event on its way to the core. */
  note (event: CoreEvent): void
  /** @returns the engines to ask in this turn */
  due (watched: string[]): string[]
}

/** A takeover takes this many reports, with the time that the engine's lag needs between them. */
const eagerTurns = 20
/** Other engines are asked in every turn that is a multiple of this. */
const calmEvery = 4

/** Creates the choice; every engine counts as new at first. */
export function createEnginePolls (): EnginePolls {
  const eagerLeft = new Map<string, number>()
  let turn = 0
  let allEager = false

  return {
    note (event) {
      // A failed request or command may mean that the engine has restarted.
      const failedRequest = event.type === 'request-ended' && (event.outcome === 'broken' || event.outcome === 'not-run')
      const failedCommand = event.type === 'engine-command-result' && event.result.type !== 'ok'
      if (failedRequest || failedCommand || event.type === 'engine-unreachable') allEager = true
    },
    due (watched) {
      turn += 1
      for (const engine of eagerLeft.keys()) if (!watched.includes(engine)) eagerLeft.delete(engine)
      const eager = allEager
      allEager = false
      return watched.filter(engine => {
        const left = eagerLeft.get(engine) ?? eagerTurns
        eagerLeft.set(engine, Math.max(0, left - 1))
        return eager || left > 0 || turn % calmEvery === 0
      })
    }
  }
}
