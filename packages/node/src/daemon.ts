/** Assembles one node from the core, the shells around it and the HTTP server. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { buildConnector, type Dispatcher } from 'undici'
import { createCheckedAgent, createSocketConnector, sharedReads, type EngineReport } from '@yuccawharf/clients'
import type { ClassConfig, Settings } from '@yuccawharf/schema'
import { createHybridClock, type HybridClock } from '@yuccawharf/timeline'
import { createResponseRegistry } from './response-registry'
import { createResponseLocator } from './response-locator'
import { createCompletionRoutes } from './completion-routes'
import { createControlRoutes, type ControlRoutesEnv } from './control-routes'
import type { CoreAction, CoreEvent, Envelope } from './core/core-events'
import type { CorePort } from './core-port'
import { createCoreRuntime } from './core-runtime'
import { createAttainmentTracker } from './attainment-tracker'
import { createDirectory, type Directory } from './directory'
import { createEnginePollSchedule } from './engine-poll-schedule'
import { createForwarder } from './forwarder'
import { createHttpServer, createRequestHandler, defaultHttpLimits, type HttpLimits, type Route } from './http-router'
import { listen } from './listening'
import { createLogger, createMetrics, type Logger } from './observability'
import { createPeerHandler, createPeerSender, openDatagramPort, trpcPath } from './peer-rpc'
import { createPlatformShells } from './platform-shells'
import { createServiceRoutes } from './service-routes'
import { createStamps } from './stamps'

/** Admin functions that the node is given from outside: the admin routes and the recording of timeline events. */
export type AdminPort = Pick<ControlRoutesEnv, 'status' | 'applyConfig' | 'readConfig' | 'configHistory' | 'timeline'> & {
  record (action: CoreAction & { type: 'record' }): void
}

/** State of the shells that the admin functions read. */
export type ShellView = {
  now (): number
  /** Clock for timeline events and messages between nodes. */
  clock: HybridClock
  directory: Directory
  draining (): boolean
  /** Time since the last page of the log in ms; null before the first. */
  logContactAgeMs (): number | null
  /** The latest report of an engine that this node watches. */
  engineReport (engine: string): EngineReport | undefined
  /** Fraction of recent responses that met the class's target, and their number. */
  attained (className: string, target: unknown): { attained: number | null, requests: number }
}

export type NodeOptions = {
  settings: Settings
  core: CorePort
  admin (view: ShellView, dispatcher: Dispatcher): AdminPort
  /** Engines to poll for reports. */
  watchedEngines (): string[]
  logger?: Logger
  httpLimits?: HttpLimits
  /** Time for which callers cache addresses, in ms; a leaving node accepts requests for this long. */
  addressKeepMs?: number
}

export type RunningNode = {
  address: string
  /**
   * Shuts down gracefully: finishes running requests, hands over and stops. Resolves when the process may exit.
   * @param beforeStop runs before the node stops serving, for example to read its timeline
   */
  drain<T = undefined> (beforeStop?: () => Promise<T>): Promise<T | undefined>
  /** Stops at once; to other processes this looks like a crash. */
  kill (): Promise<void>
}

const tickMs = 50
const sweepMs = 250
const instancePollMs = 1000
/** Interval of poll turns: newly owned engines are polled in each turn, others in every fourth, and all in the turn after a failure. */
const enginePollMs = 500
const defaultAddressKeepMs = 5000
const defaultReplayBytes = 262_144
const defaultReplayMs = 30_000
const defaultRequestBytes = 1_048_576
/** Bounds memory: each request takes at most the replay bytes and its prompt. */
const maxRunning = 20_000

/** Clock of the core: it never goes backwards when the system clock is adjusted. */
function createMonotonicNow (): () => number {
  const offset = Date.now() - performance.now()
  return () => offset + performance.now()
}

/** Starts a node and resolves when it serves. */
export async function startNode (options: NodeOptions): Promise<RunningNode> {
  const { settings, core } = options
  const { id, address } = settings.node
  const limits = settings.limits ?? {}
  const requestBytes = limits.requestBytes ?? defaultRequestBytes
  const logger = options.logger ?? createLogger(settings.log?.level ?? 'info')
  const metrics = createMetrics(settings.metrics, { node: id, zone: settings.node.zone })
  const now = createMonotonicNow()
  const timers = new Set<NodeJS.Timeout>()
  // A stream has no event while its request is queued, so undici's own timeouts are disabled.
  const dispatcher = createCheckedAgent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: 30_000 }, createSocketConnector(buildConnector({ timeout: 1000 })))
  const directory = createDirectory()
  const attainment = createAttainmentTracker()
  const reports = new Map<string, EngineReport>()
  let logContactAt: number | undefined
  const enginePolls = createEnginePollSchedule()
  const clock = createHybridClock()
  const stamps = createStamps(clock, now)
  const runtime = createCoreRuntime(step, perform)
  const report = runtime.report
  const datagrams = await openDatagramPort(address, id, receive)
  let ready = false
  let drainStarted: number | undefined
  let stopping: Promise<void> | undefined

  /** Updates the state shown in the node's status, then passes the event to the core. */
  function step (event: CoreEvent): CoreAction[] {
    if (event.type === 'log-page') logContactAt = now()
    enginePolls.observe(event)
    if (event.type === 'engine-report') reports.set(event.report.engine, event.report)
    if (event.type === 'engine-unreachable') reports.delete(event.engine)
    return core.step(event, now())
  }

  function receive (envelope: Envelope): void {
    stamps.received(envelope.stamp)
    report({ type: 'message', envelope })
  }

  function after (ms: number, run: () => void): void {
    if (ms <= 0) {
      setImmediate(run)
      return
    }
    const timer = setTimeout(() => {
      timers.delete(timer)
      run()
    }, ms)
    timers.add(timer)
  }

  function accepting (): boolean {
    if (drainStarted === undefined) return true
    return now() - drainStarted < (options.addressKeepMs ?? defaultAddressKeepMs)
  }

  const responseLimits = { replayBytes: limits.replayBytes ?? defaultReplayBytes, replayMs: limits.replayMs ?? defaultReplayMs }
  const responses = createResponseRegistry({ stamps, finished: attainment.add, now, dispatcher, limits: responseLimits, engineAddress: directory.address, report, after })
  const locator = createResponseLocator(dispatcher, directory, id)
  const forwarder = createForwarder({ stamps, now, responses, locator, report, after })
  const services = createServiceRoutes({ now, services: settings.services ?? {}, requestBytes, maxRunning, report, accepting })
  const shells = createPlatformShells({
    dispatcher,
    directory,
    logUrl: settings.platform.log,
    instancesUrl: settings.platform.instances,
    report,
    serviceTimeoutMs: group => settings.services?.[group]?.timeoutMs ?? 10_000
  })
  const peers = createPeerSender(dispatcher, (to, err) => logger.debug(`message to node ${to} failed: ${(err as Error).message}`))
  const view: ShellView = {
    now,
    clock,
    directory,
    draining: () => drainStarted !== undefined,
    logContactAgeMs: () => logContactAt === undefined ? null : now() - logContactAt,
    engineReport: engine => reports.get(engine),
    attained: (className, target) => attainment.of(className, target as ClassConfig, now())
  }
  const admin = options.admin(view, dispatcher)
  const deliverToPeer = createPeerHandler(id, receive)

  const routes: Route[] = [
    ...createCompletionRoutes({ stamps, now, responses, forwarder, locator, directory, dispatcher, requestBytes, maxRunning, report, accepting, loadHints: () => core.loadHints?.(now()) ?? [] }),
    ...services.routes,
    ...createControlRoutes({ now, core, requestBytes, ...admin }),
    { method: '*', pattern: /^\/peer\/trpc\/(.+)$/, handle: async ({ req, res, url }) => await deliverToPeer(req, res, url.pathname.slice(trpcPath.length)) }
  ]
  const server = createHttpServer(createRequestHandler(routes, err => logger.error('request failed', err)), options.httpLimits ?? defaultHttpLimits)

  function send (action: CoreAction & { type: 'send' }): void {
    const envelope = { ...action.envelope, stamp: stamps.next() }
    const to = action.address ?? directory.address(envelope.to)
    if (to === undefined) return
    if (envelope.message.type === 'membership') datagrams.send(envelope, to)
    else peers.send(envelope, to)
  }

  function perform (action: CoreAction): void {
    switch (action.type) {
      case 'read-log': return shells.readLog(action.stream, action.from)
      case 'append': return shells.append(action)
      case 'send': return send(action)
      case 'engine-command': return shells.command(action)
      case 'dispatch': return responses.dispatch(action)
      case 'cancel-dispatch': return responses.cancelDispatch(action.engine, action.requestId)
      case 'forward': return forwarder.forward(action.requestId, action.node, action.address)
      case 'refuse': return responses.refuse(action.requestId, action.refusal)
      case 'send-order': return shells.sendOrder(action)
      case 'order-result': return services.complete(action)
      case 'record': return admin.record(action)
      case 'ready-to-exit': ready = true
    }
  }

  function every (ms: number, run: () => void): void {
    timers.add(setInterval(run, ms))
  }

  function startTimers (): void {
    every(tickMs, () => report({ type: 'tick' }))
    every(sweepMs, () => {
      responses.sweep()
      services.sweep()
      metrics.gauge('requests.running', responses.running())
      metrics.gauge('connections.waiting_reads', sharedReads.waiting())
    })
    every(instancePollMs, () => { shells.pollInstances().catch(() => {}) })
    every(enginePollMs, () => shells.pollEngines(enginePolls.due(options.watchedEngines())))
  }

  async function stop (sockets: Set<Socket>): Promise<void> {
    stopping ??= stopAll(sockets)
    await stopping
  }

  async function stopAll (sockets: Set<Socket>): Promise<void> {
    for (const timer of timers) clearTimeout(timer)
    runtime.stop()
    shells.stop()
    responses.closeAll()
    datagrams.close()
    metrics.close()
    const closed = new Promise<void>(resolve => { server.close(() => resolve()) })
    for (const socket of sockets) socket.destroy()
    await Promise.all([closed, dispatcher.destroy()])
  }

  async function drain<T> (sockets: Set<Socket>, beforeStop?: () => Promise<T>): Promise<T | undefined> {
    logger.info(`node ${id} is leaving`)
    drainStarted = now()
    report({ type: 'drain' })
    const limitMs = limits.drainMs ?? 0
    await new Promise<void>(resolve => {
      every(20, () => {
        const idle = responses.running() === 0 && services.running() === 0
        const overdue = limitMs > 0 && now() - (drainStarted ?? 0) >= limitMs
        if ((ready && idle && !accepting()) || overdue) resolve()
      })
    })
    const result = await beforeStop?.()
    await flushResponses(server, sockets)
    await stop(sockets)
    logger.info(`node ${id} has left`)
    return result
  }

  const sockets = await listen(server, address, logger).catch(async (err: Error) => {
    await stop(new Set())
    throw err
  })
  await shells.pollInstances().catch(() => {})
  report({ type: 'start' })
  startTimers()
  logger.info(`node ${id} serves at ${address}`)
  return {
    address,
    drain: async beforeStop => await drain(sockets, beforeStop),
    kill: async () => await stop(sockets)
  }
}

/** Longest wait for the last bytes of finished responses to be sent, in ms. */
const flushTimeoutMs = 2000

/** Waits until finished responses are sent and their connections closed. */
async function flushResponses (server: Server, sockets: Set<Socket>): Promise<void> {
  server.closeIdleConnections()
  const until = performance.now() + flushTimeoutMs
  while (sockets.size > 0 && performance.now() < until) {
    await new Promise(resolve => setTimeout(resolve, 10))
    server.closeIdleConnections()
  }
}
