/** Added latency of tokens through one node and through two, against the engine itself, in one run. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { EngineModel, StreamListener } from '@yuccawharf/stand-ins'
import { createPathClient, readMany, type StreamTarget } from './path-load'
import { nodeSettings, pathName, startPathPlatform } from './path-platform'
import { startNodeProcess, waitForOwner } from './path-processes'
import { findFreeAddress } from '@yuccawharf/stand-ins'

export type PathKind = 'direct' | 'one node' | 'two nodes'

/** Times in ms. */
export type LatencyRow = {
  path: PathKind
  /** From the caller's request to the engine's start of the request, and of the first token from the engine to the caller. */
  firstToken: Percentiles
  /** From the engine to the caller, for the tokens after the first. */
  laterTokens: Percentiles
}

export type Percentiles = { median: number, p95: number, p99: number }

const streamsPerRound = 20
/** One at a time: requests that start together also wait for each other, which is not the path. */
const parallelStreams = 1
const rounds = 8
const tokensPerStream = 10
const stepMs = 5
const warmUpRounds = 1

type Samples = { first: Histogram, later: Histogram }

/** Microseconds, so that the histogram keeps its precision. */
function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
}

function percentiles (histogram: Histogram): Percentiles {
  const at = (percent: number): number => histogram.getValueAtPercentile(percent) / 1000
  return { median: at(50), p95: at(95), p99: at(99) }
}

/** Notes when a request starts at the engine and when each of its tokens leaves. */
function createEmissions (): { wrap (engine: EngineModel): EngineModel, startedAt: Map<string, number>, emittedAt: Map<string, number[]> } {
  const startedAt = new Map<string, number>()
  const emittedAt = new Map<string, number[]>()
  const observed = (requestId: string, listener: StreamListener): StreamListener => ({
    tokens (firstSeq, texts) {
      const times = emittedAt.get(requestId) ?? []
      const now = performance.now()
      for (let index = 0; index < texts.length; index++) times[firstSeq + index] = now
      emittedAt.set(requestId, times)
      listener.tokens(firstSeq, texts)
    },
    end: (count, reason) => listener.end(count, reason),
    broken: reason => listener.broken(reason)
  })
  return {
    startedAt,
    emittedAt,
    wrap: engine => ({
      ...engine,
      generate (req, listener) {
        startedAt.set(req.requestId, performance.now())
        return engine.generate(req, observed(req.requestId, listener))
      }
    })
  }
}

/** Measures all paths in alternating rounds, so that a change of the machine's load affects all of them. */
export async function measureLatency (): Promise<LatencyRow[]> {
  const emissions = createEmissions()
  const platform = await startPathPlatform({ batchSize: 64, stepMs, wrap: emissions.wrap })
  const urls = new Map<string, string>()
  const processes = []
  for (const id of ['node-1', 'node-2']) {
    const address = await findFreeAddress()
    platform.instances.put({ id, kind: 'node', address, zone: 'z', region: 'r', group: 'node', state: 'live' })
    processes.push(await startNodeProcess(nodeSettings(id, address, platform)))
    urls.set(id, `http://${address}`)
  }
  const client = createPathClient()
  try {
    const owner = await waitForOwner(urls.get('node-1') as string)
    await waitForOwner(urls.get('node-2') as string)
    const entry = owner === 'node-1' ? 'node-2' : 'node-1'
    await client.read({ origin: urls.get(owner) as string, model: pathName }, 'warm-up', 2)
    const handle = platform.engine.status()?.resident[0]?.handle ?? ''
    const targets: [PathKind, StreamTarget][] = [
      ['direct', { origin: platform.engineUrl, model: handle }],
      ['one node', { origin: urls.get(owner) as string, model: pathName }],
      ['two nodes', { origin: urls.get(entry) as string, model: pathName }]
    ]
    const samples = new Map<PathKind, Samples>(targets.map(([kind]) => [kind, { first: createHistogram(), later: createHistogram() }]))
    for (let round = 0; round < rounds + warmUpRounds; round++) {
      for (const [kind, target] of targets) {
        const kept = round < warmUpRounds ? { first: createHistogram(), later: createHistogram() } : samples.get(kind) as Samples
        await measureRound(client, target, `${kind}-${round}`.replaceAll(' ', '-'), emissions, kept)
      }
    }
    return targets.map(([path]) => ({ path, firstToken: percentiles((samples.get(path) as Samples).first), laterTokens: percentiles((samples.get(path) as Samples).later) }))
  } finally {
    await client.close()
    await Promise.all(processes.map(async running => await running.stop()))
  }
}

async function measureRound (client: ReturnType<typeof createPathClient>, target: StreamTarget, name: string, emissions: ReturnType<typeof createEmissions>, samples: Samples): Promise<void> {
  await readMany(streamsPerRound, parallelStreams, async number => {
    const requestId = `${name}-${number}`
    const sentAt = performance.now()
    await client.read(target, requestId, tokensPerStream, {
      tokens (_requestId, first, last, at) {
        const times = emissions.emittedAt.get(requestId) ?? []
        for (let seq = first; seq <= last; seq++) {
          const delay = at - (times[seq] ?? Number.NaN)
          if (seq === 1) samples.first.recordValue(Math.round(1000 * (delay + (emissions.startedAt.get(requestId) ?? 0) - sentAt)))
          else samples.later.recordValue(Math.round(1000 * delay))
        }
      }
    })
    emissions.emittedAt.delete(requestId)
    emissions.startedAt.delete(requestId)
  })
}
