/** Simulated model engine: continuous batching, adapter slots, resumable streams, cold restarts. */
import type { EngineCommand, EngineCommandResult, EngineReport, GenerateRequest } from '@yuccawharf/clients'
import type { Clock } from './clock'
import { createPrefixCacheModel, hashText, type CacheEvent } from './prefix-cache-model'
import type { WeightStoreModel } from './weight-store-model'

export type EngineModelOptions = {
  clock: Clock
  weights: WeightStoreModel
  engine: string
  baseModel: string
  slots?: number
  batchSize?: number
  /** Largest number of requests that wait for the batch; further requests are refused. */
  maxQueued?: number
  /** Duration of one step of the batch: a fixed part and a part per sequence, in ms. */
  stepBaseMs?: number
  stepPerSequenceMs?: number
  /** Tokens per sequence and step; together with a step time of 0 this gives the highest token rate. */
  tokensPerStep?: number
  prefillMsPerToken?: number
  checksFencing?: boolean
  /** Largest age of a status report, in ms. */
  reportLagMs?: number
  cacheBlocks?: number
  cacheLagMs?: number
  seed?: number
}

export type EndReason = 'stop' | 'length' | 'cancelled'

/** Receives the events of one stream. The tokens of one step arrive in one call. */
export interface StreamListener {
  tokens (firstSeq: number, texts: string[]): void
  end (count: number, reason: EndReason): void
  broken (reason: string): void
}

/** Result of starting or resuming a stream. `code` is the code in the engine's error body. */
export type StreamStart = { type: 'ok', detach: () => void } | { type: 'refused', code: 'model_not_found' | 'draining' | 'overloaded' | 'duplicate_request' | 'response_not_found' } | { type: 'unreachable' }

export type EngineModel = {
  generate (req: GenerateRequest, listener: StreamListener): StreamStart
  resume (requestId: string, after: number, listener: StreamListener): StreamStart
  cancel (requestId: string): void
  command (command: EngineCommand, fence: number, done: (result: EngineCommandResult) => void): void
  /** @returns undefined while the engine is unreachable */
  status (): EngineReport | undefined
  cacheEvents (after: number): CacheEvent[]
  /** Cold restart: a new incarnation with nothing loaded; unreachable for `downMs`. */
  restart (downMs?: number): void
  setUnreachable (value: boolean): void
  setDraining (value: boolean): void
  /** The next command takes effect, but its caller gets `unknown`. */
  loseNextResponse (): void
  failNextLoad (): void
  /** The next load occupies its slot and never completes. */
  hangNextLoad (): void
  /** Closes the connections of all streams; generation continues. */
  disconnectStreams (): void
  /** Counters for checks; `evictedInUse` counts requests aborted by an unload. */
  stats (): EngineStats
}

export type EngineStats = { started: number, completed: number, evictedInUse: number, steps: number, batchSum: number, tokens: number }

type Sequence = { req: GenerateRequest, adapter: string, version: string, hash: number, produced: number, end?: EndReason, listeners: Set<StreamListener> }

const maxStoredResponses = 1000
const charactersPerToken = 4

/** Text of token `seq`: the first names the adapter and its version, the others depend on the entire request. */
function tokenText (adapter: string, version: string, hash: number, seq: number): string {
  return seq === 1 ? `${adapter}@${version}` : ` w${(hash + Math.imul(seq, 2654435761) >>> 0) % 10000}`
}

function requestHash (requestId: string, adapter: string, version: string, prompt: string): number {
  return hashText(prompt, hashText(`${requestId} ${adapter}@${version} `))
}

/** Full text that any engine generates for a request, so that callers can verify each response. */
export function expectedText (requestId: string, adapter: string, version: string, prompt: string, count: number): string {
  const hash = requestHash(requestId, adapter, version, prompt)
  return Array.from({ length: count }, (_, index) => tokenText(adapter, version, hash, index + 1)).join('')
}

export function createEngineModel (options: EngineModelOptions): EngineModel {
  const { clock, weights, slots = 8, batchSize = 32, maxQueued = 256, stepBaseMs = 12, stepPerSequenceMs = 0.15, tokensPerStep = 1, prefillMsPerToken = 0.05, reportLagMs = 0 } = options
  const cache = createPrefixCacheModel({ clock, blocks: options.cacheBlocks, lagMs: options.cacheLagMs, seed: options.seed })
  const stats: EngineStats = { started: 0, completed: 0, evictedInUse: 0, steps: 0, batchSum: 0, tokens: 0 }
  const resident = new Map<string, { adapter: string, version: string }>()
  const loading = new Map<string, (result: EngineCommandResult) => void>()
  const sequences = new Map<string, Sequence>()
  let waiting: Sequence[] = []
  let batch: Sequence[] = []
  let endedRequestIds: string[] = []
  let incarnation = 1
  let highestFence = -1
  let stepping = false
  let unreachable = false
  let draining = false
  let responsesToLose = 0
  let loadsToFail = 0
  let loadsToHang = 0
  let lastReport: EngineReport | undefined

  const finish = (sequence: Sequence, reason: EndReason): void => {
    sequence.end = reason
    if (reason !== 'cancelled') stats.completed++
    const listeners = [...sequence.listeners]
    sequence.listeners.clear()
    endedRequestIds.push(sequence.req.requestId)
    if (endedRequestIds.length > 2 * maxStoredResponses) {
      for (const requestId of endedRequestIds.slice(0, maxStoredResponses)) {
        if (sequences.get(requestId)?.end !== undefined) sequences.delete(requestId)
      }
      endedRequestIds = endedRequestIds.slice(maxStoredResponses)
    }
    for (const listener of listeners) listener.end(sequence.produced, reason)
  }

  // Listeners may call the engine synchronously, so they are detached before they are notified.
  const disconnect = (sequence: Sequence, reason: string): void => {
    const listeners = [...sequence.listeners]
    sequence.listeners.clear()
    for (const listener of listeners) listener.broken(reason)
  }

  const abort = (sequence: Sequence, reason: string): void => {
    sequences.delete(sequence.req.requestId)
    disconnect(sequence, reason)
  }

  const textsOf = (sequence: Sequence, first: number, last: number): string[] => {
    const texts: string[] = []
    for (let seq = first; seq <= last; seq++) texts.push(tokenText(sequence.adapter, sequence.version, sequence.hash, seq))
    return texts
  }

  /** Moves waiting requests into the batch. @returns the prompt tokens to process */
  const fillBatch = (): number => {
    let promptTokens = 0
    while (batch.length < batchSize && waiting.length > 0) {
      const sequence = waiting.shift()!
      const tokens = Math.ceil(sequence.req.prompt.length / charactersPerToken)
      promptTokens += Math.max(0, tokens - cache.use(sequence.req.handle, sequence.req.prompt))
      batch.push(sequence)
    }
    return promptTokens
  }

  const scheduleStep = (dueAt: number): void => {
    if (stepping) return
    const promptTokens = fillBatch()
    if (batch.length === 0) return
    stepping = true
    const due = dueAt + stepBaseMs + stepPerSequenceMs * batch.length + prefillMsPerToken * promptTokens
    const current = incarnation
    clock.after(due - clock.now(), () => {
      if (current !== incarnation) return
      stepping = false
      runStep()
      // Later steps catch up on at most 100 ms of a delay.
      scheduleStep(Math.max(due, clock.now() - 100))
    })
  }

  const runStep = (): void => {
    stats.steps++
    stats.batchSum += batch.length
    for (const sequence of batch) {
      // A listener of this step may have cancelled or aborted another request.
      if (sequence.end !== undefined || sequences.get(sequence.req.requestId) !== sequence) continue
      const first = sequence.produced + 1
      sequence.produced = Math.min(sequence.req.maxTokens, sequence.produced + tokensPerStep)
      stats.tokens += sequence.produced - first + 1
      if (sequence.listeners.size === 0) continue
      const texts = textsOf(sequence, first, sequence.produced)
      for (const listener of [...sequence.listeners]) listener.tokens(first, texts)
    }
    const finished = batch.filter(sequence => sequence.produced >= sequence.req.maxTokens)
    batch = batch.filter(sequence => sequence.produced < sequence.req.maxTokens)
    for (const sequence of finished) finish(sequence, 'length')
  }

  const remove = (sequence: Sequence): void => {
    waiting = waiting.filter(other => other !== sequence)
    batch = batch.filter(other => other !== sequence)
  }

  const respond = (done: (result: EngineCommandResult) => void, result: EngineCommandResult): void => {
    const lost = responsesToLose > 0
    if (lost) responsesToLose--
    done(lost ? { type: 'unknown', reason: 'response lost' } : result)
  }

  const load = (command: EngineCommand & { type: 'load' }, done: (result: EngineCommandResult) => void): void => {
    if (resident.has(command.handle) || loading.has(command.handle)) return respond(done, { type: 'refused', reason: 'already_loaded' })
    if (resident.size + loading.size >= slots) return respond(done, { type: 'refused', reason: 'no_free_slot' })
    loading.set(command.handle, done)
    if (loadsToHang > 0) {
      loadsToHang--
      return
    }
    const fails = loadsToFail > 0
    if (fails) loadsToFail--
    weights.fetch(command.adapter, command.version, result => {
      if (loading.get(command.handle) !== done) return
      loading.delete(command.handle)
      if (fails || result.type !== 'ok') return respond(done, { type: 'refused', reason: 'weight_store_failed' })
      resident.set(command.handle, { adapter: command.adapter, version: command.version })
      respond(done, { type: 'ok' })
    })
  }

  const unload = (handle: string, done: (result: EngineCommandResult) => void): void => {
    if (!resident.delete(handle)) return respond(done, { type: 'refused', reason: 'model_not_found' })
    for (const sequence of [...batch, ...waiting].filter(other => other.req.handle === handle)) {
      stats.evictedInUse++
      remove(sequence)
      abort(sequence, 'adapter was unloaded')
    }
    respond(done, { type: 'ok' })
  }

  const createReport = (): EngineReport => ({
    engine: options.engine,
    incarnation,
    baseModel: options.baseModel,
    slots,
    batchSize,
    resident: [...resident].map(([handle, loaded]) => ({ handle, ...loaded })),
    running: [...batch, ...waiting].map(({ req, produced }) => ({ requestId: req.requestId, handle: req.handle, seq: produced })),
    queued: waiting.length,
    takenAt: clock.now()
  })

  return {
    generate (req, listener) {
      if (unreachable) return { type: 'unreachable' }
      const model = resident.get(req.handle)
      if (model === undefined) return { type: 'refused', code: 'model_not_found' }
      if (draining) return { type: 'refused', code: 'draining' }
      if (waiting.length >= maxQueued) return { type: 'refused', code: 'overloaded' }
      const earlier = sequences.get(req.requestId)
      if (earlier !== undefined && earlier.end !== 'cancelled') return { type: 'refused', code: 'duplicate_request' }
      const hash = requestHash(req.requestId, model.adapter, model.version, req.prompt)
      const sequence: Sequence = { req, ...model, hash, produced: 0, listeners: new Set([listener]) }
      sequences.set(req.requestId, sequence)
      stats.started++
      const index = waiting.findIndex(other => other.req.priority > req.priority)
      waiting.splice(index < 0 ? waiting.length : index, 0, sequence)
      scheduleStep(clock.now())
      return { type: 'ok', detach: () => sequence.listeners.delete(listener) }
    },
    resume (requestId, after, listener) {
      if (unreachable) return { type: 'unreachable' }
      const sequence = sequences.get(requestId)
      if (sequence === undefined) return { type: 'refused', code: 'response_not_found' }
      if (after < sequence.produced) listener.tokens(after + 1, textsOf(sequence, after + 1, sequence.produced))
      if (sequence.end !== undefined) listener.end(sequence.produced, sequence.end)
      else sequence.listeners.add(listener)
      return { type: 'ok', detach: () => sequence.listeners.delete(listener) }
    },
    cancel (requestId) {
      const sequence = sequences.get(requestId)
      if (unreachable || sequence === undefined || sequence.end !== undefined) return
      remove(sequence)
      finish(sequence, 'cancelled')
    },
    command (command, fence, done) {
      if (unreachable) return done({ type: 'unknown', reason: 'unreachable' })
      if (options.checksFencing === true && fence < highestFence) return respond(done, { type: 'stale-fence' })
      highestFence = Math.max(highestFence, fence)
      if (command.type === 'load') load(command, done)
      else unload(command.handle, done)
    },
    status () {
      if (unreachable) return undefined
      if (lastReport === undefined || clock.now() - lastReport.takenAt >= reportLagMs) lastReport = createReport()
      return lastReport
    },
    cacheEvents: after => cache.events(after),
    restart (downMs = 0) {
      incarnation++
      highestFence = -1
      lastReport = undefined
      stepping = false
      const lost = [...batch, ...waiting]
      const loads = [...loading.values()]
      batch = []
      waiting = []
      endedRequestIds = []
      sequences.clear()
      resident.clear()
      loading.clear()
      cache.clear()
      unreachable = downMs > 0
      if (unreachable) clock.after(downMs, () => { unreachable = false })
      for (const sequence of lost) abort(sequence, 'engine restarted')
      for (const done of loads) done({ type: 'unknown', reason: 'engine restarted' })
    },
    setUnreachable (value) { unreachable = value },
    setDraining (value) { draining = value },
    loseNextResponse () { responsesToLose++ },
    failNextLoad () { loadsToFail++ },
    hangNextLoad () { loadsToHang++ },
    disconnectStreams () {
      for (const sequence of sequences.values()) disconnect(sequence, 'connection closed')
    },
    stats: () => ({ ...stats })
  }
}
