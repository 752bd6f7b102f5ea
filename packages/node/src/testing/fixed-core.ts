/** A core with fixed placement and ownership, for testing the shells in isolation. */
import type { Completion, CoreAction, CoreEvent, Refusal } from '../core/core-events'
import type { CorePort } from '../core-port'

export type FixedCoreConfig = {
  self: string
  /** Owner of each engine. */
  owners: Record<string, string>
  /** Engine of each `ADAPTER@VERSION`. */
  placement: Record<string, string>
  addresses: Record<string, string>
  classes: string[]
}

const misdirected: Refusal = { outcome: 'not-run', reason: 'this node does not own the engine', misdirected: true }

type PendingRequest = { completion: Completion, engine: string, attempts: number }

/** Creates the core. It loads an adapter on the first request and never evicts one. */
export function createFixedCore (cfg: FixedCoreConfig): CorePort & { events: CoreEvent[] } {
  const handles = new Map<string, { handle: string, resident: boolean }>()
  const pending = new Map<string, PendingRequest>()
  const events: CoreEvent[] = []
  let token = 0
  let draining = false

  function adapterName (completion: Completion): string {
    return `${completion.adapter}@${completion.version}`
  }

  function refuse (requestId: string, outcome: 'not-run' | 'unknown' | 'invalid', reason: string): CoreAction[] {
    pending.delete(requestId)
    return [{ type: 'refuse', requestId, refusal: { outcome, reason, ...(outcome === 'not-run' ? { retryAfterMs: 1500 } : {}) } }]
  }

  function run (request: PendingRequest): CoreAction[] {
    const name = adapterName(request.completion)
    const entry = handles.get(name)
    if (entry === undefined) {
      const handle = `${name}~1.${++token}`
      handles.set(name, { handle, resident: false })
      const { adapter, version } = request.completion
      return [{ type: 'engine-command', engine: request.engine, token, command: { type: 'load', handle, adapter, version }, fence: 1 }]
    }
    if (!entry.resident) return []
    request.attempts++
    return [{ type: 'dispatch', engine: request.engine, requestId: request.completion.requestId, handle: entry.handle, priority: 0 }]
  }

  function submit (event: CoreEvent & { type: 'submit' }): CoreAction[] {
    const { completion } = event
    const engine = cfg.placement[adapterName(completion)]
    if (engine === undefined) return refuse(completion.requestId, 'invalid', `adapter ${adapterName(completion)} is not known`)
    if (!cfg.classes.includes(completion.class)) return refuse(completion.requestId, 'invalid', `class ${completion.class} is not known`)
    const owner = cfg.owners[engine] ?? cfg.self
    if (owner !== cfg.self) {
      if (event.forwarded === true) return [{ type: 'refuse', requestId: completion.requestId, refusal: misdirected }]
      return [{ type: 'forward', requestId: completion.requestId, node: owner, address: cfg.addresses[owner] ?? '' }]
    }
    const request = { completion, engine, attempts: 0 }
    pending.set(completion.requestId, request)
    return run(request)
  }

  function loaded (event: CoreEvent & { type: 'engine-command-result' }): CoreAction[] {
    const actions: CoreAction[] = []
    for (const [name, entry] of handles) {
      if (entry.resident || !entry.handle.endsWith(`.${event.token}`)) continue
      if (event.result.type === 'ok') entry.resident = true
      else handles.delete(name)
      for (const request of pending.values()) {
        if (adapterName(request.completion) !== name) continue
        actions.push(...(entry.resident ? run(request) : refuse(request.completion.requestId, 'not-run', 'the adapter could not be loaded')))
      }
    }
    return actions
  }

  function ended (event: CoreEvent & { type: 'request-ended' }): CoreAction[] {
    const request = pending.get(event.requestId)
    if (request === undefined) return []
    if (event.outcome === 'done' || event.outcome === 'cancelled') {
      pending.delete(event.requestId)
      return draining && pending.size === 0 ? [{ type: 'ready-to-exit' }] : []
    }
    if (event.outcome === 'broken' && event.tokens > 0) return refuse(event.requestId, 'unknown', 'the engine lost the request')
    if (request.attempts >= 2) return refuse(event.requestId, 'not-run', 'the engine refused the request')
    handles.delete(adapterName(request.completion))
    return run(request)
  }

  function step (event: CoreEvent): CoreAction[] {
    if (event.type === 'submit') return submit(event)
    if (event.type === 'engine-command-result') return loaded(event)
    if (event.type === 'request-ended') return ended(event)
    if (event.type === 'cancel') {
      const request = pending.get(event.requestId)
      return request === undefined ? [] : [{ type: 'cancel-dispatch', engine: request.engine, requestId: event.requestId }]
    }
    if (event.type === 'order') {
      const instance = cfg.placement[event.order.group]
      if (instance !== undefined) return [{ type: 'send-order', orderId: event.order.orderId, instance, req: event.order.req }]
      return [{ type: 'order-result', orderId: event.order.orderId, result: { type: 'refused', refusal: { outcome: 'not-run', reason: 'no instance is live', retryAfterMs: 1000 } } }]
    }
    if (event.type === 'service-result') {
      const { orderId, result } = event
      if (result.type === 'ok') return [{ type: 'order-result', orderId, result }]
      const outcome = result.type === 'not-sent' ? 'not-run' : 'unknown'
      return [{ type: 'order-result', orderId, result: { type: 'refused', refusal: { outcome, reason: result.reason } } }]
    }
    if (event.type === 'drain') {
      draining = true
      return pending.size === 0 ? [{ type: 'ready-to-exit' }] : []
    }
    return []
  }

  return {
    events,
    step (event) {
      if (event.type !== 'tick') events.push(event)
      return step(event)
    },
    addresses: () => ({ addresses: Object.values(cfg.addresses).map(address => ({ address, zone: 'a' })), keepForMs: 5000, revision: 3, orderKeyPrefix: '0.7' })
  }
}
