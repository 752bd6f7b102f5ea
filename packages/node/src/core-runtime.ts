/** Passes events to the core one at a time and its actions to the shells. */
import type { CoreAction, CoreEvent } from './core/core-events'

export type CoreRuntime = {
  report (event: CoreEvent): void
  stop (): void
}

/**
 * Performing an action may report further events. They are queued until all actions of the current
 * event are done, so the core's step is never reentered.
 * @param perform carries out one action
 */
export function createCoreRuntime (step: (event: CoreEvent) => CoreAction[], perform: (action: CoreAction) => void): CoreRuntime {
  const events: CoreEvent[] = []
  let running = false
  let stopped = false

  function drainEvents (): void {
    for (let event = events.shift(); event !== undefined; event = events.shift()) {
      for (const action of step(event)) perform(action)
    }
  }

  return {
    report (event) {
      if (stopped) return
      events.push(event)
      if (running) return
      running = true
      try {
        drainEvents()
      } finally {
        running = false
      }
    },
    stop () {
      stopped = true
      events.length = 0
    }
  }
}
