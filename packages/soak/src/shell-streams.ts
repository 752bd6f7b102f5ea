/**
 * The shell's part for completions: runs them on engines, forwards them to their owner's process
 * and reads responses again after a break, the way the daemon's shells do.
 */
import type { Completion, CoreAction, CoreEvent, Refusal } from '@yuccawharf/node'
import type { ResponseEvent } from '@yuccawharf/serving'
import { acceptAll, createAnswer, endEvents, tokenRun, type Answer } from './answer'
import type { SimProcess } from './process'
import type { EngineInWorld, World } from './world'

/** What an owner tells the entry process of a forwarded request. */
export type OwnerReply =
  | { type: 'events', events: ResponseEvent[] }
  | { type: 'refused', refusal: Refusal & { misdirected?: true } }

export type StreamShellEnv = {
  node: string
  process: SimProcess
  /** Only for a mutant. */
  skipSequenceCheck: boolean
  /** Process that runs at a node now. */
  peer (node: string): { process: SimProcess, streams: StreamShell } | undefined
  /** A caller's request ended at its entry process. */
  finished (requestId: string, end: { type: 'done', answer: Answer } | { type: 'refused', refusal: Refusal }): void
  /** An engine accepted the request. */
  ran (requestId: string, engine: EngineInWorld, handle: string): void
  dispatched (requestId: string, engine: EngineInWorld): void
}

export type StreamShell = {
  submit (completion: Completion): void
  /** A request that the entry process of another node forwards. */
  accept (completion: Completion, reply: (message: OwnerReply) => void): void
  dispatch (action: Extract<CoreAction, { type: 'dispatch' }>): void
  cancelDispatch (action: Extract<CoreAction, { type: 'cancel-dispatch' }>): void
  forward (action: Extract<CoreAction, { type: 'forward' }>): void
  refuse (action: Extract<CoreAction, { type: 'refuse' }>): void
  /** Requests on an engine through this process, with an engine that still runs them. */
  running (): string[]
  /** Callers that wait for a response of this process. */
  waiting (): string[]
  /** Looks for responses whose owner's process has ended. */
  sweep (): void
}

type Owned = { answer: Answer, reply: ((message: OwnerReply) => void) | undefined, live: boolean }
type Entry = { answer: Answer, peer: { node: string, process: SimProcess } | undefined }
type LossCause = { sent: boolean }

const retryDelaysMs = [0, 100, 300, 1000, 2000, 3000, 4000]
const resumeDelaysMs = [0, 50, 100, 200, 400, 800, 1600]

export const createStreamShell = (world: World, env: StreamShellEnv): StreamShell => {
  const { clock, chance, network, engines } = world
  const { process } = env
  const entries = new Map<string, Entry>()
  const owned = new Map<string, Owned>()

  const report = (event: CoreEvent): void => process.deliver(event)
  const after = (ms: number, run: () => void): void => { clock.after(ms, () => process.run(run)) }
  const now = (): number => clock.now()

  const finish = (requestId: string, end: Parameters<StreamShellEnv['finished']>[1]): void => {
    if (entries.delete(requestId)) {
      env.finished(requestId, end)
    }
  }

  /** A refusal is no proof when an earlier attempt may have run. */
  const doubted = (answer: Answer, refusal: Refusal): Refusal =>
    refusal.outcome === 'not-run' && answer.mayHaveRun ? { ...refusal, outcome: 'unknown' } : refusal

  const fail = (entry: Entry, refusal: Refusal): void => {
    finish(entry.answer.completion.requestId, { type: 'refused', refusal: doubted(entry.answer, refusal) })
  }

  const giveUp = (entry: Entry): void =>
    fail(entry, { outcome: entry.answer.mayHaveRun ? 'unknown' : 'not-run', reason: 'the node that owns the engine does not answer' })

  const isCurrent = (answer: Answer, attempt: number): boolean => answer.attempt === attempt && answer.relay.end() === undefined

  const progress = (answer: Answer, before: number): void => {
    if (answer.relay.lastSeq() > before) {
      answer.round = 0
    }
  }

  const submitAgain = (entry: Entry): void => {
    const { answer } = entry
    const delay = retryDelaysMs[answer.round++]
    if (delay === undefined) {
      giveUp(entry)
      return
    }
    const { attempt } = answer
    after(delay, () => isCurrent(answer, attempt) && entries.has(answer.completion.requestId) && report({ type: 'submit', completion: answer.completion }))
  }

  /** Chunks of an engine's stream: repeated, reordered or late with a small probability. */
  const chunked = (answer: Answer, events: ResponseEvent[], settled: (result: ReturnType<typeof acceptAll>, before: number) => void): void => {
    const { attempt } = answer
    const take = (): void => {
      if (isCurrent(answer, attempt)) {
        const before = answer.relay.lastSeq()
        settled(acceptAll(answer, answer.completion.requestId, events, now()), before)
      }
    }
    after(chance.between(1, 10) / 10 + (chance.happens(0.01) ? chance.between(50, 400) : 0), take)
    if (chance.happens(0.02)) {
      after(chance.between(1, 400), take)
    }
  }

  const listen = (answer: Answer, settled: (result: ReturnType<typeof acceptAll>, before: number) => void, broken: () => void): Parameters<EngineInWorld['model']['generate']>[1] => ({
    tokens: (first, texts) => chunked(answer, [tokenRun(first, texts)], settled),
    end: (count, reason) => chunked(answer, endEvents(count, reason), settled),
    broken: () => after(chance.between(1, 20), broken)
  })

  /** Resumes a response from its engine; `lost` runs when the engine does not have it or never answers. */
  const resume = (answer: Answer, engine: EngineInWorld | undefined, round: number, settled: (result: ReturnType<typeof acceptAll>, before: number) => void, lost: (known: boolean) => void): void => {
    const attempt = ++answer.attempt
    const delay = resumeDelaysMs[round]
    if (engine === undefined || delay === undefined) {
      lost(true)
      return
    }
    after(delay, () => {
      if (!isCurrent(answer, attempt)) {
        return
      }
      const again = (): void => { if (isCurrent(answer, attempt)) resume(answer, engine, round + 1, settled, lost) }
      const started = isCutFrom(engine) ? { type: 'unreachable' as const } : engine.model.resume(answer.completion.requestId, answer.relay.lastSeq(), listen(answer, settled, again))
      if (started.type === 'unreachable') {
        again()
      } else if (started.type === 'refused') {
        lost(false)
      }
    })
  }

  const isCutFrom = (engine: EngineInWorld): boolean => network.isCut(env.node, engine.id)

  const endAttempt = (item: Owned, outcome: 'not-run' | 'broken', reason?: string): void => {
    const { requestId } = item.answer.completion
    item.live = false
    report({ type: 'request-ended', requestId, outcome, tokens: item.answer.relay.lastSeq(), ...(reason === undefined ? {} : { reason }) })
  }

  const completeOwned = (item: Owned): void => {
    const { requestId } = item.answer.completion
    const ended = item.answer.relay.end()
    item.live = false
    owned.delete(requestId)
    const cancelled = ended?.type === 'finished' && ended.reason === 'cancelled'
    report({ type: 'request-ended', requestId, outcome: cancelled ? 'cancelled' : 'done', tokens: item.answer.relay.lastSeq() })
    if (item.reply === undefined) {
      finish(requestId, cancelled ? { type: 'refused', refusal: { outcome: 'unknown', reason: 'cancelled' } } : { type: 'done', answer: item.answer })
    }
  }

  const passOn = (item: Owned, before: number): void => {
    const { relay } = item.answer
    const replay = relay.replay(before)
    const ended = relay.end()
    if (item.reply === undefined || replay.type !== 'ok') {
      return
    }
    const runs: ResponseEvent[] = relay.lastSeq() > before ? [{ type: 'tokens', first: before + 1, last: relay.lastSeq(), bytes: Buffer.concat(replay.bytes) }] : []
    item.reply({ type: 'events', events: ended?.type === 'finished' ? [...runs, ...endEvents(ended.count, ended.reason)] : runs })
  }

  const settleOwned = (item: Owned) => (result: ReturnType<typeof acceptAll>, before: number): void => {
    const { answer } = item
    progress(answer, before)
    if (before === 0 && answer.relay.lastSeq() > 0) {
      report({ type: 'first-token', requestId: answer.completion.requestId })
    }
    passOn(item, before)
    if (answer.relay.end() !== undefined) {
      completeOwned(item)
    } else if (result === 'gap' || result === 'conflict') {
      resumeOwned(item)
    }
  }

  const resumeOwned = (item: Owned): void => resume(item.answer, engines.get(item.answer.engine ?? ''), 0, settleOwned(item), () => endAttempt(item, 'broken'))

  const start = (item: Owned, engine: EngineInWorld, handle: string, priority: number): void => {
    const { answer } = item
    const { requestId, prompt, maxTokens } = answer.completion
    const attempt = ++answer.attempt
    if (isCutFrom(engine) || engine.gone) {
      after(300, () => isCurrent(answer, attempt) && endAttempt(item, 'not-run', 'unreachable'))
      return
    }
    clock.after(chance.between(1, 20) / 10, () => {
      const broken = (): void => { if (answer.attempt === attempt) resumeOwned(item) }
      const started = engine.model.generate({ requestId, handle, prompt, maxTokens, priority }, listen(answer, settleOwned(item), broken))
      if (started.type === 'ok') {
        answer.mayHaveRun = true
        env.ran(requestId, engine, handle)
        return
      }
      const code = started.type === 'refused' ? started.code : 'unreachable'
      after(1, () => {
        if (answer.attempt !== attempt) {
          return
        }
        if (code === 'duplicate_request') {
          resumeOwned(item)
        } else {
          endAttempt(item, 'not-run', code)
        }
      })
    })
  }

  const received = (entry: Entry, message: OwnerReply, attempt: number): void => {
    const { answer } = entry
    if (!isCurrent(answer, attempt)) {
      return
    }
    if (message.type === 'refused') {
      entry.peer = undefined
      answer.mayHaveRun ||= message.refusal.misdirected === true && message.refusal.outcome === 'unknown'
      if (message.refusal.misdirected === true && answer.relay.lastSeq() === 0) {
        submitAgain(entry)
      } else {
        fail(entry, message.refusal)
      }
      return
    }
    const before = answer.relay.lastSeq()
    const result = acceptAll(answer, answer.completion.requestId, message.events, now())
    progress(answer, before)
    settleEntry(entry, result)
  }

  const settleEntry = (entry: Entry, result: ReturnType<typeof acceptAll>): void => {
    const { answer } = entry
    const ended = answer.relay.end()
    if (ended?.type === 'finished') {
      finish(answer.completion.requestId, ended.reason === 'cancelled' ? { type: 'refused', refusal: { outcome: 'unknown', reason: 'cancelled' } } : { type: 'done', answer })
    } else if (result === 'gap' || result === 'conflict') {
      recover(entry)
    }
  }

  /** Reads the response where it is; without a token it may be run again. */
  const recover = (entry: Entry): void => {
    const { answer } = entry
    entry.peer = undefined
    answer.mayHaveRun = true
    const delay = retryDelaysMs[answer.round++]
    if (delay === undefined) {
      giveUp(entry)
      return
    }
    const attempt = ++answer.attempt
    after(delay, () => {
      if (!isCurrent(answer, attempt) || !entries.has(answer.completion.requestId)) {
        return
      }
      const place = [...engines.values()].find(({ model }) => model.status()?.running.some(({ requestId }) => requestId === answer.completion.requestId))
      if (place !== undefined) {
        resume(answer, place, 0, (result, before) => {
          progress(answer, before)
          settleEntry(entry, result)
        }, () => recover(entry))
      } else if (answer.relay.lastSeq() === 0) {
        submitAgain(entry)
      } else {
        recover(entry)
      }
    })
  }

  const lost = (entry: Entry, attempt: number, { sent }: LossCause): void => {
    if (!isCurrent(entry.answer, attempt) || !entries.has(entry.answer.completion.requestId)) {
      return
    }
    entry.peer = undefined
    if (sent) {
      recover(entry)
    } else {
      submitAgain(entry)
    }
  }

  return {
    submit (completion) {
      entries.set(completion.requestId, { answer: createAnswer(completion, env.skipSequenceCheck), peer: undefined })
      report({ type: 'submit', completion })
    },
    accept (completion, reply) {
      owned.set(completion.requestId, { answer: createAnswer(completion, env.skipSequenceCheck), reply, live: false })
      report({ type: 'submit', completion, forwarded: true })
    },
    dispatch ({ engine: id, requestId, handle, priority, resumeAfter }) {
      const engine = engines.get(id)
      const entry = entries.get(requestId)
      const item = owned.get(requestId) ?? (entry === undefined ? undefined : { answer: entry.answer, reply: undefined, live: false })
      if (item === undefined || engine === undefined) {
        return
      }
      owned.set(requestId, item)
      item.live = true
      item.answer.engine = id
      env.dispatched(requestId, engine)
      if (resumeAfter === undefined) {
        start(item, engine, handle, priority)
      } else {
        resumeOwned(item)
      }
    },
    cancelDispatch ({ engine: id, requestId }) {
      const engine = engines.get(id)
      if (engine !== undefined && !isCutFrom(engine)) {
        clock.after(1, () => engine.model.cancel(requestId))
      }
    },
    forward ({ requestId, node }) {
      const entry = entries.get(requestId)
      const peer = env.peer(node)
      if (entry === undefined) {
        return
      }
      const attempt = ++entry.answer.attempt
      if (peer === undefined || peer.process.ended) {
        after(1, () => lost(entry, attempt, { sent: false }))
        return
      }
      entry.peer = { node, process: peer.process }
      const broken = (): void => after(1, () => lost(entry, attempt, { sent: true }))
      const reply = (message: OwnerReply): void => network.stream(node, env.node, () => process.run(() => received(entry, message, attempt)), broken)
      const refusedConnection = (): void => after(1, () => lost(entry, attempt, { sent: false }))
      network.stream(env.node, node, () => peer.process.run(() => peer.streams.accept(entry.answer.completion, reply)), refusedConnection)
    },
    refuse ({ requestId, refusal }) {
      const item = owned.get(requestId)
      owned.delete(requestId)
      if (item?.reply !== undefined) {
        item.answer.attempt += 1
        item.reply({ type: 'refused', refusal: doubted(item.answer, refusal) })
        return
      }
      const entry = entries.get(requestId)
      if (entry !== undefined) {
        entry.answer.attempt += 1
        fail(entry, item === undefined ? refusal : doubted(item.answer, refusal))
      }
    },
    running: () => [...owned].filter(([, item]) => item.live).map(([requestId]) => requestId),
    waiting: () => [...entries.keys()],
    sweep () {
      for (const entry of entries.values()) {
        if (entry.peer?.process.ended === true) {
          lost(entry, entry.answer.attempt, { sent: true })
        }
      }
    }
  }
}
