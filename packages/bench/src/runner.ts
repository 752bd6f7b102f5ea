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

const tickMs = 250
const hintMs = 500
const reportMs = 1_000
const sampleMs = 10_000
/** Time until membership has noticed a lost node, and until its engines have a new owner. */
const detectionMs = 3_000
const takeoverMs = 5_000
/** Time from the last arrival after which a run is cut off. */
const drainMs = 4 * 3_600_000

type Node = { name: string, router: Router, permits: PermitClient, holder?: PermitIssuer, alive: boolean }

type Server = {
  name: string
  engine: FakeEngine
  owner: Node
  scheduler?: EngineScheduler
  term: number
}

type World = {
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

const liveNodes = ({ nodes }: World): string[] => nodes.filter(({ alive }) => alive).map(({ name }) => name)

const nodeNamed = ({ nodes }: World, name: string): Node => nodes.find((node) => node.name === name)!

const send = ({ clock, workload }: World, run: () => void): void => clock.after(workload.nodes.oneWayMs, run)

const permitStep = (world: World, node: Node, event: PermitClientEvent): void => {
  for (const action of node.permits.step(event, world.clock.now())) {
    applyPermitAction(world, node, action)
  }
}

const applyPermitAction = (world: World, node: Node, action: PermitClientAction): void => {
  if (action.type === 'permit') {
    const server = world.servers.get(action.engine)!
    if (server.owner === node) {
      step(world, server, { type: 'permit', permitId: action.permitId, expiresAt: action.expiresAt })
    }
    return
  }
  const holderNode = nodeNamed(world, action.node)
  send(world, () => {
    if (!holderNode.alive) {
      permitStep(world, node, { type: 'unreachable', node: holderNode.name })
    } else if (action.type === 'request') {
      holderStep(world, holderNode, { type: 'request', engine: action.engine, urgency: action.urgency })
    } else {
      holderStep(world, holderNode, { type: 'release', permitId: action.permitId, ...(action.unused ? { unused: true } : {}) })
    }
  })
}

const holderStep = (world: World, node: Node, event: Parameters<PermitIssuer['step']>[0]): void => {
  node.holder ??= createPermitIssuer(node.name, permitLimits(world.workload, world.policy))
  const now = world.clock.now()
  for (const grant of node.holder.step(event, now)) {
    deliverGrant(world, grant)
  }
  const next = node.holder.nextGrantAt(now)
  if (next !== undefined && event.type !== 'tick') {
    world.clock.after(next - now, () => holderStep(world, node, { type: 'tick' }))
  }
}

const deliverGrant = (world: World, { engine, permitId, expiresAt }: PermitGrant): void => {
  const { owner } = world.servers.get(engine)!
  send(world, () => permitStep(world, owner, { type: 'granted', engine, permitId, expiresAt }))
}

const step = (world: World, server: Server, event: SchedulerEvent): void => {
  const { scheduler } = server
  for (const action of scheduler?.step(event, world.clock.now()) ?? []) {
    applyAction(world, server, action)
  }
}

const applyAction = (world: World, server: Server, action: SchedulerAction): void => {
  const { clock, recorder } = world
  const { engine, scheduler, owner } = server
  const toOwner = (event: SchedulerEvent): void => send(world, () => {
    if (server.scheduler === scheduler) {
      step(world, server, event)
    }
  })
  switch (action.type) {
    case 'request-permit':
      permitStep(world, owner, { type: 'request', engine: server.name, urgency: action.urgency })
      break
    case 'release-permit':
      permitStep(world, owner, { type: 'release', permitId: action.permitId, ...(action.unused ? { unused: true } : {}) })
      break
    case 'load':
      recorder.load(server.name, `${action.adapter}@${action.version}`)
      send(world, () => engine.load(action.handle, `${action.adapter}@${action.version}`, (result) => toOwner({ type: 'load-result', handle: action.handle, result })))
      break
    case 'unload':
      recorder.evict(server.name, action.handle)
      send(world, () => engine.unload(action.handle, (result) => toOwner({ type: 'unload-result', handle: action.handle, result })))
      break
    case 'dispatch': {
      const request = recorder.dispatched(action.requestId)
      send(world, () => engine.dispatch(request, action.handle, action.priority))
      break
    }
    case 'cancel-dispatch':
      throw new Error(`${action.requestId} was cancelled, but no workload cancels requests`)
    case 'refuse':
      recorder.refused(action.requestId, action.reason)
      send(world, () => world.nodes.forEach(({ router }) => router.step({ type: 'refused', engine: server.name, retryAfterMs: Math.min(action.retryAfterMs, hintMs) }, clock.now())))
      break
    case 'requeued':
      recorder.requeued(action.requestId)
      break
  }
}

const createOwner = (world: World, server: Server): EngineScheduler => {
  const { workload, policy, oracle } = world
  const { slots, batchSize } = workload.servers
  const { queuedPerEngine, queuedPerAdapter } = workload.nodes
  const options = policy.knowsArrivals ? { ...policy.options, ...oracle.forEngine(server.name) } : policy.options
  return createScheduler({
    engine: server.name,
    term: server.term,
    slots,
    batchSize,
    queuedPerEngine,
    queuedPerAdapter,
    loadMs: workload.store.loadMs,
    classes: classConfigs(workload),
    seed: world.seed
  }, options)
}

const submit = (world: World, request: ServingRequest, entry: Node): void => {
  const now = world.clock.now()
  const [name] = entry.router.route(request, now)
  const server = world.servers.get(name!)!
  world.recorder.submitted(request, server.name, server.engine.isResident(`${request.adapter}@${request.version}`))
  if (server.scheduler === undefined) {
    world.clock.after(1_000, () => submit(world, request, entry))
    return
  }
  send(world, () => step(world, server, { type: 'submit', request }))
}

const loseNode = (world: World, lost: Node): void => {
  lost.alive = false
  lost.holder = undefined
  const owned = [...world.servers.values()].filter(({ owner }) => owner === lost)
  const waiting = world.recorder.waitingOn(owned.map(({ name }) => name))
  for (const server of owned) {
    server.scheduler = undefined
  }
  world.clock.after(detectionMs, () => {
    const nodes = liveNodes(world)
    world.nodes.filter(({ alive }) => alive).forEach((node) => permitStep(world, node, { type: 'nodes', nodes }))
    for (const [index, request] of waiting.entries()) {
      submit(world, request, nodeNamed(world, nodes[index % nodes.length]!))
    }
  })
  world.clock.after(takeoverMs, () => owned.forEach((server, index) => takeOver(world, server, index)))
}

const takeOver = (world: World, server: Server, index: number): void => {
  const nodes = liveNodes(world)
  server.owner = nodeNamed(world, nodes[index % nodes.length]!)
  server.term += 1
  server.scheduler = createOwner(world, server)
  const { resident, running } = server.engine.report()
  step(world, server, { type: 'adopt', resident, running })
  world.clock.after(takeoverMs, () => step(world, server, { type: 'evictable', handles: resident.map(({ handle }) => handle) }))
}

const every = (world: World, ms: number, offset: number, run: () => void): void => {
  const repeat = (): void => {
    run()
    world.clock.after(ms, repeat)
  }
  world.clock.after(offset, repeat)
}

const startServer = (world: World, server: Server, index: number): void => {
  const { clock, workload, recorder } = world
  const offset = index * 7 % tickMs
  every(world, tickMs, offset, () => step(world, server, { type: 'tick' }))
  every(world, reportMs, offset, () => {
    const report = server.engine.report()
    clock.after(workload.servers.reportLagMs, () => step(world, server, { type: 'report', report }))
  })
  every(world, hintMs, offset, () => {
    const hint = server.scheduler?.load(clock.now())
    if (hint !== undefined) {
      send(world, () => world.nodes.forEach(({ router }) => router.step({ type: 'hint', hint }, clock.now())))
    }
  })
  every(world, sampleMs, 0, () => recorder.sample(server.name))
}

const addServer = (world: World, name: string, store: ReturnType<typeof createStore>, index: number): void => {
  const { workload, clock, recorder, nodes, seed } = world
  const engine = createEngine(name, workload, clock, store, createRandom(seed * 1_000 + index), {
    resident: (key) => recorder.resident(name, key),
    gone: (key) => recorder.gone(name, key),
    firstToken: (requestId, handle) => {
      recorder.firstToken(requestId)
      send(world, () => step(world, server, { type: 'first-token', requestId, handle }))
    },
    ended: (requestId, handle, outcome, tokens, reason) => {
      recorder.ended(name, requestId, outcome, tokens)
      send(world, () => step(world, server, { type: 'ended', requestId, handle, outcome, tokens, ...(reason === undefined ? {} : { reason }) }))
    },
    cache: (incarnation, events) => step(world, server, { type: 'cache', incarnation, events })
  })
  const server: Server = { name, engine, owner: nodes[index % nodes.length]!, term: 1 }
  server.scheduler = createOwner(world, server)
  world.servers.set(name, server)
  startServer(world, server, index)
}

const scheduleFaults = (world: World): void => {
  for (const { type, atSeconds, index = 0 } of world.workload.fault) {
    if (type === 'engine-restart') {
      world.clock.after(atSeconds * 1000, () => [...world.servers.values()][index]!.engine.restart())
    } else if (type === 'node-loss') {
      world.clock.after(atSeconds * 1000, () => loseNode(world, world.nodes[index]!))
    }
  }
}

const scheduleArrivals = (world: World): void => {
  const random = createRandom(world.seed + 1)
  const next = (index: number): void => {
    const request = world.arrivals[index]
    if (request === undefined) {
      return
    }
    world.clock.after(request.arrivedAt - world.clock.now(), () => {
      const nodes = liveNodes(world)
      submit(world, request, nodeNamed(world, nodes[Math.floor(random() * nodes.length)]!))
      next(index + 1)
    })
  }
  next(0)
}

/** @param seed of the arrivals and of every random choice of the fakes */
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
  const world: World = { workload, policy, seed, clock, recorder, oracle, nodes, servers: new Map(), arrivals }
  nodes.forEach((node) => permitStep(world, node, { type: 'nodes', nodes: nodeNames }))
  const store = createStore(workload, clock, createRandom(seed + 2))
  serverNames.forEach((name, index) => addServer(world, name, store, index))
  scheduleFaults(world)
  scheduleArrivals(world)
  clock.run(workload.seconds * 1000 + drainMs, () => recorder.isComplete(arrivals.length))
  return recorder.result()
}
