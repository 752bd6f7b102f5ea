/** One process of a simulated node: the core under test inside simulated shells. */
import { createNodeCore, nodeCoreDefaults, type CoreAction, type Order, type QueryableCore } from '@yuccawharf/node'
import type { EngineCommandResult, ServiceResult } from '@yuccawharf/clients'
import type { Mutation } from './mutation'
import { createLogShell, type LogShell } from './log-shell'
import { createStreamShell, type StreamShell, type StreamShellEnv } from './stream-shell'
import { createSimProcess, type SimProcess } from './sim-process'
import { logRetentionMs, region, reportLagMs, type SimEngine, type SimEnvironment } from './sim-environment'

export type OrderResult = Extract<CoreAction, { type: 'order-result' }>['result']

export type NodeProcessEnv = {
  peer (node: string): NodeProcess | undefined
  finished: StreamShellEnv['finished']
  orderFinished (orderId: string, result: OrderResult): void
  /** Called when the process has ended after a graceful shutdown. */
  exited (node: NodeProcess): void
}

export type NodeProcess = {
  readonly id: string
  readonly zone: string
  readonly incarnation: number
  readonly core: QueryableCore
  readonly process: SimProcess
  readonly streams: StreamShell
  readonly log: LogShell
  readonly draining: boolean
  /** Time until which faults may delay configuration updates to this process, in ms. */
  readonly logDisturbedUntil: number
  /** Time until which faults may delay updates of the instance list to this process, in ms. */
  readonly listDisturbedUntil: number
  /** Delay of the next command to an engine, in ms; undefined for a usual delay. */
  nextCommandDelayMs: number | undefined
  /** Delay of the next order to a service, in ms, whose response is lost; undefined for a usual delay. */
  nextOrderDelayMs: number | undefined
  order (order: Order): void
  drain (): void
  crash (): void
}

export type NodeProcessOptions = {
  id: string
  zone: string
  seed: number
  mutation: Mutation
}

/** Matches requests, orders, order keys and handles in the message of an assertion. */
const idPattern = /\b[ro]\d{6}\b|\S+-order-key-\d+|\ba\d+@\d+~[\d.]+/g

const tickMs = 250
/** Time within which a node stops sending requests to an engine that was reported as leaving, in ms. */
const leavingBoundMs = 3000
/** Time in which a new process reads the log and the instance list, in ms. */
const startupMs = 5000
const listIntervalMs = 1000
const reportIntervalMs = 500
const commandTimeoutMs = 5000
const orderTimeoutMs = 2000
const queuedPerEngine = 60
const queuedPerAdapter = 20

/** Checks P1 and P6 for a request that an engine has accepted. */
const checkRun = (sim: SimEnvironment, self: { id: string, listDisturbedUntil: number }, expectedAdapter: (requestId: string) => string | undefined) =>
  (requestId: string, engine: SimEngine, handle: string): void => {
    const loaded = engine.loadedAs.get(handle)
    sim.checker.check('P1', loaded === expectedAdapter(requestId), () => `request ${requestId} for ${expectedAdapter(requestId)} runs on ${handle} of ${engine.id}, loaded as ${loaded}`, [requestId, handle])
    const latest = engine.leavingReportedAt === undefined ? Infinity : Math.max(engine.leavingReportedAt, self.listDisturbedUntil) + leavingBoundMs
    sim.checker.check('P6', sim.clock.now() <= latest, () => `${engine.id} got request ${requestId} from ${self.id}, ${sim.clock.now() - (engine.leavingReportedAt ?? 0)} ms after it was reported as leaving`, [requestId, engine.id])
  }

export const createNodeProcess = (sim: SimEnvironment, env: NodeProcessEnv, options: NodeProcessOptions): NodeProcess => {
  const { clock, random, network, engines, trace, checker } = sim
  const { id, zone } = options
  const incarnation = clock.now()
  const core = createNodeCore({
    ...nodeCoreDefaults,
    claimHeadsIntervalMs: 5_000,
    node: id,
    zone,
    region,
    address: `${id}:7400`,
    incarnation,
    seed: options.seed,
    engineDefaults: { checksFencing: true, reportLagMs },
    engines: sim.engineSettings,
    queuedPerEngine,
    queuedPerAdapter,
    logRetentionMs
  }, options.mutation.hooks)
  const orders = new Set<string>()
  let draining = false

  const deliverResult = (token: number, engine: string, result: EngineCommandResult): void => {
    trace.add(clock.now(), 'command-result', id, engine, token, result)
    self.process.deliver({ type: 'engine-command-result', engine, token, result })
  }

  const applyCommand = (engine: SimEngine, action: Extract<CoreAction, { type: 'engine-command' }>, done: (result: EngineCommandResult) => void): void => {
    const { command, fence } = action
    const before = engine.model.stats().evictedInUse
    trace.add(clock.now(), 'command-lands', id, engine.id, command, fence)
    engine.recordCommand(command)
    engine.model.command(command, fence, done)
    checker.check('P2', engine.model.stats().evictedInUse === before, () => `${engine.id} unloaded ${command.handle} while a request used it`, [command.handle, engine.id])
  }

  const sendCommand = (action: Extract<CoreAction, { type: 'engine-command' }>): void => {
    const engine = engines.get(action.engine)
    let completed = false
    const complete = (result: EngineCommandResult): void => {
      if (!completed) {
        completed = true
        deliverResult(action.token, action.engine, result)
      }
    }
    const injectedDelayMs = self.nextCommandDelayMs
    self.nextCommandDelayMs = undefined
    clock.after(commandTimeoutMs, () => complete({ type: 'unknown', reason: 'timeout' }))
    if (engine === undefined || network.isCut(id, engine.id)) {
      return
    }
    const delayMs = injectedDelayMs ?? random.between(1, 20) / 10
    clock.after(delayMs, () => applyCommand(engine, action, result => clock.after(random.between(1, 20) / 10, () => {
      if (!network.isCut(engine.id, id)) complete(result)
    })))
  }

  const sendOrder = ({ orderId, instance, req }: Extract<CoreAction, { type: 'send-order' }>): void => {
    const service = sim.services.get(instance)
    const deliverOrderResult = (result: ServiceResult): void => self.process.deliver({ type: 'service-result', orderId, result })
    trace.add(clock.now(), 'send-order', id, orderId, req.headers)
    if (service === undefined || service.removed || network.isCut(id, instance)) {
      clock.after(1, () => deliverOrderResult({ type: 'not-sent', reason: 'connection refused' }))
      return
    }
    const injectedDelayMs = self.nextOrderDelayMs
    self.nextOrderDelayMs = undefined
    clock.after(injectedDelayMs ?? random.between(1, 20) / 10, () => {
      sim.recordExecution(orderId, req)
      sim.service.call(req, response => {
        if (injectedDelayMs === undefined) {
          const result: ServiceResult = response === undefined || network.isCut(instance, id) ? { type: 'unknown', reason: 'no answer' } : { type: 'ok', response }
          clock.after(response === undefined ? orderTimeoutMs : 1, () => deliverOrderResult(result))
        }
      })
    })
    if (injectedDelayMs !== undefined) {
      clock.after(orderTimeoutMs, () => deliverOrderResult({ type: 'unknown', reason: 'no answer' }))
    }
  }

  /** Ends the process after the shells have relayed the responses of other nodes, which the core does not wait for. */
  const exitWhenIdle = (): void => {
    if (process.ended) {
      return
    }
    if (self.streams.waiting().length > 0) {
      clock.after(tickMs, exitWhenIdle)
      return
    }
    trace.add(clock.now(), 'fault', `${id} exits after its drain`)
    process.end()
    env.exited(self)
  }

  const readyToExit = (): void => {
    const open = [...self.streams.running(), ...orders]
    checker.check('P7', open.length === 0, () => `${id} is ready to exit with ${open.length} requests in progress: ${open.slice(0, 3).join(', ')}`, open.slice(0, 3))
    exitWhenIdle()
  }

  const perform = (action: CoreAction): void => {
    switch (action.type) {
      case 'read-log': return self.log.read(action)
      case 'append': return self.log.append(action)
      case 'send': return send(action.envelope)
      case 'engine-command': return sendCommand(action)
      case 'dispatch': return self.streams.dispatch(action)
      case 'cancel-dispatch': return self.streams.cancelDispatch(action)
      case 'forward': return self.streams.forward(action)
      case 'refuse': return self.streams.refuse(action)
      case 'send-order': return sendOrder(action)
      case 'order-result':
        orders.delete(action.orderId)
        return env.orderFinished(action.orderId, action.result)
      case 'record':
        trace.add(clock.now(), action.kind, id, action.ids, action.detail ?? '')
        return
      case 'ready-to-exit': return readyToExit()
    }
  }

  const send = (envelope: Extract<CoreAction, { type: 'send' }>['envelope']): void => {
    network.send(id, envelope.to, () => env.peer(envelope.to)?.process.deliver({ type: 'message', envelope }))
  }

  const process = createSimProcess({
    clock,
    random,
    node: options.mutation.wrap?.(core) ?? core,
    perform,
    afterStep () {
      sim.countStep()
      sim.checkRevision(self, core.revision(), () => core.configuration.state()?.entries ?? [])
    },
    onPause (ms) {
      sim.disturb('log', id, ms)
      sim.disturb('list', id, ms)
    },
    onError (err) {
      const text = err instanceof Error ? err.stack ?? err.message : String(err)
      const [message = ''] = text.split('\n')
      checker.check('assertion', false, () => `${id}: ${text}`, message.match(idPattern) ?? [id])
    }
  })

  const repeatEvery = (ms: number, work: () => void): void => {
    const repeat = (): void => {
      if (process.ended) {
        return
      }
      // Skips the timer during a pause; it runs again when it next fires after the pause.
      if (!process.paused) {
        process.run(work)
      }
      clock.after(ms, repeat)
    }
    clock.after(random.between(0, ms), repeat)
  }

  const self: NodeProcess = {
    id,
    zone,
    incarnation,
    core,
    process,
    streams: createStreamShell(sim, {
      node: id,
      process,
      skipSequenceCheck: options.mutation.skipSequenceCheck === true,
      peer: node => env.peer(node),
      finished: env.finished,
      ran (requestId, engine, handle) {
        sim.recordRun(requestId)
        checkRun(sim, self, sim.expectedAdapter)(requestId, engine, handle)
      },
      dispatched: () => {}
    }),
    log: createLogShell(sim, process, id),
    get draining () { return draining },
    get logDisturbedUntil () { return Math.max(incarnation + startupMs, sim.disturbances.until('log', id)) },
    get listDisturbedUntil () { return Math.max(incarnation + startupMs, sim.disturbances.until('list', id)) },
    nextCommandDelayMs: undefined,
    nextOrderDelayMs: undefined,
    order (order) {
      process.run(() => {
        orders.add(order.orderId)
        process.deliver({ type: 'order', order })
      })
    },
    drain () {
      draining = true
      process.deliver({ type: 'drain' })
    },
    crash () {
      process.end()
    }
  }

  process.deliver({ type: 'start' })
  repeatEvery(tickMs, () => process.deliver({ type: 'tick' }))
  repeatEvery(listIntervalMs, () => {
    const snapshot = network.isCut(id, 'list') ? undefined : sim.list.fetch()
    if (snapshot !== undefined) {
      sim.recordInstanceList(snapshot)
      process.deliver({ type: 'instance-list', snapshot })
    }
  })
  repeatEvery(reportIntervalMs, () => {
    for (const name of core.watchedEngines()) {
      const report = network.isCut(id, name) ? undefined : engines.get(name)?.model.status()
      process.deliver(report === undefined ? { type: 'engine-unreachable', engine: name } : { type: 'engine-report', report })
    }
    self.streams.checkPeers()
  })
  return self
}
