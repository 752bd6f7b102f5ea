/**
 * Orders and ownership under load, on the stand-ins and a virtual clock: claims per append and
 * appends per second while orders arrive faster than the log accepts appends, and the time until
 * an engine has a new owner after its node fails. `npx tsx packages/bench/src/order-storm.ts [--seconds N] [--nodes N] [--runs N]`
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
  /** Appends to the claims streams, per second of the load. */
  appendsPerSecond: number
  recordsPerAppend: number
  claimsPerAppend: number
  medianMs: number
  p99Ms: number
  /** Orders that the backend server executed more than once. */
  repeated: number
}

const nodeNames = (count: number): string[] => Array.from({ length: count }, (_, number) => `n${number + 1}`)

const percentile = (sorted: number[], fraction: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0

const round = (value: number): number => Math.round(value * 10) / 10

type SentOrder = { at: number, key: string }

const sendOrders = (simulation: CoreSimulation, nodes: string[], ordersPerSecond: number, seconds: number): Map<string, SentOrder> => {
  const sent = new Map<string, SentOrder>()
  const intervalMs = 1_000 / ordersPerSecond
  for (let number = 0; number < ordersPerSecond * seconds; number += 1) {
    const node = nodes[number % nodes.length] ?? ''
    const prefix = simulation.node(node).core.addresses({ service: 'desk' }, simulation.clock.now()).orderKeyPrefix ?? ''
    const key = `${prefix}order-${String(number).padStart(8, '0')}`
    sent.set(`o${number}`, { at: simulation.clock.now(), key })
    simulation.order(node, { orderId: `o${number}`, key })
    simulation.advance(intervalMs)
  }
  return sent
}

const countOutcomes = (simulation: CoreSimulation, sent: Map<string, SentOrder>): Pick<StormResult, 'ok' | 'notRun' | 'unknown' | 'unanswered'> => {
  const outcomes = [...sent.keys()].map(orderId => simulation.orders.get(orderId))
  const refused = (outcome: string): number => outcomes.filter(result => result?.type === 'refused' && result.refusal.outcome === outcome).length
  return {
    ok: outcomes.filter(result => result?.type === 'ok').length,
    notRun: refused('not-run'),
    unknown: refused('unknown'),
    unanswered: outcomes.filter(result => result === undefined).length
  }
}

const latencies = (simulation: CoreSimulation, sent: Map<string, SentOrder>): number[] => simulation.trace
  .flatMap(({ at, action }) => action.type === 'order-result' && action.result.type === 'ok' ? [at - (sent.get(action.orderId)?.at ?? at)] : [])
  .sort((left, right) => left - right)

/** @param seconds - duration of the load; outstanding responses are awaited afterwards */
export const measureStorm = (ordersPerSecond: number, seconds: number, nodeCount: number): StormResult => {
  const nodes = nodeNames(nodeCount)
  const simulation = createCoreSimulation({ nodes, engines: [] })
  simulation.advance(8_000)
  const since = simulation.clock.now()
  const sent = sendOrders(simulation, nodes, ordersPerSecond, seconds)
  const until = simulation.clock.now()
  simulation.advance(15_000)
  const appends = simulation.trace.flatMap(({ at, action }) =>
    action.type === 'append' && action.stream.startsWith('claims') && at >= since && at < until ? [action.values as { type: string }[]] : [])
  const claims = appends.map(values => values.filter(({ type }) => type === 'claim').length)
  const appendsWithClaims = claims.filter(count => count > 0)
  const times = latencies(simulation, sent)
  return {
    ordersPerSecond,
    sent: sent.size,
    ...countOutcomes(simulation, sent),
    appendsPerSecond: round(appends.length / seconds),
    recordsPerAppend: round(appends.reduce((sum, values) => sum + values.length, 0) / appends.length),
    claimsPerAppend: round(claims.reduce((sum, count) => sum + count, 0) / Math.max(1, appendsWithClaims.length)),
    medianMs: round(percentile(times, 0.5)),
    p99Ms: round(percentile(times, 0.99)),
    repeated: [...sent.values()].filter(({ key }) => simulation.service.executions(key) > 1).length
  }
}

export type TakeoverResult = { nodes: number, runs: number, medianMs: number, maxMs: number }

const takeoverMsOf = (nodes: string[], seed: number): number => {
  const simulation = createCoreSimulation({ nodes, engines: ['e1'], config: { seed }, engine: { checksFencing: true, reportLagMs: 300 } })
  // Each seed kills the owner at a different point of the membership period.
  simulation.advance(8_000 + seed * 137 % 1_000)
  const owner = simulation.ownerOf('e1') ?? ''
  simulation.node(owner).kill(30_000)
  const start = simulation.clock.now()
  while (simulation.ownerOf('e1') === owner && simulation.clock.now() - start < 60_000) {
    simulation.advance(10)
  }
  return simulation.clock.now() - start
}

/** Time from the failure of an owner to the owner record of its successor. */
export const measureTakeover = (nodeCount: number, runs: number): TakeoverResult => {
  const nodes = nodeNames(nodeCount)
  const takeovers = Array.from({ length: runs }, (_, index) => takeoverMsOf(nodes, index + 1)).sort((left, right) => left - right)
  return { nodes: nodeCount, runs, medianMs: percentile(takeovers, 0.5), maxMs: takeovers.at(-1) ?? 0 }
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
  console.table([3, 6, 9].map(count => measureTakeover(count, runs)))
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  main()
}
