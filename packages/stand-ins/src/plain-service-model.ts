/** Simulated plain service that counts how often each order is executed. */
import type { ServiceRequest, ServiceResponse } from '@yuccawharf/clients'
import type { Clock } from './clock'

export type PlainServiceModel = {
  /** `done` receives undefined when the response is lost. */
  call (req: ServiceRequest, done: (response: ServiceResponse | undefined) => void): void
  /** Number of executed calls with this idempotency key. */
  executions (key: string): number
  totalExecutions (): number
  /** During an outage calls get status 503 and are not executed. */
  setOutage (down: boolean): void
  setDelay (ms: number): void
  /** The next call is executed, but its response is lost. */
  loseNextResponse (): void
}

function header (req: ServiceRequest, name: string): string | undefined {
  const found = Object.keys(req.headers).find(key => key.toLowerCase() === name)
  return found === undefined ? undefined : req.headers[found]
}

function jsonResponse (status: number, body: unknown): ServiceResponse {
  return { status, headers: { 'content-type': 'application/json' }, body: Buffer.from(JSON.stringify(body)) }
}

/** @param options.delayMs - time from the execution to the response */
export function createPlainServiceModel (options: { clock: Clock, delayMs?: number }): PlainServiceModel {
  const { clock } = options
  const counts = new Map<string, number>()
  let delayMs = options.delayMs ?? 2
  let down = false
  let responsesToLose = 0
  let total = 0

  return {
    call (req, done) {
      if (down) {
        clock.after(1, () => done(jsonResponse(503, { error: 'outage' })))
        return
      }
      const key = header(req, 'idempotency-key')
      const count = key === undefined ? 1 : (counts.get(key) ?? 0) + 1
      if (key !== undefined) counts.set(key, count)
      total++
      const lost = responsesToLose > 0
      if (lost) responsesToLose--
      const response = jsonResponse(200, { key, count, method: req.method, path: req.path, bytes: req.body.length })
      clock.after(delayMs, () => done(lost ? undefined : response))
    },
    executions: key => counts.get(key) ?? 0,
    totalExecutions: () => total,
    setOutage (value) { down = value },
    setDelay (ms) { delayMs = ms },
    loseNextResponse () { responsesToLose++ }
  }
}
