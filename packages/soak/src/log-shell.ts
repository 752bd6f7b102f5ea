/** Shell of a simulated node for the log: reads and appends over a link that can fail. */
import type { CoreAction } from '@yuccawharf/node'
import type { SimEnvironment } from './sim-environment'
import type { SimProcess } from './sim-process'

const readLimit = 256
const readWaitMs = 1500
const readTimeoutMs = 2500
const appendTimeoutMs = 2000
const minRepeatIntervalMs = 100

export type LogFaults = {
  /** The next read never gets a response. */
  loseNextRead: boolean
  /** The next append is lost before it takes effect; its result is unknown. */
  loseNextAppend: boolean
}

export type LogShell = {
  read (action: Extract<CoreAction, { type: 'read-log' }>): void
  append (action: Extract<CoreAction, { type: 'append' }>): void
  readonly faults: LogFaults
}

/** @param node - id of the node, which is also its end of the link to the log */
export const createLogShell = (sim: SimEnvironment, process: SimProcess, node: string): LogShell => {
  const { clock, random, log, network } = sim
  const faults: LogFaults = { loseNextRead: false, loseNextAppend: false }

  let lastContent = ''
  let lastAppendAt = -Infinity

  const isCut = (): boolean => network.isCut(node, 'log') || network.isCut('log', node)

  /** An owner must not retry an append at once when the log refuses it: the log accepts only several hundred appends per second in total. */
  const checkAppendStorm = (stream: string, values: unknown[]): void => {
    if (stream !== 'ownership') {
      return
    }
    const content = JSON.stringify(values)
    const sinceMs = content === lastContent ? clock.now() - lastAppendAt : Infinity
    lastContent = content
    lastAppendAt = clock.now()
    // An append that was deferred by a pause may coincide with its regular retry.
    const justResumed = clock.now() - process.resumedAt < minRepeatIntervalMs
    sim.checker.check('storm', sinceMs >= minRepeatIntervalMs || justResumed, () => `${node} appends ${content} again after ${sinceMs.toFixed(1)} ms`, [node])
  }

  return {
    read ({ stream, from }) {
      const readFailed = (): void => process.deliver({ type: 'log-read-failed', stream })
      if (faults.loseNextRead) {
        faults.loseNextRead = false
        sim.trace.add(clock.now(), 'read-lost', node, stream, from)
        return
      }
      if (isCut()) {
        clock.after(readTimeoutMs, readFailed)
        return
      }
      log.read(stream, from, readLimit, readWaitMs, result => {
        if (isCut()) {
          clock.after(readTimeoutMs, readFailed)
        } else if (result.type === 'ok') {
          process.deliver({ type: 'log-page', stream, page: result.page })
        } else if (result.type === 'expired') {
          process.deliver({ type: 'log-expired', stream, first: result.first, next: result.next })
        } else {
          readFailed()
        }
      })
    },
    append ({ stream, token, values }) {
      const deliverResult = (result: Parameters<Parameters<typeof log.append>[2]>[0]): void =>
        process.deliver({ type: 'append-result', token, result })
      sim.trace.add(clock.now(), 'append', node, stream, token, values)
      checkAppendStorm(stream, values)
      if (isCut()) {
        // A refused connection proves that nothing was sent; a timeout does not.
        const isRefused = random.happens(0.5)
        clock.after(isRefused ? 1 : appendTimeoutMs, () => deliverResult(isRefused ? { type: 'failed', reason: 'connection refused' } : { type: 'unknown', reason: 'no answer' }))
        return
      }
      if (faults.loseNextAppend) {
        faults.loseNextAppend = false
        clock.after(appendTimeoutMs, () => deliverResult({ type: 'unknown', reason: 'no answer' }))
        return
      }
      clock.after(random.between(1, 5) / 10, () => log.append(stream, values, result => {
        if (isCut()) {
          clock.after(appendTimeoutMs, () => deliverResult({ type: 'unknown', reason: 'no answer' }))
        } else {
          deliverResult(result)
        }
      }))
    },
    faults
  }
}
