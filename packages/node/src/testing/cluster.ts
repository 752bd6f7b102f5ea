/** Test cluster for the shells: nodes with a fixed core and stand-ins of the platform, on loopback in one process. */
import { createEngineModel, createInstanceListModel, createLogModel, createPlainServiceModel, createRealClock, createWeightStoreModel, serveEngine, serveInstanceList, serveLog, servePlainService, type EngineModel, type EngineModelOptions, type PlainServiceModel, type StandInServer, findFreeAddress } from '@yuccawharf/stand-ins'
import type { Settings } from '@yuccawharf/schema'
import { startNode, type AdminPort, type NodeOptions, type RunningNode } from '../daemon'
import { createFixedCore } from './fixed-core'

export type ClusterOptions = {
  nodes: string[]
  /** Owner of each engine. */
  owners: Record<string, string>
  /** Engine of each `ADAPTER@VERSION`. */
  placement: Record<string, string>
  engine?: Partial<EngineModelOptions>
  flushMs?: number
  limits?: Settings['limits']
  httpLimits?: NodeOptions['httpLimits']
}

export type Cluster = {
  /** Base URL of each node. */
  url: Record<string, string>
  nodes: Record<string, RunningNode>
  cores: Record<string, ReturnType<typeof createFixedCore>>
  engines: Record<string, EngineModel>
  service: PlainServiceModel
  close (): Promise<void>
}

const silent = { error () {}, warn () {}, info () {}, debug () {} } as unknown as NonNullable<NodeOptions['logger']>

/** Starts the stand-ins and the nodes. The plain service has the group `desk`. */
export async function startCluster (options: ClusterOptions): Promise<Cluster> {
  const clock = createRealClock()
  const weights = createWeightStoreModel({ clock, fetchMs: 1 })
  const list = createInstanceListModel({ clock })
  const service = createPlainServiceModel({ clock, delayMs: 0 })
  const servers: StandInServer[] = [await serveLog(createLogModel({ clock })), await serveInstanceList(list)]
  const engines: Record<string, EngineModel> = {}
  const instanceFields = { zone: 'a', region: 'r', state: 'live' as const }
  for (const engine of Object.keys(options.owners)) {
    const model = createEngineModel({ clock, weights, engine, baseModel: 'base', stepBaseMs: 1, stepPerSequenceMs: 0, ...options.engine })
    const server = await serveEngine(model, { flushMs: options.flushMs })
    engines[engine] = model
    servers.push(server)
    list.put({ id: engine, kind: 'engine', group: 'g', address: server.address, ...instanceFields })
  }
  const serviceServer = await servePlainService(service)
  servers.push(serviceServer)
  list.put({ id: 'desk-1', kind: 'service', group: 'desk', address: serviceServer.address, ...instanceFields })
  const addresses: Record<string, string> = {}
  for (const id of options.nodes) {
    addresses[id] = await findFreeAddress()
    list.put({ id, kind: 'node', group: 'node', address: addresses[id], ...instanceFields })
  }
  const nodes: Record<string, RunningNode> = {}
  const cores: Cluster['cores'] = {}
  for (const id of options.nodes) {
    const core = createFixedCore({ self: id, owners: options.owners, placement: { ...options.placement, desk: 'desk-1' }, addresses, classes: ['chat'] })
    const settings: Settings = {
      node: { id, zone: 'a', region: 'r', address: addresses[id] as string },
      platform: { log: servers[0]?.url ?? '', instances: servers[1]?.url ?? '', weightStore: 'http://127.0.0.1:1' },
      services: { desk: { nonIdempotent: ['POST /orders'], timeoutMs: 1000 } },
      limits: { requestBytes: 4096, ...options.limits }
    }
    const admin = (): AdminPort => ({ status: () => ({ node: id }), applyConfig: async () => ({ type: 'accepted', revision: 4, behind: [] }), readConfig: () => ({ revision: 3, entries: [] }), configHistory: async () => ({ revision: 3, changes: [] }), timeline: () => ({ process: id, dropped: 0, events: [] }), record () {} })
    nodes[id] = await startNode({ settings, core, admin, watchedEngines: () => [], logger: silent, addressKeepMs: 50, httpLimits: options.httpLimits })
    cores[id] = core
  }
  return {
    url: Object.fromEntries(Object.entries(addresses).map(([id, address]) => [id, `http://${address}`])),
    nodes,
    cores,
    engines,
    service,
    async close () {
      await Promise.all(Object.values(nodes).map(async node => await node.kill()))
      await Promise.all(servers.map(async server => await server.close()))
    }
  }
}

export type SseEvent = { id?: number, event?: string, data: string }

/** Parses a stream of server-sent events. */
export function parseEvents (text: string): SseEvent[] {
  return text.split('\n\n').filter(block => block.length > 0).map(block => {
    const event: SseEvent = { data: '' }
    for (const line of block.split('\n')) {
      if (line.startsWith('id: ')) event.id = Number(line.slice(4))
      if (line.startsWith('event: ')) event.event = line.slice(7)
      if (line.startsWith('data: ')) event.data += line.slice(6)
    }
    return event
  })
}

/** @returns ids and text of the tokens, and the token count stated by the end; the count is undefined without an end */
export function readResponse (text: string): { ids: number[], text: string, count: number | undefined } {
  const events = parseEvents(text)
  const tokens = events.filter(event => event.id !== undefined)
  const responseText = tokens.map(event => (JSON.parse(event.data) as { choices: { text: string }[] }).choices[0]?.text ?? '').join('')
  const last = events.at(-2)
  const finished = events.at(-1)?.data === '[DONE]' && last !== undefined
  const count = finished ? (JSON.parse(last.data) as { usage?: { completion_tokens: number } }).usage?.completion_tokens : undefined
  return { ids: tokens.map(event => event.id as number), text: responseText, count }
}
