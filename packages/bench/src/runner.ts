/** Runs one policy on one workload under a virtual clock. The same input gives the same result. */
import { createPermitClient, createPermitIssuer, createRouter, createScheduler } from '@yuccawharf/serving'
import type { EngineScheduler, PermitClient, PermitClientAction, PermitClientEvent, PermitGrant, PermitIssuer, Router, SchedulerAction, SchedulerEvent, ServingRequest } from '@yuccawharf/serving'
import { createArrivals, createRandom } from './arrivals'
import { createClock, createEngine, createStore } from './fakes'
import type { Clock, FakeEngine } from './fakes'
import { createRecorder } from './metrics'
import type { Recorder, RunResult } from './metrics'
import { createOracle } from './oracle'
import type { Oracle } from './oracle'
import type { BenchPolicy } from './policies'
import { classConfigs } from './workload'
import type { Workload } from './workload'

const tickIntervalMs = 250
const hintIntervalMs = 500
const reportIntervalMs = 1_000
const sampleIntervalMs = 10_000
/** Time until membership detects a lost node, and until its engines have a new owner. */
const detectionMs = 3_000
const takeoverMs = 5_000
/** Time after the end of the arrivals at which an unfinished run is stopped. */
const drainMs = 4 * 3_600_000

type Node = { name: string, router: Router, permits: PermitClient, issuer?: PermitIssuer, alive: boolean }

type Server = {
  name: string
  engine: FakeEngine
  owner: Node
  scheduler?: EngineScheduler
  term: number
}

type Simulation = {
  workload: Workload
  policy: BenchPolicy
  seed: number
  clock: Clock
  recorder: Recorder
  oracle: Oracle
  nodes: Node[]
  servers: Map<string, Server>
  arrivals: ServingRequest[]
}

const permitLimits = ({ store }: Workload, { reservePermits: reserve }: BenchPolicy) =>
  ({ inFlight: store.inFlight, perSecond: store.loadsPerSecond, expiryMs: 10_000, reserve })

const liveNodes = ({ nodes }: Simulation): string[] => nodes.filter(({ alive }) => alive).map(({ name }) => name)

const nodeNamed = ({ nodes }: Simulation, name: string): Node => nodes.find((node) => node.name === name)!

const send = ({ clock, workload }: Simulation, run: () => void): void => clock.after(workload.nodes.oneWayMs, run)

const stepPermits = (simulation: Simulation, node: Node, event: PermitClientEvent): void => {
  for (const action of node.permits.step(event, simulation.clock.now())) {
    applyPermitAction(simulation, node, action)
  }
}

const applyPermitAction = (simulation: Simulation, node: Node, action: PermitClientAction): void => {
  if (action.type === 'permit') {
    const server = simulation.servers.get(action.engine)!
    if (server.owner === node) {
      stepScheduler(simulation, server, { type: 'permit', permitId: action.permitId, expiresAt: action.expiresAt })
    }
    return
  }
  const issuerNode = nodeNamed(simulation, action.node)
  send(simulation, () => {
    if (!issuerNode.alive) {
      stepPermits(simulation, node, { type: 'unreachable', node: issuerNode.name })
    } else if (action.type === 'request') {
      stepIssuer(simulation, issuerNode, { type: 'request', engine: action.engine, urgency: action.urgency })
    } else {
      stepIssuer(simulation, issuerNode, { type: 'release', permitId: action.permitId, ...(action.unused ? { unused: true } : {}) })
    }
  })
}

const stepIssuer = (simulation: Simulation, node: Node, event: Parameters<PermitIssuer['step']>[0]): void => {
  node.issuer ??= createPermitIssuer(node.name, permitLimits(simulation.workload, simulation.policy))
  const now = simulation.clock.now()
  for (const grant of node.issuer.step(event, now)) {
    deliverGrant(simulation, grant)
  }
  const next = node.issuer.nextGrantAt(now)
  if (next !== undefined && event.type !== 'tick') {
    simulation.clock.after(next - now, () => stepIssuer(simulation, node, { type: 'tick' }))
  }
}

const deliverGrant = (simulation: Simulation, { engine, permitId, expiresAt }: PermitGrant): void => {
  const { owner } = simulation.servers.get(engine)!
  send(simulation, () => stepPermits(simulation, owner, { type: 'granted', engine, permitId, expiresAt }))
}

const stepScheduler = (simulation: Simulation, server: Server, event: SchedulerEvent): void => {
  const { scheduler } = server
  for (const action of scheduler?.step(event, simulation.clock.now()) ?? []) {
    applyAction(simulation, server, action)
  }
}

const applyAction = (simulation: Simulation, server: Server, action: SchedulerAction): void => {
  const { clock, recorder } = simulation
  const { engine, scheduler, owner } = server
  const sendToOwner = (event: SchedulerEvent): void => send(simulation, () => {
    if (server.scheduler === scheduler) {
      stepScheduler(simulation, server, event)
    }
  })
  switch (action.type) {
    case 'request-permit':
      stepPermits(simulation, owner, { type: 'request', engine: server.name, urgency: action.urgency })
      break
    case 'release-permit':
      stepPermits(simulation, owner, { type: 'release', permitId: action.permitId, ...(action.unused ? { unused: true } : {}) })
      break
    case 'load':
      recorder.load(server.name, `${action.adapter}@${action.version}`)
      send(simulation, () => engine.load(action.handle, `${action.adapter}@${action.version}`, (result) => sendToOwner({ type: 'load-result', handle: action.handle, result })))
      break
    case 'unload':
      recorder.evict(server.name, action.handle)
      send(simulation, () => engine.unload(action.handle, (result) => sendToOwner({ type: 'unload-result', handle: action.handle, result })))
      break
    case 'dispatch': {
      const request = recorder.dispatched(action.requestId)
      send(simulation, () => engine.dispatch(request, action.handle, action.priority))
      break
    }
    case 'cancel-dispatch':
      throw new Error(`${action.requestId} was cancelled, but no workload cancels requests`)
    case 'refuse':
      recorder.refused(action.requestId, action.reason)
      send(simulation, () => simulation.nodes.forEach(({ router }) => router.step({ type: 'refused', engine: server.name, retryAfterMs: Math.min(action.retryAfterMs, hintIntervalMs) }, clock.now())))
      break
    case 'requeued':
      recorder.requeued(action.requestId)
      break
  }
}

const createOwnerScheduler = (simulation: Simulation, server: Server): EngineScheduler => {
  const { workload, policy, oracle } = simulation
  const { slots, batchSize } = workload.servers
  const { queuedPerEngine, queuedPerAdapter } = workload.nodes
  const options = policy.usesOracle ? { ...policy.options, ...oracle.forEngine(server.name) } : policy.options
  return createScheduler({
    engine: server.name,
    term: server.term,
    slots,
    batchSize,
    queuedPerEngine,
    queuedPerAdapter,
    loadMs: workload.store.loadMs,
    classes: classConfigs(workload),
    seed: simulation.seed
  }, options)
}

const submit = (simulation: Simulation, request: ServingRequest, entry: Node): void => {
  const now = simulation.clock.now()
  const [name] = entry.router.route(request, now)
  const server = simulation.servers.get(name!)!
  simulation.recorder.submitted(request, server.name, server.engine.isResident(`${request.adapter}@${request.version}`))
  if (server.scheduler === undefined) {
    simulation.clock.after(1_000, () => submit(simulation, request, entry))
    return
  }
  send(simulation, () => stepScheduler(simulation, server, { type: 'submit', request }))
}

const loseNode = (simulation: Simulation, lost: Node): void => {
  lost.alive = false
  lost.issuer = undefined
  const owned = [...simulation.servers.values()].filter(({ owner }) => owner === lost)
  const waiting = simulation.recorder.waitingOn(owned.map(({ name }) => name))
  for (const server of owned) {
    server.scheduler = undefined
  }
  simulation.clock.after(detectionMs, () => {
    const nodes = liveNodes(simulation)
    simulation.nodes.filter(({ alive }) => alive).forEach((node) => stepPermits(simulation, node, { type: 'nodes', nodes }))
    for (const [index, request] of waiting.entries()) {
      submit(simulation, request, nodeNamed(simulation, nodes[index % nodes.length]!))
    }
  })
  simulation.clock.after(takeoverMs, () => owned.forEach((server, index) => takeOver(simulation, server, index)))
}

const takeOver = (simulation: Simulation, server: Server, index: number): void => {
  const nodes = liveNodes(simulation)
  server.owner = nodeNamed(simulation, nodes[index % nodes.length]!)
  server.term += 1
  server.scheduler = createOwnerScheduler(simulation, server)
  const { resident, running } = server.engine.report()
  stepScheduler(simulation, server, { type: 'adopt', resident, running })
  simulation.clock.after(takeoverMs, () => stepScheduler(simulation, server, { type: 'evictable', handles: resident.map(({ handle }) => handle) }))
}

const runEvery = (simulation: Simulation, ms: number, offset: number, run: () => void): void => {
  const repeat = (): void => {
    run()
    simulation.clock.after(ms, repeat)
  }
  simulation.clock.after(offset, repeat)
}

const startServer = (simulation: Simulation, server: Server, index: number): void => {
  const { clock, workload, recorder } = simulation
  const offset = index * 7 % tickIntervalMs
  runEvery(simulation, tickIntervalMs, offset, () => stepScheduler(simulation, server, { type: 'tick' }))
  runEvery(simulation, reportIntervalMs, offset, () => {
    const report = server.engine.report()
    clock.after(workload.servers.reportLagMs, () => stepScheduler(simulation, server, { type: 'report', report }))
  })
  runEvery(simulation, hintIntervalMs, offset, () => {
    const hint = server.scheduler?.load(clock.now())
    if (hint !== undefined) {
      send(simulation, () => simulation.nodes.forEach(({ router }) => router.step({ type: 'hint', hint }, clock.now())))
    }
  })
  runEvery(simulation, sampleIntervalMs, 0, () => recorder.sample(server.name))
}

const addServer = (simulation: Simulation, name: string, store: ReturnType<typeof createStore>, index: number): void => {
  const { workload, clock, recorder, nodes, seed } = simulation
  const engine = createEngine(name, workload, clock, store, createRandom(seed * 1_000 + index), {
    resident: (key) => recorder.resident(name, key),
    removed: (key) => recorder.removed(name, key),
    firstToken: (requestId, handle) => {
      recorder.firstToken(requestId)
      send(simulation, () => stepScheduler(simulation, server, { type: 'first-token', requestId, handle }))
    },
    ended: (requestId, handle, outcome, tokens, reason) => {
      recorder.ended(name, requestId, outcome, tokens)
      send(simulation, () => stepScheduler(simulation, server, { type: 'ended', requestId, handle, outcome, tokens, ...(reason === undefined ? {} : { reason }) }))
    },
    cache: (incarnation, events) => stepScheduler(simulation, server, { type: 'cache', incarnation, events })
  })
  const server: Server = { name, engine, owner: nodes[index % nodes.length]!, term: 1 }
  server.scheduler = createOwnerScheduler(simulation, server)
  simulation.servers.set(name, server)
  startServer(simulation, server, index)
}

const scheduleFaults = (simulation: Simulation): void => {
  for (const { type, atSeconds, index = 0 } of simulation.workload.fault) {
    if (type === 'engine-restart') {
      simulation.clock.after(atSeconds * 1000, () => [...simulation.servers.values()][index]!.engine.restart())
    } else if (type === 'node-loss') {
      simulation.clock.after(atSeconds * 1000, () => loseNode(simulation, simulation.nodes[index]!))
    }
  }
}

const scheduleArrivals = (simulation: Simulation): void => {
  const random = createRandom(simulation.seed + 1)
  const next = (index: number): void => {
    const request = simulation.arrivals[index]
    if (request === undefined) {
      return
    }
    simulation.clock.after(request.arrivedAt - simulation.clock.now(), () => {
      const nodes = liveNodes(simulation)
      submit(simulation, request, nodeNamed(simulation, nodes[Math.floor(random() * nodes.length)]!))
      next(index + 1)
    })
  }
  next(0)
}

/** @param seed of the arrivals and of every random choice of the simulated store and engines */
export const runPolicy = (workload: Workload, policy: BenchPolicy, seed: number): RunResult => {
  const clock = createClock()
  const arrivals = createArrivals(workload, seed)
  const serverNames = Array.from({ length: workload.servers.count }, (_, index) => `s${index}`)
  const nodeNames = Array.from({ length: workload.nodes.count }, (_, index) => `n${index}`)
  const recorder = createRecorder(workload, clock, serverNames)
  const nodes = nodeNames.map((name): Node => {
    const router = createRouter({ loadMs: workload.store.loadMs, mode: policy.routing })
    router.step({ type: 'engines', engines: serverNames }, 0)
    return { name, router, permits: createPermitClient(name, permitLimits(workload, policy)), alive: true }
  })
  const oracle = createOracle(arrivals, serverNames)
  const simulation: Simulation = { workload, policy, seed, clock, recorder, oracle, nodes, servers: new Map(), arrivals }
  nodes.forEach((node) => stepPermits(simulation, node, { type: 'nodes', nodes: nodeNames }))
  const store = createStore(workload, clock, createRandom(seed + 2))
  serverNames.forEach((name, index) => addServer(simulation, name, store, index))
  scheduleFaults(simulation)
  scheduleArrivals(simulation)
  clock.run(workload.seconds * 1000 + drainMs, () => recorder.isComplete(arrivals.length))
  return recorder.result()
}
