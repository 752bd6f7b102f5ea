/** Latency that one and two nodes add to tokens, compared with direct access to the engine in the same run. */
import { build, type Histogram } from 'hdr-histogram-js'
import type { EngineModel, StreamListener } from '@yuccawharf/stand-ins'
import { createPathClient, readStreams, type StreamTarget } from './path-load'
import { nodeSettings, benchModel, startPathPlatform } from './path-platform'
import { startNodeProcess, waitForOwner } from './path-processes'
import { findFreeAddress } from '@yuccawharf/stand-ins'

export type PathKind = 'direct' | 'one node' | 'two nodes'

/** Times in ms. */
export type LatencyRow = {
  path: PathKind
  /** Time from the caller's request to its start at the engine, plus that of the first token from the engine to the caller. */
  firstToken: Percentiles
  /** Time from the engine to the caller, for the tokens after the first. */
  laterTokens: Percentiles
}

export type Percentiles = { median: number, p95: number, p99: number }

const streamsPerRound = 20
/** One at a time, because concurrent requests also wait for each other, which is not part of the path's latency. */
const parallelStreams = 1
const rounds = 8
const tokensPerStream = 10
const stepMs = 5
const warmUpRounds = 1

type Samples = { first: Histogram, later: Histogram }

/** Values are in microseconds, because the histogram cannot distinguish values below 1. */
function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
}

function percentiles (histogram: Histogram): Percentiles {
  const atPercent = (percent: number): number => histogram.getValueAtPercentile(percent) / 1000
  return { median: atPercent(50), p95: atPercent(95), p99: atPercent(99) }
}

/** Records when a request starts at the engine and when each of its tokens is emitted. */
function createEmissions (): { wrap (engine: EngineModel): EngineModel, startedAt: Map<string, number>, emittedAt: Map<string, number[]> } {
  const startedAt = new Map<string, number>()
  const emittedAt = new Map<string, number[]>()
  const observe = (requestId: string, listener: StreamListener): StreamListener => ({
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
        return engine.generate(req, observe(req.requestId, listener))
      }
    })
  }
}

/** Measures all paths in alternating rounds, so that changes of the machine's load affect all of them. */
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
    await client.read({ origin: urls.get(owner) as string, model: benchModel }, 'warm-up', 2)
    const handle = platform.engine.status()?.resident[0]?.handle ?? ''
    const targets: [PathKind, StreamTarget][] = [
      ['direct', { origin: platform.engineUrl, model: handle }],
      ['one node', { origin: urls.get(owner) as string, model: benchModel }],
      ['two nodes', { origin: urls.get(entry) as string, model: benchModel }]
    ]
    const samples = new Map<PathKind, Samples>(targets.map(([kind]) => [kind, { first: createHistogram(), later: createHistogram() }]))
    for (let round = 0; round < rounds + warmUpRounds; round++) {
      for (const [kind, target] of targets) {
        const roundSamples = round < warmUpRounds ? { first: createHistogram(), later: createHistogram() } : samples.get(kind) as Samples
        await measureRound(client, target, `${kind}-${round}`.replaceAll(' ', '-'), emissions, roundSamples)
      }
    }
    return targets.map(([path]) => ({ path, firstToken: percentiles((samples.get(path) as Samples).first), laterTokens: percentiles((samples.get(path) as Samples).later) }))
  } finally {
    await client.close()
    await Promise.all(processes.map(async running => await running.stop()))
  }
}

async function measureRound (client: ReturnType<typeof createPathClient>, target: StreamTarget, name: string, emissions: ReturnType<typeof createEmissions>, samples: Samples): Promise<void> {
  await readStreams(streamsPerRound, parallelStreams, async number => {
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
