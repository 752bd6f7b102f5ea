/** A caller in the demo: caches node addresses for the stated time, and resumes or retries requests until their responses are complete. */
import { Agent, request } from 'undici'

export type CallerRequest = { id: string, model: string, className: string, prompt: string, maxTokens: number }

export type CallerResult = {
  /** Text of the response; undefined when no attempt completed it. */
  text: string | undefined
  count: number
  /** Time of the first attempt, in ms since 1970. */
  startedAt: number
  firstTokenMs: number
  totalMs: number
  resumed: number
  refusedNotRun: number
  unknown: number
  /** Protocol errors and refusals as invalid. */
  faults: string[]
}

export type OrderResult = { outcome: 'done' | 'not-run' | 'unknown', key: string }

export type DemoCaller = {
  complete (req: CallerRequest): Promise<CallerResult>
  /** Sends one order through two nodes at once, as a retry after a lost response would. */
  orderTwice (service: string, body: string, uuid: string): Promise<OrderResult>
  close (): Promise<void>
}

type AttemptResult =
  | { type: 'complete', count: number }
  | { type: 'aborted' }
  | { type: 'refused', outcome: string, retryAfterMs: number }
  | { type: 'fault', message: string }

type Progress = { lastId: number, text: string, firstTokenAt: number | undefined }

const maxAttempts = 20
const retryDelayMs = 100

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Adds one event to the progress. @returns the attempt's result when the event ends it */
function readEvent (block: string, progress: Progress): AttemptResult | undefined {
  const lines = block.split('\n')
  const data = lines.find(line => line.startsWith('data: '))?.slice(6) ?? ''
  if (data === '[DONE]') return { type: 'aborted' }
  const value = JSON.parse(data) as { choices?: { text: string }[], usage?: { completion_tokens: number }, outcome?: string, retryAfterMs?: number }
  if (lines[0] === 'event: error') return { type: 'refused', outcome: value.outcome ?? 'unknown', retryAfterMs: value.retryAfterMs ?? retryDelayMs }
  if (value.usage !== undefined) return { type: 'complete', count: value.usage.completion_tokens }
  const id = Number(lines[0]?.slice('id: '.length))
  if (id !== progress.lastId + 1) return { type: 'fault', message: `event ${id} follows event ${progress.lastId}` }
  progress.lastId = id
  progress.text += value.choices?.[0]?.text ?? ''
  progress.firstTokenAt ??= performance.now()
  return undefined
}

async function readStream (body: AsyncIterable<Buffer>, progress: Progress): Promise<AttemptResult> {
  let buffered = ''
  try {
    for await (const chunk of body) {
      const blocks = (buffered + chunk.toString('utf8')).split('\n\n')
      buffered = blocks.pop() ?? ''
      for (const block of blocks) {
        const result = readEvent(block, progress)
        if (result !== undefined) return result
      }
    }
  } catch {}
  return { type: 'aborted' }
}

/** @param seeds URLs of the nodes to query for addresses */
export function createDemoCaller (seeds: string[], zone: string): DemoCaller {
  const dispatcher = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  const addressCache = new Map<string, { urls: string[], prefix: string, expiresAt: number }>()
  let nextSeed = 0

  async function fetchAddresses (query: string): Promise<{ urls: string[], prefix: string }> {
    const cached = addressCache.get(query)
    if (cached !== undefined && performance.now() < cached.expiresAt) return cached
    for (let index = 0; index < seeds.length; index++) {
      const seed = seeds[(nextSeed++) % seeds.length] as string
      try {
        const response = await request(`${seed}/v1/addresses?zone=${zone}&${query}`, { dispatcher })
        const body = await response.body.json() as { addresses: { address: string }[], keepForMs: number, orderKeyPrefix?: string }
        const entry = { urls: body.addresses.map(({ address }) => `http://${address}`), prefix: body.orderKeyPrefix ?? '', expiresAt: performance.now() + body.keepForMs }
        if (response.statusCode === 200 && entry.urls.length > 0) addressCache.set(query, entry)
        if (entry.urls.length > 0) return entry
      } catch {}
    }
    return { urls: seeds, prefix: '' }
  }

  async function sendAttempt (url: string, req: CallerRequest, progress: Progress): Promise<AttemptResult> {
    const resuming = progress.lastId > 0
    const headers = { 'content-type': 'application/json', 'x-request-id': req.id, 'x-class': req.className, 'last-event-id': String(progress.lastId) }
    const body = JSON.stringify({ model: req.model, prompt: req.prompt, max_tokens: req.maxTokens, stream: true })
    try {
      const response = resuming
        ? await request(`${url}/v1/completions/${req.id}`, { dispatcher, headers: { 'last-event-id': String(progress.lastId) } })
        : await request(`${url}/v1/completions`, { dispatcher, method: 'POST', headers, body })
      if (response.statusCode === 200) return await readStream(response.body, progress)
      const problem = await response.body.json() as { outcome?: string, detail?: string, retryAfterMs?: number }
      if (problem.outcome === 'invalid') return { type: 'fault', message: problem.detail ?? 'refused as invalid' }
      return { type: 'refused', outcome: problem.outcome ?? 'unknown', retryAfterMs: problem.retryAfterMs ?? retryDelayMs }
    } catch {
      return { type: 'aborted' }
    }
  }

  async function complete (req: CallerRequest): Promise<CallerResult> {
    const startedAt = Date.now()
    const started = performance.now()
    const result: CallerResult = { text: undefined, count: 0, startedAt, firstTokenMs: 0, totalMs: 0, resumed: 0, refusedNotRun: 0, unknown: 0, faults: [] }
    let progress: Progress = { lastId: 0, text: '', firstTokenAt: undefined }
    for (let attemptIndex = 0; attemptIndex < maxAttempts; attemptIndex++) {
      const { urls } = await fetchAddresses(`model=${encodeURIComponent(req.model)}`)
      const attemptResult = await sendAttempt(urls[attemptIndex % urls.length] as string, req, progress)
      if (attemptResult.type === 'complete') {
        if (attemptResult.count !== progress.lastId) result.faults.push(`the response reports ${attemptResult.count} tokens but contains ${progress.lastId}`)
        result.text = progress.text
        result.count = attemptResult.count
        break
      }
      if (attemptResult.type === 'fault') {
        result.faults.push(attemptResult.message)
        break
      }
      if (attemptResult.type === 'aborted') result.resumed++
      else if (attemptResult.outcome === 'not-run') result.refusedNotRun++
      else result.unknown++
      // A refused request starts over; an aborted response is resumed.
      if (attemptResult.type === 'refused') progress = { lastId: 0, text: '', firstTokenAt: undefined }
      await pause(attemptResult.type === 'refused' ? Math.min(attemptResult.retryAfterMs, 1000) : retryDelayMs)
    }
    result.firstTokenMs = (progress.firstTokenAt ?? performance.now()) - started
    result.totalMs = performance.now() - started
    return result
  }

  async function sendOrder (url: string, service: string, body: string, key: string): Promise<OrderResult['outcome']> {
    try {
      const response = await request(`${url}/v1/services/${service}/orders`, { dispatcher, method: 'POST', headers: { 'idempotency-key': key, 'content-type': 'application/json' }, body })
      const result = await response.body.json() as { outcome?: string }
      if (response.statusCode === 200) return 'done'
      return result.outcome === 'not-run' ? 'not-run' : 'unknown'
    } catch {
      return 'unknown'
    }
  }

  return {
    complete,
    async orderTwice (service, body, uuid) {
      const { urls, prefix } = await fetchAddresses(`service=${service}`)
      const key = prefix + uuid
      const first = urls[0] as string
      const outcomes = await Promise.all([sendOrder(first, service, body, key), sendOrder(urls[1] ?? first, service, body, key)])
      const outcome = outcomes.includes('done') ? 'done' : outcomes.includes('unknown') ? 'unknown' : 'not-run'
      return { outcome, key }
    },
    close: async () => await dispatcher.destroy()
  }
}
