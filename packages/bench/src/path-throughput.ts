/** Tokens per second and core of one node in a process of its own. */
import { createPathClient, readMany } from './path-load'
import { nodeSettings, pathName } from './path-platform'
import { freeAddress, startNodeProcess, startProcess, waitForOwner, type BenchProcess } from './path-processes'

export type ThroughputRow = {
  path: string
  streams: number
  tokensPerSecond: number
  /** CPU time of the relaying process per second of the run. */
  cores: number
  tokensPerCoreSecond: number
}

export type ThroughputOptions = {
  /** Streams at a time. */
  streams: number
  stepMs: number
  /** Length of the measurement, in ms. */
  runMs: number
  /** Passed to the node's process, for example `--cpu-prof`. */
  nodeArgs?: string[]
}

const warmUpMs = 2000

export type PlatformProcess = BenchProcess & { urls: { engineUrl: string, logUrl: string, instancesUrl: string } }

/** Starts the platform for the nodes at the addresses. */
export async function startPlatformProcess (options: ThroughputOptions, addresses: string[]): Promise<PlatformProcess> {
  const platform = await startProcess('path-platform-process.ts', [String(options.streams), String(options.stepMs), ...addresses], true)
  return { ...platform, urls: JSON.parse(platform.firstLine) as PlatformProcess['urls'] }
}

/** Counts the tokens and the CPU time of `relay` while `read` runs streams, after a warm-up. */
export async function measureRelay (path: string, relay: BenchProcess, options: ThroughputOptions, read: (requestId: string, tokens: number, count: (tokens: number) => void) => Promise<void>): Promise<ThroughputRow> {
  const tokensPerStream = Math.max(20, Math.round(options.runMs / options.stepMs / 4))
  let tokens = 0
  let stopped = false
  const load = readMany(Number.MAX_SAFE_INTEGER, options.streams, async number => {
    if (stopped) return await new Promise<void>(() => {})
    await read(`${path}-${number}`.replaceAll(' ', '-'), tokensPerStream, added => { tokens += added })
  })
  // Streams that are cut off when the measurement has ended are no error.
  load.catch((err: Error) => { if (!stopped) throw err })
  await new Promise(resolve => setTimeout(resolve, warmUpMs))
  const before = { tokens, cpu: relay.cpuSeconds(), at: performance.now() }
  await new Promise(resolve => setTimeout(resolve, options.runMs))
  const seconds = (performance.now() - before.at) / 1000
  const cpu = relay.cpuSeconds() - before.cpu
  const relayed = tokens - before.tokens
  stopped = true
  return { path, streams: options.streams, tokensPerSecond: relayed / seconds, cores: cpu / seconds, tokensPerCoreSecond: relayed / cpu }
}

/** Measures one node that owns the engine. */
export async function measureThroughput (options: ThroughputOptions): Promise<ThroughputRow> {
  const address = await freeAddress()
  const platform = await startPlatformProcess(options, [address])
  const node = await startNodeProcess(nodeSettings('node-1', address, platform.urls), options.nodeArgs)
  const client = createPathClient()
  try {
    await waitForOwner(`http://${address}`)
    const target = { origin: `http://${address}`, model: pathName }
    await client.read(target, 'warm-up', 2)
    return await measureRelay('one node', node, options, async (requestId, tokens, count) => {
      await client.read(target, requestId, tokens, { tokens: (_id, first, last) => count(last - first + 1) })
    })
  } finally {
    await client.close().catch(() => {})
    await node.stop()
    await platform.stop()
  }
}
