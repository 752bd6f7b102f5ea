/** Everything outside the nodes, as models on one virtual clock, with the ground truth of the checks. */
import type { ConfigChange } from '@yuccawharf/coordination'
import type { EngineCommand, Instance, InstanceSnapshot, ServiceRequest } from '@yuccawharf/clients'
import { createSeededRandom, createEngineModel, createInstanceListModel, createLogModel, createPlainServiceModel, createVirtualClock, createWeightStoreModel, type SeededRandom, type EngineModel, type InstanceListModel, type LogModel, type PlainServiceModel, type VirtualClock, type WeightStoreModel } from '@yuccawharf/stand-ins'
import { createChecker, type Checker } from './checker'
import { configContent, createConfigOracle, type ConfigOracle } from './config-oracle'
import { createDisturbances, type Disturbances, type NewsSource } from './disturbances'
import { createNetwork, type Network } from './network'
import { createNoTrace, createTrace, type Trace } from './trace'

export type WorldOptions = {
  seed: number
  engines: number
  /** Engines from this index on ignore fencing numbers. */
  fencedEngines: number
  services: number
  /** Whether to keep the events for a report. */
  trace: boolean
}

export type EngineInWorld = {
  id: string
  model: EngineModel
  checksFencing: boolean
  /** When the list, or the engine, first told any node that the engine leaves, in ms. */
  leavingToldAt: number | undefined
  gone: boolean
  /** What each handle was first loaded with, as ADAPTER@VERSION. */
  readonly loadedAs: Map<string, string>
  noteCommand (command: EngineCommand): void
}

export type ServiceInWorld = { id: string, leavingToldAt: number | undefined, gone: boolean }

export type World = {
  readonly clock: VirtualClock
  readonly chance: SeededRandom
  readonly network: Network
  readonly disturbances: Disturbances
  /** For `ms` from now on a source does not reach a node, or any node, and a while later it does again. */
  disturb (source: NewsSource, node: string | undefined, ms: number): void
  readonly log: LogModel
  readonly list: InstanceListModel
  readonly weights: WeightStoreModel
  readonly service: PlainServiceModel
  readonly engines: Map<string, EngineInWorld>
  /** Settings of the nodes for all engines of the run, those to come included. */
  readonly engineSettings: Record<string, { checksFencing: boolean }>
  readonly services: Map<string, ServiceInWorld>
  readonly oracle: ConfigOracle
  readonly checker: Checker
  readonly trace: Trace
  addEngine (): EngineInWorld
  addService (): ServiceInWorld
  /** Shows the oracle the configuration records that it has not seen. */
  syncOracle (): void
  appendChange (change: ConfigChange): void
  /** An instance list has reached a node. */
  noteTold (snapshot: InstanceSnapshot): void
  /** An engine accepted a request. */
  noteRun (requestId: string): void
  hasRun (requestId: string): boolean
  /** What a request must run on, as ADAPTER@VERSION. */
  adapterOf (requestId: string): string | undefined
  expect (requestId: string, adapter: string): void
  /** A service executes an order now. */
  executing (orderId: string, req: ServiceRequest): void
  hasExecuted (orderId: string): boolean
  /** Set by the workload. */
  completionRuns (requestId: string): void
  /** Set by the workload. */
  orderKeyExecuted (key: string): void
  /** Configuration in force at a process after a step. */
  noteRevision (node: RevisionSource, revision: number, entries: () => ConfigEntryOfNode[]): void
  countStep (): void
  readonly steps: number
}

type ConfigEntryOfNode = { key: string, value: unknown }

export type RevisionSource = { id: string, incarnation: number, logDisturbedUntil: number }

export const orderKeyHeader = 'idempotency-key'
/**
 * Time from the end of a fault to the next contact, in ms: a back-off and a failed read of the log,
 * or the time between two reads of the list.
 */
const recoveryMs: Record<NewsSource, number> = { log: 5000, list: 1000 }
/** Time within which an accepted configuration is in force everywhere, in ms. */
const configBoundMs = 9000

export const adapterCount = 14
export const reportLagMs = 1000
/** Settings of the nodes state this time; the log keeps records for as long. */
export const logRetentionMs = 90_000
export const engineGroup = 'kitdraft-llm'
export const serviceGroup = 'kit-portal'
export const region = 'zvolen'
export const zones = ['zvolen-a', 'zvolen-b', 'brezno-a']

const engineId = (index: number): string => `e${index}`
/** More than a run creates. */
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

const instanceOf = (id: string, kind: Instance['kind'], zone: string, group: string): Instance =>
  ({ id, kind, address: `${id}:7400`, zone, region, group, state: 'live' })

/**
 * @param options - sizes and the seed
 * @returns a world without nodes, with its first configuration in the log
 */
export const createWorld = (options: WorldOptions): World => {
  const clock = createVirtualClock(1_000_000)
  const chance = createSeededRandom(options.seed)
  const weights = createWeightStoreModel({ clock, fetchMs: 250 })
  const list = createInstanceListModel({ clock, lagMs: 200 })
  const log = createLogModel({ clock, seed: options.seed, retainMs: logRetentionMs })
  const engines = new Map<string, EngineInWorld>()
  const services = new Map<string, ServiceInWorld>()
  const oracle = createConfigOracle()
  const disturbances = createDisturbances()
  let created = 0

  const addEngine = (): EngineInWorld => {
    const id = engineId(created)
    const checksFencing = created < options.fencedEngines
    created += 1
    const model = createEngineModel({
      clock,
      weights,
      engine: id,
      baseModel: 'base',
      slots: 4,
      batchSize: 6,
      checksFencing,
      reportLagMs: chance.between(0, reportLagMs - 100),
      // Few, large steps keep a run fast; the decisions see the same order of events.
      stepBaseMs: 100,
      tokensPerStep: 8,
      cacheBlocks: 16
    })
    const loadedAs = new Map<string, string>()
    const noteCommand = (command: EngineCommand): void => {
      if (command.type === 'load' && !loadedAs.has(command.handle)) {
        loadedAs.set(command.handle, `${command.adapter}@${command.version}`)
      }
    }
    const engine: EngineInWorld = { id, model, checksFencing, leavingToldAt: undefined, gone: false, loadedAs, noteCommand }
    engines.set(id, engine)
    list.put(instanceOf(id, 'engine', zones[engines.size % zones.length] as string, engineGroup))
    return engine
  }

  const addService = (): ServiceInWorld => {
    const service: ServiceInWorld = { id: `s${services.size}`, leavingToldAt: undefined, gone: false }
    services.set(service.id, service)
    list.put(instanceOf(service.id, 'service', zones[0] as string, serviceGroup))
    return service
  }

  const ran = new Set<string>()
  const expected = new Map<string, string>()
  const executed = new Set<string>()
  const revisions = new Map<string, number>()
  let steps = 0

  const noteTold = ({ instances }: InstanceSnapshot): void => {
    for (const instance of instances) {
      const target = engines.get(instance.id) ?? services.get(instance.id)
      if (instance.state === 'leaving' && target !== undefined) {
        target.leavingToldAt ??= clock.now()
      }
    }
  }

  const executing = (orderId: string, req: ServiceRequest): void => {
    executed.add(orderId)
    const key = req.headers[orderKeyHeader]
    if (key !== undefined) {
      const executions = world.service.executions(key) + 1
      world.checker.check('P5', executions <= 1, () => `order ${key} is executed ${executions} times`, [key, orderId])
      world.orderKeyExecuted(key)
    }
  }

  const checkContent = (process: string, revision: number, entries: ConfigEntryOfNode[]): void => {
    syncOracle()
    const content = configContent(entries.filter(({ value }) => value !== null).map(({ key, value }) => [key, value]))
    world.checker.check('P8', content === oracle.content(revision), () => `${process} has revision ${revision} with other content than was accepted: ${content}`, [process])
  }

  const noteRevision = (node: RevisionSource, revision: number, entries: () => ConfigEntryOfNode[]): void => {
    const process = `${node.id}/${node.incarnation}`
    const before = revisions.get(process) ?? -1
    world.checker.check('P8', revision >= before, () => `${process} goes back from revision ${before} to ${revision}`, [node.id])
    if (revision !== before) {
      revisions.set(process, revision)
      checkContent(process, revision, entries())
    }
    const due = oracle.revisionAt(clock.now() - configBoundMs)
    if (clock.now() > node.logDisturbedUntil + configBoundMs) {
      world.checker.check('P8', revision >= due, () => `${process} has revision ${revision} in force; ${due} was accepted more than ${configBoundMs} ms ago`, [node.id])
    }
  }

  const syncOracle = (): void => {
    const { records } = log.peek('config')
    const first = records[0]?.offset ?? 0
    records.slice(Math.max(0, oracle.next - first)).forEach(entry => oracle.apply(entry))
  }

  const world: World = {
    clock,
    chance,
    network: createNetwork(clock, chance),
    disturbances,
    disturb: (source, node, ms) => disturbances.add(source, node, clock.now() + ms + recoveryMs[source]),
    log,
    list,
    weights,
    service: createPlainServiceModel({ clock, delayMs: 3 }),
    engines,
    engineSettings: Object.fromEntries(Array.from({ length: maxEngines }, (_, index) => [engineId(index), { checksFencing: index < options.fencedEngines }])),
    services,
    oracle,
    checker: createChecker(clock.now),
    trace: options.trace ? createTrace() : createNoTrace(),
    addEngine,
    addService,
    syncOracle,
    appendChange: change => log.append('config', [change], () => {}),
    noteTold,
    noteRun (requestId) {
      ran.add(requestId)
      world.completionRuns(requestId)
    },
    completionRuns: () => {},
    hasRun: requestId => ran.has(requestId),
    adapterOf: requestId => expected.get(requestId),
    expect: (requestId, adapter) => expected.set(requestId, adapter),
    executing,
    hasExecuted: orderId => executed.has(orderId),
    orderKeyExecuted: () => {},
    noteRevision,
    countStep: () => { steps += 1 },
    get steps () { return steps }
  }
  for (let index = 0; index < options.engines; index++) {
    addEngine()
  }
  for (let index = 0; index < options.services; index++) {
    addService()
  }
  world.appendChange(initialChange())
  return world
}
