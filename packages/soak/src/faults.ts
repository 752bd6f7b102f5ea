/** Injects faults at random times, singly and in pairs. */
import type { Cluster } from './cluster'
import { goodQuality } from './network'
import type { NodeProcess } from './node-process'
import type { EngineInWorld, World } from './world'

export type FaultName =
  | 'crash' | 'pause' | 'pause-before-step' | 'pause-after-step' | 'drain'
  | 'cut-nodes' | 'cut-zone' | 'cut-log' | 'cut-engine' | 'cut-list' | 'message-storm' | 'late-duplicates'
  | 'log-outage' | 'lost-append-answer' | 'lost-append' | 'late-append' | 'lost-read' | 'record-expiry'
  | 'engine-restart' | 'engine-unreachable' | 'engine-leaves' | 'cut-streams'
  | 'load-fails' | 'load-hangs' | 'command-answer-lost' | 'late-command' | 'weight-store-outage' | 'weight-store-slow'
  | 'list-outage' | 'list-lag' | 'service-outage' | 'lost-order-answer' | 'late-order' | 'cut-service'

export type Faults = {
  start (): void
  readonly counts: Record<string, number>
}

export type FaultOptions = {
  meanMs: number
  /** Relative frequency; 1 for faults that are not named, 0 never injects the fault. */
  weights: Partial<Record<FaultName, number>>
}

const minNodes = 2
export const createFaults = (world: World, cluster: Cluster, options: FaultOptions): Faults => {
  const { clock, chance, network, log, list, engines, weights, service, trace } = world
  const counts: Record<string, number> = {}

  const pick = <T>(items: readonly T[]): T | undefined => items.length === 0 ? undefined : items[chance.between(0, items.length - 1)]
  const engine = (): EngineInWorld | undefined => pick([...engines.values()].filter(({ gone }) => !gone))

  const cutBoth = (left: string, right: string, ms: number): void => {
    network.cut(left, right)
    network.cut(right, left)
    clock.after(ms, () => {
      network.heal(left, right)
      network.heal(right, left)
    })
  }

  const pauseMs = (): number => chance.happens(0.3) ? chance.between(5000, 25_000) : chance.between(50, 5000)

  const cutFrom = (node: NodeProcess, target: string | undefined): void => {
    if (target === undefined) {
      return
    }
    const ms = chance.between(200, 12_000)
    if (target === 'log') {
      world.disturb('log', node.id, ms)
    } else if (target === 'list') {
      world.disturb('list', node.id, ms)
    }
    cutBoth(node.id, target, ms)
  }

  const cutZone = (node: NodeProcess): void => {
    const ms = chance.between(500, 15_000)
    const others = cluster.nodes().filter(({ zone }) => zone !== node.zone)
    const inside = cluster.nodes().filter(({ zone }) => zone === node.zone)
    inside.forEach(({ id }) => others.forEach(other => cutBoth(id, other.id, ms)))
  }

  const logOutage = (): void => {
    const ms = chance.happens(0.3) ? chance.between(10_000, 30_000) : chance.between(200, 6000)
    world.disturb('log', undefined, ms)
    log.setOutage(true)
    clock.after(ms, () => log.setOutage(false))
  }

  const expire = (): void => {
    world.syncOracle()
    const stream = pick(['config', 'ownership', `claims-${chance.between(0, 15)}`]) as string
    const { first, next, records } = log.peek(stream)
    const lastSnapshot = records.findLast(({ value }) => (value as { type?: unknown }).type === 'snapshot')
    // Retention is longer than the interval of snapshots, so a stream keeps what its newest snapshot needs.
    const bound = stream.startsWith('claims') ? next : newestSnapshotStart(records, lastSnapshot?.value)
    if (bound > first) {
      log.expire(stream, chance.between(first, bound))
    }
  }

  const newestSnapshotStart = (records: { offset: number, value: unknown }[], snapshot: unknown): number => {
    const { id, revision, parts } = (snapshot ?? {}) as { id?: string, revision?: number, parts?: number }
    const own = records.filter(({ value }) => (value as { id?: unknown, type?: unknown }).type === 'snapshot' && (value as { id?: unknown }).id === id)
    return own.length === parts && revision !== undefined ? Math.min(revision + 1, own[0]?.offset ?? 0) : 0
  }

  const engineLeaves = (target: EngineInWorld): void => {
    if ([...engines.values()].filter(({ gone, leavingToldAt }) => !gone && leavingToldAt === undefined).length < 2) {
      return
    }
    list.leave(target.id)
    if (chance.happens(0.5)) {
      clock.after(chance.between(0, 2000), () => target.model.setDraining(true))
    }
    const remove = (tries: number): void => {
      const idle = target.model.status()?.running.length === 0
      if (!idle && tries > 0) {
        clock.after(2000, () => remove(tries - 1))
        return
      }
      target.gone = true
      target.model.setUnreachable(true)
      list.remove(target.id)
      world.addEngine()
    }
    clock.after(chance.between(8000, 15_000), () => remove(20))
  }

  const temporarily = (set: (value: boolean) => void, ms: number): void => {
    set(true)
    clock.after(ms, () => set(false))
  }

  const catalogue: Record<FaultName, (node: NodeProcess, target: EngineInWorld) => void> = {
    crash: node => { if (cluster.nodes().length > minNodes) cluster.crash(node) },
    pause: node => node.process.pause(pauseMs()),
    'pause-before-step': node => node.process.pauseAround('before', pauseMs()),
    'pause-after-step': node => node.process.pauseAround('after', pauseMs()),
    drain: node => { if (cluster.nodes().filter(({ draining }) => !draining).length > minNodes && !node.draining) cluster.drain(node) },
    'cut-nodes' (node) {
      cutFrom(node, pick(cluster.nodes().filter(({ id }) => id !== node.id))?.id)
    },
    'cut-zone': cutZone,
    'cut-log': node => cutFrom(node, 'log'),
    'cut-engine': (node, target) => cutFrom(node, target.id),
    'cut-list': node => cutFrom(node, 'list'),
    'message-storm' () {
      const ms = chance.between(500, 6000)
      network.setQuality({ loss: 0.3, duplication: 0.2, maxDelayMs: 200 })
      clock.after(ms, () => network.setQuality(goodQuality))
    },
    'late-duplicates': () => network.repeatLate(chance.between(2000, 8000)),
    'log-outage': logOutage,
    'lost-append-answer': () => log.loseNextResponse(),
    'lost-append': node => { node.log.faults.loseNextAppend = true },
    'late-append': () => log.delayNextAppend(chance.between(500, 15_000)),
    'lost-read': node => { node.log.faults.loseNextRead = true },
    'record-expiry': expire,
    'engine-restart': (_node, target) => target.model.restart(chance.happens(0.5) ? 0 : chance.between(100, 5000)),
    'engine-unreachable': (_node, target) => temporarily(target.model.setUnreachable, chance.between(100, 5000)),
    'engine-leaves': (_node, target) => { if (target.leavingToldAt === undefined) engineLeaves(target) },
    'cut-streams': (_node, target) => target.model.disconnectStreams(),
    'load-fails': (_node, target) => target.model.failNextLoad(),
    'load-hangs': (_node, target) => target.model.hangNextLoad(),
    'command-answer-lost': (_node, target) => target.model.loseNextResponse(),
    'late-command': node => { node.delayNextCommandMs = chance.between(500, 20_000) },
    'weight-store-outage': () => temporarily(weights.setOutage, chance.between(200, 8000)),
    'weight-store-slow' () {
      weights.setSlowdown(8)
      clock.after(chance.between(500, 8000), () => weights.setSlowdown(1))
    },
    'list-outage' () {
      const ms = chance.between(1000, 10_000)
      world.disturb('list', undefined, ms)
      temporarily(list.setOutage, ms)
    },
    'list-lag' () {
      const ms = chance.between(2000, 12_000)
      world.disturb('list', undefined, ms)
      list.setLag(chance.between(500, 5000))
      clock.after(ms, () => list.setLag(200))
    },
    'service-outage': () => temporarily(service.setOutage, chance.between(200, 4000)),
    'lost-order-answer': () => service.loseNextResponse(),
    'late-order': node => { node.delayNextOrderMs = chance.between(500, 12_000) },
    'cut-service': node => cutFrom(node, pick([...world.services.keys()]))
  }
  const names = Object.keys(catalogue) as FaultName[]
  const weightOf = (name: FaultName): number => options.weights[name] ?? 1
  const totalWeight = names.reduce((sum, name) => sum + weightOf(name), 0)

  const choose = (): FaultName => {
    let ticket = chance.between(0, 999_999) / 1_000_000 * totalWeight
    return names.find(name => (ticket -= weightOf(name)) < 0) ?? 'pause'
  }

  const inject = (node: NodeProcess, target: EngineInWorld): void => {
    const name = choose()
    counts[name] = (counts[name] ?? 0) + 1
    trace.add(clock.now(), 'fault', name, node.id, target.id)
    catalogue[name](node, target)
  }

  const round = (): void => {
    const node = pick(cluster.nodes())
    const target = engine()
    if (node !== undefined && target !== undefined) {
      inject(node, target)
      // Half of the rounds bring two faults to the same node and engine.
      if (chance.happens(0.5) && !node.process.ended) {
        inject(node, target)
      }
    }
    clock.after(chance.between(1, 2 * options.meanMs), round)
  }

  return {
    start: () => { clock.after(chance.between(4000, 8000), round) },
    counts
  }
}
