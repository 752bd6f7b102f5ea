/**
 * Marks turns of the event loop. What is received after a mark was not there when the mark was made,
 * however long the process is stopped in between.
 */
export type EventLoopTurns = {
  /** Called by a timer. */
  mark (): void
  /** Time of the newest mark after which the sockets have been read, in ms; -Infinity before the first one. */
  lastAt (): number
}

/** @param afterSockets - calls back once the sockets have been read */
export function createEventLoopTurns (now: () => number, afterSockets: (callback: () => void) => void = setImmediate): EventLoopTurns {
  let lastAt = -Infinity
  return {
    mark () {
      const at = now()
      afterSockets(() => { lastAt = at })
    },
    lastAt: () => lastAt
  }
}
