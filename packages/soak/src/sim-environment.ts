/** Models of all systems outside the nodes on one virtual clock, and the ground truth for the checks. */
import type { ConfigChange } from '@yuccawharf/coordination'
import type { EngineCommand, Instance, InstanceSnapshot, ServiceRequest } from '@yuccawharf/clients'
import { createSeededRandom, createEngineModel, createInstanceListModel, createLogModel, createPlainServiceModel, createVirtualClock, createWeightStoreModel, type SeededRandom, type EngineModel, type InstanceListModel, type LogModel, type PlainServiceModel, type VirtualClock, type WeightStoreModel } from '@yuccawharf/stand-ins'
import { createChecker, type Checker } from './checker'
import { configContent, createConfigOracle, type ConfigOracle } from './config-oracle'
import { createDisturbances, type Disturbances, type UpdateSource } from './disturbances'
import { createNetwork, type Network } from './network'
import { createNullTrace, createTrace, type Trace } from './trace'

export type SimEnvironmentOptions = {
  seed: number
  engines: number
  /** Engines with this index or a higher one ignore fencing tokens. */
  fencedEngines: number
  services: number
  /** Whether to record events for a report. */
  trace: boolean
}

export type SimEngine = {
  id: string
  model: EngineModel
  checksFencing: boolean
  /** Time at which an instance list first reported to any node that the engine is leaving, in ms. */
  leavingReportedAt: number | undefined
  removed: boolean
  /** Adapter that each handle was first loaded with, as ADAPTER@VERSION. */
  readonly loadedAs: Map<string, string>
  recordCommand (command: EngineCommand): void
}

export type SimService = { id: string, leavingReportedAt: number | undefined, removed: boolean }

export type SimEnvironment = {
  readonly clock: VirtualClock
  readonly random: SeededRandom
  readonly network: Network
  readonly disturbances: Disturbances
  /** Records that updates from a source to a node, or to every node, may be delayed for `ms` and the recovery time. */
  disturb (source: UpdateSource, node: string | undefined, ms: number): void
  readonly log: LogModel
  readonly list: InstanceListModel
  readonly weightStore: WeightStoreModel
  readonly service: PlainServiceModel
  readonly engines: Map<string, SimEngine>
  /** Engine settings of the nodes, including engines that are added during the run. */
  readonly engineSettings: Record<string, { checksFencing: boolean }>
  readonly services: Map<string, SimService>
  readonly oracle: ConfigOracle
  readonly checker: Checker
  readonly trace: Trace
  addEngine (): SimEngine
  addService (): SimService
  /** Applies new configuration records of the log to the oracle. */
  syncOracle (): void
  appendChange (change: ConfigChange): void
  /** Called when an instance list has reached a node. */
  recordInstanceList (snapshot: InstanceSnapshot): void
  /** Called when an engine has accepted a request. */
  recordRun (requestId: string): void
  hasRun (requestId: string): boolean
  /** Adapter that a request must run on, as ADAPTER@VERSION. */
  expectedAdapter (requestId: string): string | undefined
  setExpectedAdapter (requestId: string, adapter: string): void
  /** Called when a service executes an order; checks P5. */
  recordExecution (orderId: string, req: ServiceRequest): void
  hasExecuted (orderId: string): boolean
  /** Set by the workload. */
  onCompletionRun (requestId: string): void
  /** Set by the workload. */
  onOrderKeyExecuted (key: string): void
  /** Checks P8 for the configuration in force at a process after a step. */
  checkRevision (node: RevisionSource, revision: number, entries: () => NodeConfigEntry[]): void
  countStep (): void
  readonly steps: number
}

type NodeConfigEntry = { key: string, value: unknown }

export type RevisionSource = { id: string, incarnation: number, logDisturbedUntil: number }

export const orderKeyHeader = 'idempotency-key'
/**
 * Longest time from the end of a fault to the next successful read, in ms: a backoff and a failed read
 * of the log, or one interval between reads of the instance list.
 */
const recoveryMs: Record<UpdateSource, number> = { log: 5000, list: 1000 }
/** Time within which an accepted configuration is in force at every node, in ms. */
const configPropagationMs = 9000

export const adapterCount = 14
export const reportLagMs = 1000
/** Retention time of the log, and the same value in the settings of the nodes. */
export const logRetentionMs = 90_000
export const engineGroup = 'kitdraft-llm'
export const serviceGroup = 'kit-portal'
export const region = 'zvolen'
export const zones = ['zvolen-a', 'zvolen-b', 'brezno-a']

const engineId = (index: number): string => `e${index}`
/** Upper bound of the engines that a run creates. */
const maxEngines = 100

export const adapterName = (index: number): string => `a${index}`

const initialChange = (): ConfigChange => ({
  type: 'change',
  id: 'initial',
  base: -1,
  by: 'operator',
  reads: [],
  writes: Object.fromEntries<unknown>([
    ['model/base', { group: engineGroup }],
    ['class/short', { firstTokenMs: 4000, attainment: 0.95 }],
    ['class/long', { finishWithinMs: 120_000, attainment: 0.9 }],
    ...Array.from({ length: adapterCount }, (_, index) => [`adapter/${adapterName(index)}`, { model: 'base', versions: ['1', '2'] }] as [string, unknown])
  ])
})

const createInstance = (id: string, kind: Instance['kind'], zone: string, group: string): Instance =>
  ({ id, kind, address: `${id}:7400`, zone, region, group, state: 'live' })

/**
 * @returns an environment without nodes, with the initial configuration in the log
 */
export const createSimEnvironment = (options: SimEnvironmentOptions): SimEnvironment => {
  const clock = createVirtualClock(1_000_000)
  const random = createSeededRandom(options.seed)
  const weightStore = createWeightStoreModel({ clock, fetchMs: 250 })
  const list = createInstanceListModel({ clock, lagMs: 200 })
  const log = createLogModel({ clock, seed: options.seed, retainMs: logRetentionMs })
  const engines = new Map<string, SimEngine>()
  const services = new Map<string, SimService>()
  const oracle = createConfigOracle()
  const disturbances = createDisturbances()
  let created = 0

  const addEngine = (): SimEngine => {
    const id = engineId(created)
    const checksFencing = created < options.fencedEngines
    created += 1
    const model = createEngineModel({
      clock,
      weights: weightStore,
      engine: id,
      baseModel: 'base',
      slots: 4,
      batchSize: 6,
      checksFencing,
      reportLagMs: random.between(0, reportLagMs - 100),
      // Few, large steps keep a run fast and leave the order of events unchanged.
      stepBaseMs: 100,
      tokensPerStep: 8,
      cacheBlocks: 16
    })
    const loadedAs = new Map<string, string>()
    const recordCommand = (command: EngineCommand): void => {
      if (command.type === 'load' && !loadedAs.has(command.handle)) {
        loadedAs.set(command.handle, `${command.adapter}@${command.version}`)
      }
    }
    const engine: SimEngine = { id, model, checksFencing, leavingReportedAt: undefined, removed: false, loadedAs, recordCommand }
    engines.set(id, engine)
    list.put(createInstance(id, 'engine', zones[engines.size % zones.length] as string, engineGroup))
    return engine
  }

  const addService = (): SimService => {
    const service: SimService = { id: `s${services.size}`, leavingReportedAt: undefined, removed: false }
    services.set(service.id, service)
    list.put(createInstance(service.id, 'service', zones[0] as string, serviceGroup))
    return service
  }

  const acceptedRequests = new Set<string>()
  const expectedAdapters = new Map<string, string>()
  const executedOrders = new Set<string>()
  const revisions = new Map<string, number>()
  let steps = 0

  const recordInstanceList = ({ instances }: InstanceSnapshot): void => {
    for (const instance of instances) {
      const target = engines.get(instance.id) ?? services.get(instance.id)
      if (instance.state === 'leaving' && target !== undefined) {
        target.leavingReportedAt ??= clock.now()
      }
    }
  }

  const recordExecution = (orderId: string, req: ServiceRequest): void => {
    executedOrders.add(orderId)
    const key = req.headers[orderKeyHeader]
    if (key !== undefined) {
      const executions = sim.service.executions(key) + 1
      sim.checker.check('P5', executions <= 1, () => `order ${key} is executed ${executions} times`, [key, orderId])
      sim.onOrderKeyExecuted(key)
    }
  }

  const checkContent = (processName: string, revision: number, entries: NodeConfigEntry[]): void => {
    syncOracle()
    const content = configContent(entries.filter(({ value }) => value !== null).map(({ key, value }) => [key, value]))
    sim.checker.check('P8', content === oracle.content(revision), () => `${processName} has content at revision ${revision} that differs from the accepted content: ${content}`, [processName])
  }

  const checkRevision = (node: RevisionSource, revision: number, entries: () => NodeConfigEntry[]): void => {
    const processName = `${node.id}/${node.incarnation}`
    const previous = revisions.get(processName) ?? -1
    sim.checker.check('P8', revision >= previous, () => `${processName} goes back from revision ${previous} to ${revision}`, [node.id])
    if (revision !== previous) {
      revisions.set(processName, revision)
      checkContent(processName, revision, entries())
    }
    const due = oracle.revisionAt(clock.now() - configPropagationMs)
    if (clock.now() > node.logDisturbedUntil + configPropagationMs) {
      sim.checker.check('P8', revision >= due, () => `${processName} has revision ${revision} in force; ${due} was accepted more than ${configPropagationMs} ms ago`, [node.id])
    }
  }

  const syncOracle = (): void => {
    const { records } = log.peek('config')
    const first = records[0]?.offset ?? 0
    records.slice(Math.max(0, oracle.nextOffset - first)).forEach(entry => oracle.apply(entry))
  }

  const sim: SimEnvironment = {
    clock,
    random,
    network: createNetwork(clock, random),
    disturbances,
    disturb: (source, node, ms) => disturbances.add(source, node, clock.now() + ms + recoveryMs[source]),
    log,
    list,
    weightStore,
    service: createPlainServiceModel({ clock, delayMs: 3 }),
    engines,
    engineSettings: Object.fromEntries(Array.from({ length: maxEngines }, (_, index) => [engineId(index), { checksFencing: index < options.fencedEngines }])),
    services,
    oracle,
    checker: createChecker(clock.now),
    trace: options.trace ? createTrace() : createNullTrace(),
    addEngine,
    addService,
    syncOracle,
    appendChange: change => log.append('config', [change], () => {}),
    recordInstanceList,
    recordRun (requestId) {
      acceptedRequests.add(requestId)
      sim.onCompletionRun(requestId)
    },
    onCompletionRun: () => {},
    hasRun: requestId => acceptedRequests.has(requestId),
    expectedAdapter: requestId => expectedAdapters.get(requestId),
    setExpectedAdapter: (requestId, adapter) => expectedAdapters.set(requestId, adapter),
    recordExecution,
    hasExecuted: orderId => executedOrders.has(orderId),
    onOrderKeyExecuted: () => {},
    checkRevision,
    countStep: () => { steps += 1 },
    get steps () { return steps }
  }
  for (let index = 0; index < options.engines; index++) {
    addEngine()
  }
  for (let index = 0; index < options.services; index++) {
    addService()
  }
  sim.appendChange(initialChange())
  return sim
}
