/**
 * Orders and ownership under load, on the stand-ins and a virtual clock: claims per append and
 * appends per second while orders arrive faster than the log accepts appends, and the time that
 * an engine has no owner after its node dies. `npx tsx packages/bench/src/order-storm.ts [--orders-per-second N ...]`
 */
import { pathToFileURL } from 'node:url'
import meow from 'meow'
import { createCoreSimulation, type CoreSimulation } from '@yuccawharf/node/testing'

export type StormResult = {
  ordersPerSecond: number
  sent: number
  ok: number
  notRun: number
  unknown: number
  unanswered: number
  /** Appends to the claims streams, per second of the storm. */
  appendsPerSecond: number
  recordsPerAppend: number
  claimsPerAppend: number
  medianMs: number
  p99Ms: number
  /** Orders that the back end executed more than once. */
  repeated: number
}

const nodeNames = (count: number): string[] => Array.from({ length: count }, (_, number) => `n${number + 1}`)

const percentile = (sorted: number[], fraction: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0

const round = (value: number): number => Math.round(value * 10) / 10

type Sent = { at: number, key: string }

const sendOrders = (world: CoreSimulation, nodes: string[], ordersPerSecond: number, seconds: number): Map<string, Sent> => {
  const sent = new Map<string, Sent>()
  const intervalMs = 1_000 / ordersPerSecond
  for (let number = 0; number < ordersPerSecond * seconds; number += 1) {
    const node = nodes[number % nodes.length] ?? ''
    const prefix = world.node(node).core.addresses({ service: 'desk' }, world.clock.now()).orderKeyPrefix ?? ''
    const key = `${prefix}order-${String(number).padStart(8, '0')}`
    sent.set(`o${number}`, { at: world.clock.now(), key })
    world.order(node, { orderId: `o${number}`, key })
    world.advance(intervalMs)
  }
  return sent
}

const countOutcomes = (world: CoreSimulation, sent: Map<string, Sent>): Pick<StormResult, 'ok' | 'notRun' | 'unknown' | 'unanswered'> => {
  const outcomes = [...sent.keys()].map(orderId => world.orders.get(orderId))
  const refused = (outcome: string): number => outcomes.filter(result => result?.type === 'refused' && result.refusal.outcome === outcome).length
  return {
    ok: outcomes.filter(result => result?.type === 'ok').length,
    notRun: refused('not-run'),
    unknown: refused('unknown'),
    unanswered: outcomes.filter(result => result === undefined).length
  }
}

const latencies = (world: CoreSimulation, sent: Map<string, Sent>): number[] => world.trace
  .flatMap(({ at, action }) => action.type === 'order-result' && action.result.type === 'ok' ? [at - (sent.get(action.orderId)?.at ?? at)] : [])
  .sort((left, right) => left - right)

/** @param seconds - length of the storm; the answers are awaited afterwards */
export const measureStorm = (ordersPerSecond: number, seconds: number, nodeCount: number): StormResult => {
  const nodes = nodeNames(nodeCount)
  const world = createCoreSimulation({ nodes, engines: [] })
  world.advance(8_000)
  const since = world.clock.now()
  const sent = sendOrders(world, nodes, ordersPerSecond, seconds)
  const until = world.clock.now()
  world.advance(15_000)
  const appends = world.trace.flatMap(({ at, action }) =>
    action.type === 'append' && action.stream.startsWith('claims') && at >= since && at < until ? [action.values as { type: string }[]] : [])
  const claims = appends.map(values => values.filter(({ type }) => type === 'claim').length)
  const claiming = claims.filter(count => count > 0)
  const times = latencies(world, sent)
  return {
    ordersPerSecond,
    sent: sent.size,
    ...countOutcomes(world, sent),
    appendsPerSecond: round(appends.length / seconds),
    recordsPerAppend: round(appends.reduce((sum, values) => sum + values.length, 0) / appends.length),
    claimsPerAppend: round(claims.reduce((sum, count) => sum + count, 0) / Math.max(1, claiming.length)),
    medianMs: round(percentile(times, 0.5)),
    p99Ms: round(percentile(times, 0.99)),
    repeated: [...sent.values()].filter(({ key }) => world.service.executions(key) > 1).length
  }
}

export type GapResult = { nodes: number, runs: number, medianMs: number, maxMs: number }

const gapOf = (nodes: string[], seed: number): number => {
  const world = createCoreSimulation({ nodes, engines: ['e1'], config: { seed }, engine: { checksFencing: true, reportLagMs: 300 } })
  // Kills at different points of the membership period.
  world.advance(8_000 + seed * 137 % 1_000)
  const owner = world.ownerOf('e1') ?? ''
  world.node(owner).kill(30_000)
  const start = world.clock.now()
  while (world.ownerOf('e1') === owner && world.clock.now() - start < 60_000) {
    world.advance(10)
  }
  return world.clock.now() - start
}

/** Time from the death of an owner to the record of its successor. */
export const measureGap = (nodeCount: number, runs: number): GapResult => {
  const nodes = nodeNames(nodeCount)
  const gaps = Array.from({ length: runs }, (_, index) => gapOf(nodes, index + 1)).sort((left, right) => left - right)
  return { nodes: nodeCount, runs, medianMs: percentile(gaps, 0.5), maxMs: gaps.at(-1) ?? 0 }
}

const main = (): void => {
  const cli = meow(`
    Usage: npx tsx packages/bench/src/order-storm.ts [--seconds N] [--nodes N] [--runs N]
  `, {
    importMeta: import.meta,
    flags: {
      seconds: { type: 'number', default: 5 },
      nodes: { type: 'number', default: 6 },
      runs: { type: 'number', default: 30 }
    }
  })
  const { seconds, nodes, runs } = cli.flags
  console.table([10, 100, 400, 1_000, 2_000].map(rate => measureStorm(rate, seconds, nodes)))
  console.table([3, 6, 9].map(count => measureGap(count, runs)))
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  main()
}
