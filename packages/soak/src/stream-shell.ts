/**
 * Shell of a simulated node for completions. Like the daemon's shells, it runs them on engines, forwards
 * them to the owner of the engine, and resumes responses after a broken connection.
 */
import type { Completion, CoreAction, CoreEvent, Refusal } from '@yuccawharf/node'
import type { ResponseEvent } from '@yuccawharf/serving'
import { acceptAll, createRelayedResponse, endEvents, tokenRun, type RelayedResponse } from './relayed-response'
import type { SimEngine, SimEnvironment } from './sim-environment'
import type { SimProcess } from './sim-process'

/** Message from the owner to the entry process of a forwarded request. */
export type OwnerReply =
  | { type: 'events', events: ResponseEvent[] }
  | { type: 'refused', refusal: Refusal & { misdirected?: true } }

export type StreamShellEnv = {
  node: string
  process: SimProcess
  /** Set only by a mutant. */
  skipSequenceCheck: boolean
  /** Current process of a node. */
  peer (node: string): { process: SimProcess, streams: StreamShell } | undefined
  /** Called when a caller's request has ended at its entry process. */
  finished (requestId: string, end: { type: 'done', response: RelayedResponse } | { type: 'refused', refusal: Refusal }): void
  /** Called when an engine has accepted the request. */
  ran (requestId: string, engine: SimEngine, handle: string): void
  dispatched (requestId: string, engine: SimEngine): void
}

export type StreamShell = {
  submit (completion: Completion): void
  /** Receives a request that the entry process of another node forwards. */
  accept (completion: Completion, reply: (message: OwnerReply) => void): void
  dispatch (action: Extract<CoreAction, { type: 'dispatch' }>): void
  cancelDispatch (action: Extract<CoreAction, { type: 'cancel-dispatch' }>): void
  forward (action: Extract<CoreAction, { type: 'forward' }>): void
  refuse (action: Extract<CoreAction, { type: 'refuse' }>): void
  /** Requests that an engine still runs through this process. */
  running (): string[]
  /** Requests whose callers wait for a response of this process. */
  waiting (): string[]
  /** Recovers responses whose owner's process has ended. */
  checkPeers (): void
}

/** Request that this process runs on an engine; `reply` is absent for requests of its own callers. */
type OwnedRequest = { response: RelayedResponse, reply: ((message: OwnerReply) => void) | undefined, isRunning: boolean }
/** Request of a caller of this process; `peer` is the process that it was forwarded to. */
type EntryRequest = { response: RelayedResponse, peer: { node: string, process: SimProcess } | undefined }
/** Whether the request may have reached the peer. */
type LossCause = { sent: boolean }

const retryDelaysMs = [0, 100, 300, 1000, 2000, 3000, 4000]
const resumeDelaysMs = [0, 50, 100, 200, 400, 800, 1600]

export const createStreamShell = (sim: SimEnvironment, env: StreamShellEnv): StreamShell => {
  const { clock, random, network, engines } = sim
  const { process } = env
  const entryRequests = new Map<string, EntryRequest>()
  const ownedRequests = new Map<string, OwnedRequest>()

  const deliver = (event: CoreEvent): void => process.deliver(event)
  const after = (ms: number, run: () => void): void => { clock.after(ms, () => process.run(run)) }
  const now = (): number => clock.now()

  const finish = (requestId: string, end: Parameters<StreamShellEnv['finished']>[1]): void => {
    if (entryRequests.delete(requestId)) {
      env.finished(requestId, end)
    }
  }

  /** A refusal as not run proves nothing about an earlier attempt, which may have run. */
  const asUnknownIfRun = (response: RelayedResponse, refusal: Refusal): Refusal =>
    refusal.outcome === 'not-run' && response.mayHaveRun ? { ...refusal, outcome: 'unknown' } : refusal

  const fail = (entry: EntryRequest, refusal: Refusal): void => {
    finish(entry.response.completion.requestId, { type: 'refused', refusal: asUnknownIfRun(entry.response, refusal) })
  }

  const giveUp = (entry: EntryRequest): void =>
    fail(entry, { outcome: entry.response.mayHaveRun ? 'unknown' : 'not-run', reason: 'the node that owns the engine does not answer' })

  const isCurrent = (response: RelayedResponse, attempt: number): boolean => response.attempt === attempt && response.relay.end() === undefined

  const resetRetriesOnProgress = (response: RelayedResponse, before: number): void => {
    if (response.relay.lastSeq() > before) {
      response.retries = 0
    }
  }

  const resubmit = (entry: EntryRequest): void => {
    const { response } = entry
    const delay = retryDelaysMs[response.retries++]
    if (delay === undefined) {
      giveUp(entry)
      return
    }
    const { attempt } = response
    after(delay, () => isCurrent(response, attempt) && entryRequests.has(response.completion.requestId) && deliver({ type: 'submit', completion: response.completion }))
  }

  /** Schedules a chunk of an engine's stream, which may be duplicated, reordered or late with a small probability. */
  const scheduleChunk = (response: RelayedResponse, events: ResponseEvent[], onEvents: (result: ReturnType<typeof acceptAll>, before: number) => void): void => {
    const { attempt } = response
    const acceptChunk = (): void => {
      if (isCurrent(response, attempt)) {
        const before = response.relay.lastSeq()
        onEvents(acceptAll(response, response.completion.requestId, events, now()), before)
      }
    }
    after(random.between(1, 10) / 10 + (random.happens(0.01) ? random.between(50, 400) : 0), acceptChunk)
    if (random.happens(0.02)) {
      after(random.between(1, 400), acceptChunk)
    }
  }

  const createListener = (response: RelayedResponse, onEvents: (result: ReturnType<typeof acceptAll>, before: number) => void, onBroken: () => void): Parameters<SimEngine['model']['generate']>[1] => ({
    tokens: (first, texts) => scheduleChunk(response, [tokenRun(first, texts)], onEvents),
    end: (count, reason) => scheduleChunk(response, endEvents(count, reason), onEvents),
    broken: () => after(random.between(1, 20), onBroken)
  })

  /** Resumes a response from its engine; calls `onLost` when the engine does not have it or stays unreachable. */
  const resume = (response: RelayedResponse, engine: SimEngine | undefined, retries: number, onEvents: (result: ReturnType<typeof acceptAll>, before: number) => void, onLost: (mayHaveResponse: boolean) => void): void => {
    const attempt = ++response.attempt
    const delay = resumeDelaysMs[retries]
    if (engine === undefined || delay === undefined) {
      onLost(true)
      return
    }
    after(delay, () => {
      if (!isCurrent(response, attempt)) {
        return
      }
      const retry = (): void => { if (isCurrent(response, attempt)) resume(response, engine, retries + 1, onEvents, onLost) }
      const started = isCutFrom(engine) ? { type: 'unreachable' as const } : engine.model.resume(response.completion.requestId, response.relay.lastSeq(), createListener(response, onEvents, retry))
      if (started.type === 'unreachable') {
        retry()
      } else if (started.type === 'refused') {
        onLost(false)
      }
    })
  }

  const isCutFrom = (engine: SimEngine): boolean => network.isCut(env.node, engine.id)

  const endAttempt = (request: OwnedRequest, outcome: 'not-run' | 'broken', reason?: string): void => {
    const { requestId } = request.response.completion
    request.isRunning = false
    deliver({ type: 'request-ended', requestId, outcome, tokens: request.response.relay.lastSeq(), ...(reason === undefined ? {} : { reason }) })
  }

  const completeOwned = (request: OwnedRequest): void => {
    const { requestId } = request.response.completion
    const ended = request.response.relay.end()
    request.isRunning = false
    ownedRequests.delete(requestId)
    const cancelled = ended?.type === 'finished' && ended.reason === 'cancelled'
    deliver({ type: 'request-ended', requestId, outcome: cancelled ? 'cancelled' : 'done', tokens: request.response.relay.lastSeq() })
    if (request.reply === undefined) {
      finish(requestId, cancelled ? { type: 'refused', refusal: { outcome: 'unknown', reason: 'cancelled' } } : { type: 'done', response: request.response })
    }
  }

  const forwardEvents = (request: OwnedRequest, before: number): void => {
    const { relay } = request.response
    const replay = relay.replay(before)
    const ended = relay.end()
    if (request.reply === undefined || replay.type !== 'ok') {
      return
    }
    const runs: ResponseEvent[] = relay.lastSeq() > before ? [{ type: 'tokens', first: before + 1, last: relay.lastSeq(), bytes: Buffer.concat(replay.bytes) }] : []
    request.reply({ type: 'events', events: ended?.type === 'finished' ? [...runs, ...endEvents(ended.count, ended.reason)] : runs })
  }

  const handleOwnedEvents = (request: OwnedRequest) => (result: ReturnType<typeof acceptAll>, before: number): void => {
    const { response } = request
    resetRetriesOnProgress(response, before)
    if (before === 0 && response.relay.lastSeq() > 0) {
      deliver({ type: 'first-token', requestId: response.completion.requestId })
    }
    forwardEvents(request, before)
    if (response.relay.end() !== undefined) {
      completeOwned(request)
    } else if (result === 'gap' || result === 'conflict') {
      resumeOwned(request)
    }
  }

  const resumeOwned = (request: OwnedRequest): void => resume(request.response, engines.get(request.response.engine ?? ''), 0, handleOwnedEvents(request), () => endAttempt(request, 'broken'))

  const startOnEngine = (request: OwnedRequest, engine: SimEngine, handle: string, priority: number): void => {
    const { response } = request
    const { requestId, prompt, maxTokens } = response.completion
    const attempt = ++response.attempt
    if (isCutFrom(engine) || engine.removed) {
      after(300, () => isCurrent(response, attempt) && endAttempt(request, 'not-run', 'unreachable'))
      return
    }
    clock.after(random.between(1, 20) / 10, () => {
      const onBroken = (): void => { if (response.attempt === attempt) resumeOwned(request) }
      const started = engine.model.generate({ requestId, handle, prompt, maxTokens, priority }, createListener(response, handleOwnedEvents(request), onBroken))
      if (started.type === 'ok') {
        response.mayHaveRun = true
        env.ran(requestId, engine, handle)
        return
      }
      const code = started.type === 'refused' ? started.code : 'unreachable'
      after(1, () => {
        if (response.attempt !== attempt) {
          return
        }
        if (code === 'duplicate_request') {
          resumeOwned(request)
        } else {
          endAttempt(request, 'not-run', code)
        }
      })
    })
  }

  const handleReply = (entry: EntryRequest, message: OwnerReply, attempt: number): void => {
    const { response } = entry
    if (!isCurrent(response, attempt)) {
      return
    }
    if (message.type === 'refused') {
      entry.peer = undefined
      response.mayHaveRun ||= message.refusal.misdirected === true && message.refusal.outcome === 'unknown'
      if (message.refusal.misdirected === true && response.relay.lastSeq() === 0) {
        resubmit(entry)
      } else {
        fail(entry, message.refusal)
      }
      return
    }
    const before = response.relay.lastSeq()
    const result = acceptAll(response, response.completion.requestId, message.events, now())
    resetRetriesOnProgress(response, before)
    handleEntryEvents(entry, result)
  }

  const handleEntryEvents = (entry: EntryRequest, result: ReturnType<typeof acceptAll>): void => {
    const { response } = entry
    const ended = response.relay.end()
    if (ended?.type === 'finished') {
      finish(response.completion.requestId, ended.reason === 'cancelled' ? { type: 'refused', refusal: { outcome: 'unknown', reason: 'cancelled' } } : { type: 'done', response })
    } else if (result === 'gap' || result === 'conflict') {
      recover(entry)
    }
  }

  /** Resumes the response from the engine that runs it. Without one, resubmits the request if it has no token yet, or searches again. */
  const recover = (entry: EntryRequest): void => {
    const { response } = entry
    entry.peer = undefined
    response.mayHaveRun = true
    const delay = retryDelaysMs[response.retries++]
    if (delay === undefined) {
      giveUp(entry)
      return
    }
    const attempt = ++response.attempt
    after(delay, () => {
      if (!isCurrent(response, attempt) || !entryRequests.has(response.completion.requestId)) {
        return
      }
      const runningEngine = [...engines.values()].find(({ model }) => model.status()?.running.some(({ requestId }) => requestId === response.completion.requestId))
      if (runningEngine !== undefined) {
        resume(response, runningEngine, 0, (result, before) => {
          resetRetriesOnProgress(response, before)
          handleEntryEvents(entry, result)
        }, () => recover(entry))
      } else if (response.relay.lastSeq() === 0) {
        resubmit(entry)
      } else {
        recover(entry)
      }
    })
  }

  const handleLostPeer = (entry: EntryRequest, attempt: number, { sent }: LossCause): void => {
    if (!isCurrent(entry.response, attempt) || !entryRequests.has(entry.response.completion.requestId)) {
      return
    }
    entry.peer = undefined
    if (sent) {
      recover(entry)
    } else {
      resubmit(entry)
    }
  }

  return {
    submit (completion) {
      entryRequests.set(completion.requestId, { response: createRelayedResponse(completion, env.skipSequenceCheck), peer: undefined })
      deliver({ type: 'submit', completion })
    },
    accept (completion, reply) {
      ownedRequests.set(completion.requestId, { response: createRelayedResponse(completion, env.skipSequenceCheck), reply, isRunning: false })
      deliver({ type: 'submit', completion, forwarded: true })
    },
    dispatch ({ engine: id, requestId, handle, priority, resumeAfter }) {
      const engine = engines.get(id)
      const entry = entryRequests.get(requestId)
      const request = ownedRequests.get(requestId) ?? (entry === undefined ? undefined : { response: entry.response, reply: undefined, isRunning: false })
      if (request === undefined || engine === undefined) {
        return
      }
      ownedRequests.set(requestId, request)
      request.isRunning = true
      request.response.engine = id
      env.dispatched(requestId, engine)
      if (resumeAfter === undefined) {
        startOnEngine(request, engine, handle, priority)
      } else {
        resumeOwned(request)
      }
    },
    cancelDispatch ({ engine: id, requestId }) {
      const engine = engines.get(id)
      if (engine !== undefined && !isCutFrom(engine)) {
        clock.after(1, () => engine.model.cancel(requestId))
      }
    },
    forward ({ requestId, node }) {
      const entry = entryRequests.get(requestId)
      const peer = env.peer(node)
      if (entry === undefined) {
        return
      }
      const attempt = ++entry.response.attempt
      if (peer === undefined || peer.process.ended) {
        after(1, () => handleLostPeer(entry, attempt, { sent: false }))
        return
      }
      entry.peer = { node, process: peer.process }
      const onBroken = (): void => after(1, () => handleLostPeer(entry, attempt, { sent: true }))
      const reply = (message: OwnerReply): void => network.sendInOrder(node, env.node, () => process.run(() => handleReply(entry, message, attempt)), onBroken)
      const onConnectionRefused = (): void => after(1, () => handleLostPeer(entry, attempt, { sent: false }))
      network.sendInOrder(env.node, node, () => peer.process.run(() => peer.streams.accept(entry.response.completion, reply)), onConnectionRefused)
    },
    refuse ({ requestId, refusal }) {
      const request = ownedRequests.get(requestId)
      ownedRequests.delete(requestId)
      if (request?.reply !== undefined) {
        request.response.attempt += 1
        request.reply({ type: 'refused', refusal: asUnknownIfRun(request.response, refusal) })
        return
      }
      const entry = entryRequests.get(requestId)
      if (entry !== undefined) {
        entry.response.attempt += 1
        fail(entry, request === undefined ? refusal : asUnknownIfRun(request.response, refusal))
      }
    },
    running: () => [...ownedRequests].filter(([, request]) => request.isRunning).map(([requestId]) => requestId),
    waiting: () => [...entryRequests.keys()],
    checkPeers () {
      for (const entry of entryRequests.values()) {
        if (entry.peer?.process.ended === true) {
          handleLostPeer(entry, entry.response.attempt, { sent: true })
        }
      }
    }
  }
}
