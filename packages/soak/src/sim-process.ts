/** Simulated process of a node, which can pause and end. Work that arrives during a pause is queued until the process resumes. */
import type { CoreAction, CoreEvent } from '@yuccawharf/node'
import type { Clock, SeededRandom } from '@yuccawharf/stand-ins'

export type NodeUnderTest = { step (event: CoreEvent, now: number): CoreAction[] }

export type ProcessEnv = {
  clock: Clock
  random: SeededRandom
  node: NodeUnderTest
  perform (action: CoreAction): void
  /** Called after each step and before its actions. */
  afterStep (): void
  /** Called when a pause begins. */
  onPause (ms: number): void
  /** Called when a step throws. */
  onError (err: unknown): void
}

export type PausePoint = 'before' | 'after'

export type SimProcess = {
  readonly ended: boolean
  readonly paused: boolean
  /** Time at which the process last resumed from a pause, in ms. */
  readonly resumedAt: number
  /** Runs work of the shell, after a pause if necessary; discards it once the process has ended. */
  run (work: () => void): void
  deliver (event: CoreEvent): void
  pause (ms: number): void
  /** Pauses the process around its next step: before the step, or between the step and its actions. */
  pauseAround (point: PausePoint, ms: number): void
  end (): void
}

/** @param env - the node and the callbacks for its actions */
export const createSimProcess = (env: ProcessEnv): SimProcess => {
  const { clock, random } = env
  let inbox: (() => void)[] = []
  /** Actions of the step after which the process was paused. They run first when it resumes. */
  let deferredActions: CoreAction[] = []
  /** Event before whose step the process was paused. Node.js runs one task at a time, so this step runs before queued work. */
  let interruptedEvent: CoreEvent | undefined
  let ended = false
  let paused = false
  let resumedAt = -Infinity
  let plannedPause: { point: PausePoint, ms: number } | undefined

  const resume = (): void => {
    if (ended) {
      return
    }
    paused = false
    resumedAt = clock.now()
    const work = inbox
    const actions = deferredActions
    const event = interruptedEvent
    inbox = []
    deferredActions = []
    interruptedEvent = undefined
    actions.forEach(env.perform)
    if (event !== undefined) {
      step(event)
    }
    // After a pause, connections and timers are served in no fixed order.
    work.forEach(item => clock.after(random.between(0, 20), () => run(item)))
  }

  const pause = (ms: number): void => {
    if (ended || paused) {
      return
    }
    paused = true
    env.onPause(ms)
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

  const applyPlannedPause = (point: PausePoint): boolean => {
    if (plannedPause?.point !== point) {
      return false
    }
    const { ms } = plannedPause
    plannedPause = undefined
    pause(ms)
    return true
  }

  const runStep = (event: CoreEvent): CoreAction[] => {
    try {
      const actions = env.node.step(event, clock.now())
      env.afterStep()
      return actions
    } catch (err) {
      env.onError(err)
      return []
    }
  }

  const step = (event: CoreEvent): void => {
    if (applyPlannedPause('before')) {
      interruptedEvent = event
      return
    }
    const actions = runStep(event)
    if (applyPlannedPause('after')) {
      deferredActions = actions
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
      plannedPause = { point, ms }
    },
    end () {
      ended = true
      inbox = []
    }
  }
}
