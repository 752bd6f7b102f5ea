/** Runs node cores against models of the platform on a virtual clock, for tests and benchmarks of whole sessions. */
import { createEngineModel, createInstanceListModel, createLogModel, createPlainServiceModel, createVirtualClock, createWeightStoreModel, type EngineModel, type EngineModelOptions, type InstanceListModel, type LogModel, type LogModelOptions, type PlainServiceModel, type VirtualClock } from '@yuccawharf/stand-ins'
import { nodeCoreDefaults, type CoreHooks, type NodeCoreConfig } from '../core-config'
import type { Completion, CoreAction, CoreEvent, Order } from '../core-events'
import { createNodeCore, type QueryableCore } from '../node-core'
import { createReceivedResponses, type ReceivedResponses } from './received-responses'

export type CoreSimulationOptions = {
  nodes: string[]
  engines: string[]
  engine?: Partial<EngineModelOptions>
  log?: Partial<LogModelOptions>
  config?: Partial<NodeCoreConfig>
  hooks?: CoreHooks
  /** Delay of a message between nodes, in ms. */
  messageDelayMs?: number
}

export type SimulatedNode = {
  readonly id: string
  readonly core: QueryableCore
  readonly alive: boolean
  readonly exited: boolean
  deliver (event: CoreEvent): void
  /** Ends the process. The instance list drops the node after `delistAfterMs`, or keeps it when that is undefined. */
  kill (delistAfterMs?: number): void
  /** Starts a new process of the node. */
  restart (): void
  /** Pauses the process: events are queued until it resumes. */
  pause (): void
  resume (): void
  /** Messages from and to the node are lost. */
  isolated: boolean
}

export type CoreSimulation = {
  clock: VirtualClock
  log: LogModel
  instanceList: InstanceListModel
  service: PlainServiceModel
  engines: Map<string, EngineModel>
  nodes: Map<string, SimulatedNode>
  responses: ReceivedResponses
  orders: Map<string, Extract<CoreAction, { type: 'order-result' }>['result']>
  /** All actions in order, with the node and the time. */
  trace: { at: number, node: string, action: CoreAction }[]
  advance (ms: number): void
  node (id: string): SimulatedNode
  submit (node: string, completion: Partial<Completion> & { requestId: string }): void
  order (node: string, order: Partial<Order> & { orderId: string }): void
  /** Owner of the engine according to the log. */
  ownerOf (engine: string): string | undefined
}

const tickMs = 50
const enginePollMs = 500
const listPollMs = 1_000

/** The configuration that {@link createCoreSimulation} appends: one model, ten adapters, two classes. */
export const simulationConfig = {
  'model/base': { group: 'engines' },
  'class/short': { firstTokenMs: 2_000, attainment: 0.95 },
  'class/long': { finishWithinMs: 600_000, attainment: 0.9 },
  ...Object.fromEntries(Array.from({ length: 10 }, (_, number) => [`adapter/a${number}`, { model: 'base', versions: ['1', '2'] }]))
}

export const createCoreSimulation = (options: CoreSimulationOptions): CoreSimulation => {
  const clock = createVirtualClock(1_000)
  const log = createLogModel({ clock, ...options.log })
  const instanceList = createInstanceListModel({ clock })
  const service = createPlainServiceModel({ clock })
  const weights = createWeightStoreModel({ clock, fetchMs: 250 })
  const engines = new Map<string, EngineModel>()
  const nodes = new Map<string, SimulatedNode>()
  const trace: CoreSimulation['trace'] = []
  const orders: CoreSimulation['orders'] = new Map()
  const messageDelayMs = options.messageDelayMs ?? 1
  const responses = createReceivedResponses(clock, engines, (node, event) => nodes.get(node)?.deliver(event))

  for (const engine of options.engines) {
    engines.set(engine, createEngineModel({ clock, weights, engine, baseModel: 'base', ...options.engine }))
    instanceList.put({ id: engine, kind: 'engine', address: '', zone: 'z1', region: 'r1', group: 'engines', state: 'live' })
  }
  instanceList.put({ id: 'desk-1', kind: 'service', address: '', zone: 'z1', region: 'r1', group: 'desk', state: 'live' })

  const traits = { checksFencing: options.engine?.checksFencing === true, reportLagMs: options.engine?.reportLagMs ?? 0 }

  const performAction = (id: string, action: CoreAction, deliver: (event: CoreEvent) => void): void => {
    switch (action.type) {
      case 'read-log':
        return log.read(action.stream, action.from, 500, 2_000, result => deliver(
          result.type === 'ok'
            ? { type: 'log-page', stream: action.stream, page: result.page }
            : result.type === 'expired'
              ? { type: 'log-expired', stream: action.stream, first: result.first, next: result.next }
              : { type: 'log-read-failed', stream: action.stream }))
      case 'append':
        return log.append(action.stream, action.values, result => deliver({ type: 'append-result', token: action.token, result }))
      case 'send': {
        const { envelope } = action
        const sentEnvelope = JSON.parse(JSON.stringify(envelope)) as typeof envelope
        if (nodes.get(id)?.isolated !== true) {
          clock.after(messageDelayMs, () => nodes.get(envelope.to)?.isolated !== true && nodes.get(envelope.to)?.deliver({ type: 'message', envelope: sentEnvelope }))
        }
        return
      }
      case 'engine-command':
        engines.get(action.engine)?.command(action.command, action.fence, result => deliver({ type: 'engine-command-result', engine: action.engine, token: action.token, result }))
        return
      case 'dispatch': return responses.dispatch(id, action)
      case 'cancel-dispatch': return engines.get(action.engine)?.cancel(action.requestId)
      case 'refuse': return responses.refuse(action.requestId, action.refusal)
      case 'forward': {
        const completion = responses.completion(action.requestId)
        if (completion !== undefined) {
          clock.after(messageDelayMs, () => nodes.get(action.node)?.deliver({ type: 'submit', completion, forwarded: true }))
        }
        return
      }
      case 'send-order':
        return service.call(action.req, response => deliver({ type: 'service-result', orderId: action.orderId, result: response === undefined ? { type: 'unknown', reason: 'response lost' } : { type: 'ok', response } }))
      case 'order-result':
        orders.set(action.orderId, action.result)
        return
      case 'ready-to-exit':
        nodes.get(id)?.kill(500)
    }
  }

  /** Nodes with equal seeds would probe the same members at the same time. */
  const seedOf = (id: string): number => (options.config?.seed ?? 1) * 1_000 + options.nodes.indexOf(id)

  const createProcess = (id: string): { core: QueryableCore, step: (event: CoreEvent) => void, stop: () => void } => {
    let running = true
    const core = createNodeCore({ ...nodeCoreDefaults, node: id, zone: 'z1', region: 'r1', address: `${id}:1`, incarnation: clock.now(), engineDefaults: traits, ...options.config, seed: seedOf(id) }, options.hooks)
    const step = (event: CoreEvent): void => {
      if (running) {
        for (const action of core.step(event, clock.now())) {
          trace.push({ at: clock.now(), node: id, action })
          performAction(id, action, event => running && nodes.get(id)?.deliver(event))
        }
      }
    }
    return { core, step, stop: () => { running = false } }
  }

  const createNode = (id: string): SimulatedNode => {
    let process = createProcess(id)
    let alive = true
    let exited = false
    let paused = false
    let deferredEvents: CoreEvent[] = []
    const repeatEvery = (ms: number, run: () => void): void => {
      const current = process
      const repeat = (): void => {
        if (alive && process === current) {
          run()
          clock.after(ms, repeat)
        }
      }
      clock.after(0, repeat)
    }
    const deliver = (event: CoreEvent): void => {
      if (paused) {
        deferredEvents.push(event)
      } else if (alive) {
        process.step(event)
      }
    }
    const start = (): void => {
      instanceList.put({ id, kind: 'node', address: `${id}:1`, zone: 'z1', region: 'r1', group: 'nodes', state: 'live' })
      process.step({ type: 'start' })
      repeatEvery(tickMs, () => !paused && deliver({ type: 'tick' }))
      repeatEvery(listPollMs, () => {
        const snapshot = instanceList.fetch()
        if (snapshot !== undefined) deliver({ type: 'instance-list', snapshot })
      })
      repeatEvery(enginePollMs, () => {
        for (const engine of process.core.watchedEngines()) {
          const report = engines.get(engine)?.status()
          deliver(report === undefined ? { type: 'engine-unreachable', engine } : { type: 'engine-report', report: structuredClone(report) })
        }
      })
    }
    clock.after(0, start)
    return {
      id,
      isolated: false,
      deliver,
      get core () {
        return process.core
      },
      get alive () {
        return alive
      },
      get exited () {
        return exited
      },
      kill (delistAfterMs) {
        alive = false
        exited = true
        deferredEvents = []
        process.stop()
        if (delistAfterMs !== undefined) clock.after(delistAfterMs, () => !alive && instanceList.remove(id))
      },
      restart () {
        process = createProcess(id)
        alive = true
        exited = false
        start()
      },
      pause () {
        paused = true
      },
      resume () {
        paused = false
        const events = deferredEvents
        deferredEvents = []
        events.forEach(deliver)
      }
    }
  }

  log.append('config', [{ type: 'change', id: 'initial', base: -1, writes: simulationConfig, reads: [], by: 'test' }], () => {})
  options.nodes.forEach(id => nodes.set(id, createNode(id)))
  const node = (id: string): SimulatedNode => {
    const found = nodes.get(id)
    if (found === undefined) {
      throw new Error(`unknown node ${id}`)
    }
    return found
  }

  return {
    clock,
    log,
    instanceList,
    service,
    engines,
    nodes,
    responses,
    orders,
    trace,
    advance: ms => clock.advance(ms),
    node,
    submit (id, partial) {
      const completion: Completion = { model: 'base', adapter: 'a0', version: '1', class: 'short', prompt: 'hello', maxTokens: 10, deadline: clock.now() + 60_000, ...partial }
      responses.register(id, completion)
      node(id).deliver({ type: 'submit', completion })
    },
    order (id, partial) {
      const key = partial.key
      node(id).deliver({
        type: 'order',
        order: { group: 'desk', deadline: clock.now() + 10_000, req: { method: 'POST', path: '/', headers: key === undefined ? {} : { 'idempotency-key': key }, body: new Uint8Array([1]) }, ...partial }
      })
    },
    ownerOf (engine) {
      const records = log.peek('ownership').records.map(({ value, offset }) => ({ ...value as { type: string, engine: string, node: string, after: number }, offset }))
      let owner: { node: string, offset: number } | undefined
      for (const record of records) {
        if (record.type === 'owner' && record.engine === engine && record.after === (owner?.offset ?? -1)) {
          owner = { node: record.node, offset: record.offset }
        }
      }
      return owner?.node
    }
  }
}
