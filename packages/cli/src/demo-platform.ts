/** The demo's platform and nodes, all in one process on loopback. */
import { setTimeout as pause } from 'node:timers/promises'
import { createNode, type CompleteSettings, type CreateNodeOptions, type RunningNode } from '@yuccawharf/node'
import type { Instance } from '@yuccawharf/clients'
import { createEngineModel, createInstanceListModel, createLogModel, createPlainServiceModel, createRealClock, createWeightStoreModel, serveEngine, serveInstanceList, serveLog, servePlainService, serveWeightStore, type EngineModel, type InstanceListModel, type PlainServiceModel, type StandInServer, findFreeAddress } from '@yuccawharf/stand-ins'

export const demoModel = 'demo-base'
export const demoZones = ['zone-a', 'zone-b', 'zone-c'] as const
const region = 'demo'
const slots = 12
const batchSize = 24

export type DemoSize = { engines: number, adapters: number, seed: number }

export type DemoNode = { id: string, zone: string, url: string, running: RunningNode }

export type DemoPlatform = {
  nodes: DemoNode[]
  engines: Map<string, EngineModel>
  service: PlainServiceModel
  instances: InstanceListModel
  adapters: string[]
  batchSize: number
  close (): Promise<void>
}

/** The version that the demo serves of an adapter; it differs between adapters so that a mix-up shows. */
export function versionOf (adapter: number): string {
  return `v${1 + adapter % 3}`
}

function settingsOf (id: string, zone: string, address: string, urls: { log: string, instances: string, weightStore: string }): CompleteSettings {
  return {
    node: { id, zone, region, address, staleness: 'serve' },
    platform: { ...urls, loadsPerSecond: 40, loadsInFlight: 8 },
    limits: { requestBytes: 1_048_576, queuedPerEngine: 2000, queuedPerAdapter: 200, replayBytes: 262_144, replayMs: 30_000, drainMs: 0 },
    engines: {},
    engineDefaults: { checksFencing: true, reportLagMs: 500 },
    services: { 'order-desk': { nonIdempotent: ['POST /orders'], timeoutMs: 5000 } },
    log: { level: 'error', timelineEvents: 20_000 }
  }
}

function configChange (adapters: string[]): unknown {
  const writes: Record<string, unknown> = {
    [`model/${demoModel}`]: { group: 'demo-engines' },
    'class/chat': { firstTokenMs: 1200, perTokenMs: 60, attainment: 0.95 },
    'class/draft': { finishWithinMs: 60_000, attainment: 0.9 }
  }
  adapters.forEach((adapter, index) => { writes[`adapter/${adapter}`] = { model: demoModel, versions: [versionOf(index)] } })
  return { type: 'change', id: 'demo-start', base: -1, writes, reads: [], by: 'demo' }
}

/** Starts the platform's stand-ins and one node in each zone. */
export async function startDemoPlatform (size: DemoSize, options: CreateNodeOptions = {}): Promise<DemoPlatform> {
  const clock = createRealClock()
  const weights = createWeightStoreModel({ clock, fetchMs: 60 })
  const log = createLogModel({ clock })
  const instances = createInstanceListModel({ clock, lagMs: 200 })
  const service = createPlainServiceModel({ clock })
  const adapters = Array.from({ length: size.adapters }, (_value, index) => `tenant-${String(index).padStart(3, '0')}`)
  const servers: StandInServer[] = []
  const engines = new Map<string, EngineModel>()

  async function serve (server: Promise<StandInServer>): Promise<StandInServer> {
    const started = await server
    servers.push(started)
    return started
  }

  function list (instance: Pick<Instance, 'id' | 'kind' | 'address' | 'group'>, index: number): void {
    instances.put({ ...instance, region, zone: demoZones[index % demoZones.length] ?? 'zone-a', state: 'live' })
  }

  for (let index = 0; index < size.engines; index++) {
    const engine = `engine-${index + 1}`
    const model = createEngineModel({ clock, weights, engine, baseModel: demoModel, slots, batchSize, checksFencing: true, reportLagMs: 200, seed: size.seed + index })
    engines.set(engine, model)
    const { address } = await serve(serveEngine(model))
    list({ id: engine, kind: 'engine', address, group: 'demo-engines' }, index)
  }
  const desk = await serve(servePlainService(service))
  list({ id: 'order-desk-1', kind: 'service', address: desk.address, group: 'order-desk' }, 0)
  const urls = {
    log: (await serve(serveLog(log))).url,
    instances: (await serve(serveInstanceList(instances))).url,
    weightStore: (await serve(serveWeightStore(weights))).url
  }
  await new Promise<void>(resolve => log.append('config', [configChange(adapters)], () => resolve()))

  const nodes: DemoNode[] = []
  for (const [index, zone] of demoZones.entries()) {
    const id = `node-${zone.slice(-1)}`
    const address = await findFreeAddress()
    list({ id, kind: 'node', address, group: 'node' }, index)
    const running = await createNode(settingsOf(id, zone, address, urls), { seed: size.seed + index, ...options })
    nodes.push({ id, zone, url: `http://${address}`, running })
  }
  return {
    nodes,
    engines,
    service,
    instances,
    adapters,
    batchSize,
    async close () {
      await Promise.all(nodes.map(async node => await node.running.kill()))
      await Promise.all(servers.map(async server => await server.close()))
    }
  }
}

const ownersTimeoutMs = 15_000

/**
 * Waits until each engine has an owner, which takes about 3 s after a start.
 * @throws when it takes longer than 15 s
 */
export async function waitForOwners (platform: DemoPlatform): Promise<void> {
  const started = performance.now()
  for (;;) {
    const status = await fetch(`${platform.nodes[0]?.url ?? ''}/admin/status`)
    const { engines } = await status.json() as { engines: { owner: string | null }[] }
    if (engines.length === platform.engines.size && engines.every(engine => engine.owner !== null)) return
    if (performance.now() - started > ownersTimeoutMs) throw new Error('the nodes did not take over the engines in time')
    await pause(50)
  }
}
