/** The demo: a surge over many adapters, an engine that restarts and a node that leaves, all on loopback. */
import { setTimeout as pause } from 'node:timers/promises'
import { createSeededRandom, type SeededRandom } from '@yuccawharf/stand-ins'
import { createDemoCaller, type DemoCaller, type OrderResult } from './demo-caller'
import { demoModel, demoZones, startDemoPlatform, versionOf, waitForOwners, type DemoPlatform } from './demo-platform'
import { summarise, type DemoRequest, type TimelineEvent } from './demo-summary'

export type DemoOptions = { out (line: string): void, seed?: number, engines?: number, adapters?: number }

type Phase = { name: string, ms: number, requestsPerSecond: number, adapters: number }

/** Demand doubles and rarely used adapters become active at once. */
const phases: Phase[] = [
  { name: 'calm', ms: 4000, requestsPerSecond: 35, adapters: 20 },
  { name: 'surge', ms: 6000, requestsPerSecond: 80, adapters: 64 },
  { name: 'calm', ms: 3000, requestsPerSecond: 35, adapters: 30 }
]
const engineRestartAtMs = 5500
const nodeLeavesAtMs = 7500
const engineDownMs = 400
const ordersPerSecond = 6

/** Skewed choice: low numbers are chosen much more often. */
function skewed (random: SeededRandom, count: number): number {
  const uniform = random.between(0, 999_999) / 1_000_000
  return Math.min(count - 1, Math.floor(count * uniform ** 2.5))
}

function createRequest (number: number, phase: Phase, random: SeededRandom, adapters: string[]): Omit<DemoRequest, 'result'> {
  const index = skewed(random, Math.min(phase.adapters, adapters.length))
  const adapter = adapters[index] as string
  const version = versionOf(index)
  const long = random.between(0, 9) === 0
  return {
    id: `demo-${number}`,
    adapter,
    version,
    model: `${demoModel}:${adapter}@${version}`,
    className: long ? 'draft' : 'chat',
    prompt: `Write line ${number} for ${adapter}.`,
    maxTokens: long ? random.between(60, 120) : random.between(8, 40)
  }
}

/** The first answer also opens the connections, which would otherwise count for the first requests. */
async function warmUp (platform: DemoPlatform, caller: DemoCaller): Promise<void> {
  await waitForOwners(platform)
  const adapter = platform.adapters[0] as string
  await caller.complete({ id: 'demo-first', model: `${demoModel}:${adapter}@${versionOf(0)}`, className: 'chat', prompt: 'Hello', maxTokens: 3 })
}

type Run = { requests: Promise<DemoRequest>[], orders: Promise<OrderResult>[] }

async function runPhases (platform: DemoPlatform, callers: DemoCaller[], random: SeededRandom, out: DemoOptions['out']): Promise<Run> {
  const run: Run = { requests: [], orders: [] }
  for (const phase of phases) {
    out(`${phase.name.padEnd(6)} ${phase.requestsPerSecond} requests/s over up to ${phase.adapters} adapters for ${phase.ms / 1000} s`)
    const started = performance.now()
    let sent = 0
    let ordered = 0
    for (let elapsed = 0; elapsed < phase.ms; elapsed = performance.now() - started) {
      for (; sent < elapsed * phase.requestsPerSecond / 1000; sent++) {
        const req = createRequest(run.requests.length, phase, random, platform.adapters)
        const caller = callers[run.requests.length % callers.length] as DemoCaller
        run.requests.push(caller.complete(req).then(result => ({ ...req, result })))
      }
      for (; ordered < elapsed * ordersPerSecond / 1000; ordered++) {
        const caller = callers[run.orders.length % callers.length] as DemoCaller
        run.orders.push(caller.orderTwice('order-desk', '{"item":"quote"}', crypto.randomUUID()))
      }
      await pause(5)
    }
  }
  return run
}

async function readTimelines (platform: DemoPlatform): Promise<TimelineEvent[]> {
  const bodies = await Promise.all(platform.nodes.map(async ({ url }) => {
    const response = await fetch(`${url}/admin/timeline`).catch(() => undefined)
    return response === undefined ? [] : (await response.json() as { events: TimelineEvent[] }).events
  }))
  return bodies.flat().sort((first, second) => first.time - second.time)
}

/** Runs the demo. @returns whether every guarantee held */
export async function runDemo (options: DemoOptions): Promise<boolean> {
  const { out, seed = 7, engines = 4, adapters = 64 } = options
  const random = createSeededRandom(seed)
  const started = performance.now()
  const platform = await startDemoPlatform({ engines, adapters, seed }, { addressKeepMs: 5000 })
  const seeds = platform.nodes.map(({ url }) => url)
  const callers = demoZones.map(zone => createDemoCaller(seeds, zone))
  try {
    await warmUp(platform, callers[0] as DemoCaller)
    out(`ready  ${platform.nodes.length} nodes in ${demoZones.length} zones, ${engines} engines, 1 plain service after ${((performance.now() - started) / 1000).toFixed(1)} s`)
    const surge = performance.now()
    let leaving: Promise<TimelineEvent[]> = Promise.resolve([])
    const restart = setTimeout(() => {
      out('event  engine-2 restarts with nothing loaded')
      platform.engines.get('engine-2')?.restart(engineDownMs)
    }, engineRestartAtMs)
    const leave = setTimeout(() => {
      out('event  node-c leaves')
      leaving = leaveNode(platform, out)
    }, nodeLeavesAtMs)
    const run = await runPhases(platform, callers, random, out)
    const requests = await Promise.all(run.requests)
    const orders = await Promise.all(run.orders)
    const tookMs = performance.now() - surge
    clearTimeout(restart)
    clearTimeout(leave)
    const events = [...await leaving, ...await readTimelines(platform)].sort((first, second) => first.time - second.time)
    const summary = summarise({ requests, orders, events, engines: platform.engines, service: platform.service, batchSize: platform.batchSize, tookMs })
    out('')
    summary.lines.forEach(line => out(line))
    if (summary.broken.length === 0) out('guarantees         all held')
    else summary.broken.forEach(fault => out(`BROKEN             ${fault}`))
    return summary.broken.length === 0
  } finally {
    await Promise.all(callers.map(async caller => await caller.close()))
    await platform.close()
  }
}

/** @returns the events of the node that left, read before it stopped */
async function leaveNode (platform: DemoPlatform, out: DemoOptions['out']): Promise<TimelineEvent[]> {
  const node = platform.nodes[2]
  if (node === undefined) return []
  platform.instances.leave(node.id)
  const started = performance.now()
  const events = await node.running.drain<TimelineEvent[]>(async () => (await (await fetch(`${node.url}/admin/timeline`)).json() as { events: TimelineEvent[] }).events)
  platform.instances.remove(node.id)
  out(`event  ${node.id} has left after ${((performance.now() - started) / 1000).toFixed(1)} s`)
  return events ?? []
}
