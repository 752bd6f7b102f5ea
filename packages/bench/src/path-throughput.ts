/** Tokens per second and core of one node in a process of its own. */
import { Agent } from 'undici'
import { createPathClient, readMany } from './path-load'
import { nodeSettings, pathName } from './path-platform'
import { startNodeProcess, startProcess, waitForOwner, type BenchProcess } from './path-processes'
import { findFreeAddress } from '@yuccawharf/stand-ins'

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
/** The stated peak: 1,000,000 tokens/s over 2,300 requests/s. */
const tokensPerStream = 435

export type PlatformProcess = BenchProcess & { urls: { engineUrl: string, logUrl: string, instancesUrl: string } }

/** Starts the platform for the nodes at the addresses. */
export async function startPlatformProcess (options: ThroughputOptions, addresses: string[]): Promise<PlatformProcess> {
  const platform = await startProcess('path-platform-process.ts', [String(options.streams), String(options.stepMs), ...addresses], true)
  return { ...platform, urls: JSON.parse(platform.firstLine) as PlatformProcess['urls'] }
}

/** Counts the tokens and the CPU time of `relay` while `read` runs streams, after a warm-up. */
export async function measureRelay (path: string, relay: BenchProcess, options: ThroughputOptions, read: (requestId: string, tokens: number, count: (tokens: number) => void) => Promise<void>): Promise<ThroughputRow> {
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
  const address = await findFreeAddress()
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

export type RelayKind = 'bare' | 'trpc'

/** Reads one stream through a comparison relay and counts its tokens. */
async function readRelay (dispatcher: Agent, kind: RelayKind, origin: string, body: string, requestId: string, count: (tokens: number) => void): Promise<void> {
  const input = encodeURIComponent(JSON.stringify({ requestId, body }))
  const req = kind === 'trpc'
    ? { origin, path: `/tokens?input=${input}`, method: 'GET' as const, headers: { accept: 'text/event-stream' } }
    : { origin, path: '/', method: 'POST' as const, headers: { 'x-request-id': requestId }, body }
  await new Promise<void>((resolve, reject) => {
    dispatcher.dispatch(req, {
      onRequestStart () {},
      onResponseData (_controller, chunk) {
        let tokens = 0
        for (let at = chunk.indexOf('"text":"'); at >= 0; at = chunk.indexOf('"text":"', at + 8)) tokens++
        count(tokens)
      },
      onResponseStart () {},
      onResponseEnd: () => resolve(),
      onResponseError: (_controller, err) => reject(err)
    })
  })
}

/** Measures a relay that a node is compared with, under the same load. */
export async function measureComparison (kind: RelayKind, options: ThroughputOptions): Promise<ThroughputRow> {
  const platform = await startPlatformProcess(options, [])
  const { engineUrl } = platform.urls
  const handle = 'adapter@v1~0.1'
  await fetch(`${engineUrl}/v1/load_lora_adapter`, { method: 'POST', body: JSON.stringify({ lora_name: handle, lora_path: 'adapter@v1' }) })
  const address = await findFreeAddress()
  const relay = await startProcess('path-relay-process.ts', [kind, engineUrl, address], true)
  const dispatcher = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  try {
    return await measureRelay(kind === 'bare' ? 'bytes only' : 'trpc subscription', relay, options, async (requestId, tokens, count) => {
      const body = JSON.stringify({ model: handle, prompt: 'bench', max_tokens: tokens, stream: true })
      await readRelay(dispatcher, kind, `http://${address}`, body, requestId, count)
    })
  } finally {
    await dispatcher.destroy()
    await relay.stop()
    await platform.stop()
  }
}
