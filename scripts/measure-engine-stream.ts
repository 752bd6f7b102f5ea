/**
 * Measures the token rate of the stand-in engine's HTTP server and of the engine client.
 * Run `serve` and `read URL raw|client` in two processes; both exit after a fixed time.
 */
import { request } from 'undici'
import { createEngineClient } from '@yuccawharf/clients'
import { createEngineModel, createRealClock, createWeightStoreModel, serveEngine } from '@yuccawharf/stand-ins'

const streams = 64
const tokensPerRequest = 2000
const durationMs = 5000
const handle = 'poem@1~1.1'

async function serve (flushMs: number): Promise<void> {
  const clock = createRealClock()
  const weights = createWeightStoreModel({ clock, fetchMs: 1 })
  const model = createEngineModel({ clock, weights, engine: 'e1', baseModel: 'base', batchSize: streams, stepBaseMs: 0, stepPerSequenceMs: 0, prefillMsPerToken: 0, tokensPerStep: 32 })
  const server = await serveEngine(model, { flushMs })
  model.command({ type: 'load', handle, adapter: 'poem', version: '1' }, 1, () => console.log(server.url))
  const started = process.cpuUsage()
  setTimeout(() => {
    const { user, system } = process.cpuUsage(started)
    console.log(JSON.stringify({ tokens: model.stats().tokens, serverCpuSeconds: (user + system) / 1e6 }))
    process.exit()
  }, 2 * durationMs)
}

async function readRaw (url: string, requestId: string): Promise<number> {
  const body = JSON.stringify({ model: handle, prompt: 'p', max_tokens: tokensPerRequest, priority: 0, stream: true })
  const res = await request(`${url}/v1/completions`, { method: 'POST', headers: { 'x-request-id': requestId }, body })
  let tail = ''
  for await (const chunk of res.body as AsyncIterable<Buffer>) tail = (tail + chunk.toString('latin1', Math.max(0, chunk.length - 20))).slice(-20)
  return tail.endsWith('[DONE]\n\n') ? tokensPerRequest : 0
}

async function readParsed (client: ReturnType<typeof createEngineClient>, requestId: string): Promise<number> {
  let tokens = 0
  const events = client.generate({ requestId, handle, prompt: 'p', maxTokens: tokensPerRequest, priority: 0 }, new AbortController().signal)
  for await (const event of events) if (event.type === 'token') tokens++
  return tokens
}

async function read (url: string, kind: string): Promise<void> {
  const client = createEngineClient({ baseUrl: url })
  const start = performance.now()
  const cpu = process.cpuUsage()
  let tokens = 0
  let count = 0
  const loop = async (): Promise<void> => {
    while (performance.now() - start < durationMs) {
      const requestId = `${kind}-${count++}`
      const received = kind === 'raw' ? await readRaw(url, requestId) : await readParsed(client, requestId)
      tokens += received
    }
  }
  await Promise.all(Array.from({ length: streams }, loop))
  const seconds = (performance.now() - start) / 1000
  const { user, system } = process.cpuUsage(cpu)
  console.log(JSON.stringify({ kind, tokens, tokensPerSecond: Math.round(tokens / seconds), readerCpuSeconds: (user + system) / 1e6, seconds }))
  process.exit()
}

const [role, url, kind] = process.argv.slice(2)
if (role === 'serve') await serve(Number(url ?? 0))
else if (role === 'read' && url !== undefined) await read(url, kind ?? 'raw')
else console.error('usage: measure-engine-stream.ts serve [FLUSH_MS] | read URL raw|client')
