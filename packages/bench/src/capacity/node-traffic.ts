/** Traffic of one idle node with the platform, on real connections to stand-ins in the same process. */
import { createServer } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { createNode, type CompleteSettings } from '@yuccawharf/node'
import { createEngineModel, createInstanceListModel, createLogModel, createRealClock, createWeightStoreModel, serveEngine, serveInstanceList, serveLog, serveWeightStore, type StandInServer } from '@yuccawharf/stand-ins'
import { createCountingRelay, type CountingRelay } from './counting-relay'

export type NodeTraffic = {
  instances: number
  engines: number
  /** Bytes per second of both directions, without TCP/IP headers. */
  listBytes: number
  logBytes: number
  engineBytes: number
  /** Processor time of the node and the stand-ins, in microseconds per second. */
  micros: number
  residentBytes: number
}

const warmUpMs = 6_000
const measuredMs = 10_000
const region = 'measured'
const slots = 32
const batchSize = 64

async function freeAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as { port: number }
  await new Promise<void>(resolve => { server.close(() => resolve()) })
  return `127.0.0.1:${port}`
}

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

/**
 * @param instances - instances in the list
 * @param engines - engines that the node owns, each with all slots filled
 */
export async function measureNodeTraffic (instances: number, engines: number): Promise<NodeTraffic> {
  const clock = createRealClock()
  const weights = createWeightStoreModel({ clock, fetchMs: 1 })
  const list = createInstanceListModel({ clock })
  const servers: StandInServer[] = []
  const relays: CountingRelay[] = []
  const relayed = async (starting: Promise<StandInServer>): Promise<CountingRelay> => {
    const server = await starting
    servers.push(server)
    const relay = await createCountingRelay(server.address)
    relays.push(relay)
    return relay
  }
  const logRelay = await relayed(serveLog(createLogModel({ clock })))
  const listRelay = await relayed(serveInstanceList(list))
  const weightServer = await serveWeightStore(weights)
  servers.push(weightServer)
  const engineRelays: CountingRelay[] = []
  for (let index = 0; index < engines; index++) {
    const model = createEngineModel({ clock, weights, engine: `engine-${index}`, baseModel: 'base', slots, batchSize, checksFencing: true, reportLagMs: 200, seed: index + 1 })
    for (let slot = 0; slot < slots; slot++) model.command({ type: 'load', handle: `customer-${slot}@2026-12~0.${slot}`, adapter: `customer-${slot}`, version: '2026-12' }, 0, () => {})
    const relay = await relayed(serveEngine(model))
    engineRelays.push(relay)
    list.put({ id: `engine-${index}`, kind: 'engine', address: relay.address, zone: 'zone-a', region, group: 'engines', state: 'live' })
  }
  // The rest of the list belongs to another region, so that the node neither owns nor probes it.
  for (let index = engines; index < instances; index++) {
    list.put({ id: `service-${index}`, kind: 'service', address: `10.0.${index >> 8}.${index & 255}:8000`, zone: `zone-${index % 5}`, region: 'other', group: 'order-desk', state: 'live' })
  }
  const node = await createNode(settingsOf(await freeAddress(), logRelay.address, listRelay.address, weightServer.url), { seed: 1 })
  await pause(warmUpMs)
  const sum = (measured: CountingRelay[]): number => measured.reduce((total, relay) => total + relay.bytes(), 0)
  const before = { list: listRelay.bytes(), log: logRelay.bytes(), engines: sum(engineRelays) }
  const cpu = process.cpuUsage()
  await pause(measuredMs)
  const { user, system } = process.cpuUsage(cpu)
  const perSecond = (bytes: number): number => bytes * 1000 / measuredMs
  const traffic = {
    instances,
    engines,
    listBytes: perSecond(listRelay.bytes() - before.list),
    logBytes: perSecond(logRelay.bytes() - before.log),
    engineBytes: perSecond(sum(engineRelays) - before.engines),
    micros: perSecond(user + system),
    residentBytes: process.memoryUsage().rss
  }
  await node.kill()
  for (const relay of relays) await relay.close()
  for (const server of servers) await server.close()
  return traffic
}
