/** Traffic and processor time of one idle node, with the platform's stand-ins in a child process. */
import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { createNode, type CompleteSettings } from '@yuccawharf/node'
import { trafficRegion as region, type PlatformCounts, type PlatformReady } from './traffic-platform'
import { findFreeAddress } from '@yuccawharf/stand-ins'

export type NodeTraffic = {
  instances: number
  engines: number
  /** Bytes per second of both directions, without TCP/IP headers. */
  listBytes: number
  logBytes: number
  engineBytes: number
  /** Processor time of the node, in microseconds per second. */
  micros: number
  residentBytes: number
}

/** A takeover asks for reports more often; this is over when the measurement begins. */
const warmUpMs = 14_000
const measuredMs = 10_000

function settingsOf (address: string, log: string, instances: string, weightStore: string): CompleteSettings {
  return {
    node: { id: 'node-0', zone: 'zone-a', region, address, staleness: 'serve' },
    platform: { log: `http://${log}`, instances: `http://${instances}`, weightStore, loadsPerSecond: 3, loadsInFlight: 8 },
    limits: { requestBytes: 1_048_576, queuedPerEngine: 2000, queuedPerAdapter: 200, replayBytes: 262_144, replayMs: 30_000, drainMs: 0 },
    engines: {},
    engineDefaults: { checksFencing: true, reportLagMs: 500 },
    services: {},
    log: { level: 'error', timelineEvents: 20_000 }
  }
}

async function counts (child: ChildProcess): Promise<PlatformCounts> {
  child.send('counts')
  const [value] = await once(child, 'message') as [PlatformCounts]
  return value
}

/**
 * @param instances - instances in the list
 * @param engines - engines that the node owns, each with all slots filled
 */
export async function measureNodeTraffic (instances: number, engines: number): Promise<NodeTraffic> {
  const script = fileURLToPath(new URL('./traffic-platform.ts', import.meta.url))
  const child = fork(script, [String(instances), String(engines)], { execArgv: ['--import', 'tsx'] })
  const [ready] = await once(child, 'message') as [PlatformReady]
  const node = await createNode(settingsOf(await findFreeAddress(), ready.log, ready.instances, ready.weightStore), { seed: 1 })
  await pause(warmUpMs)
  const before = await counts(child)
  const cpu = process.cpuUsage()
  await pause(measuredMs)
  const { user, system } = process.cpuUsage(cpu)
  const after = await counts(child)
  const residentBytes = process.memoryUsage().rss
  await node.kill()
  child.disconnect()
  const perSecond = (amount: number): number => amount * 1000 / measuredMs
  return {
    instances,
    engines,
    listBytes: perSecond(after.list - before.list),
    logBytes: perSecond(after.log - before.log),
    engineBytes: perSecond(after.engines - before.engines),
    micros: perSecond(user + system),
    residentBytes
  }
}
