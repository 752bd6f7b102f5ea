/** A caller of the demo: asks for addresses, keeps them for the stated time, and reads whole answers. */
import { Agent, request } from 'undici'

export type CallerRequest = { id: string, model: string, className: string, prompt: string, maxTokens: number }

export type CallerResult = {
  /** Text of the answer; undefined when it never became whole. */
  text: string | undefined
  count: number
  /** Time of the first attempt, in ms since 1970. */
  startedAt: number
  firstTokenMs: number
  totalMs: number
  resumed: number
  refusedNotRun: number
  unknown: number
  /** Faults that no refusal explains. */
  faults: string[]
}

export type OrderResult = { outcome: 'done' | 'not-run' | 'unknown', key: string }

export type DemoCaller = {
  complete (req: CallerRequest): Promise<CallerResult>
  /** Sends one order through two nodes at once, as a caller does that lost the first response. */
  orderTwice (service: string, body: string, uuid: string): Promise<OrderResult>
  close (): Promise<void>
}

type Attempt =
  | { type: 'whole', count: number }
  | { type: 'cut' }
  | { type: 'refused', outcome: string, retryAfterMs: number }
  | { type: 'fault', message: string }

type Progress = { lastId: number, text: string, firstTokenAt: number | undefined }

const maxAttempts = 20
const cutPauseMs = 100

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Reads one event. @returns the attempt's result when the event ends the answer */
function readEvent (block: string, progress: Progress): Attempt | undefined {
  const lines = block.split('\n')
  const data = lines.find(line => line.startsWith('data: '))?.slice(6) ?? ''
  if (data === '[DONE]') return { type: 'cut' }
  const value = JSON.parse(data) as { choices?: { text: string }[], usage?: { completion_tokens: number }, outcome?: string, retryAfterMs?: number }
  if (lines[0] === 'event: error') return { type: 'refused', outcome: value.outcome ?? 'unknown', retryAfterMs: value.retryAfterMs ?? cutPauseMs }
  if (value.usage !== undefined) return { type: 'whole', count: value.usage.completion_tokens }
  const id = Number(lines[0]?.slice('id: '.length))
  if (id !== progress.lastId + 1) return { type: 'fault', message: `event ${id} follows event ${progress.lastId}` }
  progress.lastId = id
  progress.text += value.choices?.[0]?.text ?? ''
  progress.firstTokenAt ??= performance.now()
  return undefined
}

async function readStream (body: AsyncIterable<Buffer>, progress: Progress): Promise<Attempt> {
  let rest = ''
  try {
    for await (const chunk of body) {
      const blocks = (rest + chunk.toString('utf8')).split('\n\n')
      rest = blocks.pop() ?? ''
      for (const block of blocks) {
        const result = readEvent(block, progress)
        if (result !== undefined) return result
      }
    }
  } catch {}
  return { type: 'cut' }
}

/** @param seeds nodes that the caller knows from its settings */
export function createDemoCaller (seeds: string[], zone: string): DemoCaller {
  const dispatcher = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  const known = new Map<string, { urls: string[], prefix: string, until: number }>()
  let turn = 0

  async function ask (query: string): Promise<{ urls: string[], prefix: string }> {
    const kept = known.get(query)
    if (kept !== undefined && performance.now() < kept.until) return kept
    for (let index = 0; index < seeds.length; index++) {
      const seed = seeds[(turn++) % seeds.length] as string
      try {
        const response = await request(`${seed}/v1/addresses?zone=${zone}&${query}`, { dispatcher })
        const body = await response.body.json() as { addresses: { address: string }[], keepForMs: number, orderKeyPrefix?: string }
        const answer = { urls: body.addresses.map(({ address }) => `http://${address}`), prefix: body.orderKeyPrefix ?? '', until: performance.now() + body.keepForMs }
        if (response.statusCode === 200 && answer.urls.length > 0) known.set(query, answer)
        if (answer.urls.length > 0) return answer
      } catch {}
    }
    return { urls: seeds, prefix: '' }
  }

  async function attempt (url: string, req: CallerRequest, progress: Progress): Promise<Attempt> {
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
      return { type: 'refused', outcome: problem.outcome ?? 'unknown', retryAfterMs: problem.retryAfterMs ?? cutPauseMs }
    } catch {
      return { type: 'cut' }
    }
  }

  async function complete (req: CallerRequest): Promise<CallerResult> {
    const startedAt = Date.now()
    const started = performance.now()
    const result: CallerResult = { text: undefined, count: 0, startedAt, firstTokenMs: 0, totalMs: 0, resumed: 0, refusedNotRun: 0, unknown: 0, faults: [] }
    let progress: Progress = { lastId: 0, text: '', firstTokenAt: undefined }
    for (let number = 0; number < maxAttempts; number++) {
      const { urls } = await ask(`model=${encodeURIComponent(req.model)}`)
      const outcome = await attempt(urls[number % urls.length] as string, req, progress)
      if (outcome.type === 'whole') {
        if (outcome.count !== progress.lastId) result.faults.push(`the answer states ${outcome.count} tokens and has ${progress.lastId}`)
        result.text = progress.text
        result.count = outcome.count
        break
      }
      if (outcome.type === 'fault') {
        result.faults.push(outcome.message)
        break
      }
      if (outcome.type === 'cut') result.resumed++
      else if (outcome.outcome === 'not-run') result.refusedNotRun++
      else result.unknown++
      // After a refusal the answer starts anew; after a cut it continues.
      if (outcome.type === 'refused') progress = { lastId: 0, text: '', firstTokenAt: undefined }
      await pause(outcome.type === 'refused' ? Math.min(outcome.retryAfterMs, 1000) : cutPauseMs)
    }
    result.firstTokenMs = (progress.firstTokenAt ?? performance.now()) - started
    result.totalMs = performance.now() - started
    return result
  }

  async function order (url: string, service: string, body: string, key: string): Promise<OrderResult['outcome']> {
    try {
      const response = await request(`${url}/v1/services/${service}/orders`, { dispatcher, method: 'POST', headers: { 'idempotency-key': key, 'content-type': 'application/json' }, body })
      const answer = await response.body.json() as { outcome?: string }
      if (response.statusCode === 200) return 'done'
      return answer.outcome === 'not-run' ? 'not-run' : 'unknown'
    } catch {
      return 'unknown'
    }
  }

  return {
    complete,
    async orderTwice (service, body, uuid) {
      const { urls, prefix } = await ask(`service=${service}`)
      const key = prefix + uuid
      const first = urls[0] as string
      const outcomes = await Promise.all([order(first, service, body, key), order(urls[1] ?? first, service, body, key)])
      const outcome = outcomes.includes('done') ? 'done' : outcomes.includes('unknown') ? 'unknown' : 'not-run'
      return { outcome, key }
    },
    close: async () => await dispatcher.destroy()
  }
}
