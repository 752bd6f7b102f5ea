/** One process of a node in the world: the core under test inside simulated shells. */
import { createNodeCore, nodeCoreDefaults, type CoreAction, type Order, type QueryableCore } from '@yuccawharf/node'
import type { EngineCommandResult, ServiceResult } from '@yuccawharf/clients'
import type { Mutation } from './mutants'
import { createLogShell, type LogShell } from './shell-log'
import { createStreamShell, type StreamShell, type StreamShellEnv } from './shell-streams'
import { createSimProcess, type SimProcess } from './process'
import { logRetentionMs, region, reportLagMs, type EngineInWorld, type World } from './world'

export type OrderResult = Extract<CoreAction, { type: 'order-result' }>['result']

export type NodeProcessEnv = {
  peer (node: string): NodeProcess | undefined
  finished: StreamShellEnv['finished']
  orderFinished (orderId: string, result: OrderResult): void
  /** The process has ended after a graceful shutdown. */
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
  /** Time until which faults may keep the configuration from this process, in ms. */
  readonly logDisturbedUntil: number
  /** Time until which faults may keep news of the instance list from this process, in ms. */
  readonly listDisturbedUntil: number
  /** The next command to an engine lands this much later than its timeout, in ms. */
  delayNextCommandMs: number | undefined
  /** The next order lands this late at the service, in ms; its answer is lost. */
  delayNextOrderMs: number | undefined
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

/** Requests, orders, keys and handles in the message of an assertion. */
const namePattern = /\b[ro]\d{6}\b|\S+-order-key-\d+|\ba\d+@\d+~[\d.]+/g

const tickMs = 250
/** A leaving back end receives no new work later than this after it first said so, in ms. */
const leavingBoundMs = 3000
/** A new process needs this long until it has read the log and the list, in ms. */
const startMs = 5000
const listEveryMs = 1000
const reportEveryMs = 500
const commandTimeoutMs = 5000
const orderTimeoutMs = 2000
const queuedPerEngine = 60
const queuedPerAdapter = 20

/** Checks P1 and P6 for a request that an engine has accepted. */
const checkRun = (world: World, self: { id: string, listDisturbedUntil: number }, adapters: (requestId: string) => string | undefined) =>
  (requestId: string, engine: EngineInWorld, handle: string): void => {
    const loaded = engine.loadedAs.get(handle)
    world.checker.check('P1', loaded === adapters(requestId), () => `request ${requestId} for ${adapters(requestId)} runs on ${handle} of ${engine.id}, loaded as ${loaded}`, [requestId, handle])
    const latest = engine.leavingToldAt === undefined ? Infinity : Math.max(engine.leavingToldAt, self.listDisturbedUntil) + leavingBoundMs
    world.checker.check('P6', world.clock.now() <= latest, () => `${engine.id} got request ${requestId} from ${self.id}, ${world.clock.now() - (engine.leavingToldAt ?? 0)} ms after it said that it leaves`, [requestId, engine.id])
  }

export const createNodeProcess = (world: World, env: NodeProcessEnv, options: NodeProcessOptions): NodeProcess => {
  const { clock, chance, network, engines, trace, checker } = world
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
    engines: world.engineSettings,
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

  const land = (engine: EngineInWorld, action: Extract<CoreAction, { type: 'engine-command' }>, done: (result: EngineCommandResult) => void): void => {
    const { command, fence } = action
    const before = engine.model.stats().evictedInUse
    trace.add(clock.now(), 'command-lands', id, engine.id, command, fence)
    engine.noteCommand(command)
    engine.model.command(command, fence, done)
    checker.check('P2', engine.model.stats().evictedInUse === before, () => `${engine.id} unloaded ${command.handle} while a request used it`, [command.handle, engine.id])
  }

  const command = (action: Extract<CoreAction, { type: 'engine-command' }>): void => {
    const engine = engines.get(action.engine)
    let answered = false
    const answer = (result: EngineCommandResult): void => {
      if (!answered) {
        answered = true
        deliverResult(action.token, action.engine, result)
      }
    }
    const late = self.delayNextCommandMs
    self.delayNextCommandMs = undefined
    clock.after(commandTimeoutMs, () => answer({ type: 'unknown', reason: 'timeout' }))
    if (engine === undefined || network.isCut(id, engine.id)) {
      return
    }
    const delayMs = late ?? chance.between(1, 20) / 10
    clock.after(delayMs, () => land(engine, action, result => clock.after(chance.between(1, 20) / 10, () => {
      if (!network.isCut(engine.id, id)) answer(result)
    })))
  }

  const sendOrder = ({ orderId, instance, req }: Extract<CoreAction, { type: 'send-order' }>): void => {
    const service = world.services.get(instance)
    const answer = (result: ServiceResult): void => self.process.deliver({ type: 'service-result', orderId, result })
    trace.add(clock.now(), 'send-order', id, orderId, req.headers)
    if (service === undefined || service.gone || network.isCut(id, instance)) {
      clock.after(1, () => answer({ type: 'not-sent', reason: 'connection refused' }))
      return
    }
    const late = self.delayNextOrderMs
    self.delayNextOrderMs = undefined
    clock.after(late ?? chance.between(1, 20) / 10, () => {
      world.executing(orderId, req)
      world.service.call(req, response => {
        if (late === undefined) {
          const result: ServiceResult = response === undefined || network.isCut(instance, id) ? { type: 'unknown', reason: 'no answer' } : { type: 'ok', response }
          clock.after(response === undefined ? orderTimeoutMs : 1, () => answer(result))
        }
      })
    })
    if (late !== undefined) {
      clock.after(orderTimeoutMs, () => answer({ type: 'unknown', reason: 'no answer' }))
    }
  }

  /** The shells still relay responses of other nodes when the core is ready. */
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
      case 'engine-command': return command(action)
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
    chance,
    node: options.mutation.wrap?.(core) ?? core,
    perform,
    stepped () {
      world.countStep()
      world.noteRevision(self, core.revision(), () => core.configuration.state()?.entries ?? [])
    },
    paused (ms) {
      world.disturb('log', id, ms)
      world.disturb('list', id, ms)
    },
    failed (err) {
      const text = err instanceof Error ? err.stack ?? err.message : String(err)
      const [message = ''] = text.split('\n')
      checker.check('assertion', false, () => `${id}: ${text}`, message.match(namePattern) ?? [id])
    }
  })

  const every = (ms: number, work: () => void): void => {
    const repeat = (): void => {
      if (process.ended) {
        return
      }
      // A timer that fires during a pause runs once after it.
      if (!process.paused) {
        process.run(work)
      }
      clock.after(ms, repeat)
    }
    clock.after(chance.between(0, ms), repeat)
  }

  const self: NodeProcess = {
    id,
    zone,
    incarnation,
    core,
    process,
    streams: createStreamShell(world, {
      node: id,
      process,
      skipSequenceCheck: options.mutation.skipSequenceCheck === true,
      peer: node => env.peer(node),
      finished: env.finished,
      ran (requestId, engine, handle) {
        world.noteRun(requestId)
        checkRun(world, self, world.adapterOf)(requestId, engine, handle)
      },
      dispatched: () => {}
    }),
    log: createLogShell(world, process, id),
    get draining () { return draining },
    get logDisturbedUntil () { return Math.max(incarnation + startMs, world.disturbances.until('log', id)) },
    get listDisturbedUntil () { return Math.max(incarnation + startMs, world.disturbances.until('list', id)) },
    delayNextCommandMs: undefined,
    delayNextOrderMs: undefined,
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
  every(tickMs, () => process.deliver({ type: 'tick' }))
  every(listEveryMs, () => {
    const snapshot = network.isCut(id, 'list') ? undefined : world.list.fetch()
    if (snapshot !== undefined) {
      world.noteTold(snapshot)
      process.deliver({ type: 'instance-list', snapshot })
    }
  })
  every(reportEveryMs, () => {
    for (const name of core.watchedEngines()) {
      const report = network.isCut(id, name) ? undefined : engines.get(name)?.model.status()
      process.deliver(report === undefined ? { type: 'engine-unreachable', engine: name } : { type: 'engine-report', report })
    }
    self.streams.sweep()
  })
  return self
}
