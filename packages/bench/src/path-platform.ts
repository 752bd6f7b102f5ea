/** Platform of the path benchmark: stand-ins on loopback, and settings for nodes in separate processes. */
import { createEngineModel, createInstanceListModel, createLogModel, createRealClock, createWeightStoreModel, serveEngine, serveInstanceList, serveLog, type EngineModel, type InstanceListModel } from '@yuccawharf/stand-ins'

export const benchBaseModel = 'bench-base'
export const benchAdapter = 'adapter'
export const benchVersion = 'v1'
export const benchModel = `${benchBaseModel}:${benchAdapter}@${benchVersion}`

export type PathPlatformOptions = {
  batchSize: number
  /** Duration of one step, in ms; each running stream gets one token per step. */
  stepMs: number
  /** Wraps the model before it is served, for example to record when tokens are emitted. */
  wrap? (engine: EngineModel): EngineModel
}

export type PathPlatform = {
  engineUrl: string
  logUrl: string
  instancesUrl: string
  engine: EngineModel
  instances: InstanceListModel
}

const engineId = 'engine-1'

/** Starts one engine, the log with a configuration, and the instance list. */
export async function startPathPlatform (options: PathPlatformOptions): Promise<PathPlatform> {
  const clock = createRealClock()
  const weights = createWeightStoreModel({ clock, fetchMs: 1 })
  const model = createEngineModel({ clock, weights, engine: engineId, baseModel: benchBaseModel, slots: 4, batchSize: options.batchSize, maxQueued: options.batchSize, stepBaseMs: options.stepMs, stepPerSequenceMs: 0, prefillMsPerToken: 0 })
  const engine = options.wrap?.(model) ?? model
  const log = createLogModel({ clock })
  const instances = createInstanceListModel({ clock })
  const [engineServer, logServer, listServer] = [await serveEngine(engine), await serveLog(log), await serveInstanceList(instances)]
  instances.put({ id: engineId, kind: 'engine', address: engineServer.address, zone: 'z', region: 'r', group: 'g', state: 'live' })
  const writes = {
    [`model/${benchBaseModel}`]: { group: 'g' },
    [`adapter/${benchAdapter}`]: { model: benchBaseModel, versions: [benchVersion] },
    'class/bench': { firstTokenMs: 1000, perTokenMs: 100, attainment: 0.95 }
  }
  await new Promise<void>(resolve => log.append('config', [{ type: 'change', id: 'bench', base: -1, writes, reads: [], by: 'bench' }], () => resolve()))
  return { engineUrl: engineServer.url, logUrl: logServer.url, instancesUrl: listServer.url, engine, instances }
}

/** @returns the settings file of one node */
export function nodeSettings (id: string, address: string, urls: { logUrl: string, instancesUrl: string }): string {
  return `[node]
id = "${id}"
zone = "z"
region = "r"
address = "${address}"

[platform]
log = "${urls.logUrl}"
instances = "${urls.instancesUrl}"
weightStore = "${urls.instancesUrl}"
loadsPerSecond = 100

[limits]
drainMs = 100

[engineDefaults]
checksFencing = true
reportLagMs = 1000

[log]
level = "error"
`
}
