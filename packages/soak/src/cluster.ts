/** Starts, crashes, replaces and gracefully shuts down the nodes of a run. */
import type { Mutation } from './mutation'
import { createNodeProcess, type NodeProcess, type NodeProcessEnv } from './node-process'
import { region, zones, type SimEnvironment } from './sim-environment'

export type Cluster = {
  /** Processes that have not ended, paused ones included. */
  nodes (): NodeProcess[]
  running (): NodeProcess[]
  byId (id: string): NodeProcess | undefined
  start (): NodeProcess
  /** Ends the process at once; later a process with the same id or a new instance replaces it. */
  crash (node: NodeProcess): void
  drain (node: NodeProcess): void
}

export type ClusterOptions = {
  mutation: Mutation
  finished: NodeProcessEnv['finished']
  orderFinished: NodeProcessEnv['orderFinished']
}

export const createCluster = (sim: SimEnvironment, options: ClusterOptions): Cluster => {
  const { clock, random, list, trace } = sim
  const processes = new Map<string, NodeProcess>()
  let created = 0

  const startProcess = (id: string, zone: string): NodeProcess => {
    const node = createNodeProcess(sim, {
      peer: name => processes.get(name),
      finished: options.finished,
      orderFinished: options.orderFinished,
      exited: scheduleReplacement
    }, { id, zone, seed: random.between(1, 0x7fffffff), mutation: options.mutation })
    processes.set(id, node)
    return node
  }

  const start = (): NodeProcess => {
    const id = `n${created}`
    const zone = zones[created % zones.length] as string
    created += 1
    list.put({ id, kind: 'node', address: `${id}:7400`, zone, region, group: 'entry', state: 'live' })
    return startProcess(id, zone)
  }

  const scheduleReplacement = (node: NodeProcess): void => {
    clock.after(random.between(100, 3000), () => list.remove(node.id))
    clock.after(random.between(500, 5000), () => { start() })
  }

  return {
    nodes: () => [...processes.values()].filter(({ process }) => !process.ended),
    running: () => [...processes.values()].filter(({ process }) => !process.ended && !process.paused),
    byId: id => processes.get(id),
    start,
    crash (node) {
      trace.add(clock.now(), 'fault', `${node.id} crashes`)
      node.crash()
      if (random.happens(0.5) && !node.draining) {
        clock.after(random.between(500, 4000), () => startProcess(node.id, node.zone))
      } else {
        scheduleReplacement(node)
      }
    },
    drain (node) {
      trace.add(clock.now(), 'fault', `${node.id} drains`)
      list.leave(node.id)
      node.drain()
    }
  }
}
