/** Injects faults at random times, alone or in pairs. */
import type { Cluster } from './cluster'
import { goodQuality } from './network'
import type { NodeProcess } from './node-process'
import type { SimEngine, SimEnvironment } from './sim-environment'

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
  meanIntervalMs: number
  /** Relative frequencies, 1 by default; a fault with 0 is never injected. */
  weights: Partial<Record<FaultName, number>>
}

const minNodes = 2

export const createFaults = (sim: SimEnvironment, cluster: Cluster, options: FaultOptions): Faults => {
  const { clock, random, network, log, list, engines, weightStore, service, trace } = sim
  const counts: Record<string, number> = {}

  const pick = <T>(items: readonly T[]): T | undefined => items.length === 0 ? undefined : items[random.between(0, items.length - 1)]
  const pickEngine = (): SimEngine | undefined => pick([...engines.values()].filter(({ removed }) => !removed))

  const cutBothWays = (left: string, right: string, ms: number): void => {
    network.cut(left, right)
    network.cut(right, left)
    clock.after(ms, () => {
      network.heal(left, right)
      network.heal(right, left)
    })
  }

  const randomPauseMs = (): number => random.happens(0.3) ? random.between(5000, 25_000) : random.between(50, 5000)

  const cutTemporarily = (node: NodeProcess, target: string | undefined): void => {
    if (target === undefined) {
      return
    }
    const ms = random.between(200, 12_000)
    if (target === 'log') {
      sim.disturb('log', node.id, ms)
    } else if (target === 'list') {
      sim.disturb('list', node.id, ms)
    }
    cutBothWays(node.id, target, ms)
  }

  const cutZone = (node: NodeProcess): void => {
    const ms = random.between(500, 15_000)
    const others = cluster.nodes().filter(({ zone }) => zone !== node.zone)
    const inside = cluster.nodes().filter(({ zone }) => zone === node.zone)
    inside.forEach(({ id }) => others.forEach(other => cutBothWays(id, other.id, ms)))
  }

  const logOutage = (): void => {
    const ms = random.happens(0.3) ? random.between(10_000, 30_000) : random.between(200, 6000)
    sim.disturb('log', undefined, ms)
    log.setOutage(true)
    clock.after(ms, () => log.setOutage(false))
  }

  const expireRecords = (): void => {
    sim.syncOracle()
    const stream = pick(['config', 'ownership', `claims-${random.between(0, 15)}`]) as string
    const { first, next, records } = log.peek(stream)
    const lastSnapshot = records.findLast(({ value }) => (value as { type?: unknown }).type === 'snapshot')
    // Retention is longer than the snapshot interval, so records that the newest snapshot needs do not expire.
    const bound = stream.startsWith('claims') ? next : firstNeededOffset(records, lastSnapshot?.value)
    if (bound > first) {
      log.expire(stream, random.between(first, bound))
    }
  }

  const firstNeededOffset = (records: { offset: number, value: unknown }[], snapshot: unknown): number => {
    const { id, revision, parts } = (snapshot ?? {}) as { id?: string, revision?: number, parts?: number }
    const snapshotRecords = records.filter(({ value }) => (value as { id?: unknown, type?: unknown }).type === 'snapshot' && (value as { id?: unknown }).id === id)
    return snapshotRecords.length === parts && revision !== undefined ? Math.min(revision + 1, snapshotRecords[0]?.offset ?? 0) : 0
  }

  const engineLeaves = (target: SimEngine): void => {
    if ([...engines.values()].filter(({ removed, leavingReportedAt }) => !removed && leavingReportedAt === undefined).length < 2) {
      return
    }
    list.leave(target.id)
    if (random.happens(0.5)) {
      clock.after(random.between(0, 2000), () => target.model.setDraining(true))
    }
    const remove = (tries: number): void => {
      const idle = target.model.status()?.running.length === 0
      if (!idle && tries > 0) {
        clock.after(2000, () => remove(tries - 1))
        return
      }
      target.removed = true
      target.model.setUnreachable(true)
      list.remove(target.id)
      sim.addEngine()
    }
    clock.after(random.between(8000, 15_000), () => remove(20))
  }

  const temporarily = (set: (value: boolean) => void, ms: number): void => {
    set(true)
    clock.after(ms, () => set(false))
  }

  const injectors: Record<FaultName, (node: NodeProcess, target: SimEngine) => void> = {
    crash: node => { if (cluster.nodes().length > minNodes) cluster.crash(node) },
    pause: node => node.process.pause(randomPauseMs()),
    'pause-before-step': node => node.process.pauseAround('before', randomPauseMs()),
    'pause-after-step': node => node.process.pauseAround('after', randomPauseMs()),
    drain: node => { if (cluster.nodes().filter(({ draining }) => !draining).length > minNodes && !node.draining) cluster.drain(node) },
    'cut-nodes' (node) {
      cutTemporarily(node, pick(cluster.nodes().filter(({ id }) => id !== node.id))?.id)
    },
    'cut-zone': cutZone,
    'cut-log': node => cutTemporarily(node, 'log'),
    'cut-engine': (node, target) => cutTemporarily(node, target.id),
    'cut-list': node => cutTemporarily(node, 'list'),
    'message-storm' () {
      const ms = random.between(500, 6000)
      network.setQuality({ loss: 0.3, duplication: 0.2, maxDelayMs: 200 })
      clock.after(ms, () => network.setQuality(goodQuality))
    },
    'late-duplicates': () => network.duplicateLate(random.between(2000, 8000)),
    'log-outage': logOutage,
    'lost-append-answer': () => log.loseNextResponse(),
    'lost-append': node => { node.log.faults.loseNextAppend = true },
    'late-append': () => log.delayNextAppend(random.between(500, 15_000)),
    'lost-read': node => { node.log.faults.loseNextRead = true },
    'record-expiry': expireRecords,
    'engine-restart': (_node, target) => target.model.restart(random.happens(0.5) ? 0 : random.between(100, 5000)),
    'engine-unreachable': (_node, target) => temporarily(target.model.setUnreachable, random.between(100, 5000)),
    'engine-leaves': (_node, target) => { if (target.leavingReportedAt === undefined) engineLeaves(target) },
    'cut-streams': (_node, target) => target.model.disconnectStreams(),
    'load-fails': (_node, target) => target.model.failNextLoad(),
    'load-hangs': (_node, target) => target.model.hangNextLoad(),
    'command-answer-lost': (_node, target) => target.model.loseNextResponse(),
    'late-command': node => { node.nextCommandDelayMs = random.between(500, 20_000) },
    'weight-store-outage': () => temporarily(weightStore.setOutage, random.between(200, 8000)),
    'weight-store-slow' () {
      weightStore.setSlowdown(8)
      clock.after(random.between(500, 8000), () => weightStore.setSlowdown(1))
    },
    'list-outage' () {
      const ms = random.between(1000, 10_000)
      sim.disturb('list', undefined, ms)
      temporarily(list.setOutage, ms)
    },
    'list-lag' () {
      const ms = random.between(2000, 12_000)
      sim.disturb('list', undefined, ms)
      list.setLag(random.between(500, 5000))
      clock.after(ms, () => list.setLag(200))
    },
    'service-outage': () => temporarily(service.setOutage, random.between(200, 4000)),
    'lost-order-answer': () => service.loseNextResponse(),
    'late-order': node => { node.nextOrderDelayMs = random.between(500, 12_000) },
    'cut-service': node => cutTemporarily(node, pick([...sim.services.keys()]))
  }
  const names = Object.keys(injectors) as FaultName[]
  const weightOf = (name: FaultName): number => options.weights[name] ?? 1
  const totalWeight = names.reduce((sum, name) => sum + weightOf(name), 0)

  const choose = (): FaultName => {
    let draw = random.between(0, 999_999) / 1_000_000 * totalWeight
    return names.find(name => (draw -= weightOf(name)) < 0) ?? 'pause'
  }

  const inject = (node: NodeProcess, target: SimEngine): void => {
    const name = choose()
    counts[name] = (counts[name] ?? 0) + 1
    trace.add(clock.now(), 'fault', name, node.id, target.id)
    injectors[name](node, target)
  }

  const injectRound = (): void => {
    const node = pick(cluster.nodes())
    const target = pickEngine()
    if (node !== undefined && target !== undefined) {
      inject(node, target)
      // Half of the rounds inject a second fault at the same node and engine.
      if (random.happens(0.5) && !node.process.ended) {
        inject(node, target)
      }
    }
    clock.after(random.between(1, 2 * options.meanIntervalMs), injectRound)
  }

  return {
    start: () => { clock.after(random.between(4000, 8000), injectRound) },
    counts
  }
}
