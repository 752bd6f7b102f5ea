/** Starts a node from its settings. */
import { createAdminService } from './admin-service'
import { createNodeCore } from './core/node-core'
import { nodeCoreDefaults } from './core/core-config'
import { startNode, type NodeOptions, type RunningNode } from './daemon'
import type { CompleteSettings } from './settings'

export type CreateNodeOptions = Pick<NodeOptions, 'logger' | 'addressKeepMs' | 'httpLimits'> & {
  /** Seed of the core's random decisions; derived from the start time by default. */
  seed?: number
}

/** Connects the core with the shells and starts serving. */
export async function createNode (settings: CompleteSettings, options: CreateNodeOptions = {}): Promise<RunningNode> {
  const incarnation = Date.now()
  const { id, zone, region, address, staleness } = settings.node
  const core = createNodeCore({
    ...nodeCoreDefaults,
    node: id,
    zone,
    region,
    address,
    incarnation,
    staleness,
    seed: options.seed ?? incarnation % 0x7fffffff,
    engineDefaults: settings.engineDefaults,
    engines: settings.engines,
    queuedPerEngine: settings.limits.queuedPerEngine,
    queuedPerAdapter: settings.limits.queuedPerAdapter,
    loadsInFlight: settings.platform.loadsInFlight,
    loadsPerSecond: settings.platform.loadsPerSecond
  })
  const adminConfig = { node: id, zone, region, incarnation, logUrl: settings.platform.log, timelineEvents: settings.log.timelineEvents }
  return await startNode({
    settings,
    core,
    admin: (view, dispatcher) => createAdminService(adminConfig, core, view, dispatcher),
    watchedEngines: () => core.watchedEngines(),
    ...options
  })
}

/**
 * Runs a node until SIGTERM or SIGINT and resolves after a graceful shutdown. A signal during the start ends the node as soon
 * as it has started; a second signal ends the process at once.
 */
export async function runNode (settings: CompleteSettings, options: CreateNodeOptions = {}): Promise<void> {
  const signalled = new Promise<void>(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
  const node = await createNode(settings, options)
  await signalled
  await node.drain()
}
