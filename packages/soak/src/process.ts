/** One process of a node: its inbox, pauses and end. Work that reaches a paused process runs when it resumes. */
import type { CoreAction, CoreEvent } from '@yuccawharf/node'
import type { Clock, SeededRandom } from '@yuccawharf/stand-ins'

export type NodeUnderTest = { step (event: CoreEvent, now: number): CoreAction[] }

export type ProcessEnv = {
  clock: Clock
  chance: SeededRandom
  node: NodeUnderTest
  perform (action: CoreAction): void
  /** Called after each step and before its actions. */
  stepped (): void
  /** A pause begins. */
  paused (ms: number): void
  /** A step threw an error. */
  failed (err: unknown): void
}

export type PausePoint = 'before' | 'after'

export type SimProcess = {
  readonly ended: boolean
  readonly paused: boolean
  /** Last time at which the process resumed from a pause, in ms. */
  readonly resumedAt: number
  /** Runs work of the process's shell; never after its end. */
  run (work: () => void): void
  deliver (event: CoreEvent): void
  pause (ms: number): void
  /** Pauses the process around its next step: before the step, or between the step and its actions. */
  pauseAround (point: PausePoint, ms: number): void
  end (): void
}

/** @param env - the node and what happens to its actions */
export const createSimProcess = (env: ProcessEnv): SimProcess => {
  const { clock, chance } = env
  let inbox: (() => void)[] = []
  /** Actions of the step during which the process was paused; they come first when it resumes. */
  let held: CoreAction[] = []
  /** Event before whose step the process was paused. One thread runs one turn at a time, so its step comes first when it resumes. */
  let interrupted: CoreEvent | undefined
  let ended = false
  let paused = false
  let resumedAt = -Infinity
  let planned: { point: PausePoint, ms: number } | undefined

  const resume = (): void => {
    if (ended) {
      return
    }
    paused = false
    resumedAt = clock.now()
    const work = inbox
    const actions = held
    const event = interrupted
    inbox = []
    held = []
    interrupted = undefined
    actions.forEach(env.perform)
    if (event !== undefined) {
      step(event)
    }
    // Different connections and timers are served in no fixed order after a pause.
    work.forEach(item => clock.after(chance.between(0, 20), () => run(item)))
  }

  const pause = (ms: number): void => {
    if (ended || paused) {
      return
    }
    paused = true
    env.paused(ms)
    clock.after(ms, resume)
  }

  const run = (work: () => void): void => {
    if (ended) {
      return
    }
    if (paused) {
      inbox.push(work)
      return
    }
    work()
  }

  const takePlanned = (point: PausePoint): boolean => {
    if (planned?.point !== point) {
      return false
    }
    const { ms } = planned
    planned = undefined
    pause(ms)
    return true
  }

  const stepOf = (event: CoreEvent): CoreAction[] => {
    try {
      const actions = env.node.step(event, clock.now())
      env.stepped()
      return actions
    } catch (err) {
      env.failed(err)
      return []
    }
  }

  const step = (event: CoreEvent): void => {
    if (takePlanned('before')) {
      interrupted = event
      return
    }
    const actions = stepOf(event)
    if (takePlanned('after')) {
      held = actions
      return
    }
    actions.forEach(env.perform)
  }

  return {
    get ended () { return ended },
    get paused () { return paused },
    get resumedAt () { return resumedAt },
    run,
    deliver: event => run(() => step(event)),
    pause,
    pauseAround (point, ms) {
      planned = { point, ms }
    },
    end () {
      ended = true
      inbox = []
    }
  }
}
